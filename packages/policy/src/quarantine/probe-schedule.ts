import { computeScore, hashName } from '../rendezvous';
import { QUARANTINE_CRASHES } from './culprit-selection';
import type { RequestTrait } from './request-trait';

/** Time from the last crash of a trait until one request with it is sent as a probe, in milliseconds. */
const FIRST_PROBE_DELAY_MS = 10_000;
/** Each probe that crashes its server multiplies the delay of the next one. */
const PROBE_DELAY_FACTOR = 4;
const MAX_PROBE_DELAY_MS = 1_200_000;
/** Crashes this far apart are those of probes, in milliseconds. */
const MIN_PROBE_INTERVAL_MS = 0.9 * FIRST_PROBE_DELAY_MS;
/** While no request is sent as a probe, the number of instances that may send one doubles at this interval, in ms. */
const WIDENING_INTERVAL_MS = 5_000;

/** An instance and all announced ones, among which each trait has an order of its own. */
export interface RankedInstance {
  instanceId: string;
  instanceIds: readonly string[];
}

/** Number of instances that come before this one in the order of a trait; all instances derive the same order. */
export function computeInstanceRank(
  trait: RequestTrait,
  { instanceId, instanceIds }: RankedInstance,
): number {
  const traitHash = hashName(trait);
  const ownScore = computeScore(traitHash, hashName(instanceId));
  return instanceIds.filter(
    (id) => id !== instanceId && computeScore(traitHash, hashName(id)) > ownScore,
  ).length;
}

/**
 * Computes when a request with a quarantined trait may be sent as a probe. All instances derive the same time from the same
 * crashes.
 *
 * @param crashTimesMs times of the trait's crashes in ascending order, in milliseconds of the monotonic clock
 */
export function computeProbeDueAtMs(crashTimesMs: readonly number[]): number {
  const lastAtMs = crashTimesMs.at(-1) ?? -Infinity;
  const failedProbes = crashTimesMs.filter((atMs, index) => {
    const previousAtMs = crashTimesMs[index - 1];
    if (previousAtMs === undefined || index < QUARANTINE_CRASHES) return false;
    return atMs - previousAtMs >= MIN_PROBE_INTERVAL_MS;
  }).length;
  const delayMs = FIRST_PROBE_DELAY_MS * PROBE_DELAY_FACTOR ** failedProbes;
  return lastAtMs + Math.min(delayMs, MAX_PROBE_DELAY_MS);
}

/**
 * Whether this instance may send the next request with the trait as a probe. One instance may at first; the number doubles as
 * long as no probe is sent, since the instance may have stopped or get no such request.
 */
export function isProber(
  trait: RequestTrait,
  dueAtMs: number,
  instance: RankedInstance,
  nowMs: number,
): boolean {
  if (nowMs < dueAtMs) return false;
  const proberCount = 2 ** Math.floor((nowMs - dueAtMs) / WIDENING_INTERVAL_MS);
  return computeInstanceRank(trait, instance) < proberCount;
}
