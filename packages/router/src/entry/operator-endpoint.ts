import { createHmac, timingSafeEqual } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { parseBearerToken } from './caller-identity';
import type { EntryOptions } from './entry-options';

const OUTCOMES_PREFIX = '/admin/outcomes/';
/** Age of the oldest outcome that is listed when `sinceMs` is missing. */
const DEFAULT_OUTCOME_AGE_MS = 3_600_000;

/** Computes the bearer token for operators: HMAC-SHA256 of `operator` with the cluster key, hex. */
export function computeOperatorToken(clusterKey: string): string {
  return createHmac('sha256', clusterKey).update('operator').digest('hex');
}

/** Serves a request below /admin/; requires the operator token. */
export async function serveOperatorRequest(
  options: EntryOptions,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  if (!isOperator(options, request)) {
    sendJson(response, 401, { error: { code: 'unauthorized', message: 'operator token needed' } });
    return;
  }
  if (request.method !== 'GET') {
    sendJson(response, 404, { error: { code: 'not_found', message: 'only GET is served' } });
    return;
  }
  const url = new URL(request.url ?? '/', 'http://localhost');
  if (url.pathname === '/admin/status') {
    sendJson(response, 200, options.describeStatus?.() ?? {});
    return;
  }
  if (url.pathname === '/admin/outcomes') {
    serveRecentOutcomes(options, url, response);
    return;
  }
  if (url.pathname.startsWith(OUTCOMES_PREFIX)) {
    const requestId = url.pathname.slice(OUTCOMES_PREFIX.length);
    sendJson(response, 200, { records: await options.outcomes.findOutcomes(requestId) });
    return;
  }
  sendJson(response, 404, { error: { code: 'not_found', message: 'unknown operator path' } });
}

function serveRecentOutcomes(options: EntryOptions, url: URL, response: ServerResponse): void {
  const sinceMs = Number(url.searchParams.get('sinceMs') ?? Date.now() - DEFAULT_OUTCOME_AGE_MS);
  if (!Number.isFinite(sinceMs)) {
    const message = 'sinceMs must be a Unix time in milliseconds';
    sendJson(response, 400, { error: { code: 'bad_request', message } });
    return;
  }
  sendJson(response, 200, { records: options.outcomes.listRecent(sinceMs) });
}

function isOperator(options: EntryOptions, request: IncomingMessage): boolean {
  const clusterKey = options.clusterKey ?? options.settings.clusterKey;
  const token = parseBearerToken(request.headers);
  if (clusterKey === undefined || token === undefined) return false;
  const expected = Buffer.from(computeOperatorToken(clusterKey));
  const given = Buffer.from(token);
  return given.length === expected.length && timingSafeEqual(given, expected);
}

function sendJson(response: ServerResponse, status: number, body: object): void {
  response.statusCode = status;
  response.setHeader('content-type', 'application/json');
  response.end(JSON.stringify(body));
}
