/** A call to a backend server that failed. */
export class BackendCallError extends Error {
  override readonly name = 'BackendCallError';

  constructor(
    /** False only when no byte of the request can have reached the server. */
    readonly isSent: boolean,
    override readonly cause: unknown,
  ) {
    super(cause instanceof Error ? cause.message : String(cause));
  }
}

// Errors of connecting. Every other error can follow the first written byte.
const NOT_SENT_CODES: ReadonlySet<string> = new Set([
  'ECONNREFUSED',
  'EHOSTUNREACH',
  'ENETUNREACH',
  'ENOTFOUND',
  'EADDRNOTAVAIL',
  'UND_ERR_CONNECT_TIMEOUT',
]);

/** Wraps an error of `undici` and decides whether bytes may have reached the server. */
export function toBackendCallError(error: unknown): BackendCallError {
  if (error instanceof BackendCallError) return error;
  const code = (error as { code?: unknown } | undefined)?.code;
  const isConnectError = typeof code === 'string' && NOT_SENT_CODES.has(code);
  return new BackendCallError(!isConnectError, error);
}
