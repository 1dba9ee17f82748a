import type { Scheduler, SchedulingClass, SchedulingTeam, ShardServer } from '@pollendrum/policy';
import type { ListedInstance, ServiceClass, Team } from '@pollendrum/protocol';
import type { ActiveBundle, ShardRoute } from '../ports';

/** A shard that this instance decides. */
export interface OwnedShard {
  key: string;
  route: ShardRoute;
  scheduler: Scheduler;
  /** No grants before this time, so that entries can announce the ones they hold. */
  collectUntilMs: number;
  /** When an entry was last told the load. */
  summarySentMs: Map<string, number>;
}

/** What polls have shown of a backend server. */
export interface ServerLoad {
  isDraining: boolean;
  isDown: boolean;
  slots: number | undefined;
}

/** A changed shard count makes other shards, so it is part of the key. */
export function buildShardKey(poolId: string, shardIndex: number, shardCount: number): string {
  return `${poolId}/${shardIndex}/${shardCount}`;
}

/** The lower of listed and reported slots counts: a report may lower trust, not raise it. */
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

/** Puts classes and team limits of the bundle in force. Each of k shards applies 1/k of a limit. */
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
