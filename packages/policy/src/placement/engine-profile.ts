/** Speed and sizes of a model engine, as far as placement needs them. */
export interface EngineProfile {
  /** Prompt tokens read in a millisecond. */
  prefillTokensPerMs: number;
  /** Time for attention over a million pairs of tokens, in milliseconds. */
  attentionMsPerMillionPairs: number;
  /** Time of a decoding step without prompt tokens, in milliseconds. */
  stepMs: number;
  /** Most prompt tokens that one step reads. */
  chunkTokens: number;
  /** Tokens in one event of a stream, which is the number of steps between two events. */
  tokensPerEvent: number;
  /** Requests that run at the same time. */
  slots: number;
  /** Memory for tokens of running requests and cached prompts. */
  kvTokens: number;
}

/** What is assumed of an engine before anything was observed; large current engines are near it. */
export const DEFAULT_ENGINE_PROFILE: EngineProfile = {
  prefillTokensPerMs: 60,
  attentionMsPerMillionPairs: 0.5,
  stepMs: 4.5,
  chunkTokens: 2_048,
  tokensPerEvent: 5,
  slots: 64,
  kvTokens: 500_000,
};

const PAIRS_PER_MILLION = 1_000_000;

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

/** Longest pause of a running stream while `queuedPrefillMs` of prompts are read beside it, in milliseconds. */
export function estimateLongestPauseMs(profile: EngineProfile, queuedPrefillMs: number): number {
  const chunkMs = profile.chunkTokens / profile.prefillTokensPerMs;
  const readMs = Math.min(queuedPrefillMs, profile.tokensPerEvent * chunkMs * ATTENTION_FACTOR);
  return profile.tokensPerEvent * profile.stepMs + readMs;
}

/** Chunks of long prompts take longer than their linear time because of attention. */
const ATTENTION_FACTOR = 1.5;
