import type { Settings } from '@pollendrum/protocol';
import type { Member, RoutingView } from '../ports';
import type { TrafficCounts } from '../telemetry/traffic-counter';
import type { InstanceTasks } from './instance-tasks';

/** Response body of `GET /admin/status`. */
export interface InstanceStatus {
  instanceId: string;
  failureDomain: string;
  region: string;
  isDraining: boolean;
  bundle: BundleStatus | undefined;
  members: readonly Member[];
  shards: ShardStatus[];
  /** Control traffic between instances since the start, or undefined if it is not counted. */
  control: { membership: TrafficCounts; links: TrafficCounts } | undefined;
}

export interface BundleStatus {
  number: number;
  digest: string;
  confirmedByPlatform: boolean;
  /** Unix time in milliseconds of the last confirmation by the platform or a peer. */
  bundleAsOf: number;
}

export interface ShardStatus {
  poolId: string;
  shardIndex: number;
  shardCount: number;
  ownerInstanceId: string | undefined;
  servers: { id: string; address: string; port: number; state: 'live' | 'leaving' }[];
}

/** Builds the status of an instance for operators. */
export function describeInstance(
  settings: Settings,
  tasks: Pick<InstanceTasks, 'bundles' | 'membership' | 'routing' | 'traffic'>,
  isDraining: boolean,
): InstanceStatus {
  const { instanceId, failureDomain, region } = settings;
  return {
    instanceId,
    failureDomain,
    region,
    isDraining,
    bundle: describeBundle(tasks),
    members: tasks.membership.getView().members,
    shards: listShards(tasks.routing.getView()),
    control: describeTraffic(tasks),
  };
}

function describeTraffic({ traffic }: Pick<InstanceTasks, 'traffic'>): InstanceStatus['control'] {
  if (traffic === undefined) return undefined;
  return { membership: traffic.membership.getCounts(), links: traffic.links.getCounts() };
}

function describeBundle(tasks: Pick<InstanceTasks, 'bundles'>): BundleStatus | undefined {
  const active = tasks.bundles.getActive();
  if (active === undefined) return undefined;
  const { bundle, digest, confirmedByPlatform, confirmedAtMs } = active;
  return { number: bundle.number, digest, confirmedByPlatform, bundleAsOf: confirmedAtMs };
}

function listShards(view: RoutingView): ShardStatus[] {
  return [...view.pools.values()].flat().map((route) => ({
    poolId: route.poolId,
    shardIndex: route.shardIndex,
    shardCount: route.shardCount,
    ownerInstanceId: route.ownerInstanceId,
    servers: route.servers.map(({ id, address, port, state }) => ({ id, address, port, state })),
  }));
}
