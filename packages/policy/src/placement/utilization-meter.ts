/** Time constant of the moving average, in milliseconds; a burst shows within about one second. */
const TIME_CONSTANT_MS = 1_500;

/** Exponentially weighted moving average of the share of time that a server spends on some kind of work. */
export class UtilizationMeter {
  private utilization = 0;
  private updatedAtMs = 0;

  add(workMs: number, nowMs: number): void {
    this.utilization = this.getUtilization(nowMs) + workMs / TIME_CONSTANT_MS;
    this.updatedAtMs = nowMs;
  }

  getUtilization(nowMs: number): number {
    return this.utilization * Math.exp((this.updatedAtMs - nowMs) / TIME_CONSTANT_MS);
  }
}
