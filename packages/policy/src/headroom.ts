import { countSlots, type ServerUse } from './server-table';

/** Share of the shard's slots kept free of lower tiers for each tier above them. */
const DEFAULT_HEADROOM_RATIO = 0.1;

/** Slots in use on healthy servers during one pass, by tier, against the bounds that keep headroom. */
export class Headroom {
  private readonly slots: number;
  private readonly usedByTier = new Map<number, number>();

  constructor(
    private readonly tiers: readonly number[],
    healthy: readonly ServerUse[],
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
   * Slots that the tier may still take, Infinity for the highest. A lower tier also counts against the
   * bounds of the tiers above it, so it never starts where a higher one is held back.
   */
  countOpen(tier: number): number {
    let open = Infinity;
    this.tiers.forEach((bounded, rank) => {
      if (bounded > tier || rank === 0) return;
      open = Math.min(open, this.getLimit(rank) - this.countFrom(bounded));
    });
    return Math.max(0, open);
  }

  /** Most slots for the tier and those below. */
  getTierLimit(tier: number): number {
    return this.getLimit(this.tiers.filter((other) => other < tier).length);
  }

  /** At least 1, so that a small shard serves its lower tiers. */
  private getLimit(rank: number): number {
    if (rank === 0) return this.slots;
    return Math.max(1, this.slots - rank * Math.ceil(this.slots * this.ratio));
  }

  private countFrom(tier: number): number {
    let count = 0;
    for (const [used, uses] of this.usedByTier) {
      if (used >= tier) count += uses;
    }
    return count;
  }
}
