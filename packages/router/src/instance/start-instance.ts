import { createPlatformClient } from '@pollendrum/platform';
import type { PlatformClient } from '@pollendrum/platform';
import {
  chooseOwner,
  chooseShards,
  computeShardIndex,
  createRetryBudget,
  createScheduler,
  hashToUint32,
  resolveShardCount,
} from '@pollendrum/policy';
import type { Settings } from '@pollendrum/protocol';
import {
  createBundleTask,
  createClaimsTask,
  createInstanceListTask,
  createOutcomeTask,
} from '../control';
import { createDispatcherTask } from '../dispatcher';
import type { ChooseShard, TlsCredentials } from '../entry';
import { createLinkTask } from '../link';
import type { LinkTask, LinkTls } from '../link';
import { createMembershipTask } from '../membership';
import type { MembershipTask } from '../membership';
import type { TelemetryPort } from '../ports';
import { createRoutingTask } from '../routing';
import type { RoutingTask } from '../routing';
import { createTelemetry } from '../telemetry';
import { TrafficCounter, type ControlTraffic } from '../telemetry/traffic-counter';
import { createInstance } from './instance';
import type { Instance } from './instance';
import type { InstanceTasks } from './instance-tasks';
import { KeyFileWatcher } from './key-files';

const DEFAULT_CLAIM_RETENTION_MS = 86_400_000;

/** A started instance and what its owner disposes of last. */
export interface StartedInstance extends AsyncDisposable {
  instance: Instance;
  telemetry: TelemetryPort;
  /** Port of the link and membership sockets. */
  peerPort: number;
}

/**
 * Starts all tasks of an instance. The instance is ready once it has a bundle.
 * @throws Error when a port cannot be bound or a key file cannot be read.
 */
export async function startInstance(
  settings: Settings,
  clusterKey: string,
): Promise<StartedInstance> {
  const telemetry = createTelemetry(settings);
  const client = createPlatformClient({ url: settings.platformUrl });
  const callerKeys = watchKeyFiles(settings, 'callerTls', telemetry);
  const peerKeys = watchKeyFiles(settings, 'peerTls', telemetry);
  const closeShared = async () => {
    callerKeys?.[Symbol.dispose]();
    peerKeys?.[Symbol.dispose]();
    await client[Symbol.asyncDispose]();
    await telemetry[Symbol.asyncDispose]();
  };
  try {
    const base = await startPeerTasks(settings, clusterKey, telemetry, peerKeys);
    const tasks = startTasks(settings, telemetry, client, base);
    const instance = await createInstance(settings, {
      telemetry,
      tasks,
      clusterKey,
      hashToUint32,
      chooseShard: createShardChooser(settings),
      retryBudget: createEntryRetryBudget(),
      callerTls: callerKeys?.keys,
    });
    callerKeys?.watchKeys((keys) => {
      instance.entry.updateTls(keys);
    });
    return {
      instance,
      telemetry,
      peerPort: base.peers.port,
      async [Symbol.asyncDispose]() {
        await instance[Symbol.asyncDispose]();
        await closeShared();
      },
    };
  } catch (error) {
    await closeShared();
    throw error;
  }
}

interface PeerTasks {
  membership: MembershipTask;
  peers: LinkTask;
  traffic: ControlTraffic;
}

async function startPeerTasks(
  settings: Settings,
  clusterKey: string,
  telemetry: TelemetryPort,
  keys: KeyFileWatcher | undefined,
): Promise<PeerTasks> {
  const { instanceId, address, peerPort, failureDomain, region, httpPort } = settings;
  const { log, metrics } = telemetry;
  const traffic = { membership: new TrafficCounter(), links: new TrafficCounter() };
  const membership = await createMembershipTask({
    self: { instanceId, address, peerPort, adminPort: httpPort, failureDomain, region },
    ...{ clusterKey, log, metrics, probeIntervalMs: settings.probeIntervalMs },
    traffic: traffic.membership,
  });
  const peers = await createLinkTask({
    ...{ instanceId, address, failureDomain, clusterKey, log, metrics },
    // Links and membership share one port number, TCP and UDP.
    port: membership.port,
    getMember: (id) => membership.getView().members.find((member) => member.instanceId === id),
    reportUnreachable: (id, evidence) => {
      membership.reportUnreachable(id, evidence);
    },
    tls: keys && toLinkTls(keys.keys),
    traffic: traffic.links,
  }).catch(async (error: unknown) => {
    await membership[Symbol.asyncDispose]();
    throw error;
  });
  keys?.watchKeys((changed) => {
    peers.updateTls(toLinkTls(changed));
  });
  return { membership, peers, traffic };
}

