import { HealthMonitor } from './server-health';
import type { ServerState, ShardServer } from './types';

/** A grant in use. */
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

/** A backend server and the grants that use it. */
export interface ServerUse {
  id: string;
  slots: number;
  failureDomain: string;
  isListed: boolean;
  isLeaving: boolean;
  grants: Set<HeldGrant>;
  usedByTier: Map<number, number>;
  /** Number of the last grant on the server; spreads equal choices. */
  lastGrant: number;
}

/** The shard's servers and the slots in use, counted from grants. */
export class ServerTable {
  readonly health = new HealthMonitor();
  private readonly uses = new Map<string, ServerUse>();
  private readonly grants = new Map<string, HeldGrant>();
  private readonly usedByClass = new Map<string, number>();
  private readonly runningByFingerprint = new Map<string, number>();
  private grantCount = 0;

  update(servers: readonly ShardServer[]): void {
    for (const use of this.uses.values()) use.isListed = false;
    for (const server of servers) Object.assign(this.getUse(server.id), server, { isListed: true });
    for (const [id, use] of this.uses) this.removeUnused(id, use);
    this.health.update(servers.map(({ id }) => id));
  }

  getGrant(attemptId: string): HeldGrant | undefined {
    return this.grants.get(attemptId);
  }

  listGranted(): string[] {
    return [...this.grants.keys()];
  }

  addGrant(grant: HeldGrant): void {
    const use = this.getUse(grant.serverId);
    this.grantCount += 1;
    use.lastGrant = this.grantCount;
    use.grants.add(grant);
    addCount(use.usedByTier, grant.tier, 1);
    this.grants.set(grant.attemptId, grant);
    addCount(this.usedByClass, grant.className, 1);
    addCount(this.runningByFingerprint, grant.fingerprint, 1);
  }

  removeGrant(grant: HeldGrant): void {
    const use = this.getUse(grant.serverId);
    use.grants.delete(grant);
    addCount(use.usedByTier, grant.tier, -1);
    this.removeUnused(grant.serverId, use);
    this.grants.delete(grant.attemptId);
    addCount(this.usedByClass, grant.className, -1);
    addCount(this.runningByFingerprint, grant.fingerprint, -1);
  }

  isRunning(fingerprint: string): boolean {
    return this.runningByFingerprint.has(fingerprint);
  }

  getState(use: ServerUse, nowMs: number): ServerState {
    if (use.isLeaving || this.health.isDraining(use.id, nowMs)) return 'leaving';
    return this.health.getState(use.id);
  }

  /** Listed servers in the given state. */
  listInState(state: ServerState, nowMs: number): ServerUse[] {
    return this.listListed().filter((use) => this.getState(use, nowMs) === state);
  }

  /** Servers that are due for a probe request and have a slot for it. */
  listProbeable(nowMs: number): ServerUse[] {
    return this.listListed().filter(
      (use) =>
        this.getState(use, nowMs) !== 'leaving' &&
        this.health.isProbeDue(use.id, nowMs) &&
        hasFreeSlot(use),
    );
  }

  countByState(nowMs: number): Record<string, number> {
    const counts: Record<string, number> = {};
    for (const use of this.listListed()) {
      const state = this.getState(use, nowMs);
      counts[state] = (counts[state] ?? 0) + 1;
    }
    return counts;
  }

  countUsedByClass(): Record<string, number> {
    return Object.fromEntries(this.usedByClass);
  }

  private listListed(): ServerUse[] {
    return [...this.uses.values()].filter(({ isListed }) => isListed);
  }

  private getUse(id: string): ServerUse {
    let use = this.uses.get(id);
    if (use === undefined) {
      use = {
        id,
        slots: 0,
        failureDomain: '',
        isListed: false,
        isLeaving: false,
        grants: new Set(),
        usedByTier: new Map(),
        lastGrant: 0,
      };
      this.uses.set(id, use);
    }
    return use;
  }

  private removeUnused(id: string, use: ServerUse): void {
    if (!use.isListed && use.grants.size === 0) this.uses.delete(id);
  }
}

export function hasFreeSlot(use: ServerUse): boolean {
  return use.grants.size < use.slots;
}

/** Free slots of the servers; adopted grants beyond a server's slots do not reduce the others'. */
export function countFreeSlots(uses: readonly ServerUse[]): number {
  return uses.reduce((sum, use) => sum + Math.max(0, use.slots - use.grants.size), 0);
}

export function countSlots(uses: readonly ServerUse[]): number {
  return uses.reduce((sum, use) => sum + use.slots, 0);
}

function addCount<K>(counts: Map<K, number>, key: K, change: number): void {
  const count = (counts.get(key) ?? 0) + change;
  if (count > 0) counts.set(key, count);
  else counts.delete(key);
}
