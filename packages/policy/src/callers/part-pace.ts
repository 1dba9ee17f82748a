/** Parts that may be taken in at once beyond the rate, so that ordinary bodies are never delayed. */
const BURST_PARTS = 50_000;
const MS_PER_SECOND = 1_000;

/**
 * Bounds the rate at which parts of bodies are taken in by all requests together, since a part costs about the same processor
 * time whether it has one byte or many.
 */
export class PartPace {
  private availableParts = BURST_PARTS;
  private updatedAtMs: number;

  constructor(
    private readonly partsPerSecond: number,
    nowMs: number,
  ) {
    this.updatedAtMs = nowMs;
  }

  record(parts: number): void {
    this.availableParts -= parts;
  }

  /** Whether further parts may be read now. */
  isReadable(nowMs: number): boolean {
    const refilled = ((nowMs - this.updatedAtMs) * this.partsPerSecond) / MS_PER_SECOND;
    this.availableParts = Math.min(BURST_PARTS, this.availableParts + refilled);
    this.updatedAtMs = nowMs;
    return this.availableParts > 0;
  }
}
