import { createHash } from 'node:crypto';
import type {
  ListedInstance,
  OutcomeRecord,
  PeerMessage,
  ServiceClass,
  Team,
} from '@pollendrum/protocol';
import { createEntryTask } from '@pollendrum/router';
import type { ActiveBundle, EntryTask, PeerPort, RoutingView } from '@pollendrum/router';

/** Bearer key of the measured team. */
export const TEAM_KEY = 'relay-key';

const TEAM = 'relay';
const POOL = 'engines';
const MODEL = 'facet';
const MAX_TOTAL_MS = 600_000;

const discard = () => undefined;

const serviceClass: ServiceClass = {
  ...{ name: 'stream', tier: 0, floorPercent: 0, preference: 'attainment' },
  ...{ targetFirstByteMs: 1_000, maxQueueMs: 2_000, maxTotalMs: MAX_TOTAL_MS },
};

/** An entry whose dispatcher grants every request at once. */
export interface MeasuredEntry extends AsyncDisposable {
  entry: EntryTask;
  records: OutcomeRecord[];
}

/** Starts an entry in front of one engine, without links to other instances and without telemetry. */
export async function startMeasuredEntry(enginePort: number): Promise<MeasuredEntry> {
  const server: ListedInstance = {
    ...{ id: 'engine-1', role: 'engine', address: '127.0.0.1', port: enginePort },
    ...{ failureDomain: 'a', region: 'r', state: 'live' },
  };
  const records: OutcomeRecord[] = [];
  const active = createActiveBundle();
  const entry = await createEntryTask({
    settings: {
      ...{ instanceId: 'entry-1', address: '127.0.0.1', httpPort: 0, peerPort: 1 },
      ...{ failureDomain: 'a', region: 'r', platformUrl: 'http://127.0.0.1:1', clusterKey: 'k' },
    },
    telemetry: {
      log: { error: console.error, warn: discard, info: discard, debug: discard },
      metrics: { increment: discard, gauge: discard, timing: discard },
      trace: { startRequestSpan: () => silentSpan },
      [Symbol.asyncDispose]: () => Promise.resolve(),
    },
    peers: createGrantingPeer(server),
    routing: { getView: () => createView(server), watchView: () => discard },
    bundles: { getActive: () => active, watchActive: () => discard },
    claims: {
      claimKey: () => Promise.resolve({ result: 'claimed' as const, elapsedMs: 0 }),
      recordSettlement: discard,
    },
    outcomes: {
      recordOutcome: (record) => records.push(record),
      findOutcomes: () => Promise.resolve([]),
      listRecent: () => [],
      flush: waitNothing,
    },
    chooseShard: (routes) => routes[0],
    retryBudget: { recordFirstAttempt: discard, takeRetry: () => true },
    hashToUint32: (text) => text.length,
  });
  return { entry, records, [Symbol.asyncDispose]: () => entry[Symbol.asyncDispose]() };
}

const silentSpan = {
  setAttribute: discard,
  injectHeaders: () => ({}),
  startChild: () => silentSpan,
  fail: discard,
  [Symbol.dispose]: discard,
};

async function waitNothing(): Promise<void> {
  await Promise.resolve();
}

function createActiveBundle(): ActiveBundle {
  const keySha256 = createHash('sha256').update(TEAM_KEY).digest('hex');
  const team: Team = { name: TEAM, keySha256: [keySha256], classes: [serviceClass.name] };
  return {
    bundle: {
      ...{ formatVersion: 1, number: 1, description: 'relay bench', services: [] },
      ...{ classes: [serviceClass], teams: [team], models: [{ name: MODEL, pool: POOL }] },
    },
    digest: 'd',
    classesByName: new Map([[serviceClass.name, serviceClass]]),
    teamsByName: new Map([[TEAM, team]]),
    teamsByKeySha256: new Map([[keySha256, team]]),
    confirmedByPlatform: true,
    confirmedAtMs: 1,
  };
}

function createView(server: ListedInstance): RoutingView {
  const poolId = `model:${POOL}`;
  const place = { poolId, shardIndex: 0, shardCount: 1, ownerInstanceId: 'entry-1' };
  return { version: 1, pools: new Map([[poolId, [{ ...place, servers: [server] }]]]) };
}

function createGrantingPeer(server: ListedInstance): PeerPort {
  const listeners = new Set<(instanceId: string, message: PeerMessage) => void>();
  return {
    instanceId: 'entry-1',
    sendMessage: (to, message) => {
      if (message.kind !== 'enqueue') return true;
      const { id: serverId, address, port } = server;
      const limits = { validForMs: 1_000, queuedMs: 0, priority: 0 };
      const { attemptId } = message;
      // Links deliver messages to the own instance in a later turn of the event loop.
      setImmediate(() => {
        for (const listener of listeners) {
          listener(to, { kind: 'grant', attemptId, serverId, address, port, ...limits });
        }
      });
      return true;
    },
    watchMessages: (listener) => {
      listeners.add(listener);
      return () => listeners.delete(listener);
    },
    watchLinkLoss: () => discard,
    requestPings: () => discard,
  };
}
