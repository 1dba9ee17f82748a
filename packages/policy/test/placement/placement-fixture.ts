import { DEFAULT_ENGINE_PROFILE, PromptLengthPartition, NO_LOAD, NO_PLACED_LOAD } from '../../src';
import type {
  PlacementOptions,
  ReportedLoad,
  ServerLoad,
  StreamCandidate,
  StreamRequest,
} from '../../src';

/** A chat stream: a short prompt and a tight pause target. */
export const CHAT: StreamRequest = {
  promptTokens: 800,
  parts: [
    { id: 'system', tokens: 120 },
    { id: 'chat-subject', tokens: 80 },
    { id: 'chat-own', tokens: 600 },
  ],
  outputTokens: 290,
  firstEventTargetMs: 600,
  pauseTargetMs: 200,
  remainingMs: 15_000,
};

/** A plan stream: a long prompt whose shared parts are equal in other plans. */
export const PLAN: StreamRequest = {
  promptTokens: 12_000,
  parts: [
    { id: 'system', tokens: 500 },
    { id: 'plan-subject', tokens: 4_900 },
    { id: 'plan-own', tokens: 6_600 },
  ],
  outputTokens: 380,
  firstEventTargetMs: 2_500,
  pauseTargetMs: 800,
  remainingMs: 15_000,
};

export function makeOptions(overrides: Partial<PlacementOptions> = {}): PlacementOptions {
  return {
    partition: new PromptLengthPartition(),
    profile: DEFAULT_ENGINE_PROFILE,
    firstEventOverheadMs: 0,
    tightestPauseTargetMs: 200,
    ...overrides,
  };
}

export function makeLoad(overrides: Partial<ServerLoad> = {}): ServerLoad {
  return { ...NO_LOAD, ...overrides };
}

/** Load of a peer; none of its waiting requests has an expected first byte unless `dueInMs` says so. */
export function makeReportedLoad(overrides: Partial<ReportedLoad> = {}): ReportedLoad {
  return { ...NO_PLACED_LOAD, dueInMs: undefined, ...overrides };
}

export function makeCandidate(
  serverId: string,
  load: Partial<ServerLoad> = {},
  overrides: Partial<StreamCandidate> = {},
): StreamCandidate {
  return {
    serverId,
    load: makeLoad(load),
    cachedTokens: 0,
    fetchableTokens: 0,
    slowness: 1,
    failureRate: 0,
    isAvoided: false,
    ...overrides,
  };
}
