/** Performance model and capacity of an inference engine, used for placement. */
export interface EngineProfile {
  /** Prefill throughput, in prompt tokens per millisecond. */
  prefillTokensPerMs: number;
  /** Attention time per million token pairs, in milliseconds. */
  attentionMsPerMillionPairs: number;
  /** Duration of a decode step on an idle engine, in milliseconds. */
  baseStepMs: number;
  /** Additional step duration per running stream, in milliseconds. */
  stepMsPerStream: number;
  /** Additional step duration per thousand tokens of running streams, in milliseconds. */
  stepMsPerThousandTokens: number;
  /** Maximum number of prompt tokens prefilled in one step. */
  prefillChunkTokens: number;
  /** Tokens per stream event, which equals the number of steps between two events. */
  tokensPerEvent: number;
  /** Maximum number of concurrently running requests. */
  slots: number;
  /** Capacity of the KV cache for running requests and cached prompts, in tokens. */
  kvTokens: number;
}

/** Profile assumed until observations are available; it is close to that of large present-day engines. */
export const DEFAULT_ENGINE_PROFILE: EngineProfile = {
  prefillTokensPerMs: 64,
  attentionMsPerMillionPairs: 0.5,
  baseStepMs: 4.2,
  stepMsPerStream: 0.01,
  stepMsPerThousandTokens: 0.006,
  prefillChunkTokens: 2_048,
  tokensPerEvent: 5,
  slots: 64,
  kvTokens: 500_000,
};

const PAIRS_PER_MILLION = 1_000_000;
const THOUSAND = 1_000;

/** Estimates the prefill time of a prompt with `cachedTokens` in the engine's KV cache, in milliseconds. */
export function estimatePrefillMs(
  profile: EngineProfile,
  promptTokens: number,
  cachedTokens: number,
): number {
  const newTokens = Math.max(0, promptTokens - cachedTokens);
  const pairs = newTokens * (cachedTokens + newTokens / 2);
  const linearMs = newTokens / profile.prefillTokensPerMs;
  return linearMs + (pairs / PAIRS_PER_MILLION) * profile.attentionMsPerMillionPairs;
}

/** Estimates the duration of a decode step without concurrent prefill, in milliseconds. */
export function estimateDecodeStepMs(
  profile: EngineProfile,
  streams: number,
  heldTokens: number,
): number {
  return (
    profile.baseStepMs +
    profile.stepMsPerStream * streams +
    profile.stepMsPerThousandTokens * (heldTokens / THOUSAND)
  );
}

/**
 * Estimates the longest pause of a running stream during concurrent prefills, in milliseconds. The prefills take
 * `prefillMs` in total, and the longest prompt has `promptTokens`. Each step between two events prefills at most
 * one chunk.
 */
export function estimateLongestPauseMs(
  profile: EngineProfile,
  stepMs: number,
  prefillMs: number,
  promptTokens: number,
): number {
  const { prefillChunkTokens: chunkTokens, tokensPerEvent } = profile;
  const chunkPairs = (chunkTokens * promptTokens) / PAIRS_PER_MILLION;
  const chunkMs =
    chunkTokens / profile.prefillTokensPerMs + chunkPairs * profile.attentionMsPerMillionPairs;
  return tokensPerEvent * stepMs + Math.min(prefillMs, tokensPerEvent * chunkMs);
}
