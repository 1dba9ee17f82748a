import type { IncomingMessage, ServerResponse } from 'node:http';

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
/** What a part of a dropped body counts at least, in bytes, since a part of one byte takes as long to parse as a larger one. */
const MIN_DISCARDED_BYTES = 1_024;
/** Longest time for which the body of a refused request is read and dropped, in milliseconds. */
const MAX_DISCARD_MS = 1_000;
const MS_PER_SECOND = 1_000;
const HUNDREDTHS = 100;

/** Sends the response; 408, 429 and 503 are sent only when the request has not run and never will. */
export function sendErrorResponse(response: ServerResponse, error: ErrorResponse): void {
  if (response.headersSent || response.destroyed) return;
  response.end(writeErrorHead(response, error));
}

/**
 * Sends the response to a request whose body has not been read, and reads on for a while: closing a connection with unread
 * bytes resets it, which can destroy the response on its way.
 */
export function sendEarlyErrorResponse(
  request: IncomingMessage,
  response: ServerResponse,
  error: ErrorResponse,
  maxDiscardedBytes: number,
): void {
  if (response.headersSent || response.destroyed) return;
  response.write(writeErrorHead(response, error));
  let discardedBytes = 0;
  const end = () => {
    clearTimeout(timer);
    request.off('data', handleData);
    request.off('end', end);
    request.off('close', end);
    if (!request.complete) closeAfterResponse(request, response);
    response.end();
  };
  const handleData = (chunk: Buffer) => {
    discardedBytes += Math.max(chunk.length, MIN_DISCARDED_BYTES);
    if (discardedBytes > maxDiscardedBytes) end();
  };
  const timer = setTimeout(end, MAX_DISCARD_MS);
  request.on('error', () => undefined);
  request.on('data', handleData);
  request.once('end', end);
  request.once('close', end);
  request.resume();
}

/**
 * Closes the connection as soon as the response has been written. Node's own close waits for the next turn, until which up to 2 MB of
 * the body are read and parsed.
 */
export function closeAfterResponse(request: IncomingMessage, response: ServerResponse): void {
  response.once('finish', () => {
    request.socket.destroy();
  });
}

/** Writes the head and returns the body. */
function writeErrorHead(response: ServerResponse, error: ErrorResponse): string {
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
  return body;
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
