const TICK_MS = 50;
/** Shorter gaps are ordinary load of the event loop, in milliseconds. */
const MIN_PAUSE_MS = 300;
/** Requests that arrived during a pause are read within this time after it, in milliseconds. */
const BACKLOG_MS = 250;

/**
 * Notices pauses of the whole process (a stopped process, a paused machine). Requests that arrive meanwhile
 * wait in the socket, where no clock of this process sees them.
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

  /** Longest time in milliseconds that a request read now may have waited; 0 without a recent pause. */
  getPausedMs(): number {
    const nowMs = performance.now();
    const sinceTickMs = nowMs - this.#lastTickMs;
    if (sinceTickMs > MIN_PAUSE_MS) return sinceTickMs;
    const sincePauseMs = nowMs - this.#pauseEndMs;
    return sincePauseMs < BACKLOG_MS ? this.#pauseMs + sincePauseMs : 0;
  }

  [Symbol.dispose](): void {
    clearInterval(this.#timer);
  }

  #observeTick(nowMs: number): void {
    const gapMs = nowMs - this.#lastTickMs;
    this.#lastTickMs = nowMs;
    if (gapMs <= MIN_PAUSE_MS) return;
    this.#pauseMs = gapMs;
    this.#pauseEndMs = nowMs;
  }
}
