import type { ServerResponse } from 'node:http';

/** An answer of the gateway's own. */
export interface Refusal {
  status: 400 | 401 | 404 | 408 | 413 | 429 | 431 | 502 | 503 | 504;
  reason: string;
  /** When the caller may come back, in milliseconds. */
  retryAfterMs?: number;
  /** Ends the caller's connection, so that its next request may reach another instance. */
  closesConnection?: boolean;
}

const MS_PER_SECOND = 1_000;

/** Sends the answer; 429 and 503 are sent only when the request has not run and will not. */
export function sendRefusal(response: ServerResponse, refusal: Refusal): void {
  if (response.headersSent || response.destroyed) return;
  const body = `${JSON.stringify({ error: refusal.reason })}\n`;
  const headers: Record<string, string | number> = {
    'content-type': 'application/json',
    'content-length': Buffer.byteLength(body),
  };
  if (refusal.retryAfterMs !== undefined) {
    headers['retry-after'] = (refusal.retryAfterMs / MS_PER_SECOND).toFixed(2);
  }
  if (refusal.closesConnection) headers.connection = 'close';
  response.writeHead(refusal.status, headers);
  response.end(body);
}
