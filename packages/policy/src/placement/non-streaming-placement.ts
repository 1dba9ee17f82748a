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

/**
 * Chooses the server with the lowest cost for a non-streaming request. The cost is the expected response time,
 * multiplied by factors for failures and for servers in other failure domains. Returns undefined if there are no
 * candidates.
 */
export function chooseNonStreamingServer(
  candidates: readonly NonStreamingCandidate[],
): string | undefined {
  let best: string | undefined;
  let bestCost = Infinity;
  for (const candidate of candidates) {
    const cost = computeCost(candidate);
    if (cost >= bestCost) continue;
    best = candidate.serverId;
    bestCost = cost;
  }
  return best;
}

function computeCost(candidate: NonStreamingCandidate): number {
  const { load, slots, responseMs } = candidate;
  const occupancy = (load.waiting + load.streaming) / slots;
  const expectedMs = responseMs * (1 + occupancy * occupancy) + Math.max(0, load.overdueMs);
  const failureFactor = 1 + FAILURE_FACTOR * candidate.failureRate;
  const avoidedFactor = candidate.isAvoided ? AVOIDED_FACTOR : 1;
  return expectedMs * failureFactor * avoidedFactor * (candidate.isSameDomain ? 1 : DOMAIN_FACTOR);
}
