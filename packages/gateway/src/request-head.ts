import type { IncomingMessage } from 'node:http';
import type { CallerLimits } from './bundle';
import { makeShutdownError } from './error-response';
import type { ErrorResponse } from './error-response';
import type { GatewayContext } from './gateway-context';
import type { MatchedRoute, RouteTable } from './route-table';

/** Limits until the first configuration is read. */
export const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 15_000,
};
/** Sent as `retry-after` by an instance without a current configuration or list of servers, in milliseconds. */
const NOT_READY_RETRY_AFTER_MS = 200;
/** Longest wait of a request for the list of servers, in milliseconds; it is mostly read within a few. */
const MAX_SERVER_LIST_WAIT_MS = 150;
/** Response to a body over the limit. */
export const TOO_LARGE: ErrorResponse = {
  ...{ status: 413, reason: 'the body is too large', closesConnection: true },
};

/** Outcome of the checks that need only the head of a request. */
export type HeadJudgement =
  | { kind: 'accepted'; match: MatchedRoute; table: RouteTable }
  | { kind: 'refused'; error: ErrorResponse };

/** Decides everything that does not depend on the body. */
export async function judgeHead(
  context: GatewayContext,
  request: IncomingMessage,
  teamKey: string | undefined,
): Promise<HeadJudgement> {
  const refuse = (error: ErrorResponse): HeadJudgement => ({ kind: 'refused', error });
  const table = context.getRouteTable();
  const limits = table?.bundle.limits ?? DEFAULT_LIMITS;
  if (Number(request.headers['content-length'] ?? 0) > limits.maxBodyBytes) {
    return refuse(TOO_LARGE);
  }
  if (measureHeaderBytes(request) > limits.maxHeaderBytes) {
    return refuse({ status: 431, reason: 'the headers are too large', closesConnection: true });
  }
  if (!context.isAccepting()) return refuse(makeShutdownError(false));
  if (table === undefined) {
    return refuse({
      status: 503,
      reason: 'no configuration yet',
      retryAfterMs: NOT_READY_RETRY_AFTER_MS,
    });
  }
  const match = table.findRoute(request.headers.host ?? '', request.url ?? '/', teamKey);
  const isFresh = context.keyFreshness.isFresh(context.clock());
  if (match.kind !== 'matched' && !isFresh) {
    return refuse(makeOutdatedError('the configuration may be out of date'));
  }
  if (match.kind === 'no-route') return refuse({ status: 404, reason: 'no route' });
  if (match.kind === 'unknown-key') return refuse({ status: 401, reason: 'unknown key' });
  const needsKey = table.bundle.teams !== undefined && !match.route.isPublic;
  if (needsKey && !isFresh) return refuse(makeOutdatedError('the keys may be out of date'));
  if (!context.isServerListUsable()) await context.waitForServerList(MAX_SERVER_LIST_WAIT_MS);
  if (!context.isServerListUsable()) {
    return refuse(makeOutdatedError('the list of backend servers may be out of date'));
  }
  return { kind: 'accepted', match, table };
}

function makeOutdatedError(reason: string): ErrorResponse {
  return {
    ...{ status: 503, reason, retryAfterMs: NOT_READY_RETRY_AFTER_MS, closesConnection: true },
  };
}

/** Bytes that each header takes beside its name and value: a colon, a space and CRLF. */
const HEADER_OVERHEAD_BYTES = 4;

/** Measures the headers in bytes as they were sent. */
export function measureHeaderBytes(request: IncomingMessage): number {
  const textBytes = request.rawHeaders.reduce((sum, text) => sum + text.length, 0);
  return textBytes + (request.rawHeaders.length / 2) * HEADER_OVERHEAD_BYTES;
}
