/** Error of a failed call to a backend server. */
export class BackendCallError extends Error {
  override readonly name = 'BackendCallError';

  constructor(
    /** False only if no byte of the request can have reached the server. */
    readonly isSent: boolean,
    override readonly cause: unknown,
  ) {
    super(cause instanceof Error ? cause.message : String(cause));
  }
}

// Codes of errors that occur while connecting. Any other error may occur after the first byte was written.
const CONNECT_ERROR_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Wraps an error of `undici` and sets `isSent` by its code. */
export function toBackendCallError(error: unknown): BackendCallError {
  if (error instanceof BackendCallError) return error;
  const code = (error as { code?: unknown } | undefined)?.code;
  const isConnectError = typeof code === 'string' && CONNECT_ERROR_CODES.has(code);
  return new BackendCallError(!isConnectError, error);
}
