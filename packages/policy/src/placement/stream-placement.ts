import { compareByHash, computeScore, hashName } from '../rendezvous';
import {
  AFFINITY_WEIGHT,
  chooseEvenly,
  FETCH_WEIGHT,
  RECOMPUTE_WEIGHT,
} from './affinity-and-evenness';
import type { SplitCost } from './affinity-and-evenness';
import { estimateLongestPauseMs, estimatePrefillMs, estimateDecodeStepMs } from './engine-profile';
import type { EngineProfile } from './engine-profile';
import type { PromptLengthPartition } from './prompt-length-partition';
import type { ServerLoad } from './server-load';
import type { PromptPart } from './prefix-cache-tracker';
import { computeAddedUtilization } from './utilization-meter';

/** A stream that needs a backend server. */
export interface StreamRequest {
  promptTokens: number;
  parts: readonly PromptPart[];
  /** Expected length of the response, in tokens. */
  outputTokens: number;
  /** Latency target for the first event, in milliseconds. */
  firstEventTargetMs: number;
  /** Target for the longest pause between two events, in milliseconds. */
  pauseTargetMs: number;
  /** Time left for the whole response, in milliseconds. */
  remainingMs: number;
}

/** State of a backend server at the time of placing a stream. */
export interface StreamCandidate {
  serverId: string;
  load: ServerLoad;
  cachedTokens: number;
  /** Tokens of the prompt's prefix that other servers can fetch from this server's cache. */
  fetchableTokens: number;
  /** Factor by which prefills and decode steps on this server take longer than in the profile. */
  slowness: number;
  failureRate: number;
  isAvoided: boolean;
}

export interface StreamPlacement {
  serverId: string;
  /** Predicted time of this request's prefill, in milliseconds. */
  prefillMs: number;
  /** Server to fetch cached tokens from; undefined when the chosen server prefills all uncached tokens itself. */
  fetchFromId: string | undefined;
  /** Number of tokens to fetch; 0 if `fetchFromId` is undefined. */
  fetchedTokens: number;
  /** Predicted time to the first event, in milliseconds. */
  firstEventMs: number;
  /** Predicted time to the end of the response, in milliseconds. */
  completionMs: number;
  /** Whether another server had a lower cost by the reports, but probably got requests of other instances since. */
  isEvenedOut: boolean;
}

export interface PlacementOptions {
  /** Partition of the servers between short and long prompts, used without `scope`. */
  partition: PromptLengthPartition;
  profile: EngineProfile;
  /** First-event overhead: time to a first event besides waiting, fetching, prefill and decoding, in milliseconds. */
  firstEventOverheadMs: number;
  /** Lowest pause target among the service's routes, in milliseconds. */
  tightestPauseTargetMs: number;
  /** What is known of all servers; without it, the candidates are all servers. */
  scope?: PlacementScope;
  /**
   * Mean age of what is known of the requests of other instances, in milliseconds; without it, or if it is 0, the
   * lowest cost wins.
   */
  reportAgeMs?: number;
  /** Random number from 0 (inclusive) to 1 (exclusive). */
  random?: number;
}

/** What the placement of one request needs to know of all servers of the service. */
export interface PlacementScope {
  /** Whether the server is in the partition for the request's kind of prompt, short or long. */
  isInPartition(serverId: string): boolean;
  /** Server whose cost is reduced for requests with the same last shared part. */
  affinityId: string | undefined;
  /** Mean utilization of all servers by prefills, from 0 to 1. */
  meanUtilization: number;
}

// Weights of the terms of a placement's cost; a cost of 1 corresponds to one request that is certain to miss its
// target.

/** Cost of a server outside the partition for the request's kind of prompt, short or long. */
const OUTSIDE_PARTITION_WEIGHT = 0.15;
/** Cost for a pause-sensitive stream if a long prefill is certain to start while the stream is decoded. */
const PREFILL_RISK_WEIGHT = 0.5;
/**
 * Factor from a server's utilization by long prefills to the probability that a long prefill starts while a stream is
 * decoded. A stream is exposed to such prefills for about one second; at a utilization of 0.5, one long prefill is
 * expected in that time.
 */
