/** Thrown when the platform did not answer, answered 5xx, or the call timed out. */
export class PlatformUnavailableError extends Error {
  override readonly name = 'PlatformUnavailableError';

  constructor(
    /** For example `get claims/3`. */
    readonly operation: string,
    /** Time spent on the call in milliseconds. */
    readonly elapsedMs: number,
    reason: string,
  ) {
    super(`platform unavailable: ${operation} failed after ${Math.round(elapsedMs)} ms: ${reason}`);
  }
}

/** Thrown when the platform refused a call for good or answered with something malformed. */
export class PlatformProtocolError extends Error {
  override readonly name = 'PlatformProtocolError';

  constructor(
    readonly operation: string,
    /** HTTP status of the answer. */
    readonly status: number,
    reason: string,
  ) {
    super(`platform answered ${operation} with status ${status}: ${reason}`);
  }
}

/** Thrown when a watch was ended through its signal. */
export class WatchAbortedError extends Error {
  override readonly name = 'WatchAbortedError';
}
