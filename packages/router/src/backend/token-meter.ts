/** Measures when tokens are delivered. All times are in milliseconds of the same monotonic clock. */
export class TokenMeter {
  tokens = 0;
  firstTokenMs: number | undefined;
  longestGapMs = 0;
  #firstTokenAtMs = 0;
  #lastTokenAtMs = 0;

  constructor(readonly startedAtMs: number) {}

  /** Records the delivery of one token. */
  observeToken(nowMs: number): void {
    if (this.tokens === 0) {
      this.firstTokenMs = nowMs - this.startedAtMs;
      this.#firstTokenAtMs = nowMs;
    } else {
      this.longestGapMs = Math.max(this.longestGapMs, nowMs - this.#lastTokenAtMs);
    }
    this.#lastTokenAtMs = nowMs;
    this.tokens += 1;
  }

  /** Returns the mean time between two tokens, or undefined before the second token. */
  getMeanGapMs(): number | undefined {
    if (this.tokens < 2) return undefined;
    return (this.#lastTokenAtMs - this.#firstTokenAtMs) / (this.tokens - 1);
  }
}
