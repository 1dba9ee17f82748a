import { computeScore, hashName } from '../rendezvous';
import { estimateLongestPauseMs, estimatePrefillMs, estimateDecodeStepMs } from './engine-profile';
import type { EngineProfile } from './engine-profile';
import type { PromptLengthPartition } from './prompt-length-partition';
import type { ServerLoad } from './server-load';
import type { PromptPart } from './prefix-cache-tracker';

/** A stream that needs a backend server. */
export interface StreamRequest {
  promptTokens: number;
  parts: readonly PromptPart[];
  /** Expected length of the answer, in tokens. */
  outputTokens: number;
  /** Time to the first event within which the answer is on time, in milliseconds. */
  firstEventTargetMs: number;
  /** Longest pause between events within which the answer is on time, in milliseconds. */
  pauseTargetMs: number;
  /** Time that is left for the whole answer, in milliseconds. */
  remainingMs: number;
}

/** What is known of a backend server when a stream is placed. */
export interface StreamCandidate {
  serverId: string;
  load: ServerLoad;
  cachedTokens: number;
  /** Tokens at the start of the prompt that other servers can fetch from this one. */
  fetchableTokens: number;
  /** Observed time of its prefills divided by the profile's, 1 for a server as fast as the profile. */
  slowness: number;
  failureRate: number;
  isAvoided: boolean;
}

export interface StreamPlacement {
  serverId: string;
  /** Predicted time of this request's prefill, in milliseconds. */
  prefillMs: number;
  /** Server from which the chosen one should fetch cached tokens; undefined when it reads all others itself. */
  fetchFromId: string | undefined;
  /** Tokens that are fetched, 0 without a source. */
  fetchedTokens: number;
  /** Predicted time to the first event, in milliseconds. */
  firstEventMs: number;
  /** Predicted time to the end of the answer, in milliseconds. */
  completionMs: number;
}

export interface PlacementOptions {
  /** Splits the servers between short and long prompts. */
  partition: PromptLengthPartition;
  profile: EngineProfile;
  /** What a first event takes beside its prefill and its decoding, in milliseconds. */
  firstEventOverheadMs: number;
  /** Tightest pause target over the routes of the service, in milliseconds. */
  tightestPauseTargetMs: number;
}

/** Weights of the parts of a placement's cost; 1 is one request that is certainly late. */
const HOME_WEIGHT = 0.15;
/** Less than the price of reading shared parts again, so that it only decides where they are read first. */
const AFFINITY_WEIGHT = 0.1;
const EXPOSURE_WEIGHT = 0.5;
/** A stream is exposed for about a second, in which a server that reads long prompts half of its time reads one. */
const EXPOSURE_PER_LONG_SHARE = 2;
/** A server that fails half of its requests costs as much as certain lateness. */
const FAILURE_WEIGHT = 2;
/** More than all else together, so that an avoided server is used only when all are avoided. */
const AVOIDED_WEIGHT = 6;
/** Cost of prefill time while the servers are idle and, on top, while they are busy all the time. */
const IDLE_WORK_WEIGHT = 0.3;
const BUSY_WORK_WEIGHT = 3;
/** Cost of reading tokens again that another server has cached, for each `REREAD_SCALE_TOKENS`. */
const REREAD_WEIGHT = 0.12;
const REREAD_SCALE_TOKENS = 1_000;
/** Cost of fetching tokens from another server in place of reading them, for each `REREAD_SCALE_TOKENS`. */
const FETCH_WEIGHT = 0.01;
/** Fewer tokens are read as fast as they are fetched. */
const LEAST_FETCHED_TOKENS = 256;
/** Time of a fetch over a link of some 100 GB/s: a fixed part and one for each thousand tokens, in milliseconds. */
const FETCH_SETUP_MS = 3;
const FETCH_MS_PER_THOUSAND = 2;
/** A server that fails more requests than this is not fetched from. */
const MAX_SOURCE_FAILURE_SHARE = 0.2;
/** Prefill time that these weights are for, in milliseconds. */
const WORK_SCALE_MS = 500;
/** Spreads streams over servers that are otherwise alike. */
const OCCUPANCY_WEIGHT = 0.2;
const BUSY_WEIGHT = 0.15;
/** A prompt is long if its prefill alone takes this share of the tightest pause. */
const LONG_PREFILL_SHARE = 0.25;
/** Share of a target that a prediction may use up before lateness becomes likely. */
const SAFE_SHARE = 0.6;
/** Share of a pause target that a predicted pause may use up without any risk. */
const SAFE_PAUSE_SHARE = 0.5;
/** Streams beyond the slots wait until others end; an end frees a slot about every this many milliseconds. */
const SLOT_RELEASE_MS = 40;
/** Share of an engine's memory that running streams may hold before some are preempted. */
const SAFE_MEMORY_SHARE = 0.85;
const MEMORY_WEIGHT = 3;
/** Prompt by which pause sensitivity is judged, in tokens. */
const TYPICAL_LONG_PROMPT = 10_000;
/** Pause targets up to this multiple of the longest typical pause count as tight. */
const SENSITIVE_FACTOR = 1.2;
/** Decoding gets at least this share of an engine's time in predictions. */
const LEAST_DECODE_SHARE = 0.08;

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
  const isSensitive = isPauseSensitive(request.pauseTargetMs, options);
  const exposureWeight = isSensitive ? EXPOSURE_WEIGHT : 0;
  const workCostPerMs = computeWorkCost(candidates);
  const mostCachedTokens = Math.max(0, ...candidates.map(({ cachedTokens }) => cachedTokens));
  const source = chooseFetchSource(candidates);
  let best: StreamPlacement | undefined;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    const isAffine = candidate.serverId === affinityId;
    const placement = estimatePlacement(request, candidate, source, options);
    const rereadTokens = mostCachedTokens - candidate.cachedTokens - placement.fetchedTokens;
    const cost =
      computeOwnCost(request, placement) +
      computeHarm(request, candidate, placement.prefillMs, options) +
      exposureWeight * computeExposure(candidate.load) +
      computeCongestion(request, candidate.load, options.profile) +
      workCostPerMs * placement.prefillMs +
      (REREAD_WEIGHT * Math.max(0, rereadTokens) + FETCH_WEIGHT * placement.fetchedTokens) /
        REREAD_SCALE_TOKENS +
      FAILURE_WEIGHT * candidate.failureRate +
      (candidate.isAvoided ? AVOIDED_WEIGHT : 0) +
      (homes.has(candidate.serverId) ? 0 : HOME_WEIGHT) -
      (isAffine ? AFFINITY_WEIGHT : 0);
    if (cost >= bestCost) continue;
    best = placement;
    bestCost = cost;
  }
  return best;
}

