import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { CallerLimits } from './bundle';
import { Exchange } from './exchange';
import type { GatewayContext } from './gateway-context';
import { PlainFlow } from './plain-flow';
import { sendRefusal } from './refusal';
import type { Refusal } from './refusal';
import { StreamFlow } from './stream-flow';

/** Limits until the first configuration is read. */
const FIRST_LIMITS: CallerLimits = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 4_194_304,
  headerTimeoutMs: 10_000,
  idleTimeoutMs: 15_000,
};
/** Node reads this much of a request head at most, in bytes; the configured limit is checked afterwards. */
const HEADER_ROOM_BYTES = 65_536;
/** When a caller may come back to an instance that cannot serve yet, in milliseconds. */
const NOT_READY_RETRY_MS = 200;

/** The server for callers. */
export interface CallerServer {
  server: Server;
  countOpen(): number;
  applyLimits(limits: CallerLimits): void;
}

/** Creates the HTTP server for callers; it does not listen yet. */
export function createCallerServer(context: GatewayContext): CallerServer {
  let openRequests = 0;
  const server = createServer(
    { maxHeaderSize: HEADER_ROOM_BYTES, requestTimeout: 0, noDelay: true },
    (request, response) => {
      openRequests += 1;
      response.once('close', () => {
        openRequests -= 1;
      });
      response.sendDate = false;
      handleRequest(context, request, response).catch((error: unknown) => {
        context.log.error('request handler failed', { error: String(error) });
        response.destroy();
      });
    },
  );
  const applyLimits = (limits: CallerLimits) => {
    server.keepAliveTimeout = limits.idleTimeoutMs;
    server.headersTimeout = limits.headerTimeoutMs;
  };
  applyLimits(FIRST_LIMITS);
  return { server, countOpen: () => openRequests, applyLimits };
}

async function handleRequest(
  context: GatewayContext,
  request: IncomingMessage,
  response: ServerResponse,
): Promise<void> {
  const arrivedAtMs = context.clock();
  const limits = context.getRouteTable()?.bundle.limits ?? FIRST_LIMITS;
  const body = await readBody(request, limits.maxBodyBytes);
  if (body.kind === 'aborted') return;
  const head = context.codec.decodeRequest(request.headers);
  const refuse = (refusal: Refusal) => {
    context.log.warn('request not answered', {
      requestId: head.attemptId,
      outcome: 'refused',
      status: refusal.status,
      reason: refusal.reason,
      bundleVersion: context.getRouteTable()?.version,
      keyAgeMs: Math.round(context.keyFreshness.getAgeMs(context.clock())),
    });
    context.metrics.requests.inc({ route: 'none', outcome: 'refused' });
    sendRefusal(response, {
      ...refusal,
      closesConnection: refusal.closesConnection ?? context.isDraining(),
    });
  };
  if (body.kind === 'too-large') {
    refuse({ status: 413, reason: 'the body is too large', closesConnection: true });
    return;
  }
  if (measureHeaderBytes(request) > limits.maxHeaderBytes) {
    refuse({ status: 431, reason: 'the headers are too large', closesConnection: true });
    return;
  }
  const table = context.getRouteTable();
  if (table === undefined) {
    refuse({ status: 503, reason: 'no configuration yet', retryAfterMs: NOT_READY_RETRY_MS });
    return;
  }
  const path = request.url ?? '/';
  const match = table.findRoute(request.headers.host ?? '', path, head.teamKey);
  const isFresh = context.keyFreshness.isFresh(context.clock());
  if (match.kind !== 'matched' && !isFresh) {
    refuse({
      status: 503,
      reason: 'the configuration may be out of date',
      retryAfterMs: NOT_READY_RETRY_MS,
      closesConnection: true,
    });
    return;
  }
  if (match.kind === 'no-route') {
    refuse({ status: 404, reason: 'no route' });
    return;
  }
  if (match.kind === 'unknown-key') {
    refuse({ status: 401, reason: 'unknown key' });
    return;
  }
  const needsKey = table.bundle.teams !== undefined && !match.route.isPublic;
  if (needsKey && !isFresh) {
    refuse({
      status: 503,
      reason: 'the keys may be out of date',
      retryAfterMs: NOT_READY_RETRY_MS,
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
  await runFlow(exchange, response);
}

async function runFlow(exchange: Exchange, response: ServerResponse): Promise<void> {
  switch (exchange.input.route.kind) {
    case 'stream': {
      const flow = new StreamFlow(exchange);
      response.on('close', () => {
        flow.handleCallerLeft();
      });
      response.on('drain', () => {
        flow.handleCallerReady();
      });
      await flow.run();
      return;
    }
    case 'idempotent':
    case 'non-idempotent': {
      const flow = new PlainFlow(exchange);
      response.on('close', () => {
        flow.handleCallerLeft();
      });
      await flow.run();
      return;
    }
  }
}

/** Each header also takes a colon, a space and the end of its line. */
const BYTES_BESIDE_HEADER = 4;

function measureHeaderBytes(request: IncomingMessage): number {
  const texts = request.rawHeaders.reduce((sum, text) => sum + text.length, 0);
  return texts + (request.rawHeaders.length / 2) * BYTES_BESIDE_HEADER;
}

type BodyResult =
  { kind: 'complete'; bytes: Buffer | undefined } | { kind: 'too-large' } | { kind: 'aborted' };

/** Reads the whole body, so that it can be sent again to another server. */
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
    // The caller closed its connection inside the body, so nobody waits for an answer.
    return { kind: 'aborted' };
  }
  if (!request.complete) return { kind: 'aborted' };
  return { kind: 'complete', bytes: Buffer.concat(chunks) };
}
