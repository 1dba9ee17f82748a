import type { Scheduler, SchedulingClass, SchedulingTeam, ShardServer } from '@pollendrum/policy';
import type { ListedInstance, ServiceClass, Team } from '@pollendrum/protocol';
import type { ActiveBundle, ShardRoute } from '../ports';

/** A shard whose dispatcher is this instance. */
export interface OwnedShard {
  key: string;
  route: ShardRoute;
  scheduler: Scheduler;
  /** End of the adoption period: no grants are made before, so that entries can report their held slots. */
  adoptUntilMs: number;
  /** When the last summary was sent, by entry. */
  summarySentAtMs: Map<string, number>;
}

/** State of a backend server according to load polls. */
export interface ServerLoad {
  isDraining: boolean;
  isDown: boolean;
  slots: number | undefined;
}

/** Builds the key of a shard. It contains the shard count, because another count means other shards. */
export function buildShardKey(poolId: string, shardIndex: number, shardCount: number): string {
  return `${poolId}/${shardIndex}/${shardCount}`;
}

/**
 * Builds the scheduler's view of a server. Uses the lower of the listed and the reported number of slots: a
 * server's report may reduce the listed number, but not raise it. `isLeaving` is also set for servers that
 * drain or are down, because they must get no grants either.
 */
export function toShardServer(
  server: ListedInstance,
  load: ServerLoad | undefined,
  defaultSlots: number,
): ShardServer {
  const known = [server.slots, load?.slots].filter((slots) => slots !== undefined);
  const isUnusable = load !== undefined && (load.isDraining || load.isDown);
  return {
    id: server.id,
    slots: known.length > 0 ? Math.min(...known) : defaultSlots,
    failureDomain: server.failureDomain,
    isLeaving: server.state === 'leaving' || isUnusable,
  };
}

/** Applies the bundle's classes and team limits to a shard. Each of k shards applies 1/k of a limit. */
export function updatePolicy(shard: OwnedShard, active: ActiveBundle): void {
  const { shardCount } = shard.route;
  shard.scheduler.updateClasses(active.bundle.classes.map(toSchedulingClass));
  shard.scheduler.updateTeams(
    active.bundle.teams.map((team) => toSchedulingTeam(team, shardCount)),
  );
}

function toSchedulingClass(serviceClass: ServiceClass): SchedulingClass {
  const { name, tier, floorPercent, preference, targetFirstByteMs, maxQueueMs } = serviceClass;
  return { name, tier, floorPercent, preference, targetFirstByteMs, maxQueueMs };
}

function toSchedulingTeam(team: Team, shardCount: number): SchedulingTeam {
  const { name, weight = 1, requestsPerSecond, concurrentRequests } = team;
  return {
    name,
    weight,
    requestsPerSecond: requestsPerSecond === undefined ? undefined : requestsPerSecond / shardCount,
    concurrentRequests:
      concurrentRequests === undefined ? undefined : Math.ceil(concurrentRequests / shardCount),
  };
}
