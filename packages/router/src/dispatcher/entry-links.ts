import type { PeerPort, Unsubscribe } from '../ports';
import type { Attempt, AttemptTable } from './attempt-table';
import { LOST_ENTRY_GRACE_MS } from './dispatcher-options';

/** An attempt that its entry did not send again within the grace period. */
export interface ExpiredAttempt {
  attempt: Attempt;
  /** False when the entry has sent messages since the link was lost, so that only this attempt has ended. */
  isEntryDead: boolean;
}

/** Pings the entries that have attempts here and tracks the attempts whose entry's link is lost. */
export class EntryLinks {
  readonly #peers: PeerPort;
  readonly #attempts: AttemptTable;
  readonly #lost = new Set<Attempt>();
  readonly #lastMessageAtMs = new Map<string, number>();
  readonly #pings = new Map<string, Unsubscribe>();

  constructor(peers: PeerPort, attempts: AttemptTable) {
    this.#peers = peers;
    this.#attempts = attempts;
  }

  /** Returns when `takeExpired` has to run next; Infinity if no attempt is lost. */
  getNextWakeMs(): number {
    let nextMs = Infinity;
    for (const { lostAtMs } of this.#lost) {
      nextMs = Math.min(nextMs, (lostAtMs ?? Infinity) + LOST_ENTRY_GRACE_MS);
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
  markLost(entryInstanceId: string, nowMs: number): Attempt[] {
    const attempts = this.#attempts.listByEntry(entryInstanceId);
    const newlyLost = attempts.filter(({ lostAtMs }) => lostAtMs === undefined);
    for (const attempt of newlyLost) {
      attempt.lostAtMs = nowMs;
      this.#lost.add(attempt);
    }
    return newlyLost;
  }

  /** Ends the grace period of an attempt that its entry has sent again. */
  clearLost(attempt: Attempt): void {
    attempt.lostAtMs = undefined;
    this.#lost.delete(attempt);
  }

  /** Removes and returns the attempts whose grace period is over. */
  takeExpired(nowMs: number): ExpiredAttempt[] {
    const expired: ExpiredAttempt[] = [];
    for (const attempt of this.#lost) {
      const { lostAtMs = Infinity, entryInstanceId } = attempt;
      if (this.#attempts.get(attempt.attemptId) !== attempt) this.#lost.delete(attempt);
      else if (lostAtMs + LOST_ENTRY_GRACE_MS <= nowMs) {
        this.#lost.delete(attempt);
        const lastMessageAtMs = this.#lastMessageAtMs.get(entryInstanceId) ?? -Infinity;
        expired.push({ attempt, isEntryDead: lastMessageAtMs <= lostAtMs });
      }
    }
    return expired;
  }
}
