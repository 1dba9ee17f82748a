import type { Attempt } from './attempt';
import { CHARACTERS_PER_TOKEN, PrefixCache } from './prefix-cache';

/** Speeds and sizes of the modelled engine. */
export interface EngineModel {
  /**
   * Requests that run at the same time.
   * @default 8
   */
  slots: number;
  /**
   * Decode speed of a stream that runs alone, in tokens per second.
   * @default 50
   */
  tokensPerSecond: number;
  /**
   * Growth of the time per token for each further running stream, as a share of the time alone.
   * @default 0.05
   */
  batchSlowdown: number;
  /**
   * Speed of computing a prompt, in tokens per second.
   * @default 5000
   */
  prefillTokensPerSecond: number;
  /**
   * Prompt tokens whose computed prefix is kept.
   * @default 65536
   */
  prefixCacheTokens: number;
  /**
   * Tokens of running requests that fill the KV cache; only reported, as a share, in `/load`.
   * @default 65536
   */
  kvCapacityTokens: number;
}

/** Counts since the start. */
export interface EngineCounts {
  started: number;
  completed: number;
  cancelled: number;
  generatedTokens: number;
  /** Tokens that had been generated for streams that were then cancelled. */
  cancelledTokens: number;
}

const STEP_MS = 5;
/** Time after a pause of the process that still counts as work; a stopped engine generates nothing. */
const MAX_STEP_MS = 100;

/** Continuous batching in real time: up to `slots` attempts run, the others wait by priority. */
export class BatchScheduler implements Disposable {
  readonly running = new Set<Attempt>();
  readonly waiting: Attempt[] = [];
  readonly counts: EngineCounts = {
    started: 0,
    completed: 0,
    cancelled: 0,
    generatedTokens: 0,
    cancelledTokens: 0,
  };
  private slowFactor = 1;
  private readonly prefixCache: PrefixCache;
  private timer: NodeJS.Timeout | undefined;
  private lastStepMs = 0;

  /** `notifyChanged` is called when an attempt starts, waits or ends. */
  constructor(
    private readonly model: EngineModel,
    private readonly notifyChanged: () => void,
  ) {
    this.prefixCache = new PrefixCache(model.prefixCacheTokens);
  }

  /** Share of the KV cache in use, 0 to 1. */
  get kvUsed(): number {
    let tokens = 0;
    for (const attempt of this.running) tokens += attempt.promptTokens + attempt.generatedTokens;
    return Math.min(1, tokens / this.model.kvCapacityTokens);
  }

  addAttempt(attempt: Attempt): void {
    const index = this.waiting.findIndex((other) => other.input.priority > attempt.input.priority);
    this.waiting.splice(index === -1 ? this.waiting.length : index, 0, attempt);
    this.startWaiting();
  }

  /** Ends an attempt that is no longer wanted; no effect on one that ended. */
  cancelAttempt(attempt: Attempt): void {
    if (attempt.isEnded) return;
    const index = this.waiting.indexOf(attempt);
    if (index !== -1) this.waiting.splice(index, 1);
    this.running.delete(attempt);
    this.counts.cancelled += 1;
    this.counts.cancelledTokens += attempt.generatedTokens;
    attempt.end('cancelled');
    this.startWaiting();
  }

  /** Changes the speed; the time since the last step is worked off at the old one first. */
  setSlowFactor(slowFactor: number): void {
    if (this.timer !== undefined) this.runStep();
    this.slowFactor = slowFactor;
  }

  /** Stops all generation at once. */
  [Symbol.dispose](): void {
    clearInterval(this.timer);
    this.timer = undefined;
    this.running.clear();
    this.waiting.length = 0;
  }

  private startWaiting(): void {
    while (this.running.size < this.model.slots) {
      const next = this.waiting.shift();
      if (!next) break;
      this.startAttempt(next);
    }
    this.notifyChanged();
    this.setStepping(this.running.size > 0);
  }

  private startAttempt(attempt: Attempt): void {
    const { prompt } = attempt.input;
    attempt.promptTokens = Math.ceil(prompt.length / CHARACTERS_PER_TOKEN);
    attempt.cachedTokens = this.prefixCache.observePrompt(prompt);
    attempt.prefillLeft = attempt.promptTokens - attempt.cachedTokens;
    attempt.state = 'running';
    attempt.startedAtMs = Date.now();
    this.running.add(attempt);
    this.counts.started += 1;
  }

  private setStepping(isNeeded: boolean): void {
    if (!isNeeded) {
      clearInterval(this.timer);
      this.timer = undefined;
    } else if (!this.timer) {
      this.lastStepMs = performance.now();
      this.timer = setInterval(() => {
        this.runStep();
      }, STEP_MS);
    }
  }

  private runStep(): void {
    const nowMs = performance.now();
    const seconds = Math.min(nowMs - this.lastStepMs, MAX_STEP_MS) / 1000 / this.slowFactor;
    this.lastStepMs = nowMs;
    const perToken = 1 + this.model.batchSlowdown * (this.running.size - 1);
    const decodeRate = this.model.tokensPerSecond / perToken;
    for (const attempt of [...this.running]) this.runAttempt(attempt, seconds, decodeRate);
  }

  private runAttempt(attempt: Attempt, seconds: number, decodeRate: number): void {
    const prefillSeconds = attempt.prefillLeft / this.model.prefillTokensPerSecond;
    if (prefillSeconds > seconds) {
      attempt.prefillLeft -= seconds * this.model.prefillTokensPerSecond;
      return;
    }
    attempt.prefillLeft = 0;
    const before = attempt.generatedTokens;
    attempt.progress += (seconds - prefillSeconds) * decodeRate;
    const added = attempt.generatedTokens - before;
    this.counts.generatedTokens += added;
    if (attempt.generatedTokens === attempt.input.tokens.length) {
      this.running.delete(attempt);
      this.counts.completed += 1;
      attempt.end('completed');
      this.startWaiting();
    } else if (added > 0) {
      attempt.emit('change');
    }
  }
}
