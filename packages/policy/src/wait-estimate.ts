import type { ClassQueue } from './fair-queue';
import type { Headroom } from './headroom';

/** State of a shard from which waits are estimated. */
export interface WaitEstimateInput {
  classes: readonly ClassQueue[];
  /** Slots of healthy servers. */
  slots: number;
  freeSlots: number;
  headroom: Headroom;
  /** Mean service time of the shard in milliseconds; 0 when nothing was observed. */
  meanServiceMs: number;
}

/** Bound of estimates in milliseconds, so that they stay finite without any slot. */
export const MAX_WAIT_ESTIMATE_MS = 600_000;

/**
 * Estimated wait of a new request of a tier in milliseconds. It counts the waiting work of the same and
 * higher tiers, and the starts that floors give to lower tiers.
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
  if (aheadCount < Math.min(input.freeSlots, input.headroom.countOpen(tier))) return 0;
  if (input.slots === 0) return MAX_WAIT_ESTIMATE_MS;
  const ownShare = Math.max(0.5, 1 - lowerFloorPercent / 100);
  return toBoundedWait(
    (aheadMs + input.meanServiceMs) / input.headroom.getTierLimit(tier) / ownShare,
  );
}

/** Estimated wait of a new request of a class: what its tier or, if shorter, its floor gives. */
export function estimateClassWait(input: WaitEstimateInput, classQueue: ClassQueue): number {
  const { tier, floorPercent } = classQueue.settings;
  const tierWaitMs = estimateTierWait(input, tier);
  if (floorPercent === 0 || input.slots === 0) return tierWaitMs;
  const startEveryMs = input.meanServiceMs / input.slots;
  const floorWaitMs = ((classQueue.count + 1) * startEveryMs * 100) / floorPercent;
  return Math.min(tierWaitMs, toBoundedWait(floorWaitMs));
}

function toBoundedWait(waitMs: number): number {
  return Math.min(MAX_WAIT_ESTIMATE_MS, Math.round(waitMs));
}
