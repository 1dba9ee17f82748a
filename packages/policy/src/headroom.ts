import { countSlots, type TrackedServer } from './server-table';

/** Share of the shard's slots that each tier keeps free of the tiers below it. */
const DEFAULT_HEADROOM_RATIO = 0.1;

/**
 * Counts the slots that each tier uses on healthy servers and limits them to keep slots free for higher tiers.
 */
export class Headroom {
  private readonly slots: number;
  private readonly usedByTier = new Map<number, number>();

  constructor(
    private readonly tiers: readonly number[],
    healthy: readonly TrackedServer[],
    private readonly ratio: number = DEFAULT_HEADROOM_RATIO,
  ) {
    this.slots = countSlots(healthy);
    for (const { usedByTier } of healthy) {
      for (const [tier, count] of usedByTier) this.addUse(tier, count);
    }
  }

  addUse(tier: number, count = 1): void {
    this.usedByTier.set(tier, (this.usedByTier.get(tier) ?? 0) + count);
  }

  /**
   * Number of slots that the tier may still take; Infinity for the highest tier. A lower tier also counts
   * against the limits of the tiers above it, so it never starts while one of them is at its limit.
   */
  countAvailable(tier: number): number {
    let available = Infinity;
    this.tiers.forEach((limitedTier, rank) => {
      if (limitedTier > tier || rank === 0) return;
      available = Math.min(available, this.getLimit(rank) - this.countUsedFrom(limitedTier));
    });
    return Math.max(0, available);
  }

  /** Maximum number of slots for the tier and all lower tiers together. */
  getTierLimit(tier: number): number {
    return this.getLimit(this.tiers.filter((other) => other < tier).length);
  }

  /** Slot limit by rank of the tier; at least 1, so that a small shard still serves its lower tiers. */
  private getLimit(rank: number): number {
    if (rank === 0) return this.slots;
    return Math.max(1, this.slots - rank * Math.ceil(this.slots * this.ratio));
  }

  private countUsedFrom(tier: number): number {
    let count = 0;
    for (const [usedTier, tierCount] of this.usedByTier) {
      if (usedTier >= tier) count += tierCount;
    }
    return count;
  }
}
