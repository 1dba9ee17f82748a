/** Time over which work counts towards a share, in milliseconds; a burst shows within about a second. */
const TIME_CONSTANT_MS = 1_500;

/** Share of a server's recent time that some work takes, as an exponentially weighted mean. */
export class UtilizationMeter {
  private share = 0;
  private updatedAtMs = 0;

  add(workMs: number, nowMs: number): void {
    this.share = this.getUtilization(nowMs) + workMs / TIME_CONSTANT_MS;
    this.updatedAtMs = nowMs;
  }

  getUtilization(nowMs: number): number {
    return this.share * Math.exp((this.updatedAtMs - nowMs) / TIME_CONSTANT_MS);
  }
}