const PREFILL_RISK_PER_LONG_SHARE = 2;
/** A failure rate of one half costs as much as a request that is certain to miss its target. */
const FAILURE_WEIGHT = 2;
/** Exceeds all other terms together, so that an avoided server is chosen only when all servers are avoided. */
const AVOIDED_WEIGHT = 6;
/** Cost of prefill time on idle servers, and the additional cost at full utilization, per `PREFILL_SCALE_MS`. */
const IDLE_PREFILL_WEIGHT = 0.3;
const BUSY_PREFILL_WEIGHT = 3;
const THOUSAND = 1_000;
/** Below this number of tokens, a prefill is as fast as a fetch. */
const MIN_FETCHED_TOKENS = 256;
/** Fetch time over a link of about 100 GB/s, in milliseconds: a fixed part, and a part per thousand tokens. */
const FETCH_SETUP_MS = 3;
const FETCH_MS_PER_THOUSAND_TOKENS = 2;
/** Servers with a higher failure rate are not used as a fetch source. */
const MAX_SOURCE_FAILURE_RATE = 0.2;
/** Prefill time to which `IDLE_PREFILL_WEIGHT` and `BUSY_PREFILL_WEIGHT` apply, in milliseconds. */
const PREFILL_SCALE_MS = 500;
/** Cost at full slot occupancy; it spreads streams over servers whose other costs are equal. */
const OCCUPANCY_WEIGHT = 0.2;
/** Cost at full utilization by prefills. */
const UTILIZATION_WEIGHT = 0.15;
/** A prompt is long if its prefill takes more than this share of the tightest pause target. */
const LONG_PREFILL_SHARE = 0.25;
/**
 * If the predicted latency is at most this share of its target, the target is unlikely to be missed. Applies to the
 * first event's target and, for the whole response, to the remaining time.
 */
const SAFE_TARGET_SHARE = 0.6;
/** If the predicted pause is at most this share of the pause target, the target is not at risk. */
const SAFE_PAUSE_TARGET_SHARE = 0.5;
/**
 * Mean interval at which streams end on a server whose slots are all used, in milliseconds; streams beyond the slots
 * wait for a free slot.
 */
const SLOT_RELEASE_INTERVAL_MS = 40;
/** Share of an engine's KV cache above which the engine preempts running streams. */
const SAFE_KV_CACHE_SHARE = 0.85;
/** Cost per share of the KV cache by which a placement exceeds `SAFE_KV_CACHE_SHARE`. */
const KV_CACHE_WEIGHT = 3;
/** Prompt length for which pause sensitivity is determined, in tokens. */
const TYPICAL_LONG_PROMPT_TOKENS = 10_000;
/**
 * Streams are pause-sensitive if their pause target is below this multiple of the longest pause during the prefill of
 * a typical long prompt.
 */
const PAUSE_SENSITIVE_FACTOR = 1.2;
/** Minimum share of an engine's time that predictions assume for decoding. */
const MIN_DECODE_SHARE = 0.08;

/** Cost of a candidate and the placement that results if it is chosen. */
interface CandidateCost extends SplitCost {
  candidate: StreamCandidate;
  placement: EstimatedPlacement;
}

type EstimatedPlacement = Omit<StreamPlacement, 'isEvenedOut'>;

/** What the costs of all candidates for one request have in common. */
interface CostContext {
  request: StreamRequest;
  options: PlacementOptions;
  scope: PlacementScope;
  fetchSource: StreamCandidate | undefined;
  prefillRiskWeight: number;
  prefillCostPerMs: number;
  maxCachedTokens: number;
}

/**
 * Chooses the server with the lowest cost, taking into account what other instances have probably placed since their
 * last reports. The cost includes the predicted latency of the stream and the pauses that its prefill causes in the
 * server's running streams. Returns undefined if there are no candidates.
 */
export function choosePlacement(
  request: StreamRequest,
  candidates: readonly StreamCandidate[],
  options: PlacementOptions,
): StreamPlacement | undefined {
  const scope = options.scope ?? makeScope(request, candidates, options);
  const isSensitive = isPauseSensitive(request.pauseTargetMs, options);
  let maxCachedTokens = 0;
  for (const { cachedTokens } of candidates) {
    maxCachedTokens = Math.max(maxCachedTokens, cachedTokens);
  }
  const context: CostContext = {
    ...{ request, options, scope, maxCachedTokens },
    fetchSource: chooseFetchSource(candidates),
    prefillRiskWeight: isSensitive ? PREFILL_RISK_WEIGHT : 0,
    prefillCostPerMs: computePrefillCostPerMs(scope.meanUtilization),
  };
  const costs = candidates.map((candidate) => computeSplitCost(candidate, context));
  const unseenCost = estimateUnseenCost(costs, context);
  const chosen = chooseEvenly(costs, unseenCost, options.random ?? 0);
  if (chosen === undefined) return undefined;
  const chosenCost = chosen.loadCost + chosen.cacheCost;
  const isEvenedOut = costs.some(({ loadCost, cacheCost }) => loadCost + cacheCost < chosenCost);
  return { ...chosen.placement, isEvenedOut };
}

