/** Thrown when a request to the platform fails without a response, times out or gets a 5xx response. */
export class PlatformUnavailableError extends Error {
  override readonly name = 'PlatformUnavailableError';

  constructor(
    /** Operation that failed, for example `get claims/3`. */
    readonly operation: string,
    /** Time from the start of the request to its failure in milliseconds. */
    readonly elapsedMs: number,
    reason: string,
  ) {
    super(`platform unavailable: ${operation} failed after ${Math.round(elapsedMs)} ms: ${reason}`);
  }
}

/** Thrown when the platform rejects a request permanently or returns a malformed response. */
export class PlatformProtocolError extends Error {
  override readonly name = 'PlatformProtocolError';

  constructor(
    readonly operation: string,
    /** HTTP status of the response. */
    readonly status: number,
    reason: string,
  ) {
    super(`platform answered ${operation} with status ${status}: ${reason}`);
  }
}

/** Thrown when a watch is aborted through its signal. */
export class WatchAbortedError extends Error {
  override readonly name = 'WatchAbortedError';
}
