/** Speed and sizes of a model engine, as far as placement needs them. */
export interface EngineProfile {
  /** Prompt tokens read in a millisecond. */
  prefillTokensPerMs: number;
  /** Time for attention over a million pairs of tokens, in milliseconds. */
  attentionMsPerMillionPairs: number;
  /** Time of a decoding step of an empty engine, in milliseconds. */
  baseStepMs: number;
  /** Added to a step by each running stream, in milliseconds. */
  stepMsPerStream: number;
  /** Added to a step by a thousand tokens of running streams, in milliseconds. */
  stepMsPerThousandTokens: number;
  /** Most prompt tokens that one step reads. */
  prefillChunkTokens: number;
  /** Tokens in one event of a stream, which is the number of steps between two events. */
  tokensPerEvent: number;
  /** Requests that run at the same time. */
  slots: number;
  /** Memory for tokens of running requests and cached prompts. */
  kvTokens: number;
}

/** What is assumed of an engine before anything was observed; large current engines are near it. */
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

/** Time to read a prompt of which `cachedTokens` are already in the engine's memory, in milliseconds. */
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

/** Time of a decoding step beside which no prompt is read, in milliseconds. */
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
 * Longest pause of a running stream while prompts that take `prefillMs` in all are read beside it, the longest
 * of `promptTokens`, in milliseconds. Each step between two events reads one chunk at most.
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