function computeSplitCost(candidate: StreamCandidate, context: CostContext): CandidateCost {
  const { request, options, scope, fetchSource, maxCachedTokens } = context;
  const placement = estimatePlacement(request, candidate, fetchSource, options);
  const totalLoadCost = computeLoadCost(candidate, placement, context);
  let loadCost = totalLoadCost;
  if (candidate.cachedTokens > 0) {
    const uncached = { ...candidate, cachedTokens: 0 };
    const uncachedPlacement = estimatePlacement(request, uncached, fetchSource, options);
    loadCost = computeLoadCost(uncached, uncachedPlacement, context);
  }
  const recomputedTokens = maxCachedTokens - candidate.cachedTokens - placement.fetchedTokens;
  const cacheCost =
    (RECOMPUTE_WEIGHT * Math.max(0, recomputedTokens) + FETCH_WEIGHT * placement.fetchedTokens) /
      THOUSAND -
    (candidate.serverId === scope.affinityId ? AFFINITY_WEIGHT : 0);
  return { candidate, placement, loadCost, cacheCost: cacheCost + totalLoadCost - loadCost };
}

/** Cost of a placement without what depends on the servers that have parts of the prompt cached. */
function computeLoadCost(
  candidate: StreamCandidate,
  placement: EstimatedPlacement,
  { request, options, scope, prefillRiskWeight, prefillCostPerMs }: CostContext,
): number {
  return (
    computeRequestCost(request, placement) +
    computeInterferenceCost(request, candidate, placement.prefillMs, options) +
    prefillRiskWeight * estimatePrefillRisk(candidate.load) +
    computeOccupancyCost(request, candidate.load, options.profile) +
    prefillCostPerMs * placement.prefillMs +
    FAILURE_WEIGHT * candidate.failureRate +
    (candidate.isAvoided ? AVOIDED_WEIGHT : 0) +
    (scope.isInPartition(candidate.serverId) ? 0 : OUTSIDE_PARTITION_WEIGHT)
  );
}

/**
 * Total cost increase at the candidates because of requests of the same kind of prompt that other instances have
 * placed there since their last reports. Their number follows from the utilization by that kind and the age of the
 * reports; each is taken to be like this request.
 */
function estimateUnseenCost(costs: readonly CandidateCost[], context: CostContext): number {
  const { request, options } = context;
  const reportAgeMs = options.reportAgeMs ?? 0;
  const cheapest = findCheapest(costs);
  if (reportAgeMs <= 0 || cheapest === undefined) return 0;
  const isLong = isLongPrompt(request, options);
  let utilization = 0;
  for (const { candidate } of costs) {
    utilization += isLong ? candidate.load.longShare : candidate.load.shortShare;
  }
  const { candidate, placement } = cheapest;
  const { prefillMs } = placement;
  const unseenRequests = (utilization * reportAgeMs) / Math.max(1, prefillMs);
  const added = computeAddedUtilization(prefillMs);
  const { load } = candidate;
  const loaded: StreamCandidate = {
    ...candidate,
    load: {
      ...load,
      queuedPrefillMs: load.queuedPrefillMs + prefillMs,
      waiting: load.waiting + 1,
      heldTokens: load.heldTokens + request.promptTokens + request.outputTokens,
      shortShare: load.shortShare + (isLong ? 0 : added),
      longShare: load.longShare + (isLong ? added : 0),
    },
  };
  const loadedPlacement = estimatePlacement(request, loaded, context.fetchSource, options);
  const increase =
    computeLoadCost(loaded, loadedPlacement, context) -
    computeLoadCost(candidate, placement, context);
  return unseenRequests * Math.max(0, increase);
}

function findCheapest(costs: readonly CandidateCost[]): CandidateCost | undefined {
  let cheapest: CandidateCost | undefined;
  for (const cost of costs) {
    if (cost.loadCost < (cheapest?.loadCost ?? Infinity)) cheapest = cost;
  }
  return cheapest;
}

