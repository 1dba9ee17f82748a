import { computeScore, hashToUint32 } from '../rendezvous';
import { estimateLongestPauseMs, estimatePrefillMs } from './engine-profile';
import type { EngineProfile } from './engine-profile';
import type { ServerLoad } from './load-table';
import type { PromptPart } from './prefix-view';

/** A stream that needs a backend server. */
export interface StreamRequest {
  promptTokens: number;
  parts: readonly PromptPart[];
  /** Time to the first event within which the answer is on time, in milliseconds. */
  targetMs: number;
  /** Longest pause between events within which the answer is on time, in milliseconds. */
  pauseTargetMs: number;
  /** Time after which a first event is of no use to the caller, in milliseconds. */
  patienceMs: number;
}

/** What is known of a backend server when a stream is placed. */
export interface StreamCandidate {
  serverId: string;
  load: ServerLoad;
  cachedTokens: number;
  /** Observed time of its prefills divided by the profile's, 1 for a server as fast as the profile. */
  slowness: number;
  failureShare: number;
  isAvoided: boolean;
}

export interface StreamPlacement {
  serverId: string;
  /** Predicted time of this request's prefill, in milliseconds. */
  prefillMs: number;
  /** Predicted time to the first event, in milliseconds. */
  firstEventMs: number;
}

export interface PlacementOptions {
  profile: EngineProfile;
  /** Tightest pause target over the routes of the service, in milliseconds. */
  tightestPauseMs: number;
}

/** Weights of the parts of a placement's cost; 1 is one request that is certainly late. */
const HOME_WEIGHT = 0.25;
const AFFINITY_WEIGHT = 0.08;
const FAILURE_WEIGHT = 2;
const AVOIDED_WEIGHT = 5;
const WORK_WEIGHT = 0.3;
/** Prefill time whose cost is `WORK_WEIGHT`, in milliseconds. */
const WORK_SCALE_MS = 500;
/** Share of the servers that are home to short prompts; long ones are at home on the others. */
const SHORT_HOME_SHARE = 0.5;
/** A prompt is long if its prefill alone takes this share of the tightest pause. */
const LONG_PREFILL_SHARE = 0.25;
/** Share of a target that a prediction may use up before lateness becomes likely. */
const SAFE_SHARE = 0.6;
/** A server that holds streams counts them against those it can run, so that streams spread over the home servers. */
const OCCUPANCY_WEIGHT = 0.3;

/**
 * Chooses the server where a stream does least harm: to itself by waiting, and to the streams that run there
 * by the pauses that its prefill causes. Undefined when there is no candidate.
 */
export function choosePlacement(
  request: StreamRequest,
  candidates: readonly StreamCandidate[],
  options: PlacementOptions,
): StreamPlacement | undefined {
  const homes = selectHomes(request, candidates, options);
  const affinityId = chooseAffinityServer(request, homes);
  let best: StreamPlacement | undefined;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    const placement = predictPlacement(request, candidate, options.profile);
    const cost =
      computeLateness(placement.firstEventMs, request.targetMs) +
      computeHarm(candidate, placement.prefillMs, options) +
      WORK_WEIGHT * (placement.prefillMs / WORK_SCALE_MS) +
      OCCUPANCY_WEIGHT *
        ((candidate.load.streaming + candidate.load.waiting) / options.profile.slots) +
      FAILURE_WEIGHT * candidate.failureShare +
      (candidate.isAvoided ? AVOIDED_WEIGHT : 0) +
      (homes.has(candidate.serverId) ? 0 : HOME_WEIGHT) -
      (candidate.serverId === affinityId ? AFFINITY_WEIGHT : 0);
    if (cost >= bestCost) continue;
    best = placement;
    bestCost = cost;
  }
  return best;
}

function predictPlacement(
  request: StreamRequest,
  candidate: StreamCandidate,
  profile: EngineProfile,
): StreamPlacement {
  const { load, slowness, serverId } = candidate;
  const prefillMs =
    slowness * estimatePrefillMs(profile, request.promptTokens, candidate.cachedTokens);
  const slotWaitMs = estimateSlotWaitMs(load, profile);
  const waitMs = load.queuedPrefillMs + Math.max(0, load.overdueMs) + slotWaitMs;
  const firstEventMs = waitMs + prefillMs + slowness * profile.tokensPerEvent * profile.stepMs;
  return { serverId, prefillMs, firstEventMs };
}

/** Streams beyond the slots wait until others end; an end frees a slot about every this many milliseconds. */
const SLOT_RELEASE_MS = 40;

function estimateSlotWaitMs(load: ServerLoad, profile: EngineProfile): number {
  const excess = load.streaming + load.waiting + 1 - profile.slots;
  return excess > 0 ? excess * SLOT_RELEASE_MS : 0;
}

/** Probability that the answer is late, 0 to 1: none below the safe share of the target, certain at the target. */
function computeLateness(predictedMs: number, targetMs: number): number {
  const used = predictedMs / targetMs;
  if (used <= SAFE_SHARE) return 0.2 * used;
  return Math.min(0.12 + (used - SAFE_SHARE) * 2, 2 + used / 10);
}

/** Expected number of running streams that the added prefill makes late. */
function computeHarm(
  candidate: StreamCandidate,
  prefillMs: number,
  options: PlacementOptions,
): number {
  const { load, slowness } = candidate;
  const pauseMs =
    estimateLongestPauseMs(options.profile, load.queuedPrefillMs + prefillMs) * slowness;
  const used = pauseMs / options.tightestPauseMs;
  if (used <= SAFE_SHARE) return 0;
  return load.pauseSensitive * Math.min(1, (used - SAFE_SHARE) / (1 - SAFE_SHARE));
}

function selectHomes(
  request: StreamRequest,
  candidates: readonly StreamCandidate[],
  options: PlacementOptions,
): ReadonlySet<string> {
  const ordered = candidates.map((candidate) => candidate.serverId).sort(compareByHash);
  const shortCount = Math.max(1, Math.round(ordered.length * SHORT_HOME_SHARE));
  const isLong = isLongPrompt(request, options);
  return new Set(isLong ? ordered.slice(shortCount) : ordered.slice(0, shortCount));
}

/** Whether reading the prompt alone is a noticeable pause to the streams beside it. */
export function isLongPrompt(request: StreamRequest, options: PlacementOptions): boolean {
  const aloneMs = estimatePrefillMs(options.profile, request.promptTokens, 0);
  return aloneMs > LONG_PREFILL_SHARE * options.tightestPauseMs;
}

/** Every instance orders servers alike, whatever the order of its list. */
function compareByHash(a: string, b: string): number {
  return hashToUint32(a) - hashToUint32(b) || (a < b ? -1 : 1);
}

/** The last part belongs to the request alone; the one before it is what requests of a subject share. */
function chooseAffinityServer(
  request: StreamRequest,
  homes: ReadonlySet<string>,
): string | undefined {
  const shared = request.parts.at(-2) ?? request.parts.at(-1);
  if (shared === undefined) return undefined;
  const keyHash = hashToUint32(shared.id);
  let best: string | undefined;
  let bestScore = -1;
  for (const serverId of homes) {
    const score = computeScore(keyHash, hashToUint32(serverId));
    if (score <= bestScore) continue;
    best = serverId;
    bestScore = score;
  }
  return best;
}
