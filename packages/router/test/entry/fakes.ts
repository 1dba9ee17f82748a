import { createHash } from 'node:crypto';
import type {
  Bundle,
  Enqueue,
  Finish,
  Grant,
  ListedInstance,
  OutcomeRecord,
  PeerMessage,
  Settings,
} from '@pollendrum/protocol';
import { createEntryTask } from '../../src/entry';
import type { EntryOptions, EntryTask } from '../../src/entry';
import type {
  ActiveBundle,
  BundlePort,
  ClaimReply,
  ClaimSettlement,
  ClaimsPort,
  OutcomePort,
  PeerPort,
  RoutingPort,
  RoutingView,
  ShardRoute,
  TelemetryPort,
} from '../../src/ports';
import { createTraces } from '../../src/telemetry/traces';

export const TEAM_KEY = 'team-key';
export const CLUSTER_KEY = 'cluster-secret';

export const settings: Settings = {
  instanceId: 'entry-1',
  address: '127.0.0.1',
  httpPort: 0,
  peerPort: 1,
  failureDomain: 'a',
  region: 'r',
  platformUrl: 'http://127.0.0.1:1',
  clusterKey: CLUSTER_KEY,
  maxBodyBytes: 4_096,
  callerIdleTimeoutMs: 1_000,
};

export const bundle: Bundle = {
  formatVersion: 1,
  number: 7,
  description: 'test',
  classes: [
    {
      name: 'quick',
      tier: 0,
      floorPercent: 10,
      preference: 'attainment',
      targetFirstByteMs: 1_000,
      maxQueueMs: 2_000,
      maxTotalMs: 8_000,
    },
    {
      name: 'short',
      tier: 1,
      floorPercent: 10,
      preference: 'goodput',
      targetFirstByteMs: 1_000,
      maxQueueMs: 200,
      maxTotalMs: 400,
    },
    {
      name: 'hidden',
      tier: 2,
      floorPercent: 0,
      preference: 'goodput',
      targetFirstByteMs: 1_000,
      maxQueueMs: 200,
      maxTotalMs: 400,
    },
  ],
  teams: [
    {
      name: 'team',
      keySha256: [createHash('sha256').update(TEAM_KEY).digest('hex')],
      classes: ['quick', 'short'],
    },
  ],
  models: [{ name: 'facet', pool: 'engines' }],
  services: [
    {
      name: 'orders',
      pool: 'orders',
      routes: [
        { method: 'POST', pathPrefix: '/', isIdempotent: true },
        { method: 'POST', pathPrefix: '/place', isIdempotent: false },
        { method: 'GET', pathPrefix: '/', isIdempotent: true },
      ],
    },
  ],
};

function createActiveBundle(): ActiveBundle {
  const teamsByKeySha256 = new Map(
    bundle.teams.flatMap((team) => team.keySha256.map((hash) => [hash, team] as const)),
  );
  return {
    bundle,
    digest: 'd',
    classesByName: new Map(bundle.classes.map((serviceClass) => [serviceClass.name, serviceClass])),
    teamsByName: new Map(bundle.teams.map((team) => [team.name, team])),
    teamsByKeySha256,
    confirmedByPlatform: true,
    confirmedAtMs: 1,
  };
}

/** Peers for which a test defines the reply to an enqueue. */
export class FakePeers implements PeerPort {
  readonly instanceId = 'entry-1';
  readonly sent: { to: string; message: PeerMessage }[] = [];
  readonly #listeners = new Set<(instanceId: string, message: PeerMessage) => void>();
  readonly #linkLossListeners = new Set<(instanceId: string) => void>();
  pingedOwners: string[] = [];
  /** Returns the reply to an enqueue; undefined sends none. */
  handleEnqueue: (message: Enqueue, to: string) => PeerMessage | undefined = () => undefined;

  sendMessage(to: string, message: PeerMessage): boolean {
    this.sent.push({ to, message });
    if (message.kind !== 'enqueue') return true;
    setImmediate(() => {
      const reply = this.handleEnqueue(message, to);
      if (reply !== undefined) this.emitMessage(to, reply);
    });
    return true;
  }

