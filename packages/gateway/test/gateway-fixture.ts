import { createSocket } from 'node:dgram';
import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { request } from 'node:http';
import type { IncomingHttpHeaders } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import type { DutySettings, GatewaySettings } from '@pollendrum/protocol';
import { Gateway, TrafficMeter } from '../src';
import type {
  GatewayLog,
  GatewayOptions,
  HeaderNames,
  BackendServer,
  ObjectStore,
  Route,
  RouteBundle,
} from '../src';
import { FakeStore } from './fake-store';
import { startRawBackend } from './raw-backend';
import type { RawHandler } from './raw-backend';

export const HEADER_NAMES: HeaderNames = {
  requestId: 'Test-Attempt',
  remainingMs: 'Test-Remaining',
  lastEventId: 'Last-Event-Id',
  signature: 'Test-Signature',
  team: 'Test-Team',
  expectedServer: 'Test-Expected',
  notRun: 'Test-Not-Run',
  serverLimit: 'Test-Limit',
  leaving: 'Test-Leaving',
  tokenUsage: 'Test-Tokens',
  lengthHint: 'Test-Length',
  promptParts: 'Test-Parts',
  enginePriority: 'Test-Priority',
  cacheSource: 'Test-Cache-Source',
  reserved: ['Test-Reserved'],
};

const LIMITS = {
  maxHeaderBytes: 16_384,
  maxBodyBytes: 1_000,
  headerTimeoutMs: 3_000,
  idleTimeoutMs: 15_000,
};

export function makeRoute(overrides: Partial<Route> = {}): Route {
  return {
    name: 'orders',
    host: 'shop.test',
    pathPrefix: '/orders/',
    kind: 'non-idempotent',
    isResumable: false,
    timeoutMs: 2_000,
    targetLatencyMs: 100,
    pauseTargetMs: undefined,
    priority: 0,
    services: [{ service: 'desk', weight: 1 }],
    maxAttempts: 1,
    isPublic: false,
    ...overrides,
  };
}

/**
 * Makes a configuration with four routes: requests of `orders` are not idempotent, those of `stock` (lookups) are
 * idempotent, `chat` streams are not resumable and `plan` streams are.
 */
export function makeBundle(overrides: Partial<RouteBundle> = {}): RouteBundle {
  return {
    version: 1,
    routes: [
      makeRoute(),
      makeRoute({ name: 'stock', pathPrefix: '/stock/', kind: 'idempotent', maxAttempts: 2 }),
      makeRoute({
        name: 'chat',
        pathPrefix: '/chat/',
        kind: 'stream',
        pauseTargetMs: 200,
        services: [{ service: 'engines', weight: 1 }],
      }),
      makeRoute({
        name: 'plan',
        pathPrefix: '/plan/',
        kind: 'stream',
        isResumable: true,
        pauseTargetMs: 300,
        maxAttempts: 2,
        priority: 1,
        services: [{ service: 'engines', weight: 1 }],
      }),
    ],
    services: [
      { name: 'desk', maxConnections: 100, engine: undefined },
      {
        name: 'engines',
        maxConnections: 100,
        engine: { slots: 16, kvTokens: 100_000, tokensPerEvent: 5 },
      },
    ],
    teams: [{ name: 'team-a', keys: ['key-a', 'key-b'], priority: undefined }],
    limits: LIMITS,
    ...overrides,
  };
}

export function makeServer(serverId: string, service: string, port: number): BackendServer {
  return {
    serverId,
    service,
    host: '127.0.0.1',
    port,
    failureDomain: 'local',
    slots: 16,
    state: 'ready',
    startedAtUnixMs: 1,
  };
}

export interface LogLine {
  level: string;
  message: string;
  fields: Record<string, unknown>;
}

export interface TestGateway extends AsyncDisposable {
  gateway: Gateway;
  settings: GatewaySettings;
  store: FakeStore;
  lines: LogLine[];
  callerPort: number;
  readinessPort: number;
  metricsPort: number;
}

export interface TestGatewayOptions {
  /** Null starts without a configuration. */
  bundle?: RouteBundle | null;
  servers?: readonly BackendServer[];
  keyRevocationMs?: number;
  drainLimitSeconds?: number;
  /** A store that several gateways share; a new one by default. */
  store?: FakeStore;
  /** Makes what the gateway uses in place of the store; the store itself by default. */
  wrapStore?: ((store: FakeStore) => ObjectStore) | undefined;
  instanceId?: string;
  /** Calls that one instance makes for the fleet, with their settings; none by default. */
  duties?: NonNullable<GatewayOptions['duties']> & { settings: DutySettings };
}

