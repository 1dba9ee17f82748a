import type { ClassQueue } from './fair-queue';
import type { Headroom } from './headroom';

/** The shard's state from which waits are estimated. */
export interface WaitEstimateInput {
  classes: readonly ClassQueue[];
  /** Slots of healthy servers. */
  slots: number;
  freeSlots: number;
  headroom: Headroom;
  /** Mean service time of the shard in milliseconds; 0 before the first sample. */
  meanServiceMs: number;
}

/** Upper bound of the estimates in milliseconds; keeps them finite if the shard has no slots. */
export const MAX_WAIT_ESTIMATE_MS = 600_000;

/**
 * Estimates the wait of a new request of a tier in milliseconds, from the summed estimated service times of the
 * queued requests of the same and higher tiers and the share of starts that floors give to lower tiers.
 */
export function estimateTierWait(input: WaitEstimateInput, tier: number): number {
  let aheadCount = 0;
  let aheadMs = 0;
  let lowerFloorPercent = 0;
  for (const { settings, count, totalServiceMs } of input.classes) {
    if (count === 0) continue;
    if (settings.tier > tier) {
      lowerFloorPercent += settings.floorPercent;
      continue;
    }
    aheadCount += count;
    aheadMs += totalServiceMs;
  }
  if (aheadCount < Math.min(input.freeSlots, input.headroom.countAvailable(tier))) return 0;
  if (input.slots === 0) return MAX_WAIT_ESTIMATE_MS;
  // At least half of the starts are counted for this tier and above, whatever floors the lower tiers have.
  const tierShare = Math.max(0.5, 1 - lowerFloorPercent / 100);
  return toBoundedWait(
    (aheadMs + input.meanServiceMs) / input.headroom.getTierLimit(tier) / tierShare,
  );
}

/**
 * Estimates the wait of a new request of a class in milliseconds: the shorter of the waits by tier and by
 * floor.
 */
export function estimateClassWait(input: WaitEstimateInput, classQueue: ClassQueue): number {
  const { tier, floorPercent } = classQueue.settings;
  const tierWaitMs = estimateTierWait(input, tier);
  if (floorPercent === 0 || input.slots === 0) return tierWaitMs;
  const startIntervalMs = input.meanServiceMs / input.slots;
  const floorWaitMs = ((classQueue.count + 1) * startIntervalMs * 100) / floorPercent;
  return Math.min(tierWaitMs, toBoundedWait(floorWaitMs));
}

function toBoundedWait(waitMs: number): number {
  return Math.min(MAX_WAIT_ESTIMATE_MS, Math.round(waitMs));
}