/** Scope of a request whose candidates are all servers of the service. */
function makeScope(
  request: StreamRequest,
  candidates: readonly StreamCandidate[],
  options: PlacementOptions,
): PlacementScope {
  const partitionServerIds = selectPartitionServers(request, candidates, options);
  return {
    isInPartition: (serverId) => partitionServerIds.has(serverId),
    affinityId: chooseAffinityServer(request, partitionServerIds),
    meanUtilization: computeMeanUtilization(candidates),
  };
}

function computeMeanUtilization(candidates: readonly StreamCandidate[]): number {
  let totalUtilization = 0;
  for (const { load } of candidates) totalUtilization += load.shortShare + load.longShare;
  return Math.min(1, totalUtilization / Math.max(1, candidates.length));
}

/** Prefill time costs more at higher utilization: under overload, each repeated prefill displaces another request. */
function computePrefillCostPerMs(utilization: number): number {
  return (IDLE_PREFILL_WEIGHT + BUSY_PREFILL_WEIGHT * utilization * utilization) / PREFILL_SCALE_MS;
}

function estimatePlacement(
  request: StreamRequest,
  candidate: StreamCandidate,
  source: StreamCandidate | undefined,
  { profile, firstEventOverheadMs }: PlacementOptions,
): EstimatedPlacement {
  const { load, slowness, serverId, cachedTokens } = candidate;
  const fetchedTokens = countFetchedTokens(candidate, source);
  const reusedTokens = cachedTokens + fetchedTokens;
  const prefillMs = slowness * estimatePrefillMs(profile, request.promptTokens, reusedTokens);
  const waitMs =
    load.queuedPrefillMs + Math.max(0, load.overdueMs) + estimateSlotWaitMs(load, profile);
  const stepMs = slowness * estimateDecodeStepMs(profile, load.streaming, load.heldTokens);
  const decodeMs = profile.tokensPerEvent * stepMs;
  const firstEventMs =
    waitMs + estimateFetchMs(fetchedTokens) + prefillMs + firstEventOverheadMs + decodeMs;
  const decodeShare = Math.max(MIN_DECODE_SHARE, 1 - load.shortShare - load.longShare);
  const completionMs = firstEventMs + (request.outputTokens * stepMs) / decodeShare;
  const fetchFromId = fetchedTokens > 0 ? source?.serverId : undefined;
  return { serverId, prefillMs, fetchFromId, fetchedTokens, firstEventMs, completionMs };
}

/** Number of tokens that the candidate would fetch; fewer than `MIN_FETCHED_TOKENS` are prefilled instead. */
function countFetchedTokens(
  { cachedTokens }: StreamCandidate,
  source: StreamCandidate | undefined,
): number {
  const missingTokens = (source?.fetchableTokens ?? 0) - cachedTokens;
  return missingTokens >= MIN_FETCHED_TOKENS ? missingTokens : 0;
}

function estimateFetchMs(tokens: number): number {
  if (tokens === 0) return 0;
  return FETCH_SETUP_MS + (FETCH_MS_PER_THOUSAND_TOKENS * tokens) / THOUSAND;
}

/** Chooses the server with the longest cached prefix of the prompt that other servers can fetch. */
function chooseFetchSource(candidates: readonly StreamCandidate[]): StreamCandidate | undefined {
  let best: StreamCandidate | undefined;
  for (const candidate of candidates) {
    if (candidate.isAvoided || candidate.failureRate > MAX_SOURCE_FAILURE_RATE) continue;
    if (candidate.fetchableTokens > (best?.fetchableTokens ?? 0)) best = candidate;
  }
  return best;
}

function estimateSlotWaitMs(load: ServerLoad, profile: EngineProfile): number {
  const excessStreams = load.streaming + load.waiting + 1 - profile.slots;
  return excessStreams > 0 ? excessStreams * SLOT_RELEASE_INTERVAL_MS : 0;
}

function computeRequestCost(request: StreamRequest, placement: EstimatedPlacement): number {
  const firstEventCost = computeTargetCost(placement.firstEventMs / request.firstEventTargetMs);
  const completionShare = placement.completionMs / request.remainingMs;
  return firstEventCost + Math.max(0, completionShare - SAFE_TARGET_SHARE);
}

/**
 * Cost of using this share of a target: low up to the safe share, 1 at the target, increasing slowly above 1.1 times
 * the target.
 */
