import type { BackendServer } from './bundle';

/** A change to the set of known backend servers. */
export type ServerChange =
  | { kind: 'added'; server: BackendServer }
  | { kind: 'changed'; server: BackendServer; isRestarted: boolean }
  | { kind: 'removed'; server: BackendServer };

/**
 * Grace period for removals, in milliseconds from the last time at which the store is known to have been out of contact. Entries
 * of live servers can expire during an outage and are back about 2 s after it. A removed server must get no requests from 3 s
 * after the end of the outage on, which may be as late as the end of the next call.
 */
export const REMOVAL_GRACE_MS = 2_850;

/** The backend servers listed in the store. */
export class ServerRegistry {
  private readonly servers = new Map<string, BackendServer>();
  /** Due time of each deferred removal by server id, in milliseconds of the monotonic clock. */
  private readonly deferredRemovals = new Map<string, number>();
  /** Ready servers by service, selected since the last change. */
  private readonly readyServers = new Map<string, readonly BackendServer[]>();
  private graceEndsAtMs = -Infinity;
  private changeCount = 0;

  constructor(private readonly onChange: (change: ServerChange) => void) {}

  /** Increases with each change of a server, so that what is derived from the servers can be kept until then. */
  countChanges(): number {
    return this.changeCount;
  }

  /** Takes in that the store was out of contact until a time or longer. Removals are deferred for `REMOVAL_GRACE_MS` from then on. */
  recordOutage(untilMs: number): void {
    this.graceEndsAtMs = Math.max(this.graceEndsAtMs, untilMs + REMOVAL_GRACE_MS);
  }

  put(entry: BackendServer): void {
    this.deferredRemovals.delete(entry.serverId);
    const previous = this.servers.get(entry.serverId);
    const server = addStartTime(entry, previous);
    this.servers.set(server.serverId, server);
    this.#recordChange();
    if (previous === undefined) {
      this.onChange({ kind: 'added', server });
      return;
    }
    this.onChange({ kind: 'changed', server, isRestarted: hasRestarted(previous, server) });
  }

  /**
   * Removes a server whose entry was deleted. During the grace period the removal of a ready server is deferred;
   * a draining server is removed at once.
   */
  remove(serverId: string, nowMs: number): void {
    const server = this.servers.get(serverId);
    if (server === undefined) return;
    if (server.state === 'ready' && nowMs < this.graceEndsAtMs) {
      this.deferredRemovals.set(serverId, this.graceEndsAtMs);
      return;
    }
    this.deferredRemovals.delete(serverId);
    this.servers.delete(serverId);
    this.#recordChange();
    this.onChange({ kind: 'removed', server });
  }

  /** Replaces all servers with a complete listing. */
  replaceAll(servers: readonly BackendServer[], nowMs: number): void {
    const listedIds = new Set(servers.map((server) => server.serverId));
    for (const serverId of [...this.servers.keys()]) {
      if (!listedIds.has(serverId)) this.remove(serverId, nowMs);
    }
    for (const server of servers) this.put(server);
  }

  /** Removes the servers whose entries did not reappear within the grace period. */
  applyDeferredRemovals(nowMs: number): void {
    for (const [serverId, dueAtMs] of this.deferredRemovals) {
      if (dueAtMs <= nowMs) this.remove(serverId, nowMs);
    }
  }

  get(serverId: string): BackendServer | undefined {
    return this.servers.get(serverId);
  }

  /** Lists the servers of a service that accept new requests. */
  listReady(service: string): readonly BackendServer[] {
    const known = this.readyServers.get(service);
    if (known !== undefined) return known;
    const selected = [...this.servers.values()].filter(
      (server) => server.service === service && server.state === 'ready',
    );
    this.readyServers.set(service, selected);
    return selected;
  }

  count(): number {
    return this.servers.size;
  }

  #recordChange(): void {
    this.changeCount += 1;
    this.readyServers.clear();
  }
}

/** Whether an entry comes from another start of the server than the one before it. */
function hasRestarted(previous: BackendServer, server: BackendServer): boolean {
  if (previous.startedAtUnixMs !== server.startedAtUnixMs) return true;
  return server.startedAtUnixMs === undefined && hasNewAddressOrCount(previous, server);
}

/** Adds the start time that the entry before it has, if nothing but the missing start time says that the server started again. */
function addStartTime(entry: BackendServer, previous: BackendServer | undefined): BackendServer {
  if (previous === undefined || entry.startedAtUnixMs !== undefined) return entry;
  if (hasNewAddressOrCount(previous, entry)) return entry;
  return { ...entry, startedAtUnixMs: previous.startedAtUnixMs };
}

function hasNewAddressOrCount(previous: BackendServer, server: BackendServer): boolean {
  if (previous.host !== server.host || previous.port !== server.port) return true;
  return (server.heartbeats ?? Infinity) < (previous.heartbeats ?? 0);
}
