import { randomUUID } from 'node:crypto';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';
import type { Cause } from '@pollendrum/protocol';
import { EngineClient } from '../backend/engine-client';
import { ServerPools } from '../backend/server-pools';
import { ServiceClient } from '../backend/service-client';
import type { ActiveBundle } from '../ports';
import { BodyMemory } from './body-memory';
import { readBody } from './body-reader';
import { resolveTeam, parseRequestId, resolveCaller } from './caller-identity';
import { ChatHandler } from './chat-handler';
import { parseChatRequest } from './chat-request';
import type { EntryLimits, EntryOptions, TlsCredentials } from './entry-options';
import { resolveEntryLimits } from './entry-options';
import { GrantClient } from './grant-client';
import { createCallerServer, updateServerTls } from './http-server';
import { serveOperatorRequest } from './operator-endpoint';
import { PauseDetector } from './pause-detector';
import { ParserErrorResponder } from './parser-error-responder';
import { RequestContext, RequestError } from './request-context';
import { RequestLifecycle } from './request-state';
import { ServiceHandler } from './service-handler';
import { findRoute, parseServicePath } from './service-routes';

/** The entry of an instance: the HTTP server for callers and operators. */
export interface EntryTask extends AsyncDisposable {
  /** Port that the server listens on. */
  readonly port: number;
  /** Makes /readyz return 503 and closes each connection after its next response. */
  startDraining(): void;
  /** Number of requests that have no outcome yet. */
  countInFlight(): number;
  /** Waits up to `limitMs` until no request is in flight; resolves to whether none is. */
  waitIdle(limitMs: number): Promise<boolean>;
  /** Stops accepting connections; requests in flight continue. */
  closeListener(): void;
  /** Replaces the TLS credentials for new connections; no effect when callers are served over plain TCP. */
  updateTls(credentials: TlsCredentials): void;
}

const MAX_HEADER_BYTES = 16_384;
const MAX_HEADERS_TIMEOUT_MS = 30_000;
/** Time limit for receiving a request with its body. */
const REQUEST_TIMEOUT_MS = 300_000;
const TIMEOUT_CHECK_MS = 1_000;
const KEEP_ALIVE_MS = 65_000;
const IDLE_CHECK_MS = 20;

/** Starts the HTTP server. Rejects when the port cannot be bound. */
export async function createEntryTask(options: EntryOptions): Promise<EntryTask> {
  const server = new EntryServer(options);
  try {
    await server.start();
  } catch (error) {
    await server[Symbol.asyncDispose]();
    throw error;
  }
  return server;
}

class EntryServer implements EntryTask {
  readonly #limits: EntryLimits;
  readonly #bodyMemory: BodyMemory;
  readonly #server: Server;
  readonly #pools = new ServerPools();
  readonly #grantClient: GrantClient;
  readonly #engineClient = new EngineClient(this.#pools);
  readonly #serviceClient = new ServiceClient(this.#pools);
  readonly #parserErrorResponder = new ParserErrorResponder();
  readonly #pauseDetector = new PauseDetector();
  #inFlight = 0;
  #drainingSinceMs: number | undefined;

