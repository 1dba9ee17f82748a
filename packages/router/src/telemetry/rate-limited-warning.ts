import type { LogPort } from '../ports';

const MIN_INTERVAL_MS = 60_000;

/** Logs a repeated failure at most once a minute, with the number of suppressed warnings. */
export class RateLimitedWarning {
  #lastAtMs = Number.NEGATIVE_INFINITY;
  #suppressed = 0;

  constructor(
    readonly log: Pick<LogPort, 'warn'>,
    readonly message: string,
  ) {}

  report(reason: string, nowMs = performance.now()): void {
    if (nowMs - this.#lastAtMs < MIN_INTERVAL_MS) {
      this.#suppressed += 1;
      return;
    }
    this.log.warn(this.message, { reason, suppressed: this.#suppressed });
    this.#lastAtMs = nowMs;
    this.#suppressed = 0;
  }
}
