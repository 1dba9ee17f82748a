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
import { TlsFileWatcher } from './tls-file-watcher';

const DEFAULT_CLAIM_RETENTION_MS = 86_400_000;
/** Ports that are tried for the peer sockets if the settings leave the choice to the system. */
const MAX_PORT_ATTEMPTS = 10;

/** A started instance and its telemetry. Disposal stops the instance first and then the telemetry. */
export interface StartedInstance extends AsyncDisposable {
  instance: Instance;
  telemetry: TelemetryPort;
  /** Port of the link (TCP) and membership (UDP) sockets. */
  peerPort: number;
}

/**
 * Starts all tasks of an instance. The instance is ready once it has a bundle.
 * @throws Error when a port cannot be bound or a TLS file cannot be used.
 */
export async function startInstance(
  settings: Settings,
  clusterKey: string,
): Promise<StartedInstance> {
  const telemetry = createTelemetry(settings);
  const client = createPlatformClient({ url: settings.platformUrl });
  const callerTlsFiles = watchTlsFiles(settings, 'callerTls', telemetry);
  const peerTlsFiles = watchTlsFiles(settings, 'peerTls', telemetry);
  const closeSharedResources = async () => {
    callerTlsFiles?.[Symbol.dispose]();
    peerTlsFiles?.[Symbol.dispose]();
    await client[Symbol.asyncDispose]();
    await telemetry[Symbol.asyncDispose]();
  };
  try {
    const peerTasks = await startPeerTasks(settings, clusterKey, telemetry, peerTlsFiles);
    const tasks = startTasks(settings, telemetry, client, peerTasks);
    const instance = await createInstance(settings, {
      telemetry,
      tasks,
      clusterKey,
      hashToUint32,
      chooseShard: createShardChooser(settings),
      retryBudget: createEntryRetryBudget(),
      callerTls: callerTlsFiles?.credentials,
    });
    callerTlsFiles?.watchCredentials((credentials) => {
      instance.entry.updateTls(credentials);
    });
    return {
      instance,
      telemetry,
      peerPort: peerTasks.peers.port,
      async [Symbol.asyncDispose]() {
        await instance[Symbol.asyncDispose]();
        await closeSharedResources();
      },
    };
  } catch (error) {
    await closeSharedResources();
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
  tlsFiles: TlsFileWatcher | undefined,
): Promise<PeerTasks> {
  for (let attempt = 1; ; attempt += 1) {
    try {
      return await openPeerTasks(settings, clusterKey, telemetry, tlsFiles);
    } catch (error) {
      // The system chooses a port that is free for UDP; a connection may use the same number for TCP.
      const isRetried = settings.peerPort === 0 && attempt < MAX_PORT_ATTEMPTS;
      if (!isRetried || (error as NodeJS.ErrnoException).code !== 'EADDRINUSE') throw error;
    }
  }
}

async function openPeerTasks(
  settings: Settings,
  clusterKey: string,
  telemetry: TelemetryPort,
  tlsFiles: TlsFileWatcher | undefined,
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
    // Links (TCP) and membership (UDP) use the same port number.
    port: membership.port,
    getMember: (id) => membership.getView().members.find((member) => member.instanceId === id),
    reportUnreachable: (id, evidence) => {
      membership.reportUnreachable(id, evidence);
    },
    tls: tlsFiles && toLinkTls(tlsFiles.credentials),
    traffic: traffic.links,
  }).catch(async (error: unknown) => {
    await membership[Symbol.asyncDispose]();
    throw error;
  });
  tlsFiles?.watchCredentials((credentials) => {
    peers.updateTls(toLinkTls(credentials));
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
  const instanceList = startInstanceListTask(client, telemetry, routing);
  const sharedOptions = { client, membership, peers, telemetry };
  const bundles = createBundleTask({
    ...sharedOptions,
    trustedOperators: settings.trustedOperators ?? [],
    requiredSignatures: settings.requiredSignatures ?? 1,
  });
  const outcomes = createOutcomeTask(sharedOptions);
  const claims = createClaimsTask({
    ...sharedOptions,
    chooseOwner,
    retentionMs: settings.claimRetentionMs ?? DEFAULT_CLAIM_RETENTION_MS,
  });
  const dispatcher = createDispatcherTask({
    ...{ instanceId, peers, routing, bundles, membership, log, metrics },
    // The dispatcher divides team limits by the shard count before it passes them to the scheduler.
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

function startInstanceListTask(
  client: PlatformClient,
  telemetry: TelemetryPort,
  routing: RoutingTask,
) {
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

/** Adapts chooseShards of the policy. Considers only shards with servers in the instance's region, if any exist. */
function createShardChooser(settings: Settings): ChooseShard {
  return (routes, prefixHash, waitMs) => {
    const routesInRegion = routes.filter(({ servers }) =>
      servers.some((server) => server.region === settings.region),
    );
    const candidates = routesInRegion.length > 0 ? routesInRegion : routes;
    const shards = candidates.map(({ shardIndex }) => ({ shardIndex, waitMs: waitMs(shardIndex) }));
    const subsetKey = settings.instanceId;
    const [chosenShardIndex] = chooseShards({ shards, subsetKey, prefixHash, random: Math.random });
    return routes.find((route) => route.shardIndex === chosenShardIndex);
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

function watchTlsFiles(
  settings: Settings,
  setting: 'callerTls' | 'peerTls',
  { log }: TelemetryPort,
): TlsFileWatcher | undefined {
  const files = settings[setting];
  return files && new TlsFileWatcher({ files, setting, log });
}

// Without a CA file, all instances share one self-signed certificate, which also serves as the CA.
function toLinkTls({ certificate, key, ca }: TlsCredentials): LinkTls {
  return { certificate, key, ca: ca ?? certificate };
}
