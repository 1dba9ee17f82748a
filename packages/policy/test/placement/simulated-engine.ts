import { DEFAULT_ENGINE_PROFILE, estimateDecodeStepMs } from '../../src';
import type { EngineProfile } from '../../src';

/** A stream on a simulated engine, with the latencies that its caller observes. */
export interface SimulatedStream {
  newPromptTokens: number;
  contextTokens: number;
  outputTokens: number;
  arrivedAtMs: number;
  firstEventAtMs: number | undefined;
  longestPauseMs: number;
  onFirstEvent(): void;
  onPause(pauseMs: number): void;
  onEnd(): void;
}

interface Decoding {
  stream: SimulatedStream;
  generated: number;
  lastEventAtMs: number;
}

const MILLION = 1_000_000;

/** Simulates an inference engine with chunked prefill in virtual time. */
export class SimulatedEngine {
  /** Factor by which prefills and decode steps of this engine take longer than in the profile. */
  slowness = 1;
  private clockMs = 0;
  private readonly prefills: { stream: SimulatedStream; remainingTokens: number }[] = [];
  private readonly decoding = new Set<Decoding>();

  constructor(private readonly profile: EngineProfile = DEFAULT_ENGINE_PROFILE) {}

  /** Counts the requests that wait behind another request's prefill or for a free slot. */
  countWaiting(): number {
    const isPrefilling = this.prefills.length > 0 && this.decoding.size < this.profile.slots;
    return this.prefills.length - (isPrefilling ? 1 : 0);
  }

  isIdle(): boolean {
    return this.prefills.length + this.decoding.size === 0;
  }

  /** Prompt tokens that are queued for prefill. */
  countQueuedTokens(): number {
    return this.prefills.reduce((sum, { remainingTokens }) => sum + remainingTokens, 0);
  }

  start(stream: SimulatedStream, nowMs: number): void {
    this.advance(nowMs);
    this.clockMs = Math.max(this.clockMs, nowMs);
    this.prefills.push({ stream, remainingTokens: Math.max(1, stream.newPromptTokens) });
  }

  /** Runs steps until the given time; a step that has started runs to its end. */
  advance(untilMs: number): void {
    while (this.clockMs < untilMs && this.prefills.length + this.decoding.size > 0) this.#runStep();
  }

  #runStep(): void {
    let heldTokens = 0;
    for (const { stream } of this.decoding) heldTokens += stream.contextTokens;
    const stepMs = estimateDecodeStepMs(this.profile, this.decoding.size, heldTokens);
    this.clockMs += this.slowness * (stepMs + this.#runPrefillChunk());
    for (const entry of this.decoding) this.#generateToken(entry);
  }

  /** Prefills one chunk of the queued prompts in FIFO order and returns the time it takes, in milliseconds. */
  #runPrefillChunk(): number {
    let budgetTokens = this.profile.prefillChunkTokens;
    let prefillMs = 0;
    while (budgetTokens > 0 && this.decoding.size < this.profile.slots) {
      const prefill = this.prefills[0];
      if (prefill === undefined) break;
      const tokens = Math.min(budgetTokens, prefill.remainingTokens);
      const pairs = (tokens * prefill.stream.contextTokens) / 2 / MILLION;
      prefillMs +=
        tokens / this.profile.prefillTokensPerMs + pairs * this.profile.attentionMsPerMillionPairs;
      budgetTokens -= tokens;
      prefill.remainingTokens -= tokens;
      if (prefill.remainingTokens > 0) break;
      this.prefills.shift();
      this.decoding.add({ stream: prefill.stream, generated: 0, lastEventAtMs: 0 });
    }
    return prefillMs;
  }

  #generateToken(entry: Decoding): void {
    const { stream } = entry;
    entry.generated += 1;
    const isEnd = entry.generated >= stream.outputTokens;
    if (entry.generated % this.profile.tokensPerEvent !== 0 && !isEnd) return;
    if (stream.firstEventAtMs === undefined) {
      stream.firstEventAtMs = this.clockMs;
      stream.onFirstEvent();
    } else {
      const pauseMs = this.clockMs - entry.lastEventAtMs;
      stream.longestPauseMs = Math.max(stream.longestPauseMs, pauseMs);
      stream.onPause(pauseMs);
    }
    entry.lastEventAtMs = this.clockMs;
    if (!isEnd) return;
    this.decoding.delete(entry);
    stream.onEnd();
  }
}