/** Server time is worth more the busier all servers are: in overload each prompt read again displaces another. */
function computeWorkCost(candidates: readonly StreamCandidate[]): number {
  let busy = 0;
  for (const { load } of candidates) busy += load.shortShare + load.longShare;
  const meanBusy = Math.min(1, busy / Math.max(1, candidates.length));
  return (IDLE_WORK_WEIGHT + BUSY_WORK_WEIGHT * meanBusy * meanBusy) / WORK_SCALE_MS;
}

function estimatePlacement(
  request: StreamRequest,
  candidate: StreamCandidate,
  source: StreamCandidate | undefined,
  { profile, firstEventOverheadMs }: PlacementOptions,
): StreamPlacement {
  const { load, slowness, serverId, cachedTokens } = candidate;
  const fetchedTokens = countFetchedTokens(candidate, source);
  const keptTokens = cachedTokens + fetchedTokens;
  const prefillMs = slowness * estimatePrefillMs(profile, request.promptTokens, keptTokens);
  const waitMs =
    load.queuedPrefillMs + Math.max(0, load.overdueMs) + estimateSlotWaitMs(load, profile);
  const stepMs = slowness * estimateDecodeStepMs(profile, load.streaming, load.heldTokens);
  const decodeMs = profile.tokensPerEvent * stepMs;
  const firstEventMs =
    waitMs + estimateFetchMs(fetchedTokens) + prefillMs + firstEventOverheadMs + decodeMs;
  const decodeShare = Math.max(LEAST_DECODE_SHARE, 1 - load.shortShare - load.longShare);
  const completionMs = firstEventMs + (request.outputTokens * stepMs) / decodeShare;
  const fetchFromId = fetchedTokens > 0 ? source?.serverId : undefined;
  return { serverId, prefillMs, fetchFromId, fetchedTokens, firstEventMs, completionMs };
}

/** Tokens that the candidate would fetch from the source; it reads a few itself. */
function countFetchedTokens(
  { cachedTokens }: StreamCandidate,
  source: StreamCandidate | undefined,
): number {
  const missingTokens = (source?.fetchableTokens ?? 0) - cachedTokens;
  return missingTokens >= LEAST_FETCHED_TOKENS ? missingTokens : 0;
}

function estimateFetchMs(tokens: number): number {
  if (tokens === 0) return 0;
  return FETCH_SETUP_MS + (FETCH_MS_PER_THOUSAND * tokens) / REREAD_SCALE_TOKENS;
}

/** Server with the longest cached start of the prompt that others can fetch. */
function chooseFetchSource(candidates: readonly StreamCandidate[]): StreamCandidate | undefined {
  let best: StreamCandidate | undefined;
  for (const candidate of candidates) {
    if (candidate.isAvoided || candidate.failureRate > MAX_SOURCE_FAILURE_SHARE) continue;
    if (candidate.fetchableTokens > (best?.fetchableTokens ?? 0)) best = candidate;
  }
  return best;
}

function estimateSlotWaitMs(load: ServerLoad, profile: EngineProfile): number {
  const excess = load.streaming + load.waiting + 1 - profile.slots;
  return excess > 0 ? excess * SLOT_RELEASE_MS : 0;
}

