import type { BackendServer } from './bundle';

/** A change of the servers in use. */
export type ServerChange =
  | { kind: 'added'; server: BackendServer }
  | { kind: 'changed'; server: BackendServer; isRestarted: boolean }
  | { kind: 'removed'; server: BackendServer };

/**
 * Entries of live servers can lapse while the store is away and are back soon after. A removal that is seen
 * this long after the store's return or earlier is put off, in milliseconds; the servers write about every second.
 */
export const LAPSE_HOLD_MS = 2_300;

/** Backend servers that the store lists. */
export class ServerRegistry {
  private readonly servers = new Map<string, BackendServer>();
  private readonly lapsedUntilMs = new Map<string, number>();
  private holdRemovalsUntilMs = -Infinity;

  constructor(private readonly onChange: (change: ServerChange) => void) {}

  /** The store is back after it could not be reached: what is missing now may come back. */
  startRemovalHold(nowMs: number): void {
    this.holdRemovalsUntilMs = nowMs + LAPSE_HOLD_MS;
  }

  put(server: BackendServer): void {
    this.lapsedUntilMs.delete(server.serverId);
    const known = this.servers.get(server.serverId);
    this.servers.set(server.serverId, server);
    if (known === undefined) {
      this.onChange({ kind: 'added', server });
      return;
    }
    const isRestarted = known.startedAtUnixMs !== server.startedAtUnixMs;
    this.onChange({ kind: 'changed', server, isRestarted });
  }

  /** Removes a server whose entry is gone, or puts that off after an outage. A draining one goes at once. */
  remove(serverId: string, nowMs: number): void {
    const server = this.servers.get(serverId);
    if (server === undefined) return;
    if (server.state === 'ready' && nowMs < this.holdRemovalsUntilMs) {
      this.lapsedUntilMs.set(serverId, this.holdRemovalsUntilMs);
      return;
    }
    this.lapsedUntilMs.delete(serverId);
    this.servers.delete(serverId);
    this.onChange({ kind: 'removed', server });
  }

  /** Replaces all servers by a full list. */
  replaceAll(servers: readonly BackendServer[], nowMs: number): void {
    const listed = new Set(servers.map((server) => server.serverId));
    for (const serverId of [...this.servers.keys()]) {
      if (!listed.has(serverId)) this.remove(serverId, nowMs);
    }
    for (const server of servers) this.put(server);
  }

  /** Removes the servers whose entries did not come back in time. */
  expire(nowMs: number): void {
    for (const [serverId, untilMs] of this.lapsedUntilMs) {
      if (untilMs <= nowMs) this.remove(serverId, nowMs);
    }
  }

  get(serverId: string): BackendServer | undefined {
    return this.servers.get(serverId);
  }

  /** Servers of a service that take new work. */
  listReady(service: string): BackendServer[] {
    return [...this.servers.values()].filter(
      (server) => server.service === service && server.state === 'ready',
    );
  }

  count(): number {
    return this.servers.size;
  }
}
