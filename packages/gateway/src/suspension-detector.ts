/** A difference between the progress of two clocks from which the process must have been suspended, in milliseconds. */
const MIN_SUSPENSION_MS = 500;

/**
 * Detects that the process was suspended: its monotonic clock stands still meanwhile, the time of day does not. A step of the
 * time of day looks the same.
 */
export class SuspensionDetector {
  private offsetMs: number;

  /** @param readOffset difference between the time of day and the monotonic clock in milliseconds; that of the process by default */
  constructor(private readonly readOffset: () => number = () => Date.now() - performance.now()) {
    this.offsetMs = readOffset();
  }

  /** Returns whether the process may have been suspended since the last check. */
  checkSuspension(): boolean {
    const offsetMs = this.readOffset();
    const isSuspended = Math.abs(offsetMs - this.offsetMs) >= MIN_SUSPENSION_MS;
    this.offsetMs = offsetMs;
    return isSuspended;
  }
}
