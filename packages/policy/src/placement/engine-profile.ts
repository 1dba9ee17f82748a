/**
 * Performance model and capacity of an inference engine, used for placement. An inference engine is the program on a
 * backend server that generates streams; each of these servers runs one engine.
 */
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
  /** Capacity of the KV cache, in tokens. Running requests and cached prompts share it. */
  kvTokens: number;
}

/** Profile assumed if nothing else is known of an engine. The values are typical of current large inference engines. */
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

const MILLION = 1_000_000;
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
  return linearMs + (pairs / MILLION) * profile.attentionMsPerMillionPairs;
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
  const chunkPairs = (chunkTokens * promptTokens) / MILLION;
  const chunkMs =
    chunkTokens / profile.prefillTokensPerMs + chunkPairs * profile.attentionMsPerMillionPairs;
  return tokensPerEvent * stepMs + Math.min(prefillMs, tokensPerEvent * chunkMs);
}
