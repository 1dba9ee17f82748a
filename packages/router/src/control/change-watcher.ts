import { setTimeout as sleep } from 'node:timers/promises';

/** A value that the platform stores with an increasing version. */
export interface Versioned<T> {
  version: number;
  value: T;
}

/** Options of ChangeWatcher. */
export interface ChangeWatcherOptions<T> {
  /** Reads the current value; resolves to undefined when there is none. */
  readValue: () => Promise<Versioned<T> | undefined>;
  /**
   * Long-polls for a version above `afterVersion`; resolves to undefined when the long poll ended
   * without a change.
   */
  watchValue: (afterVersion: number, signal: AbortSignal) => Promise<Versioned<T> | undefined>;
  /** Called with each value whose version is above that of the previous value. */
  handleChange: (value: T) => Promise<void> | void;
  /** Called after each successful `readValue`, whether or not the value changed. */
  handleRead?: (value: T | undefined) => Promise<void> | void;
  handleError: (error: unknown) => void;
  /**
   * Polling interval in milliseconds; a change whose watch event is lost is detected by the next
   * successful poll.
   * @default 4_500
   */
  pollIntervalMs?: number;
  /**
   * Delay in milliseconds before the next watch after a watch that failed, or that ended without a
   * change in less than this time.
   * @default 500
   */
  retryDelayMs?: number;
}

const POLL_INTERVAL_MS = 4_500;
const RETRY_DELAY_MS = 500;

/**
 * Follows a versioned value by a watch (long poll) and by polling. The watch detects changes
 * immediately; polling limits the delay when watch events are lost.
 */
export class ChangeWatcher<T> implements AsyncDisposable {
  readonly #abortController = new AbortController();
  readonly #loops: Promise<void>[] = [];
  #version = 0;

  constructor(private readonly options: ChangeWatcherOptions<T>) {}

  start(): void {
    this.#loops.push(this.#runPollLoop(), this.#runWatchLoop());
  }

  /**
   * Reads the value immediately. Never rejects: errors are passed to `handleError`, and the result
   * is false.
   */
  async refresh(): Promise<boolean> {
    try {
      const read = await this.options.readValue();
      await this.#applyValue(read);
      await this.options.handleRead?.(read?.value);
      return true;
    } catch (error) {
      this.options.handleError(error);
      return false;
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#abortController.abort();
    await Promise.all(this.#loops);
  }

  async #runPollLoop(): Promise<void> {
    while (!this.#abortController.signal.aborted) {
      await this.refresh();
      await this.#waitFor(this.options.pollIntervalMs ?? POLL_INTERVAL_MS);
    }
  }

  async #runWatchLoop(): Promise<void> {
    const { signal } = this.#abortController;
    const retryDelayMs = this.options.retryDelayMs ?? RETRY_DELAY_MS;
    while (!signal.aborted) {
      const startedAtMs = performance.now();
      try {
        const changed = await this.options.watchValue(this.#version, signal);
        await this.#applyValue(changed);
        const hasWaited = performance.now() - startedAtMs >= retryDelayMs;
        if (changed !== undefined || hasWaited) continue;
      } catch (error) {
        if (!this.#abortController.signal.aborted) this.options.handleError(error);
      }
      // The watch of a missing object returns immediately; without a delay this would be a busy loop.
      await this.#waitFor(retryDelayMs);
    }
  }

  async #applyValue(read: Versioned<T> | undefined): Promise<void> {
    if (read === undefined || read.version <= this.#version || this.#abortController.signal.aborted)
      return;
    this.#version = read.version;
    await this.options.handleChange(read.value);
  }

  async #waitFor(delayMs: number): Promise<void> {
    await sleep(delayMs, undefined, { signal: this.#abortController.signal }).catch(
      () => undefined,
    );
  }
}
