/** A stream that runs on a server of the bench. */
export interface RunningStream {
  id: string;
  startedAtMs: number;
  prefillEndsAtMs: number;
  outputTokens: number;
  generatedTokens: number;
  /** Undefined until the first token. */
  firstTokenAtMs: number | undefined;
}

export interface BatchingServerOptions {
  id: string;
  slots: number;
  /** Decode rate of a single stream, in tokens per second. */
  tokensPerSecond: number;
}

/** Each further stream in the batch slows all others by this share. */
const BATCH_SLOWDOWN = 0.05;
const PREFILL_TOKENS_PER_SECOND = 8000;
const MS_PER_SECOND = 1000;
const EPSILON_TOKENS = 1e-6;

/** Token rate of a server whose batch is full, in tokens per second. */
export function computeFullRate(options: BatchingServerOptions): number {
  return (options.slots * options.tokensPerSecond) / (1 + BATCH_SLOWDOWN * (options.slots - 1));
}

/** A continuously batching server in virtual time. */
export class BatchingServer {
  readonly running = new Map<string, RunningStream>();
  isDown = false;
  /** 1 is full speed. */
  speed = 1;
  #clockMs = 0;

  constructor(readonly options: BatchingServerOptions) {}

  get freeSlots(): number {
    return this.isDown ? 0 : this.options.slots - this.running.size;
  }

  start(id: string, promptTokens: number, outputTokens: number, nowMs: number): void {
    this.#advance(nowMs);
    const prefillMs = (promptTokens / (PREFILL_TOKENS_PER_SECOND * this.speed)) * MS_PER_SECOND;
    this.running.set(id, {
      id,
      startedAtMs: nowMs,
      prefillEndsAtMs: nowMs + prefillMs,
      outputTokens,
      generatedTokens: 0,
      firstTokenAtMs: undefined,
    });
  }

  /** Removes a stream; returns it with the tokens generated so far. */
  cancel(id: string, nowMs: number): RunningStream | undefined {
    this.#advance(nowMs);
    const stream = this.running.get(id);
    this.running.delete(id);
    return stream;
  }

  setSpeed(speed: number, nowMs: number): void {
    this.#advance(nowMs);
    this.speed = speed;
  }

  /** Stops the server and returns the streams that it was running. */
  crash(nowMs: number): RunningStream[] {
    this.#advance(nowMs);
    const lost = [...this.running.values()];
    this.running.clear();
    this.isDown = true;
    return lost;
  }

  /** When the next stream gets its first token or ends; Infinity if idle. */
  getNextEventMs(): number {
    const rate = this.#getRatePerMs();
    let nextMs = Infinity;
    for (const stream of this.running.values()) {
      const startMs = Math.max(this.#clockMs, stream.prefillEndsAtMs);
      const goal = stream.firstTokenAtMs === undefined ? 1 : stream.outputTokens;
      nextMs = Math.min(nextMs, startMs + Math.max(0, goal - stream.generatedTokens) / rate);
    }
    return nextMs;
  }

  /** Runs to the given time; returns streams that got their first token and those that ended. */
  takeEvents(nowMs: number): { firstTokens: RunningStream[]; ended: RunningStream[] } {
    this.#advance(nowMs);
    const firstTokens: RunningStream[] = [];
    const ended: RunningStream[] = [];
    for (const stream of this.running.values()) {
      if (stream.firstTokenAtMs === undefined && stream.generatedTokens >= 1 - EPSILON_TOKENS) {
        stream.firstTokenAtMs = nowMs;
        firstTokens.push(stream);
      }
      if (stream.generatedTokens >= stream.outputTokens - EPSILON_TOKENS) ended.push(stream);
    }
    for (const stream of ended) this.running.delete(stream.id);
    return { firstTokens, ended };
  }

  #getRatePerMs(): number {
    const batch = Math.max(1, this.running.size);
    const perSecond =
      (this.options.tokensPerSecond * this.speed) / (1 + BATCH_SLOWDOWN * (batch - 1));
    return perSecond / MS_PER_SECOND;
  }

  #advance(nowMs: number): void {
    const rate = this.#getRatePerMs();
    for (const stream of this.running.values()) {
      const decodingMs = nowMs - Math.max(this.#clockMs, stream.prefillEndsAtMs);
      if (decodingMs > 0) stream.generatedTokens += decodingMs * rate;
    }
    this.#clockMs = nowMs;
  }
}