  constructor(readonly options: EntryOptions) {
    const { settings, peers, routing, chooseShard } = options;
    this.#limits = resolveEntryLimits(settings);
    this.#bodyMemory = new BodyMemory(this.#limits);
    this.#grantClient = new GrantClient({
      peers,
      routing,
      chooseShard,
      failureDomain: settings.failureDomain,
    });
    this.#server = createCallerServer(
      {
        maxHeaderSize: MAX_HEADER_BYTES,
        headersTimeout: Math.min(this.#limits.callerIdleTimeoutMs, MAX_HEADERS_TIMEOUT_MS),
        requestTimeout: REQUEST_TIMEOUT_MS,
        connectionsCheckingInterval: TIMEOUT_CHECK_MS,
        keepAliveTimeout: KEEP_ALIVE_MS,
        noDelay: true,
        // Nothing depends on Host, and Node's built-in 400 response has no JSON error body.
        requireHostHeader: false,
      },
      options.callerTls,
      (request, response) => {
        void this.#handleRequest(request, response);
      },
    );
    this.#server.maxConnections = this.#limits.maxConnections;
    // Node silently drops headers above maxHeadersCount; maxHeaderSize already bounds the headers in bytes.
    this.#server.maxHeadersCount = 0;
    // Node's built-in responses to Expect have no JSON error body. Unknown expectations are ignored, as RFC
    // 9110 allows.
    for (const event of ['checkContinue', 'checkExpectation'] as const) {
      this.#server.on(event, (request, response) => {
        void this.#handleRequest(request, response);
      });
    }
    this.#server.on('clientError', (error, socket) => {
      this.#parserErrorResponder.handleError(error, socket as Socket);
    });
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  async start(): Promise<void> {
    const { address, httpPort } = this.options.settings;
    await new Promise<void>((resolve, reject) => {
      this.#server.once('error', reject);
      this.#server.listen(httpPort, address, () => {
        this.#server.off('error', reject);
        resolve();
      });
    });
  }

  startDraining(): void {
    this.#drainingSinceMs ??= performance.now();
  }

  countInFlight(): number {
    return this.#inFlight;
  }

  async waitIdle(limitMs: number): Promise<boolean> {
    const deadlineMs = performance.now() + limitMs;
    while (this.#inFlight > 0 && performance.now() < deadlineMs) {
      await new Promise((resolve) => setTimeout(resolve, IDLE_CHECK_MS));
    }
    return this.#inFlight === 0;
  }

  closeListener(): void {
    this.#server.close();
    this.#server.closeIdleConnections();
  }

  updateTls(credentials: TlsCredentials): void {
    updateServerTls(this.#server, credentials);
  }

  async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    this.#parserErrorResponder.observeRequest(request, response);
    const requestId = parseRequestId(request.headers) ?? randomUUID();
    response.setHeader('x-request-id', requestId);
    if (this.#drainingSinceMs !== undefined) response.setHeader('connection', 'close');
    const url = request.url ?? '/';
    this.options.telemetry.log.debug('request received', { requestId, method: request.method });
    try {
      if (url === '/livez') response.end('ok\n');
      else if (url === '/readyz') this.#sendReadiness(response);
      else if (url.startsWith('/admin/'))
        await serveOperatorRequest(this.options, request, response);
      else await this.#runRequest(request, response, requestId);
    } catch (error) {
      this.options.telemetry.log.error('request handler failed', { requestId, error });
      response.destroy();
    }
  }

  #sendReadiness(response: ServerResponse): void {
    const reasons = [...(this.options.listUnreadyReasons?.() ?? [])];
    if (this.options.bundles.getActive() === undefined) reasons.push('no bundle');
    if (this.#drainingSinceMs !== undefined) reasons.push('stopping');
    const isReady = reasons.length === 0;
    response.statusCode = isReady ? 200 : 503;
    response.setHeader('content-type', 'application/json');
    response.end(JSON.stringify({ ready: isReady, reasons }));
  }

  async #runRequest(
    request: IncomingMessage,
    response: ServerResponse,
    requestId: string,
  ): Promise<void> {
    this.#inFlight += 1;
    const active = this.options.bundles.getActive();
    const { settings, outcomes, telemetry } = this.options;
    const lifecycle = new RequestLifecycle({
      requestId,
      instanceId: settings.instanceId,
      bundleNumber: active?.bundle.number ?? 0,
      outcomes,
      pausedMs: this.#pauseDetector.getPausedMs(),
    });
    const span = telemetry.trace.startRequestSpan('request', request.headers);
    using account = this.#bodyMemory.createAccount(request.socket.remoteAddress ?? '');
    const context = new RequestContext(
      this.options,
      this.#limits,
      request,
      response,
      lifecycle,
      span,
      account,
    );
    try {
      await this.#routeRequest(context, active);
    } catch (error) {
      context.sendError(this.#toErrorResponse(error, requestId));
    } finally {
      this.#inFlight -= 1;
    }
  }

  #toErrorResponse(error: unknown, requestId: string): RequestError['response'] {
    if (error instanceof RequestError) return error.response;
    this.options.telemetry.log.error('request failed', { requestId, error });
    const cause: Cause = { kind: 'internal', message: 'unexpected error' };
    return new RequestError('failed', cause).response;
  }

  async #routeRequest(context: RequestContext, active: ActiveBundle | undefined): Promise<void> {
    const { instanceId } = this.options.settings;
    if (active === undefined) throw new RequestError('not-run', { kind: 'no-bundle', instanceId });
    const { method, url = '/' } = context.request;
    const path = url.split('?', 1)[0];
    if (path === '/v1/chat/completions' && method === 'POST') {
      await this.#runChat(context, active);
    } else if (path === '/v1/models' && method === 'GET') {
      await this.#sendModels(context, active);
    } else if (url.startsWith('/services/')) {
      await this.#runService(context, active, url);
    } else {
      throw new RequestError('not-run', { kind: 'unknown-service', service: path ?? '' });
    }
  }

  async #runChat(context: RequestContext, active: ActiveBundle): Promise<void> {
    const caller = resolveCaller(active, context.request.headers);
    context.startDeadline(caller.serviceClass.maxTotalMs);
    const startedAtMs = performance.now();
    const parsed = parseChatRequest(await this.#readBody(context));
    context.lifecycle.recordHop('receive', startedAtMs);
    if (!parsed.ok) {
      throw new RequestError('not-run', { kind: 'bad-request', findings: parsed.findings });
    }
    const { chat } = parsed;
    const { serviceClass, team } = caller;
    context.lifecycle.setAttributes({ serviceClass, team, target: chat.model, isModel: true });
    const model = active.bundle.models.find((candidate) => candidate.name === chat.model);
    if (model === undefined) {
      throw new RequestError('not-run', { kind: 'unknown-model', model: chat.model });
    }
    const clients = { grants: this.#grantClient, engine: this.#engineClient };
    await new ChatHandler(context, caller, chat, clients, model.pool).run();
  }

  async #readBody(context: RequestContext): Promise<Buffer> {
    const { socket } = context.request;
    return await readBody(context, () => this.#parserErrorResponder.getFinding(socket));
  }

  async #sendModels(context: RequestContext, active: ActiveBundle): Promise<void> {
    resolveTeam(active, context.request.headers);
    const data = active.bundle.models.map(({ name }) => ({
      id: name,
      object: 'model',
      owned_by: 'pollendrum',
    }));
    const { response } = context;
    response.setHeader('content-type', 'application/json');
    await new Promise<void>((resolve) => {
      response.once('close', resolve);
      response.once('finish', resolve);
      response.end(JSON.stringify({ object: 'list', data }));
    });
    context.endRequest({ outcome: 'answered', status: 200 });
  }

  async #runService(context: RequestContext, active: ActiveBundle, url: string): Promise<void> {
    const caller = resolveCaller(active, context.request.headers);
    const { serviceClass, team } = caller;
    context.startDeadline(serviceClass.maxTotalMs);
    const parsed = parseServicePath(url);
    if (!parsed.ok) {
      const finding = { pointer: '', message: parsed.message, source: 'path' };
      throw new RequestError('not-run', { kind: 'bad-request', findings: [finding] });
    }
    const { path } = parsed;
    context.lifecycle.setAttributes({
      serviceClass,
      team,
      target: path.serviceName,
      isModel: false,
    });
    const service = active.bundle.services.find(({ name }) => name === path.serviceName);
    const route =
      service === undefined
        ? undefined
        : findRoute(service, context.request.method ?? '', path.routePath);
    if (service === undefined || route === undefined) {
      const name = `${path.serviceName}${path.routePath}`;
      throw new RequestError('not-run', { kind: 'unknown-service', service: name });
    }
    const startedAtMs = performance.now();
    const body = await this.#readBody(context);
    context.lifecycle.recordHop('receive', startedAtMs);
    const clients = { grants: this.#grantClient, service: this.#serviceClient };
    await new ServiceHandler(context, caller, path, route, body, clients, service.pool).run();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.closeListener();
    this.#server.closeAllConnections();
    this.#pauseDetector[Symbol.dispose]();
    this.#grantClient[Symbol.dispose]();
    await this.#pools[Symbol.asyncDispose]();
  }
}
