import type { ServerLoad } from './server-load';

/** State of a server of a non-streaming service at the time of placing a request. */
export interface ServiceCandidate {
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

/** A failed request costs its caller several times the response time. */
const FAILURE_FACTOR = 8;
const AVOIDED_FACTOR = 100;
/** Prefers servers in this instance's failure domain if the costs are otherwise similar. */
const REMOTE_FACTOR = 1.1;

/** Chooses the server with the lowest cost. Returns undefined if there are no candidates. */
export function chooseServiceServer(candidates: readonly ServiceCandidate[]): string | undefined {
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

function computeCost(candidate: ServiceCandidate): number {
  const { load, slots, responseMs } = candidate;
  const occupancy = (load.waiting + load.streaming) / slots;
  const expectedMs = responseMs * (1 + occupancy * occupancy) + Math.max(0, load.overdueMs);
  const failureFactor = 1 + FAILURE_FACTOR * candidate.failureRate;
  const avoidedFactor = candidate.isAvoided ? AVOIDED_FACTOR : 1;
  return expectedMs * failureFactor * avoidedFactor * (candidate.isSameDomain ? 1 : REMOTE_FACTOR);
}
