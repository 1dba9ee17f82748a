import type {
  Decision,
  FinishedGrant,
  QueuedRequest,
  Scheduler,
  SchedulingClass,
  ShardServer,
} from '@pollendrum/policy';
import type { Preset } from './workload';

/** What the bench shows a policy: requests, ends of grants, the clock; it answers with decisions. */
export interface BenchPolicy {
  enqueue(request: QueuedRequest, nowMs: number): void;
  withdraw(attemptId: string): void;
  finish(grant: FinishedGrant, nowMs: number): void;
  /** Servers in the platform's list, as it shows them now. */
  updateServers(servers: readonly ShardServer[], nowMs: number): void;
  takeDecisions(nowMs: number): Decision[];
  getNextWakeMs(): number;
}

/** Builds the router's scheduler for a preset. */
export type CreateScheduler = (preset: Preset) => Scheduler;

/** Where a baseline finds the load that servers reported. */
export type ReadReportedLoad = (serverId: string) => number;

/** Adapts the scheduler of the router. */
export function createSchedulerPolicy(scheduler: Scheduler): BenchPolicy {
  return {
    enqueue: (request, nowMs) => scheduler.enqueue(request, nowMs),
    withdraw: (attemptId) => scheduler.withdraw(attemptId),
    finish: (grant, nowMs) => scheduler.finish(grant, nowMs),
    updateServers: (servers, nowMs) => scheduler.updateServers(servers, nowMs),
    takeDecisions: (nowMs) => scheduler.takeDecisions(nowMs),
    getNextWakeMs: () => scheduler.getNextWakeMs(),
  };
}

interface Waiting {
  request: QueuedRequest;
  tier: number;
}

/** Assigns each arrival to a server at once; each server works in arrival order. */
export class AssignedServerPolicy implements BenchPolicy {
  readonly #queues = new Map<string, Waiting[]>();
  readonly #used = new Map<string, Set<string>>();
  readonly #chooseServer: (serverIds: readonly string[]) => string | undefined;
  #servers: readonly ShardServer[] = [];

  constructor(chooseServer: (serverIds: readonly string[]) => string | undefined) {
    this.#chooseServer = chooseServer;
  }

  enqueue(request: QueuedRequest): void {
    const allowed = this.#servers.filter(
      (server) => !request.excludedServerIds.includes(server.id),
    );
    const serverId = this.#chooseServer(allowed.map((server) => server.id));
    if (serverId === undefined) return;
    const queue = this.#queues.get(serverId) ?? [];
    queue.push({ request, tier: 0 });
    this.#queues.set(serverId, queue);
  }

  withdraw(attemptId: string): void {
    for (const queue of this.#queues.values()) {
      const index = queue.findIndex((waiting) => waiting.request.attemptId === attemptId);
      if (index >= 0) queue.splice(index, 1);
    }
  }

  finish(grant: FinishedGrant): void {
    for (const used of this.#used.values()) used.delete(grant.attemptId);
  }

  updateServers(servers: readonly ShardServer[]): void {
    this.#servers = servers;
    const present = new Set(servers.map((server) => server.id));
    const orphans = [...this.#queues].filter(([serverId]) => !present.has(serverId));
    for (const [serverId, queue] of orphans) {
      this.#queues.delete(serverId);
      queue.forEach((waiting) => {
        this.enqueue(waiting.request);
      });
    }
  }

  takeDecisions(nowMs: number): Decision[] {
    return this.#servers.flatMap((server) => this.#takeServerDecisions(server, nowMs));
  }

  getNextWakeMs(): number {
    return Infinity;
  }

  #takeServerDecisions(server: ShardServer, nowMs: number): Decision[] {
    const used = this.#used.get(server.id) ?? new Set<string>();
    this.#used.set(server.id, used);
    const queue = this.#queues.get(server.id) ?? [];
    const started = queue.splice(0, Math.max(0, server.slots - used.size));
    return started.map(({ request, tier }) => {
      used.add(request.attemptId);
      return createGrant(request, server.id, tier, nowMs);
    });
  }
}

/** One queue in strict tier order, no floors and no shedding; the server with most free slots is used. */
export class StrictPriorityPolicy implements BenchPolicy {
  readonly #tiersByClass: ReadonlyMap<string, number>;
  readonly #queuesByTier: QueuedRequest[][];
  readonly #usedBy = new Map<string, string>();
  #servers: readonly ShardServer[] = [];

  constructor(classes: readonly SchedulingClass[]) {
    this.#tiersByClass = new Map(classes.map((item) => [item.name, item.tier]));
    const lowestTier = Math.max(...classes.map((item) => item.tier));
    this.#queuesByTier = Array.from({ length: lowestTier + 1 }, () => []);
  }

  enqueue(request: QueuedRequest): void {
    const tier = this.#tiersByClass.get(request.className) ?? 0;
    this.#queuesByTier[tier]?.push(request);
  }

  withdraw(attemptId: string): void {
    for (const queue of this.#queuesByTier) {
      const index = queue.findIndex((request) => request.attemptId === attemptId);
      if (index >= 0) queue.splice(index, 1);
    }
  }

  finish(grant: FinishedGrant): void {
    this.#usedBy.delete(grant.attemptId);
  }

  updateServers(servers: readonly ShardServer[]): void {
    this.#servers = servers;
  }

  takeDecisions(nowMs: number): Decision[] {
    const decisions: Decision[] = [];
    for (const [tier, queue] of this.#queuesByTier.entries()) {
      while (queue.length > 0) {
        const request = queue[0];
        const server = request && this.#findServer(request);
        if (request === undefined || server === undefined) return decisions;
        queue.shift();
        this.#usedBy.set(request.attemptId, server.id);
        decisions.push(createGrant(request, server.id, tier, nowMs));
      }
    }
    return decisions;
  }

  getNextWakeMs(): number {
    return Infinity;
  }

  #findServer(request: QueuedRequest): ShardServer | undefined {
    const used = new Map<string, number>();
    for (const id of this.#usedBy.values()) used.set(id, (used.get(id) ?? 0) + 1);
    const withFree = this.#servers
      .filter((server) => !request.excludedServerIds.includes(server.id))
      .map((server) => ({ server, free: server.slots - (used.get(server.id) ?? 0) }))
      .filter(({ free }) => free > 0);
    return withFree.sort((a, b) => b.free - a.free)[0]?.server;
  }
}

function createGrant(
  request: QueuedRequest,
  serverId: string,
  tier: number,
  nowMs: number,
): Decision {
  return {
    kind: 'grant',
    attemptId: request.attemptId,
    serverId,
    reason: 'tier',
    queuedMs: nowMs - request.arrivedAtMs,
    tier,
  };
}
