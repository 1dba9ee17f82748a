import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { CallerLimits } from './bundle';
import { Exchange } from './exchange';
import type { GatewayContext } from './gateway-context';
import { PlainRequestHandler } from './plain-request-handler';
import { makeShutdownError, sendErrorResponse } from './error-response';
import type { ErrorResponse } from './error-response';
import { StreamRequestHandler } from './stream-request-handler';

/** Limits until the first configuration is read. */
const DEFAULT_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 15_000,
};
/** Limit of Node's parser for a request head, in bytes; the configured limit is checked afterwards. */
const PARSER_MAX_HEADER_BYTES = 65_536;
/** Sent as `retry-after` by an instance without a current configuration or list of servers, in milliseconds. */
const NOT_READY_RETRY_AFTER_MS = 200;
/** Longest wait of a request for the list of servers, in milliseconds; it is mostly read within a few. */
const MAX_SERVER_LIST_WAIT_MS = 150;

/** HTTP server for callers. */
export interface CallerServer {
  server: Server;
  countOpenRequests(): number;
  /** Answers the open requests whose servers have not, or cuts off what has begun, before the instance stops. */
  endOpenRequests(): void;
  applyLimits(limits: CallerLimits): void;
}

/** Creates the HTTP server for callers; it does not listen yet. */
export function createCallerServer(context: GatewayContext): CallerServer {
  let openRequests = 0;
  const handlers = new Set<RequestHandler>();
  const server = createServer(
    { maxHeaderSize: PARSER_MAX_HEADER_BYTES, requestTimeout: 0, noDelay: true },
    (request, response) => {
      openRequests += 1;
      response.once('close', () => {
        openRequests -= 1;
      });
      response.sendDate = false;
      handleRequest(context, request, response, handlers).catch((error: unknown) => {
        context.log.error('request handler failed', { error: String(error) });
        response.destroy();
      });
    },
  );
  const applyLimits = (limits: CallerLimits) => {
    server.keepAliveTimeout = limits.idleTimeoutMs;
    server.headersTimeout = limits.headerTimeoutMs;
  };
  server.on('connection', (socket) => {
    context.traffic.addSocket('caller', socket);
  });
  applyLimits(DEFAULT_LIMITS);
  return {
    ...{ server, applyLimits },
    countOpenRequests: () => openRequests,
    endOpenRequests: () => {
      for (const handler of handlers) handler.handleShutdown();
    },
  };
}

