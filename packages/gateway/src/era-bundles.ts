/**
 * Time after a new era for which the operator may not have written again what the backup lacks, in milliseconds. With an outage
 * of the store of 1 s, keys stay within the 3.75 s after which they are refused.
 */
const REWRITE_GRACE_MS = 1_000;

/**
 * Judges whether the configuration of a new era includes all that was acknowledged before. Until it has been written again, what
 * the store answers does not show that the keys in force are recent.
 */
export class EraBundles {
  private newestVersion = -Infinity;
  private unsettledUntilMs = -Infinity;

  /** Takes in that the store has returned from a backup. */
  handleNewEra(nowMs: number): void {
    this.unsettledUntilMs = nowMs + REWRITE_GRACE_MS;
  }

  /**
   * Takes in a version that the store holds.
   *
   * @param isWritten whether it has been written since the store was read before; a backup may hold an earlier version
   */
  observe(version: number, isWritten: boolean): void {
    if (isWritten && version >= this.newestVersion) this.unsettledUntilMs = -Infinity;
    this.newestVersion = Math.max(this.newestVersion, version);
  }

  /** Whether an answer of the store shows that the keys in force are recent. */
  isSettled(nowMs: number): boolean {
    return nowMs >= this.unsettledUntilMs;
  }
}