  emitMessage(from: string, message: PeerMessage): void {
    for (const listener of this.#listeners) listener(from, message);
  }

  emitLinkLoss(instanceId: string): void {
    for (const listener of this.#linkLossListeners) listener(instanceId);
  }

  watchMessages(listener: (instanceId: string, message: PeerMessage) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }

  watchLinkLoss(listener: (instanceId: string) => void): () => void {
    this.#linkLossListeners.add(listener);
    return () => this.#linkLossListeners.delete(listener);
  }

  requestPings(instanceId: string): () => void {
    this.pingedOwners.push(instanceId);
    return () => {
      this.pingedOwners = this.pingedOwners.filter((owner) => owner !== instanceId);
    };
  }

  listSent<K extends PeerMessage['kind']>(
    kind: K,
  ): { to: string; message: Extract<PeerMessage, { kind: K }> }[] {
    return this.sent.filter(
      (entry): entry is { to: string; message: Extract<PeerMessage, { kind: K }> } =>
        entry.message.kind === kind,
    );
  }

  listFinishResults(): Finish['result'][] {
    return this.listSent('finish').map(({ message }) => message.result);
  }
}

export class FakeRouting implements RoutingPort {
  readonly #listeners = new Set<(view: RoutingView) => void>();
  #view: RoutingView = { version: 1, pools: new Map() };

  getView(): RoutingView {
    return this.#view;
  }

  setRoutes(poolId: string, routes: readonly ShardRoute[]): void {
    const pools = new Map(this.#view.pools).set(poolId, routes);
    this.#view = { version: this.#view.version + 1, pools };
    for (const listener of this.#listeners) listener(this.#view);
  }

  watchView(listener: (view: RoutingView) => void): () => void {
    this.#listeners.add(listener);
    return () => this.#listeners.delete(listener);
  }
}

export class FakeClaims implements ClaimsPort {
  readonly settlements: ClaimSettlement[] = [];
  readonly claimed: string[] = [];
  reply: ClaimReply = { result: 'claimed', elapsedMs: 1 };
  delayMs = 0;

  async claimKey(keyHash: string): Promise<ClaimReply> {
    this.claimed.push(keyHash);
    if (this.delayMs > 0) await new Promise((resolve) => setTimeout(resolve, this.delayMs));
    return this.reply;
  }

  recordSettlement(settlement: ClaimSettlement): void {
    this.settlements.push(settlement);
  }
}

export class FakeOutcomes implements OutcomePort {
  readonly records: OutcomeRecord[] = [];
  flushes = 0;

  recordOutcome(record: OutcomeRecord): void {
    this.records.push(record);
  }

  async findOutcomes(requestId: string): Promise<OutcomeRecord[]> {
    return await Promise.resolve(this.records.filter((record) => record.requestId === requestId));
  }

  listRecent(sinceMs: number): OutcomeRecord[] {
    return this.records.filter((record) => record.receivedAtMs >= sinceMs);
  }

  async flush(): Promise<void> {
    this.flushes += 1;
    await Promise.resolve();
  }
}

const noop = () => undefined;

export const silentTelemetry: TelemetryPort = {
  log: { error: console.error, warn: noop, info: noop, debug: noop },
  metrics: { increment: noop, gauge: noop, timing: noop },
  trace: createTraces({
    instanceId: 'entry-1',
    otlpUrl: undefined,
    sampleRatio: 0,
    log: { error: noop, warn: noop, info: noop, debug: noop },
  }).port,
  async [Symbol.asyncDispose]() {
    await Promise.resolve();
  },
};

export function createServer(id: string, port: number): ListedInstance {
  const role = 'engine' as const;
  const common = { failureDomain: 'a', region: 'r', state: 'live' as const };
  return { id, role, address: '127.0.0.1', port, ...common };
}

export function createRoute(
  poolId: string,
  owner: string | undefined,
  servers: readonly ListedInstance[],
  shardIndex = 0,
  shardCount = 1,
): ShardRoute {
  return { poolId, shardIndex, shardCount, ownerInstanceId: owner, servers };
}

export function createGrant(attemptId: string, server: ListedInstance, validForMs = 1_000): Grant {
  const { id, address, port } = server;
  const timing = { validForMs, queuedMs: 0, priority: 3 };
  return { kind: 'grant', attemptId, serverId: id, address, port, ...timing };
}

/** An entry and the fakes it uses. */
export interface Harness extends AsyncDisposable {
  entry: EntryTask;
  url: string;
  peers: FakePeers;
  routing: FakeRouting;
  claims: FakeClaims;
  outcomes: FakeOutcomes;
  retries: { allow: boolean };
  bundles: { active: ActiveBundle | undefined };
}

/** Starts an entry whose dispatcher `owner-1` grants the first server that isn't excluded. */
export async function createHarness(
  servers: readonly ListedInstance[],
  overrides: Partial<EntryOptions> = {},
): Promise<Harness> {
  const peers = new FakePeers();
  const routing = new FakeRouting();
  const claims = new FakeClaims();
  const outcomes = new FakeOutcomes();
  const retries = { allow: true };
  const bundles = { active: createActiveBundle() as ActiveBundle | undefined };
  const bundlePort: BundlePort = { getActive: () => bundles.active, watchActive: () => noop };
  for (const poolId of ['model:engines', 'service:orders']) {
    routing.setRoutes(poolId, [createRoute(poolId, 'owner-1', servers)]);
  }
  peers.handleEnqueue = (message) => {
    const server = servers.find(({ id }) => !message.excludedServerIds.includes(id));
    return server === undefined ? undefined : createGrant(message.attemptId, server);
  };
  const entry = await createEntryTask({
    settings,
    telemetry: silentTelemetry,
    peers,
    routing,
    bundles: bundlePort,
    claims,
    outcomes,
    chooseShard: (routes) => routes[0],
    retryBudget: { recordFirstAttempt: noop, takeRetry: () => retries.allow },
    hashToUint32: (text) => text.length,
    stallMs: 300,
    ...overrides,
  });
  const url = `http://127.0.0.1:${entry.port}`;
  const dispose = async () => {
    await entry[Symbol.asyncDispose]();
  };
  const parts = { entry, url, peers, routing, claims, outcomes, retries, bundles };
  return { ...parts, [Symbol.asyncDispose]: dispose };
}

export const chatBody = { model: 'facet', messages: [{ role: 'user', content: 'cut?' }] };

export async function sendChat(
  url: string,
  body: unknown = chatBody,
  headers: Record<string, string> = {},
  signal?: AbortSignal,
): Promise<Response> {
  return await fetch(`${url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${TEAM_KEY}`, ...headers },
    body: typeof body === 'string' ? body : JSON.stringify(body),
    ...(signal === undefined ? {} : { signal }),
  });
}

export async function sendServiceCall(
  url: string,
  method: string,
  path: string,
  headers: Record<string, string> = {},
  body?: string,
): Promise<Response> {
  return await fetch(`${url}/services/orders${path}`, {
    ...{ method, ...(body === undefined || body === '' ? {} : { body }) },
    headers: { authorization: `Bearer ${TEAM_KEY}`, ...headers },
  });
}

export async function waitUntil(condition: () => boolean, limitMs = 4_000): Promise<void> {
  const deadlineMs = performance.now() + limitMs;
  while (!condition()) {
    if (performance.now() > deadlineMs) throw new Error('condition not met in time');
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

/** Returns the text of all chunks of a streamed response and their ids. */
export function parseStream(text: string): { content: string; ids: Set<string>; isDone: boolean } {
  const data = text
    .split('\n\n')
    .filter((event) => event.startsWith('data: '))
    .map((event) => event.slice(6));
  const chunks = data
    .filter((event) => event !== '[DONE]')
    .map(
      (event) => JSON.parse(event) as { id: string; choices?: { delta: { content?: string } }[] },
    );
  const content = chunks.map((chunk) => chunk.choices?.[0]?.delta.content ?? '').join('');
  return { content, ids: new Set(chunks.map(({ id }) => id)), isDone: data.at(-1) === '[DONE]' };
}
