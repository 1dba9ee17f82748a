/**
 * Maximum time from a change in the store to its delivery by a watch, in milliseconds. Keys are rejected this much
 * earlier, since a sync may lack changes made less than this time before it.
 */
const MAX_WATCH_DELAY_MS = 1_000;
/** Time from the key check to the arrival of the request at its server, in milliseconds. */
const FORWARDING_MARGIN_MS = 250;

/**
 * Longest wait of the watches for team keys and for servers, in milliseconds. What an instance knows is up to one wait older when
 * an outage of the store begins, and what others know from it as well; but each wait costs a call to the store.
 */
export const KEY_WATCH_WAIT_MS = 600;

/** Options are read at each use, so that a settings reload takes effect. */
export interface KeyFreshnessOptions {
  /** Whether keys must be rejected when a revocation might not have been received yet. */
  isKeyRevocationStrict: boolean;
  /** Time after its revocation from which a key must be rejected, in milliseconds. */
  keyRevocationMs: number;
}

/** Tracks how out of date the team keys may be and whether they may still be used to accept requests. */
export class KeyFreshness {
  private syncedAtMs = -Infinity;

  /** @param checkSuspension calls `discardSync` if the process was suspended; does nothing by default */
  constructor(
    private readonly options: KeyFreshnessOptions,
    private readonly checkSuspension: () => void = () => undefined,
  ) {}

  /** Records a sync: all changes that were available to a watch at this time have been received. */
  recordSync(syncedAtMs: number): void {
    this.syncedAtMs = Math.max(this.syncedAtMs, syncedAtMs);
  }

  /** Takes in that the process was suspended, so that the age of the keys is not known any more. */
  discardSync(): void {
    this.syncedAtMs = -Infinity;
  }

  getAgeMs(nowMs: number): number {
    return nowMs - this.syncedAtMs;
  }

  /** Whether the known keys are recent enough to accept or reject requests with them. */
  isFresh(nowMs: number): boolean {
    this.checkSuspension();
    if (!this.options.isKeyRevocationStrict) return this.syncedAtMs > -Infinity;
    return (
      this.getAgeMs(nowMs) <
      this.options.keyRevocationMs - MAX_WATCH_DELAY_MS - FORWARDING_MARGIN_MS
    );
  }
}
