/**
 * A watch may hear nothing for up to a second while changes are made, in milliseconds, so a proof of contact is
 * taken as that much older.
 */
const SILENT_WATCH_MS = 1_000;
/** Time for a request to get from the check to its server, in milliseconds. */
const SENDING_MARGIN_MS = 250;

/**
 * Longest wait of the watch that proves knowledge of keys, in milliseconds. An outage of the store begins with
 * knowledge up to one wait old, and each wait is a call that is paid for: 1 s lets keys in for at least the first
 * 2.75 s of an outage when revocations hold after 5 s.
 */
export const KEY_WATCH_WAIT_MS = 1_000;

/** Options of `KeyFreshness`; they are read at each use, so that a reload takes effect. */
export interface KeyFreshnessOptions {
  /** Whether keys must be refused when their revocation cannot be known. */
  isKeyRevocationStrict: boolean;
  /** Time after which a revoked key must be refused, in milliseconds. */
  keyRevocationMs: number;
}

/** Knows how old the knowledge of keys is, and when it is too old to let them in. */
export class KeyFreshness {
  private provenAtMs = -Infinity;

  constructor(private readonly options: KeyFreshnessOptions) {}

  /** All changes up to this time are known. */
  recordProof(provenAtMs: number): void {
    this.provenAtMs = Math.max(this.provenAtMs, provenAtMs);
  }

  getAgeMs(nowMs: number): number {
    return nowMs - this.provenAtMs;
  }

  /** Whether a key may be let in by what is known of it. */
  isFresh(nowMs: number): boolean {
    if (!this.options.isKeyRevocationStrict) return this.provenAtMs > -Infinity;
    return (
      this.getAgeMs(nowMs) < this.options.keyRevocationMs - SILENT_WATCH_MS - SENDING_MARGIN_MS
    );
  }
}
