import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { CallerLimits } from './bundle';
import { CallerBoundReporter, resolveCallerBounds } from './caller-bounds';
import { CallerConnections } from './caller-connections';
import { CallerRequests } from './caller-requests';
import type { GatewayContext } from './gateway-context';
import { DEFAULT_LIMITS } from './request-head';

/** Limit of Node's parser for a request head, in bytes; the configured limit is checked afterwards. */
const PARSER_MAX_HEADER_BYTES = 65_536;
/** Interval at which the bounds of time are checked, in milliseconds. */
const CHECK_INTERVAL_MS = 250;

/** HTTP server for callers. */
export interface CallerServer extends Disposable {
  server: Server;
  countOpenRequests(): number;
  /** Answers the open requests whose servers have not, or cuts off what has begun, before the instance stops. */
  endOpenRequests(): void;
  applyLimits(limits: CallerLimits): void;
}

/** Creates the HTTP server for callers; it does not listen yet. */
export function createCallerServer(context: GatewayContext): CallerServer {
  const { clock, log, metrics } = context;
  const bounds = resolveCallerBounds(context.settings);
  const reporter = new CallerBoundReporter({
    ...{ log, clock },
    onReach: (bound) => {
      metrics.callerBounds.inc({ bound });
    },
  });
  const connections = new CallerConnections({ bounds, reporter, clock });
  const requests = new CallerRequests(context, bounds, reporter, (socket) => {
    connections.recordLastResponse(socket);
  });
  let openRequests = 0;
  const handleRequest = (
    request: IncomingMessage,
    response: ServerResponse,
    expectsContinue: boolean,
  ) => {
    const { socket } = request;
    if (!connections.recordRequest(socket)) return;
    openRequests += 1;
    response.once('close', () => {
      openRequests -= 1;
      connections.recordRequestEnd(socket);
    });
    response.sendDate = false;
    requests.handle(request, response, expectsContinue).catch((error: unknown) => {
      log.error('request handler failed', { error: String(error) });
      response.destroy();
    });
  };
  const server = createServer(
    {
      maxHeaderSize: PARSER_MAX_HEADER_BYTES,
      requestTimeout: 0,
      noDelay: true,
      connectionsCheckingInterval: CHECK_INTERVAL_MS,
    },
    (request, response) => {
      handleRequest(request, response, false);
    },
  );
  server.on('checkContinue', (request: IncomingMessage, response: ServerResponse) => {
    handleRequest(request, response, true);
  });
  const applyLimits = (limits: CallerLimits) => {
    server.keepAliveTimeout = limits.idleTimeoutMs;
    server.headersTimeout = limits.headerTimeoutMs;
  };
  server.on('connection', (socket) => {
    context.traffic.addSocket('caller', socket);
    connections.add(socket);
  });
  applyLimits(DEFAULT_LIMITS);
  const timer = setInterval(() => {
    requests.checkProgress();
    connections.closeExcessHeads();
    metrics.callerHeldBytes.set(requests.memory.countBytes());
    metrics.callerConnections.set(connections.count());
  }, CHECK_INTERVAL_MS);
  return {
    ...{ server, applyLimits },
    countOpenRequests: () => openRequests,
    endOpenRequests: () => {
      requests.endAll();
    },
    [Symbol.dispose]() {
      clearInterval(timer);
      requests[Symbol.dispose]();
    },
  };
}
