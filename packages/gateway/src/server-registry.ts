import type { BackendServer } from './bundle';

/** A change to the set of known backend servers. */
export type ServerChange =
  | { kind: 'added'; server: BackendServer }
  | { kind: 'changed'; server: BackendServer; isRestarted: boolean }
  /** `revision` is that of the store as of which the entry is gone; undefined if it is there and cannot be read. */
  | { kind: 'removed'; server: BackendServer; revision: number | undefined };

/** An entry of a backend server. */
export interface ServerEntry {
  server: BackendServer;
  /** Revision of the store at which the entry changed last. */
  revision: number;
}

interface DeferredRemoval {
  dueAtMs: number;
  revision: number | undefined;
}

/** Removals told by other instances that are kept, so that entries from before them are not put again. */
const MAX_TOLD_REMOVALS = 16_384;

/**
 * Grace period for removals, in milliseconds from the last time at which the store is known to have been out of contact. Entries
 * of live servers can expire during an outage and are back about 2 s after it. A removed server must get no requests from 3 s
 * after the end of the outage on, which may be as late as the end of the next call.
 */
export const REMOVAL_GRACE_MS = 2_850;

/** The backend servers listed in the store. */
export class ServerRegistry {
  private readonly servers = new Map<string, BackendServer>();
  /** Deferred removals by server id; due times are in milliseconds of the monotonic clock. */
  private readonly deferredRemovals = new Map<string, DeferredRemoval>();
  /** Revision of each listed entry by server id. */
  private readonly revisions = new Map<string, number>();
  /** Revision of each removal that another instance has told, by server id, the oldest first. */
  private readonly toldRemovals = new Map<string, number>();
  /** Ready servers by service, selected since the last change. */
  private readonly readyServers = new Map<string, readonly BackendServer[]>();
  private graceEndsAtMs = -Infinity;
  private changeCount = 0;

  /** @param onDeferral called when a removal has been deferred, so that `applyDeferredRemovals` must be called in time */
  constructor(
    private readonly onChange: (change: ServerChange) => void,
    private readonly onDeferral: () => void = () => undefined,
  ) {}

  /** Increases with each change of a server, so that what is derived from the servers can be kept until then. */
  countChanges(): number {
    return this.changeCount;
  }

  /** Takes in that the store was out of contact until a time or longer. Removals are deferred for `REMOVAL_GRACE_MS` from then on. */
  recordOutage(untilMs: number): void {
    this.graceEndsAtMs = Math.max(this.graceEndsAtMs, untilMs + REMOVAL_GRACE_MS);
  }

  /** @param revision of the store at which the entry changed; by default it is newer than all that is known */
  put(entry: BackendServer, revision = Infinity): void {
    if (revision <= (this.toldRemovals.get(entry.serverId) ?? -1)) return;
    this.toldRemovals.delete(entry.serverId);
    this.deferredRemovals.delete(entry.serverId);
    const previous = this.servers.get(entry.serverId);
    const server = addStartTime(entry, previous);
    this.servers.set(server.serverId, server);
    this.revisions.set(server.serverId, revision);
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
   *
   * @param revision of the store as of which the entry is gone; undefined if it is there and cannot be read
   */
  remove(serverId: string, nowMs: number, revision?: number): void {
    if (this.servers.get(serverId)?.state === 'ready' && nowMs < this.graceEndsAtMs) {
      this.deferredRemovals.set(serverId, { dueAtMs: this.graceEndsAtMs, revision });
      this.onDeferral();
      return;
    }
    this.#removeNow(serverId, revision);
  }

  /**
   * Removes a server that another instance has seen removed, without a grace period. Entries of the server that are not newer
   * than the revision are ignored from then on.
   */
  removeAtRevision(serverId: string, revision: number): void {
    if ((this.revisions.get(serverId) ?? -1) > revision) return;
    if ((this.toldRemovals.get(serverId) ?? -1) >= revision) return;
    this.toldRemovals.delete(serverId);
    this.toldRemovals.set(serverId, revision);
    const [oldest] = this.toldRemovals.keys();
    if (oldest !== undefined && this.toldRemovals.size > MAX_TOLD_REMOVALS) {
      this.toldRemovals.delete(oldest);
    }
    this.#removeNow(serverId, revision);
  }

  /** Replaces all servers with a complete listing as of a revision of the store. */
  replaceAll(entries: readonly ServerEntry[], nowMs: number, revision: number): void {
    const listedIds = new Set(entries.map(({ server }) => server.serverId));
    for (const serverId of [...this.servers.keys()]) {
      if (!listedIds.has(serverId)) this.remove(serverId, nowMs, revision);
    }
    for (const entry of entries) this.put(entry.server, entry.revision);
  }

  /** Removes the servers whose entries did not reappear within the grace period. */
  applyDeferredRemovals(nowMs: number): void {
    for (const [serverId, { dueAtMs, revision }] of this.deferredRemovals) {
      if (dueAtMs <= nowMs) this.#removeNow(serverId, revision);
    }
  }

  /** Time at which the next deferred removal is to be applied, in milliseconds of the monotonic clock; Infinity if none is. */
  computeNextRemovalMs(): number {
    return Math.min(Infinity, ...[...this.deferredRemovals.values()].map(({ dueAtMs }) => dueAtMs));
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

  #removeNow(serverId: string, revision: number | undefined): void {
    this.deferredRemovals.delete(serverId);
    const server = this.servers.get(serverId);
    if (server === undefined) return;
    this.servers.delete(serverId);
    this.revisions.delete(serverId);
    this.#recordChange();
    this.onChange({ kind: 'removed', server, revision });
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
