/**
 * Maximum time from a change in the store to its delivery by a watch, in milliseconds. Keys are rejected this much
 * earlier, since a sync may lack changes made less than this time before it.
 */
const MAX_WATCH_DELAY_MS = 1_000;
/** Time from the key check to the arrival of the request at its server, in milliseconds. */
const FORWARDING_MARGIN_MS = 250;

/**
 * Longest wait of the watch that receives team keys, in milliseconds. When an outage of the store begins, the keys
 * are up to one wait old, so with a shorter wait they are accepted for longer; but each wait costs one call to the
 * store. With a wait of 1 s and a `keyRevocationMs` of 5 s, keys are accepted for at least the first 2.75 s of an
 * outage.
 */
export const KEY_WATCH_WAIT_MS = 1_000;

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

  constructor(private readonly options: KeyFreshnessOptions) {}

  /** Records a sync: all changes that were available to a watch at this time have been received. */
  recordSync(syncedAtMs: number): void {
    this.syncedAtMs = Math.max(this.syncedAtMs, syncedAtMs);
  }

  getAgeMs(nowMs: number): number {
    return nowMs - this.syncedAtMs;
  }

  /** Whether the known keys are recent enough to accept or reject requests with them. */
  isFresh(nowMs: number): boolean {
    if (!this.options.isKeyRevocationStrict) return this.syncedAtMs > -Infinity;
    return (
      this.getAgeMs(nowMs) <
      this.options.keyRevocationMs - MAX_WATCH_DELAY_MS - FORWARDING_MARGIN_MS
    );
  }
}
