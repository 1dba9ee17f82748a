const TICK_MS = 50;
/** Gap between ticks above which the process counts as paused; shorter gaps are normal event-loop delay. */
const PAUSE_THRESHOLD_MS = 300;
/** Time in milliseconds after a pause within which the requests that arrived during it are read. */
const BACKLOG_MS = 250;

/**
 * Detects pauses of the whole process (a stopped process, a suspended machine) by late timer ticks. Requests
 * that arrive during a pause wait in the socket buffer, so their arrival time is unknown.
 */
export class PauseDetector implements Disposable {
  readonly #timer: NodeJS.Timeout;
  #lastTickMs = performance.now();
  #pauseEndMs = -Infinity;
  #pauseMs = 0;

  constructor() {
    this.#timer = setInterval(() => {
      this.#observeTick(performance.now());
    }, TICK_MS);
    this.#timer.unref();
  }

  /** Upper bound in milliseconds of the wait of a request that is read now; 0 without a recent pause. */
  getPausedMs(): number {
    const nowMs = performance.now();
    const sinceTickMs = nowMs - this.#lastTickMs;
    if (sinceTickMs > PAUSE_THRESHOLD_MS) return sinceTickMs;
    const sincePauseMs = nowMs - this.#pauseEndMs;
    return sincePauseMs < BACKLOG_MS ? this.#pauseMs + sincePauseMs : 0;
  }

  [Symbol.dispose](): void {
    clearInterval(this.#timer);
  }

  #observeTick(nowMs: number): void {
    const gapMs = nowMs - this.#lastTickMs;
    this.#lastTickMs = nowMs;
    if (gapMs <= PAUSE_THRESHOLD_MS) return;
    this.#pauseMs = gapMs;
    this.#pauseEndMs = nowMs;
  }
}