function computeOwnCost(request: StreamRequest, placement: StreamPlacement): number {
  const lateness = computeLateness(placement.firstEventMs / request.firstEventTargetMs);
  const completionUse = placement.completionMs / request.remainingMs;
  return lateness + Math.max(0, completionUse - SAFE_SHARE);
}

/** Cost of using this share of a target: little below the safe share, 1 at the target, then slowly more. */
function computeLateness(used: number): number {
  if (used <= SAFE_SHARE) return 0.2 * used;
  return Math.min(0.12 + (used - SAFE_SHARE) * 2.2, 1 + used / 5);
}

/**
 * Expected number of running streams that the added prefill makes late. Prompts that are read together share the
 * blame by their prefill time, so a short one is not kept from a server for the sake of a long one before it.
 */
function computeHarm(
  request: StreamRequest,
  candidate: StreamCandidate,
  prefillMs: number,
  options: PlacementOptions,
): number {
  const { load, slowness } = candidate;
  if (load.pauseSensitive === 0) return 0;
  const stepMs = slowness * estimateDecodeStepMs(options.profile, load.streaming, load.heldTokens);
  const pauseMs = estimateLongestPauseMs(
    options.profile,
    stepMs,
    load.queuedPrefillMs + prefillMs,
    request.promptTokens * slowness,
  );
  const missedShare = estimateMissedShare(pauseMs / options.tightestPauseTargetMs);
  const blame = prefillMs / (load.queuedPrefillMs + prefillMs + 1);
  return load.pauseSensitive * missedShare * blame;
}

/** Probability that prompts read beside a stream with a tight pause target make it late. */
function computeExposure(load: ServerLoad): number {
  return Math.min(1, load.longShare * EXPOSURE_PER_LONG_SHARE);
}

/**
 * Share of streams that miss their pause target when the predicted pause uses up this share of it. Prompts come
 * in clumps that no instance sees in time, so pauses well below the target already count a little.
 */
function estimateMissedShare(used: number): number {
  const excess = Math.max(0, used - SAFE_PAUSE_SHARE) / (1 - SAFE_PAUSE_SHARE);
  return Math.min(1, excess * excess);
}

/** Cost of a server's occupancy to the request itself and to those that come after it. */
function computeCongestion(
  request: StreamRequest,
  load: ServerLoad,
  profile: EngineProfile,
): number {
  const occupancy = (load.streaming + load.waiting) / profile.slots;
  const held = (load.heldTokens + request.promptTokens + request.outputTokens) / profile.kvTokens;
  const memory = Math.max(0, held - SAFE_MEMORY_SHARE);
  const busy = load.shortShare + load.longShare;
  return OCCUPANCY_WEIGHT * occupancy + MEMORY_WEIGHT * memory + BUSY_WEIGHT * busy;
}

function selectHomes(
  request: StreamRequest,
  candidates: readonly StreamCandidate[],
  options: PlacementOptions,
): ReadonlySet<string> {
  const ordered = candidates.map((candidate) => candidate.serverId).sort(compareByHash);
  const shortCount = options.partition.updateShortServerCount(candidates.map(({ load }) => load));
  const isLong = isLongPrompt(request, options);
  return new Set(isLong ? ordered.slice(shortCount) : ordered.slice(0, shortCount));
}

/** Whether reading the prompt alone is a noticeable pause to the streams beside it. */
export function isLongPrompt(
  request: Pick<StreamRequest, 'promptTokens'>,
  options: PlacementOptions,
): boolean {
  const aloneMs = estimatePrefillMs(options.profile, request.promptTokens, 0);
  return aloneMs > LONG_PREFILL_SHARE * options.tightestPauseTargetMs;
}

/** Whether a long prefill beside a stream with this pause target can make it late. */
export function isPauseSensitive(pauseTargetMs: number, options: PlacementOptions): boolean {
  const { profile } = options;
  const fullPauseMs = estimateLongestPauseMs(
    profile,
    profile.baseStepMs,
    Infinity,
    TYPICAL_LONG_PROMPT,
  );
  return pauseTargetMs < SENSITIVE_FACTOR * fullPauseMs;
}

/** Every instance orders servers alike, whatever the order of its list. */
function compareByHash(a: string, b: string): number {
  return hashName(a) - hashName(b) || (a < b ? -1 : 1);
}

/**
 * The server where all instances send requests that share their last common part, while it is not too busy. The
 * last part of a prompt belongs to the request alone.
 */
function chooseAffinityServer(
  request: StreamRequest,
  homes: ReadonlySet<string>,
): string | undefined {
  const shared = request.parts.at(-2);
  if (shared === undefined) return undefined;
  const keyHash = hashName(shared.id);
  let best: string | undefined;
  let bestScore = -1;
  for (const serverId of homes) {
    const score = computeScore(keyHash, hashName(serverId));
    if (score <= bestScore) continue;
    best = serverId;
    bestScore = score;
  }
  return best;
}
