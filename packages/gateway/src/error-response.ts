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

const MS_PER_SECOND = 1_000;

/** Sends the response; 429 and 503 are sent only when the request has not run and never will. */
export function sendErrorResponse(response: ServerResponse, error: ErrorResponse): void {
  if (response.headersSent || response.destroyed) return;
  const body = `${JSON.stringify({ error: error.reason })}\n`;
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  };
  if (error.retryAfterMs !== undefined) {
    headers['retry-after'] = (error.retryAfterMs / MS_PER_SECOND).toFixed(2);
  }
  if (error.closesConnection) headers.connection = 'close';
  response.writeHead(error.status, headers);
  response.end(body);
}
