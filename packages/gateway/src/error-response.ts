import type { ServerResponse } from 'node:http';

/** An error response of the gateway. */
export interface ErrorResponse {
  status: 400 | 401 | 404 | 408 | 413 | 429 | 431 | 502 | 503 | 504;
  reason: string;
  /** Sent as `retry-after`, in milliseconds. */
  retryAfterMs?: number;
  /** Closes the caller's connection, so that the caller's next request may reach another instance. */
  closesConnection?: boolean;
}

/** Reason of the responses of an instance that stops. */
export const SHUTDOWN_REASON = 'the instance stops';
/** Sent as `retry-after` by an instance that stops, in milliseconds; the caller's next request reaches another one. */
const SHUTDOWN_RETRY_AFTER_MS = 200;
const MS_PER_SECOND = 1_000;
const HUNDREDTHS = 100;

/** Sends the response; 429 and 503 are sent only when the request has not run and never will. */
export function sendErrorResponse(response: ServerResponse, error: ErrorResponse): void {
  if (response.headersSent || response.destroyed) return;
  const body = `${JSON.stringify({ error: error.reason })}\n`;
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  };
  if (error.retryAfterMs !== undefined) {
    headers['retry-after'] = formatRetryAfter(error.retryAfterMs);
  }
  if (error.closesConnection) headers.connection = 'close';
  response.writeHead(error.status, headers);
  response.end(body);
}

/** Makes the response to a request that an instance cannot complete before it stops. */
export function makeShutdownError(mayHaveRun: boolean): ErrorResponse {
  const base = { reason: SHUTDOWN_REASON, closesConnection: true };
  if (mayHaveRun) return { status: 502, ...base };
  return { status: 503, retryAfterMs: SHUTDOWN_RETRY_AFTER_MS, ...base };
}

/** Formats a time in seconds with two decimals, rounded up, so that no caller returns too early. */
export function formatRetryAfter(durationMs: number): string {
  return (Math.ceil((durationMs * HUNDREDTHS) / MS_PER_SECOND) / HUNDREDTHS).toFixed(2);
}
