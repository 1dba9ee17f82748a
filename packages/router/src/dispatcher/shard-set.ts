import type { ListedInstance } from '@pollendrum/protocol';
import type { ActiveBundle, CrashReport, ShardRoute } from '../ports';
import {
  ADOPTION_PERIOD_MS,
  DEFAULT_SLOTS_PER_SERVER,
  type DispatcherTaskOptions,
} from './dispatcher-options';
import {
  buildShardKey,
  toShardServer,
  updatePolicy,
  type OwnedShard,
  type ServerLoad,
} from './owned-shard';

/** Differences between the owned shards and the routing view. */
export interface RouteChanges {
  released: OwnedShard[];
  added: ShardRoute[];
}

/** The shards that this instance owns, with their schedulers. */
export class ShardSet {
  readonly #options: DispatcherTaskOptions;
  readonly #getLoad: (serverId: string) => ServerLoad | undefined;
  readonly #shards = new Map<string, OwnedShard>();

  constructor(
    options: DispatcherTaskOptions,
    getLoad: (serverId: string) => ServerLoad | undefined,
  ) {
    this.#options = options;
    this.#getLoad = getLoad;
  }

  get(poolId: string, shardIndex: number, shardCount: number): OwnedShard | undefined {
    return this.#shards.get(buildShardKey(poolId, shardIndex, shardCount));
  }

  has(shard: OwnedShard): boolean {
    return this.#shards.get(shard.key) === shard;
  }

  list(): OwnedShard[] {
    return [...this.#shards.values()];
  }

  listServers(): ListedInstance[] {
    return this.list().flatMap(({ route }) => route.servers);
  }

  findByServer(poolId: string, serverId: string): OwnedShard | undefined {
    return this.list().find(
      ({ route }) => route.poolId === poolId && route.servers.some(({ id }) => id === serverId),
    );
  }

  /**
   * Updates the routes of owned shards from the routing view, and returns the shards to release and the
   * routes to create shards for; the dispatcher task does both.
   */
  updateRoutes(): RouteChanges {
    const { routing, instanceId } = this.#options;
    const added: ShardRoute[] = [];
    const ownedKeys = new Set<string>();
    for (const route of [...routing.getView().pools.values()].flat()) {
      if (route.ownerInstanceId !== instanceId) continue;
      ownedKeys.add(buildShardKey(route.poolId, route.shardIndex, route.shardCount));
      const shard = this.get(route.poolId, route.shardIndex, route.shardCount);
      if (shard === undefined) added.push(route);
      else shard.route = route;
    }
    return { released: this.list().filter(({ key }) => !ownedKeys.has(key)), added };
  }

  create(route: ShardRoute, nowMs: number): OwnedShard {
    const { poolId, shardIndex, shardCount } = route;
    const { createScheduler, bundles, membership, log } = this.#options;
    const shard: OwnedShard = {
      key: buildShardKey(poolId, shardIndex, shardCount),
      route,
      scheduler: createScheduler({ poolId, shardIndex, shardCount, nowMs }),
      adoptUntilMs: nowMs + ADOPTION_PERIOD_MS,
      summarySentAtMs: new Map(),
    };
    this.#shards.set(shard.key, shard);
    const active = bundles.getActive();
    if (active !== undefined) updatePolicy(shard, active);
    for (const report of membership.listCrashes()) observeReport(shard, report, nowMs);
    log.info('dispatcher took over a shard', { poolId, shardIndex });
    return shard;
  }

  remove(shard: OwnedShard): void {
    const { poolId, shardIndex } = shard.route;
    this.#shards.delete(shard.key);
    this.#options.log.info('dispatcher released a shard', { poolId, shardIndex });
  }

  updateServers(nowMs: number): void {
    const defaultSlots = this.#options.slotsPerServer ?? DEFAULT_SLOTS_PER_SERVER;
    for (const { route, scheduler } of this.#shards.values()) {
      const servers = route.servers.map((server) =>
        toShardServer(server, this.#getLoad(server.id), defaultSlots),
      );
      scheduler.updateServers(servers, nowMs);
    }
  }

  updatePolicies(active: ActiveBundle): void {
    for (const shard of this.#shards.values()) updatePolicy(shard, active);
  }

  observeReport(report: CrashReport, nowMs: number): void {
    for (const shard of this.#shards.values()) observeReport(shard, report, nowMs);
  }
}

function observeReport({ scheduler }: OwnedShard, report: CrashReport, nowMs: number): void {
  switch (report.kind) {
    case 'crash':
      scheduler.observeCrash(report.fingerprint, report.serverId, nowMs - report.ageMs);
      return;
    case 'cleared':
      scheduler.clearCrash(report.fingerprint);
  }
}
