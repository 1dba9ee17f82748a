import type { PeerPort, Unsubscribe } from '../ports';
import type { Attempt, AttemptTable } from './attempt-table';
import { LOST_ENTRY_GRACE_MS } from './dispatcher-options';

/** An attempt whose entry did not announce it again in time. */
export interface ExpiredAttempt {
  attempt: Attempt;
  /** False when the entry is back and only no longer has this attempt. */
  isEntryDead: boolean;
}

/** Follows the links to entries that have attempts here. */
export class EntryLinks {
  readonly #peers: PeerPort;
  readonly #attempts: AttemptTable;
  readonly #lost = new Set<Attempt>();
  readonly #heardAtMs = new Map<string, number>();
  readonly #pings = new Map<string, Unsubscribe>();

  constructor(peers: PeerPort, attempts: AttemptTable) {
    this.#peers = peers;
    this.#attempts = attempts;
  }

  /** When `takeExpired` has to run next, Infinity if never. */
  getNextWakeMs(): number {
    let nextMs = Infinity;
    for (const { lostAtMs } of this.#lost) {
      nextMs = Math.min(nextMs, (lostAtMs ?? Infinity) + LOST_ENTRY_GRACE_MS);
    }
    return nextMs;
  }

  observeMessage(entryInstanceId: string, nowMs: number): void {
    this.#heardAtMs.set(entryInstanceId, nowMs);
  }

  /** Pings exactly the entries that have attempts here, because a frozen entry closes no link. */
  updatePings(): void {
    const entries = new Set(this.#attempts.listEntries());
    for (const entryInstanceId of entries) {
      if (this.#pings.has(entryInstanceId)) continue;
      this.#pings.set(entryInstanceId, this.#peers.requestPings(entryInstanceId));
    }
    for (const [entryInstanceId, stopPings] of this.#pings) {
      if (entries.has(entryInstanceId)) continue;
      stopPings();
      this.#pings.delete(entryInstanceId);
      this.#heardAtMs.delete(entryInstanceId);
    }
  }

  /** Starts the grace period of the entry's attempts and returns the ones that were not lost before. */
  markLost(entryInstanceId: string, nowMs: number): Attempt[] {
    const attempts = this.#attempts.listOfEntry(entryInstanceId);
    const newlyLost = attempts.filter(({ lostAtMs }) => lostAtMs === undefined);
    for (const attempt of newlyLost) {
      attempt.lostAtMs = nowMs;
      this.#lost.add(attempt);
    }
    return newlyLost;
  }

  /** The entry still has the attempt. */
  clearLost(attempt: Attempt): void {
    attempt.lostAtMs = undefined;
    this.#lost.delete(attempt);
  }

  takeExpired(nowMs: number): ExpiredAttempt[] {
    const expired: ExpiredAttempt[] = [];
    for (const attempt of this.#lost) {
      const { lostAtMs = Infinity, entryInstanceId } = attempt;
      if (this.#attempts.get(attempt.attemptId) !== attempt) this.#lost.delete(attempt);
      else if (lostAtMs + LOST_ENTRY_GRACE_MS <= nowMs) {
        this.#lost.delete(attempt);
        const heardAtMs = this.#heardAtMs.get(entryInstanceId) ?? -Infinity;
        expired.push({ attempt, isEntryDead: heardAtMs <= lostAtMs });
      }
    }
    return expired;
  }
}
