import type { ListedInstance } from '@pollendrum/protocol';
import type { Member, RoutingView, ShardRoute } from '../ports';

/** Functions that assign servers to shards and shards to instances. */
export interface RoutingPolicy {
  chooseOwner: (key: string, instanceIds: readonly string[]) => string | undefined;
  resolveShardCount: (serverCount: number) => number;
  computeShardIndex: (serverId: string, shardCount: number) => number;
}

/** Returns a backend server's pool id, `model:NAME` or `service:NAME`; undefined for other instances. */
export function resolvePoolId(instance: ListedInstance): string | undefined {
  if (instance.pool === undefined) return undefined;
  switch (instance.role) {
    case 'engine':
      return `model:${instance.pool}`;
    case 'service':
      return `service:${instance.pool}`;
    case 'router':
      return undefined;
  }
}

/**
 * Assigns each listed backend server to a shard and each shard to an instance. Suspect instances
 * still own shards, because most suspicions are refuted; leaving instances do not.
 */
export function buildRoutingView(
  members: readonly Member[],
  listedInstances: readonly ListedInstance[],
  localInstanceId: string,
  policy: RoutingPolicy,
  version = 1,
): RoutingView {
  const ownerIds = listOwnerIds(members, localInstanceId);
  const pools = new Map<string, readonly ShardRoute[]>();
  for (const [poolId, poolServers] of collectPools(listedInstances)) {
    pools.set(poolId, buildShards(poolId, poolServers, ownerIds, policy));
  }
  return { version, pools };
}

function listOwnerIds(members: readonly Member[], localInstanceId: string): string[] {
  const ids = members
    .filter(({ state }) => state !== 'leaving')
    .map(({ instanceId }) => instanceId);
  const isLocalKnown = members.some(({ instanceId }) => instanceId === localInstanceId);
  if (!isLocalKnown) ids.push(localInstanceId);
  return ids.sort();
}

function collectPools(listedInstances: readonly ListedInstance[]): Map<string, ListedInstance[]> {
  const pools = new Map<string, ListedInstance[]>();
  const sorted = [...listedInstances].sort((a, b) => (a.id < b.id ? -1 : 1));
  for (const server of sorted) {
    const poolId = resolvePoolId(server);
    if (poolId === undefined) continue;
    const pool = pools.get(poolId) ?? [];
    pool.push(server);
    pools.set(poolId, pool);
  }
  return pools;
}

function buildShards(
  poolId: string,
  servers: readonly ListedInstance[],
  ownerIds: readonly string[],
  policy: RoutingPolicy,
): ShardRoute[] {
  const shardCount = policy.resolveShardCount(servers.length);
  // Each server is hashed only once: with 7,500 servers, hashing all servers for each shard takes
  // seconds.
  const serversByShard = Array.from({ length: shardCount }, (): ListedInstance[] => []);
  for (const server of servers) {
    serversByShard[policy.computeShardIndex(server.id, shardCount)]?.push(server);
  }
  return serversByShard.map((shardServers, shardIndex) => ({
    ...{ poolId, shardIndex, shardCount },
    ownerInstanceId: policy.chooseOwner(`${poolId}/${shardIndex}`, ownerIds),
    servers: shardServers,
  }));
}