function computeTargetCost(usedShare: number): number {
  if (usedShare <= SAFE_TARGET_SHARE) return 0.2 * usedShare;
  return Math.min(0.12 + (usedShare - SAFE_TARGET_SHARE) * 2.2, 1 + usedShare / 5);
}

/**
 * Expected number of running streams that miss their pause target because of the added prefill. A pause is
 * attributed to the prompts that cause it in proportion to their prefill time, so that a long prompt in the queue
 * does not keep a short prompt away from the server.
 */
function computeInterferenceCost(
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
  const attributedShare = prefillMs / (load.queuedPrefillMs + prefillMs + 1);
  return load.pauseSensitive * missedShare * attributedShare;
}

/** Probability that a long prefill starts on the server while a stream is decoded. */
function estimatePrefillRisk(load: ServerLoad): number {
  return Math.min(1, load.longShare * PREFILL_RISK_PER_LONG_SHARE);
}

/**
 * Share of streams that miss their pause target when the predicted pause is this share of the target. Prompts
 * arrive in bursts that no instance can see in time, so pauses well below the target already have a small cost.
 */
function estimateMissedShare(usedShare: number): number {
  const excess = Math.max(0, usedShare - SAFE_PAUSE_TARGET_SHARE) / (1 - SAFE_PAUSE_TARGET_SHARE);
  return Math.min(1, excess * excess);
}

/** Cost of a server's slot, KV cache and time utilization to this request and to later requests. */
function computeOccupancyCost(
  request: StreamRequest,
  load: ServerLoad,
  profile: EngineProfile,
): number {
  const occupancy = (load.streaming + load.waiting) / profile.slots;
  const kvCacheShare =
    (load.heldTokens + request.promptTokens + request.outputTokens) / profile.kvTokens;
  const excess = Math.max(0, kvCacheShare - SAFE_KV_CACHE_SHARE);
  const utilization = load.shortShare + load.longShare;
  return OCCUPANCY_WEIGHT * occupancy + KV_CACHE_WEIGHT * excess + UTILIZATION_WEIGHT * utilization;
}

/** Selects the servers of the partition for the request's kind of prompt, short or long. */
function selectPartitionServers(
  request: StreamRequest,
  candidates: readonly StreamCandidate[],
  options: PlacementOptions,
): ReadonlySet<string> {
  const orderedIds = candidates.map((candidate) => candidate.serverId).sort(compareByHash);
  const shortServerCount = options.partition.updateShortServerCount(
    candidates.map(({ load }) => load),
  );
  const isLong = isLongPrompt(request, options);
  return new Set(
    isLong ? orderedIds.slice(shortServerCount) : orderedIds.slice(0, shortServerCount),
  );
}

/** Whether the prompt's prefill alone causes a noticeable pause in the server's running streams. */
export function isLongPrompt(
  request: Pick<StreamRequest, 'promptTokens'>,
  options: Pick<PlacementOptions, 'profile' | 'tightestPauseTargetMs'>,
): boolean {
  const prefillMs = estimatePrefillMs(options.profile, request.promptTokens, 0);
  return prefillMs > LONG_PREFILL_SHARE * options.tightestPauseTargetMs;
}

/** Whether a long prefill on the same server can make a stream with this pause target miss the target. */
export function isPauseSensitive(
  pauseTargetMs: number,
  options: Pick<PlacementOptions, 'profile'>,
): boolean {
  const { profile } = options;
  const longestPauseMs = estimateLongestPauseMs(
    profile,
    profile.baseStepMs,
    Infinity,
    TYPICAL_LONG_PROMPT_TOKENS,
  );
  return pauseTargetMs < PAUSE_SENSITIVE_FACTOR * longestPauseMs;
}

/**
 * Chooses by rendezvous hashing the server whose cost is reduced for requests with the same last shared part. All
 * instances with the same partition choose the same server. The last part of a prompt is specific to the request, so
 * the second to last part is the key.
 */
function chooseAffinityServer(
  request: StreamRequest,
  partitionServerIds: ReadonlySet<string>,
): string | undefined {
  const sharedPart = request.parts.at(-2);
  if (sharedPart === undefined) return undefined;
  const keyHash = hashName(sharedPart.id);
  let best: string | undefined;
  let bestScore = -1;
  for (const serverId of partitionServerIds) {
    const score = computeScore(keyHash, hashName(serverId));
    if (score <= bestScore) continue;
    best = serverId;
    bestScore = score;
  }
  return best;
}