async function handleRequest(
  context: GatewayContext,
  request: IncomingMessage,
  response: ServerResponse,
  handlers: Set<RequestHandler>,
): Promise<void> {
  const arrivedAtMs = context.clock();
  const limits = context.getRouteTable()?.bundle.limits ?? DEFAULT_LIMITS;
  const body = await readBody(request, limits.maxBodyBytes);
  if (body.kind === 'aborted') return;
  const head = context.codec.decodeRequest(request.headers);
  const reject = (error: ErrorResponse) => {
    context.log.warn('request not answered', {
      requestId: head.requestId,
      outcome: 'refused',
      status: error.status,
      reason: error.reason,
      bundleVersion: context.getRouteTable()?.version,
      keyAgeMs: Math.round(context.keyFreshness.getAgeMs(context.clock())),
    });
    context.metrics.requests.inc({ route: 'none', outcome: 'refused' });
    sendErrorResponse(response, {
      ...error,
      closesConnection: error.closesConnection ?? context.isDraining(),
    });
  };
  if (body.kind === 'too-large') {
    reject({ status: 413, reason: 'the body is too large', closesConnection: true });
    return;
  }
  if (measureHeaderBytes(request) > limits.maxHeaderBytes) {
    reject({ status: 431, reason: 'the headers are too large', closesConnection: true });
    return;
  }
  if (!context.isAccepting()) {
    reject(makeShutdownError(false));
    return;
  }
  const table = context.getRouteTable();
  if (table === undefined) {
    reject({ status: 503, reason: 'no configuration yet', retryAfterMs: NOT_READY_RETRY_AFTER_MS });
    return;
  }
  const path = request.url ?? '/';
  const match = table.findRoute(request.headers.host ?? '', path, head.teamKey);
  const isFresh = context.keyFreshness.isFresh(context.clock());
  if (match.kind !== 'matched' && !isFresh) {
    reject({
      status: 503,
      reason: 'the configuration may be out of date',
      retryAfterMs: NOT_READY_RETRY_AFTER_MS,
      closesConnection: true,
    });
    return;
  }
  if (match.kind === 'no-route') {
    reject({ status: 404, reason: 'no route' });
    return;
  }
  if (match.kind === 'unknown-key') {
    reject({ status: 401, reason: 'unknown key' });
    return;
  }
  const needsKey = table.bundle.teams !== undefined && !match.route.isPublic;
  if (needsKey && !isFresh) {
    reject({
      status: 503,
      reason: 'the keys may be out of date',
      retryAfterMs: NOT_READY_RETRY_AFTER_MS,
      closesConnection: true,
    });
    return;
  }
  if (!context.isServerListUsable()) await context.waitForServerList(MAX_SERVER_LIST_WAIT_MS);
  if (!context.isServerListUsable()) {
    reject({
      status: 503,
      reason: 'the list of backend servers may be out of date',
      retryAfterMs: NOT_READY_RETRY_AFTER_MS,
      closesConnection: true,
    });
    return;
  }
  context.metrics.openRequests.inc();
  const exchange = new Exchange(context, {
    request,
    response,
    head,
    route: match.route,
    team: match.team,
    body: body.bytes,
    arrivedAtMs,
    bundleVersion: table.version,
    rank: table.computeRank(match.route, match.team),
  });
  const handler = createHandler(exchange, response);
  handlers.add(handler);
  try {
    await handler.run();
  } finally {
    handlers.delete(handler);
  }
}

type RequestHandler = PlainRequestHandler | StreamRequestHandler;

function createHandler(exchange: Exchange, response: ServerResponse): RequestHandler {
  switch (exchange.input.route.kind) {
    case 'stream': {
      const handler = new StreamRequestHandler(exchange);
      response.on('close', () => {
        handler.handleCallerDisconnect();
      });
      response.on('drain', () => {
        handler.handleCallerWritable();
      });
      return handler;
    }
    case 'idempotent':
    case 'non-idempotent': {
      const handler = new PlainRequestHandler(exchange);
      response.on('close', () => {
        handler.handleCallerDisconnect();
      });
      return handler;
    }
  }
}

/** Bytes that each header takes beside its name and value: a colon, a space and CRLF. */
const HEADER_OVERHEAD_BYTES = 4;

function measureHeaderBytes(request: IncomingMessage): number {
  const textBytes = request.rawHeaders.reduce((sum, text) => sum + text.length, 0);
  return textBytes + (request.rawHeaders.length / 2) * HEADER_OVERHEAD_BYTES;
}

type BodyResult =
  { kind: 'complete'; bytes: Buffer | undefined } | { kind: 'too-large' } | { kind: 'aborted' };

/** Buffers the whole body, so that the request can be retried at another server. */
async function readBody(request: IncomingMessage, maxBytes: number): Promise<BodyResult> {
  const hasBody =
    request.headers['content-length'] !== undefined ||
    request.headers['transfer-encoding'] !== undefined;
  if (!hasBody) return { kind: 'complete', bytes: undefined };
  if (Number(request.headers['content-length'] ?? 0) > maxBytes) return { kind: 'too-large' };
  const chunks: Buffer[] = [];
  let size = 0;
  try {
    for await (const chunk of request as AsyncIterable<Buffer>) {
      size += chunk.length;
      if (size > maxBytes) return { kind: 'too-large' };
      chunks.push(chunk);
    }
  } catch {
    // The caller closed its connection inside the body, so there is no response to send.
    return { kind: 'aborted' };
  }
  if (!request.complete) return { kind: 'aborted' };
  return { kind: 'complete', bytes: Buffer.concat(chunks) };
}
