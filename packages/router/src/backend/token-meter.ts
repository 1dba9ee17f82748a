/** Measures the delivery of tokens. Times in milliseconds of one monotonic clock. */
export class TokenMeter {
  tokens = 0;
  firstTokenMs: number | undefined;
  longestGapMs = 0;
  #firstAtMs = 0;
  #lastAtMs = 0;

  constructor(readonly startedAtMs: number) {}

  /** Takes in one token. */
  observeToken(nowMs: number): void {
    if (this.tokens === 0) {
      this.firstTokenMs = nowMs - this.startedAtMs;
      this.#firstAtMs = nowMs;
    } else {
      this.longestGapMs = Math.max(this.longestGapMs, nowMs - this.#lastAtMs);
    }
    this.#lastAtMs = nowMs;
    this.tokens += 1;
  }

  /** Undefined before the second token. */
  getMeanGapMs(): number | undefined {
    if (this.tokens < 2) return undefined;
    return (this.#lastAtMs - this.#firstAtMs) / (this.tokens - 1);
  }
}
