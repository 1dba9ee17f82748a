import { chooseEvenly } from './affinity-and-evenness';
import type { SplitCost } from './affinity-and-evenness';
import type { ServerLoad } from './server-load';

/** State of a backend server at the time of placing a non-streaming request. */
export interface NonStreamingCandidate {
  serverId: string;
  load: ServerLoad;
  slots: number;
  /** Mean response time of recent requests, in milliseconds. */
  responseMs: number;
  failureRate: number;
  isAvoided: boolean;
  /** Whether the server is in the same failure domain as this instance. */
  isSameDomain: boolean;
}

/**
 * A failure rate of 1 multiplies the cost by 1 plus this factor, because a failed request costs its caller several
 * times the response time.
 */
const FAILURE_FACTOR = 8;
/**
 * Cost factor of an avoided server. It is chosen only if all other servers are avoided too or cost more than this many
 * times as much.
 */
const AVOIDED_FACTOR = 100;
/** Cost factor of servers outside this instance's failure domain; it decides only between similar costs. */
const DOMAIN_FACTOR = 1.1;

/** What non-streaming placement knows of the requests of other instances. */
export interface NonStreamingOptions {
  /** Mean age of what is known of the requests of other instances, in milliseconds; if it is 0, the lowest cost wins. */
  reportAgeMs: number;
  /** Random number from 0 (inclusive) to 1 (exclusive). */
  random: number;
}

interface NonStreamingCost extends SplitCost {
  candidate: NonStreamingCandidate;
}

/**
 * Chooses the server with the lowest cost for a non-streaming request, taking into account what other instances have
 * probably placed since their last reports. The cost is the expected response time, multiplied by factors for failures
 * and for servers in other failure domains. Returns undefined if there are no candidates.
 */
export function chooseNonStreamingServer(
  candidates: readonly NonStreamingCandidate[],
  { reportAgeMs, random }: NonStreamingOptions = { reportAgeMs: 0, random: 0 },
): string | undefined {
  const costs = candidates.map((candidate) => ({
    ...{ candidate, cacheCost: 0 },
    loadCost: computeCost(candidate, 0),
  }));
  const unseenCost = reportAgeMs > 0 ? estimateUnseenCost(costs, reportAgeMs) : 0;
  return chooseEvenly(costs, unseenCost, random)?.candidate.serverId;
}

/**
 * Total cost increase because of the requests that others have placed since their last reports and that are still in
 * progress. As many are placed in the mean response time as are in progress, and older ones have ended.
 */
function estimateUnseenCost(costs: readonly NonStreamingCost[], reportAgeMs: number): number {
  let unseenRequests = 0;
  let cheapest: NonStreamingCost | undefined;
  for (const cost of costs) {
    const { load, responseMs } = cost.candidate;
    unseenRequests +=
      (load.waiting + load.streaming) * Math.min(1, reportAgeMs / Math.max(1, responseMs));
    if (cost.loadCost < (cheapest?.loadCost ?? Infinity)) cheapest = cost;
  }
  if (cheapest === undefined) return 0;
  // The cost grows with the square of the requests, so the increase is taken at the mean number of unseen requests.
  const perServer = Math.max(1, unseenRequests / costs.length);
  const increase = computeCost(cheapest.candidate, perServer) - cheapest.loadCost;
  return (unseenRequests / perServer) * increase;
}

function computeCost(candidate: NonStreamingCandidate, addedRequests: number): number {
  const { load, slots, responseMs } = candidate;
  const occupancy = (load.waiting + load.streaming + addedRequests) / slots;
  const expectedMs = responseMs * (1 + occupancy * occupancy) + Math.max(0, load.overdueMs);
  const failureFactor = 1 + FAILURE_FACTOR * candidate.failureRate;
  const avoidedFactor = candidate.isAvoided ? AVOIDED_FACTOR : 1;
  return expectedMs * failureFactor * avoidedFactor * (candidate.isSameDomain ? 1 : DOMAIN_FACTOR);
}
