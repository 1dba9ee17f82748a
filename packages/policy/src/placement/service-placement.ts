import type { ServerLoad } from './server-load';

/** What is known of a server of a plain service when a request is placed. */
export interface ServiceCandidate {
  serverId: string;
  load: ServerLoad;
  slots: number;
  /** Mean time of recent answers, in milliseconds. */
  responseMs: number;
  failureRate: number;
  isAvoided: boolean;
  /** Whether the server is in the instance's failure domain. */
  isSameDomain: boolean;
}

/** A failed request costs its caller several answer times. */
const FAILURE_FACTOR = 8;
const AVOIDED_FACTOR = 100;
/** Prefers the own failure domain among servers that are about as good. */
const FAR_FACTOR = 1.1;

/** Chooses the server with the least expected time, or undefined without candidates. */
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
  const { load, slots, responseMs: answerMs } = candidate;
  const busyShare = (load.waiting + load.streaming) / slots;
  const expectedMs = answerMs * (1 + busyShare * busyShare) + Math.max(0, load.overdueMs);
  const failureFactor = 1 + FAILURE_FACTOR * candidate.failureRate;
  const avoidedFactor = candidate.isAvoided ? AVOIDED_FACTOR : 1;
  return expectedMs * failureFactor * avoidedFactor * (candidate.isSameDomain ? 1 : FAR_FACTOR);
}
