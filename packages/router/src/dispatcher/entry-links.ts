import type { PeerPort, Unsubscribe } from '../ports';
import type { Attempt, AttemptTable } from './attempt-table';
import { LOST_ENTRY_GRACE_MS } from './dispatcher-options';

/** An attempt that its entry did not enqueue or report again within the grace period. */
export interface AbandonedAttempt {
  attempt: Attempt;
  /** False when the entry has sent messages since the link was lost, so that only this attempt has ended. */
  isEntryDead: boolean;
}

/** Pings the entries that have attempts here and tracks the attempts whose entry's link is lost. */
export class EntryLinks {
  readonly #peers: PeerPort;
  readonly #attempts: AttemptTable;
  readonly #inGracePeriod = new Set<Attempt>();
  readonly #lastMessageAtMs = new Map<string, number>();
  readonly #pings = new Map<string, Unsubscribe>();

  constructor(peers: PeerPort, attempts: AttemptTable) {
    this.#peers = peers;
    this.#attempts = attempts;
  }

  /** Returns when `takeAbandoned` has to run next; Infinity if no attempt is in its grace period. */
  getNextWakeMs(): number {
    let nextMs = Infinity;
    for (const { linkLostAtMs } of this.#inGracePeriod) {
      nextMs = Math.min(nextMs, (linkLostAtMs ?? Infinity) + LOST_ENTRY_GRACE_MS);
    }
    return nextMs;
  }

  observeMessage(entryInstanceId: string, nowMs: number): void {
    this.#lastMessageAtMs.set(entryInstanceId, nowMs);
  }

  /** Pings exactly the entries that have attempts here, because a frozen entry doesn't close its link. */
  updatePings(): void {
    const entries = new Set(this.#attempts.listEntryIds());
    for (const entryInstanceId of entries) {
      if (this.#pings.has(entryInstanceId)) continue;
      this.#pings.set(entryInstanceId, this.#peers.requestPings(entryInstanceId));
    }
    for (const [entryInstanceId, stopPings] of this.#pings) {
      if (entries.has(entryInstanceId)) continue;
      stopPings();
      this.#pings.delete(entryInstanceId);
      this.#lastMessageAtMs.delete(entryInstanceId);
    }
  }

  /** Starts the grace period of the entry's attempts and returns those that were not already in it. */
  startGracePeriod(entryInstanceId: string, nowMs: number): Attempt[] {
    const attempts = this.#attempts.listByEntry(entryInstanceId);
    const affectedAttempts = attempts.filter(({ linkLostAtMs }) => linkLostAtMs === undefined);
    for (const attempt of affectedAttempts) {
      attempt.linkLostAtMs = nowMs;
      this.#inGracePeriod.add(attempt);
    }
    return affectedAttempts;
  }

  /** Ends the grace period of an attempt, if it is in one. */
  endGracePeriod(attempt: Attempt): void {
    attempt.linkLostAtMs = undefined;
    this.#inGracePeriod.delete(attempt);
  }

  /** Removes and returns the attempts whose grace period is over. */
  takeAbandoned(nowMs: number): AbandonedAttempt[] {
    const abandoned: AbandonedAttempt[] = [];
    for (const attempt of this.#inGracePeriod) {
      const { linkLostAtMs = Infinity, entryInstanceId } = attempt;
      if (this.#attempts.get(attempt.attemptId) !== attempt) this.#inGracePeriod.delete(attempt);
      else if (linkLostAtMs + LOST_ENTRY_GRACE_MS <= nowMs) {
        this.#inGracePeriod.delete(attempt);
        const lastMessageAtMs = this.#lastMessageAtMs.get(entryInstanceId) ?? -Infinity;
        abandoned.push({ attempt, isEntryDead: lastMessageAtMs <= linkLostAtMs });
      }
    }
    return abandoned;
  }
}
