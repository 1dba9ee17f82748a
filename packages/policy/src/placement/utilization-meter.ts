/** Time constant of the moving average, in milliseconds; a burst shows within about one second. */
const TIME_CONSTANT_MS = 1_500;

/** Exponentially weighted moving average of the share of time that a server spends on some kind of work. */
export class UtilizationMeter {
  private utilization = 0;
  private updatedAtMs = 0;

  add(workMs: number, nowMs: number): void {
    this.addUtilization(computeAddedUtilization(workMs), nowMs);
  }

  /** Adds the utilization that another meter has at this time, or subtracts it if the value is negative. */
  addUtilization(utilization: number, nowMs: number): void {
    this.utilization = this.getUtilization(nowMs) + utilization;
    this.updatedAtMs = nowMs;
  }

  getUtilization(nowMs: number): number {
    return this.utilization * computeDecay(nowMs - this.updatedAtMs);
  }
}

/** Factor by which a utilization decreases in this time without further work. */
export function computeDecay(elapsedMs: number): number {
  return Math.exp(-elapsedMs / TIME_CONSTANT_MS);
}

/** Utilization that work of this duration adds at once. */
export function computeAddedUtilization(workMs: number): number {
  return workMs / TIME_CONSTANT_MS;
}