/** Starts a gateway on the loopback interface with a store in memory. */
export async function startTestGateway(options: TestGatewayOptions = {}): Promise<TestGateway> {
  const store = options.store ?? new FakeStore();
  if (options.bundle !== null) store.put('bundles', 'main', options.bundle ?? makeBundle());
  for (const server of options.servers ?? []) store.put('servers', server.serverId, server);
  const [callerPort, readinessPort, metricsPort, peerPort] = await Promise.all([
    findFreePort(),
    findFreePort(),
    findFreePort(),
    findFreeUdpPort(),
  ]);
  const lines: LogLine[] = [];
  const settings: GatewaySettings = {
    instanceId: options.instanceId ?? 'entry-1',
    failureDomain: 'local',
    address: '127.0.0.1',
    callerAddress: `127.0.0.1:${callerPort}`,
    readinessAddress: `127.0.0.1:${readinessPort}`,
    metricsAddress: `127.0.0.1:${metricsPort}`,
    peerPort,
    storeAddress: '127.0.0.1:1',
    drainLimitSeconds: options.drainLimitSeconds ?? 5,
    isKeyRevocationStrict: true,
    keyRevocationMs: options.keyRevocationMs ?? 5_000,
    retryRatio: 0.2,
    retryWindowSeconds: 10,
    retrySlack: 50,
    ...(options.duties && { duties: options.duties.settings }),
  };
  const gateway = new Gateway({
    settings,
    duties: options.duties,
    store: options.wrapStore?.(store) ?? store,
    headerNames: HEADER_NAMES,
    decoders: {
      bundleKind: 'bundles',
      bundleName: 'main',
      decodeBundle: (spec) => ({ ok: true, value: spec as RouteBundle }),
      serverKind: 'servers',
      decodeServer: (_, spec) => ({ ok: true, value: spec as BackendServer }),
    },
    log: createTestLog(lines),
    traffic: new TrafficMeter(),
  });
  await gateway.start();
  if (options.bundle !== null && (options.servers ?? []).length > 0) {
    await waitUntil(() => gateway.isReady());
  }
  return {
    gateway,
    settings,
    store,
    lines,
    callerPort,
    readinessPort,
    metricsPort,
    [Symbol.asyncDispose]: () => gateway[Symbol.asyncDispose](),
  };
}

export interface TwoServerGateway extends TestGateway {
  /** Number of requests that reached either server. */
  countReceived(): number;
}

/** Starts a gateway and two servers of a service; `first` handles the first request, `others` the later requests. */
export async function startTwoServerGateway(
  service: string,
  first: RawHandler,
  others: RawHandler,
): Promise<TwoServerGateway> {
  let received = 0;
  const handle: RawHandler = (socket, request) => {
    received += 1;
    if (received === 1) first(socket, request);
    else others(socket, request);
  };
  const backendOne = await startRawBackend(handle);
  const backendTwo = await startRawBackend(handle);
  const running = await startTestGateway({
    servers: [
      makeServer('one', service, backendOne.port),
      makeServer('two', service, backendTwo.port),
    ],
  });
  return {
    ...running,
    countReceived: () => received,
    async [Symbol.asyncDispose]() {
      await running[Symbol.asyncDispose]();
      await backendTwo[Symbol.asyncDispose]();
      await backendOne[Symbol.asyncDispose]();
    },
  };
}

export function createTestLog(lines: LogLine[]): GatewayLog {
  const createWriter =
    (level: string): GatewayLog['info'] =>
    (message, fields) => {
      lines.push({ level, message, fields: fields ?? {} });
    };
  return {
    error: createWriter('error'),
    warn: createWriter('warn'),
    info: createWriter('info'),
    debug: createWriter('debug'),
  };
}

export interface CallerResponse {
  /** Undefined when the connection closed without a response. */
  status: number | undefined;
  headers: IncomingHttpHeaders;
  body: string;
  /** False when the response was truncated. */
  isComplete: boolean;
}

export interface CallerRequestOptions {
  method?: string;
  key?: string;
  headers?: Record<string, string>;
  body?: string;
  /** Sends no request id. */
  omitsRequestId?: boolean;
  /** The caller disconnects when this resolves. */
  disconnectAfter?: Promise<void>;
}

/** Sends one request as a caller and reads the response. */
export function sendRequest(
  port: number,
  path: string,
  options: CallerRequestOptions = {},
): Promise<CallerResponse> {
  return new Promise((resolve) => {
    let body = '';
    const settle = (response: Partial<CallerResponse>) => {
      resolve({ status: undefined, headers: {}, body, isComplete: false, ...response });
    };
    const sent = request(
      {
        host: '127.0.0.1',
        port,
        path,
        method: options.method ?? 'POST',
        agent: false,
        headers: {
          host: 'shop.test',
          authorization: `Bearer ${options.key ?? 'key-a'}`,
          ...(options.omitsRequestId ? {} : { 'Test-Attempt': 'attempt-1' }),
          'Test-Remaining': '2000',
          ...options.headers,
        },
      },
      (response) => {
        const { statusCode: status, headers } = response;
        response.on('data', (chunk: Buffer) => (body += chunk.toString()));
        response.on('error', () => {
          settle({ status, headers });
        });
        response.on('end', () => {
          settle({ status, headers, isComplete: response.complete });
        });
      },
    );
    sent.on('error', () => {
      settle({});
    });
    void options.disconnectAfter?.then(() => {
      sent.destroy();
    });
    sent.end(options.body);
  });
}

/** Polls until a condition holds, for up to `WAIT_TIMEOUT_MS`, so that a busy machine only slows a test down. */
export async function waitUntil(isMet: () => boolean): Promise<void> {
  const deadlineMs = performance.now() + WAIT_TIMEOUT_MS;
  while (!isMet()) {
    if (performance.now() > deadlineMs) throw new Error('the condition was not met in time');
    await sleep(WAIT_POLL_MS);
  }
}

const WAIT_TIMEOUT_MS = 10_000;
const WAIT_POLL_MS = 10;

/** Finds a free UDP port on the loopback interface. */
export async function findFreeUdpPort(): Promise<number> {
  const socket = createSocket('udp4');
  await new Promise<void>((resolve) => socket.bind(0, '127.0.0.1', resolve));
  const { port } = socket.address();
  await new Promise<void>((resolve) => socket.close(() => resolve()));
  return port;
}

async function findFreePort(): Promise<number> {
  const server = createServer();
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const { port } = server.address() as AddressInfo;
  await new Promise<void>((resolve) => server.close(() => resolve()));
  return port;
}
