import { setTimeout as waitFor } from 'node:timers/promises';

/** Something that the platform keeps under a rising version. */
export interface Versioned<T> {
  version: number;
  value: T;
}

/** Options of ChangeWatcher. */
export interface ChangeWatcherOptions<T> {
  /** Reads the present value; undefined when there is none. */
  readValue: () => Promise<Versioned<T> | undefined>;
  /** Waits for a version above the given one; undefined when the hold ended without a change. */
  watchValue: (afterVersion: number, signal: AbortSignal) => Promise<Versioned<T> | undefined>;
  /** Called for each version above the last one. */
  handleChange: (value: T) => Promise<void> | void;
  /** Called after each read that succeeded, with or without a change. */
  handleRead?: (value: T | undefined) => Promise<void> | void;
  handleError: (error: unknown) => void;
  /**
   * Interval of plain reads in milliseconds; a lost watch event delays a change by this much.
   * @default 4_500
   */
  pollIntervalMs?: number;
  /**
   * Wait after a watch that failed, or that ended at once without a change, in milliseconds.
   * @default 500
   */
  retryDelayMs?: number;
}

const POLL_INTERVAL_MS = 4_500;
const RETRY_DELAY_MS = 500;

/**
 * Follows a versioned value by a watch and by plain reads. The watch finds changes at once; the
 * reads bound the delay when its events are lost.
 */
export class ChangeWatcher<T> implements AsyncDisposable {
  readonly #stop = new AbortController();
  readonly #loops: Promise<void>[] = [];
  #version = 0;

  constructor(private readonly options: ChangeWatcherOptions<T>) {}

  start(): void {
    this.#loops.push(this.#runPolls(), this.#runWatches());
  }

  /** Reads the value now. Never throws; errors go to handleError. */
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
    this.#stop.abort();
    await Promise.all(this.#loops);
  }

  async #runPolls(): Promise<void> {
    while (!this.#stop.signal.aborted) {
      await this.refresh();
      await this.#waitFor(this.options.pollIntervalMs ?? POLL_INTERVAL_MS);
    }
  }

  async #runWatches(): Promise<void> {
    const { signal } = this.#stop;
    const retryDelayMs = this.options.retryDelayMs ?? RETRY_DELAY_MS;
    while (!signal.aborted) {
      const startedAt = performance.now();
      try {
        const changed = await this.options.watchValue(this.#version, signal);
        await this.#applyValue(changed);
        const isHeld = performance.now() - startedAt >= retryDelayMs;
        if (changed !== undefined || isHeld) continue;
      } catch (error) {
        if (!this.#stop.signal.aborted) this.options.handleError(error);
      }
      // A missing object ends the watch at once; without a pause this would be a busy loop.
      await this.#waitFor(retryDelayMs);
    }
  }

  async #applyValue(read: Versioned<T> | undefined): Promise<void> {
    if (read === undefined || read.version <= this.#version || this.#stop.signal.aborted) return;
    this.#version = read.version;
    await this.options.handleChange(read.value);
  }

  async #waitFor(delayMs: number): Promise<void> {
    await waitFor(delayMs, undefined, { signal: this.#stop.signal }).catch(() => undefined);
  }
}
