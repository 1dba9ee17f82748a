/** Time for which a refused request of a more urgent rank goes before others, in milliseconds. */
const URGENT_WAIT_MS = 1_000;
/** Of the requests that are admitted while more urgent ones wait, one in this number is of a less urgent rank. */
const LESS_URGENT_INTERVAL = 6;
/** Callers honor a retry delay of up to a third of their remaining time. */
const MAX_RETRY_DELAY_SHARE = 0.32;
const MIN_RETRY_DELAY_MS = 50;

/**
 * Divides the room that the limits of a service's servers leave: the most urgent rank first, a share for the others, and
 * callers that are refused come back one after the other.
 */
export class LimitedAdmission {
  private readonly refusedAtMs = new Map<number, number>();
  private admittedSinceLessUrgent = 0;
  private promisedAtMs = -Infinity;

  /** Whether a request leaves the room to more urgent ones, which were refused a short time ago. */
  hasToYield(rank: number, nowMs: number): boolean {
    if (!this.#hasMoreUrgent(rank, nowMs)) return false;
    return this.admittedSinceLessUrgent < LESS_URGENT_INTERVAL - 1;
  }

  recordAdmission(rank: number, nowMs: number): void {
    if (this.#hasMoreUrgent(rank, nowMs)) this.admittedSinceLessUrgent = 0;
    else this.admittedSinceLessUrgent += 1;
  }

  /**
   * Records a refusal and returns the time after which the caller may come back, in milliseconds.
   *
   * @param roomInMs time until there is room
   * @param intervalMs mean time between two requests for which there is room at this instance
   */
  recordRefusal(
    rank: number,
    {
      roomInMs,
      intervalMs,
      remainingMs,
    }: { roomInMs: number; intervalMs: number; remainingMs: number },
    nowMs: number,
  ): number {
    this.refusedAtMs.set(rank, nowMs);
    const maxDelayMs = Math.max(MIN_RETRY_DELAY_MS, remainingMs * MAX_RETRY_DELAY_SHARE);
    const atMs = Math.max(nowMs + roomInMs, this.promisedAtMs + intervalMs);
    if (atMs - nowMs > maxDelayMs) return maxDelayMs;
    this.promisedAtMs = atMs;
    return Math.max(MIN_RETRY_DELAY_MS, atMs - nowMs);
  }

  #hasMoreUrgent(rank: number, nowMs: number): boolean {
    for (const [refusedRank, atMs] of this.refusedAtMs) {
      if (refusedRank < rank && nowMs - atMs < URGENT_WAIT_MS) return true;
    }
    return false;
  }
}
