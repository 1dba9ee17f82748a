import { HealthMonitor } from './server-health';
import type { ServerState, ShardServer } from './types';

/** A grant that occupies a slot. */
export interface HeldGrant {
  attemptId: string;
  serverId: string;
  className: string;
  tier: number;
  team: string;
  fingerprint: string;
  grantedAtMs: number;
  isProbe: boolean;
}

/** A backend server and the grants that occupy its slots. */
export interface TrackedServer {
  id: string;
  slots: number;
  failureDomain: string;
  isListed: boolean;
  isLeaving: boolean;
  grants: Set<HeldGrant>;
  usedByTier: Map<number, number>;
  /** Sequence number of the server's last grant; breaks ties between equally loaded servers. */
  lastGrantSequence: number;
}

/** The shard's servers, their health and their used slots, which are counted from grants. */
export class ServerTable {
  readonly health = new HealthMonitor();
  private readonly servers = new Map<string, TrackedServer>();
  private readonly grants = new Map<string, HeldGrant>();
  private readonly usedByClass = new Map<string, number>();
  private readonly runningByFingerprint = new Map<string, number>();
  private grantCount = 0;

  update(servers: readonly ShardServer[]): void {
    for (const server of this.servers.values()) server.isListed = false;
    for (const server of servers)
      Object.assign(this.getServer(server.id), server, { isListed: true });
    for (const [id, server] of this.servers) this.removeUnused(id, server);
    this.health.update(servers.map(({ id }) => id));
  }

  getGrant(attemptId: string): HeldGrant | undefined {
    return this.grants.get(attemptId);
  }

  listGranted(): string[] {
    return [...this.grants.keys()];
  }

  addGrant(grant: HeldGrant): void {
    const server = this.getServer(grant.serverId);
    this.grantCount += 1;
    server.lastGrantSequence = this.grantCount;
    server.grants.add(grant);
    addCount(server.usedByTier, grant.tier, 1);
    this.grants.set(grant.attemptId, grant);
    addCount(this.usedByClass, grant.className, 1);
    addCount(this.runningByFingerprint, grant.fingerprint, 1);
  }

  removeGrant(grant: HeldGrant): void {
    const server = this.getServer(grant.serverId);
    server.grants.delete(grant);
    addCount(server.usedByTier, grant.tier, -1);
    this.removeUnused(grant.serverId, server);
    this.grants.delete(grant.attemptId);
    addCount(this.usedByClass, grant.className, -1);
    addCount(this.runningByFingerprint, grant.fingerprint, -1);
  }

  isRunning(fingerprint: string): boolean {
    return this.runningByFingerprint.has(fingerprint);
  }

  getState(server: TrackedServer, nowMs: number): ServerState {
    if (server.isLeaving || this.health.isDraining(server.id, nowMs)) return 'leaving';
    return this.health.getState(server.id);
  }

  /** Lists the servers of the current server list that are in the given state. */
  listInState(state: ServerState, nowMs: number): TrackedServer[] {
    return this.listListed().filter((server) => this.getState(server, nowMs) === state);
  }

  /** Lists the servers that are due for a probe and have a free slot for it. */
  listProbeTargets(nowMs: number): TrackedServer[] {
    return this.listListed().filter(
      (server) =>
        this.getState(server, nowMs) !== 'leaving' &&
        this.health.isProbeDue(server.id, nowMs) &&
        hasFreeSlot(server),
    );
  }

  countByState(nowMs: number): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const server of this.listListed()) {
      const state = this.getState(server, nowMs);
      counts[state] = (counts[state] ?? 0) + 1;
    }
    return counts;
  }

  countUsedByClass(): Record<string, number> {
    return Object.fromEntries(this.usedByClass);
  }

  private listListed(): TrackedServer[] {
    return [...this.servers.values()].filter(({ isListed }) => isListed);
  }

  private getServer(id: string): TrackedServer {
    let server = this.servers.get(id);
    if (server === undefined) {
      server = {
        id,
        slots: 0,
        failureDomain: '',
        isListed: false,
        isLeaving: false,
        grants: new Set(),
        usedByTier: new Map(),
        lastGrantSequence: 0,
      };
      this.servers.set(id, server);
    }
    return server;
  }

  private removeUnused(id: string, server: TrackedServer): void {
    if (!server.isListed && server.grants.size === 0) this.servers.delete(id);
  }
}

export function hasFreeSlot(server: TrackedServer): boolean {
  return server.grants.size < server.slots;
}

/** Counts free slots. Adopted grants beyond a server's slots do not reduce the free slots of other servers. */
export function countFreeSlots(servers: readonly TrackedServer[]): number {
  return servers.reduce((sum, server) => sum + Math.max(0, server.slots - server.grants.size), 0);
}

export function countSlots(servers: readonly TrackedServer[]): number {
  return servers.reduce((sum, server) => sum + server.slots, 0);
}

function addCount<K>(counts: Map<K, number>, key: K, change: number): void {
  const count = (counts.get(key) ?? 0) + change;
  if (count > 0) counts.set(key, count);
  else counts.delete(key);
}