function startTasks(
  settings: Settings,
  telemetry: TelemetryPort,
  client: PlatformClient,
  { membership, peers, traffic }: PeerTasks,
): InstanceTasks {
  const { log, metrics } = telemetry;
  const { instanceId } = settings;
  const routing = createRoutingTask({
    ...{ instanceId, membership, chooseOwner, resolveShardCount, computeShardIndex },
  });
  const instanceList = startListTask(client, telemetry, routing);
  const shared = { client, membership, peer: peers, telemetry };
  const bundles = createBundleTask({
    ...shared,
    trustedOperators: settings.trustedOperators ?? [],
    requiredSignatures: settings.requiredSignatures ?? 1,
  });
  const outcomes = createOutcomeTask(shared);
  const claims = createClaimsTask({
    ...shared,
    chooseOwner,
    retentionMs: settings.claimRetentionMs ?? DEFAULT_CLAIM_RETENTION_MS,
  });
  const dispatcher = createDispatcherTask({
    ...{ instanceId, peers, routing, bundles, membership, log, metrics },
    // The dispatcher divides team limits by the shard count before it passes them on.
    createScheduler: () => createScheduler(),
    recordOutcome: (record) => {
      outcomes.recordOutcome(record);
    },
    slotsPerServer: settings.slotsPerServer,
  });
  return {
    ...{ peers, membership, traffic, instanceList, bundles, claims, outcomes },
    routing: Object.assign(routing, {
      async [Symbol.asyncDispose]() {
        await Promise.resolve(routing[Symbol.dispose]());
      },
    }),
    dispatcher: {
      releaseShards: async () => {
        await Promise.resolve(dispatcher.stop());
      },
      [Symbol.asyncDispose]: () => dispatcher[Symbol.asyncDispose](),
    },
  };
}

function startListTask(client: PlatformClient, telemetry: TelemetryPort, routing: RoutingTask) {
  return createInstanceListTask({
    client,
    telemetry,
    handleChange: (list) => {
      routing.updateList(list.instances);
    },
    handleRead: (list) => {
      routing.updateList(list.instances);
    },
  });
}

/** Adapts the policy's choice among shards: those with servers in the own region, if there are any. */
function createShardChooser(settings: Settings): ChooseShard {
  return (routes, prefixHash, waitMs) => {
    const inRegion = routes.filter(({ servers }) =>
      servers.some((server) => server.region === settings.region),
    );
    const usable = inRegion.length > 0 ? inRegion : routes;
    const shards = usable.map(({ shardIndex }) => ({ shardIndex, waitMs: waitMs(shardIndex) }));
    const subsetKey = settings.instanceId;
    const [chosen] = chooseShards({ shards, subsetKey, prefixHash, random: Math.random });
    return routes.find((route) => route.shardIndex === chosen);
  };
}

function createEntryRetryBudget() {
  const budget = createRetryBudget();
  return {
    recordFirstAttempt: (className: string, nowMs: number) => {
      budget.recordFirstAttempt(className, nowMs);
    },
    takeRetry: (className: string, percent: number, nowMs: number) =>
      budget.takeRetry(className, nowMs, percent),
  };
}

function watchKeyFiles(
  settings: Settings,
  setting: 'callerTls' | 'peerTls',
  { log }: TelemetryPort,
): KeyFileWatcher | undefined {
  const files = settings[setting];
  return files && new KeyFileWatcher({ files, setting, log });
}

// Without a file of authorities all instances share one certificate that signed itself.
function toLinkTls({ certificate, key, ca }: TlsCredentials): LinkTls {
  return { certificate, key, ca: ca ?? certificate };
}
