import type { BackendServer } from './bundle';
import { isAfter } from './store-position';
import type { StorePosition } from './store-position';

/** A change to the set of known backend servers. */
export type ServerChange =
  | { kind: 'added'; server: BackendServer }
  | { kind: 'changed'; server: BackendServer; isRestarted: boolean }
  /** `position` is the moment of the store as of which the entry is gone; undefined if it is there and cannot be read. */
  | { kind: 'removed'; server: BackendServer; position: StorePosition | undefined };

/** An entry of a backend server. */
export interface ServerEntry {
  server: BackendServer;
  /** Moment of the store at which the entry changed last. */
  position: StorePosition;
}

/** A start of a backend server, and its last heartbeat that is known. */
export type ServerStart = Pick<BackendServer, 'startedAtUnixMs' | 'heartbeats'>;

type ServerVersion = ServerStart & Pick<BackendServer, 'serverId'>;

/** The entry of a server is gone since a moment of the store. */
export interface ServerRemoval {
  serverId: string;
  position: StorePosition;
  /** The start that was removed; undefined if it is not known. */
  start?: ServerStart | undefined;
}

interface KeptRemoval extends ServerRemoval {
  /** Whether another instance has told the removal; the store may answer with entries from before it. */
  isTold: boolean;
}

interface DeferredRemoval {
  dueAtMs: number;
  position: StorePosition | undefined;
}

/** Removals that are kept, so that entries from before them are not put again. */
const MAX_KEPT_REMOVALS = 16_384;
/** Position of entries that are newer than all that is known. */
const LATEST: StorePosition = { era: 0, revision: Infinity };

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
  /** Position of each listed entry by server id. */
  private readonly positions = new Map<string, StorePosition>();
  /** Last removal of each server that is not listed, by server id, the oldest first. */
  private readonly removals = new Map<string, KeptRemoval>();
  /** Start time of the process before the last one, by server id. */
  private readonly endedStarts = new Map<string, number | undefined>();
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

  /**
   * Takes in an entry. An entry that dates from before what is known is ignored, also if the store has returned from a backup
   * with it.
   *
   * @param position of the store at which the entry changed; by default it is newer than all that is known
   */
  put(entry: BackendServer, position = LATEST): void {
    const { serverId } = entry;
    const previous = this.servers.get(serverId);
    if (this.#isOutdated(entry, position, previous)) return;
    this.removals.delete(serverId);
    this.deferredRemovals.delete(serverId);
    const server = addStartTime(entry, previous);
    this.servers.set(server.serverId, server);
    this.positions.set(server.serverId, position);
    this.#recordChange();
    if (previous === undefined) {
      this.onChange({ kind: 'added', server });
      return;
    }
    const isRestarted = hasRestarted(previous, server);
    if (isRestarted) this.endedStarts.set(serverId, previous.startedAtUnixMs);
    this.onChange({ kind: 'changed', server, isRestarted });
  }

  /**
   * Removes a server whose entry was deleted. During the grace period the removal of a ready server is deferred;
   * a draining server is removed at once.
   *
   * @param position of the store as of which the entry is gone; undefined if it is there and cannot be read
   */
  remove(serverId: string, nowMs: number, position?: StorePosition): void {
    if (this.servers.get(serverId)?.state === 'ready' && nowMs < this.graceEndsAtMs) {
      this.deferredRemovals.set(serverId, { dueAtMs: this.graceEndsAtMs, position });
      this.onDeferral();
      return;
    }
    this.#removeNow(serverId, position);
  }

  /**
   * Removes a server that another instance has seen removed, without a grace period. Entries of the server that are not newer
   * than the removal are ignored from then on.
   */
  removeAsTold(removal: ServerRemoval): void {
    const { serverId, position } = removal;
    const known = this.removals.get(serverId);
    if (known?.isTold === true && !isAfter(position, known.position)) return;
    const listed = this.servers.get(serverId);
    const listedAt = this.positions.get(serverId);
    if (listed !== undefined && listedAt !== undefined) {
      if (!this.#isBeforeRemoval(listed, listedAt, { ...removal, isTold: true })) return;
      this.#removeNow(serverId, position);
    }
    // The start that was listed here may have had more heartbeats than the sender knew.
    const start = listed ?? removal.start;
    this.#recordRemoval({ serverId, position, isTold: true, start: start && selectStart(start) });
  }

  /** Replaces all servers with a complete listing as of a moment of the store. */
  replaceAll(entries: readonly ServerEntry[], nowMs: number, position: StorePosition): void {
    const listedIds = new Set(entries.map(({ server }) => server.serverId));
    for (const serverId of [...this.servers.keys()]) {
      if (!listedIds.has(serverId)) this.remove(serverId, nowMs, position);
    }
    for (const entry of entries) this.put(entry.server, entry.position);
  }

  /** Removes the servers whose entries did not reappear within the grace period. */
  applyDeferredRemovals(nowMs: number): void {
    for (const [serverId, { dueAtMs, position }] of this.deferredRemovals) {
      if (dueAtMs <= nowMs) this.#removeNow(serverId, position);
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

  #removeNow(serverId: string, position: StorePosition | undefined): void {
    this.deferredRemovals.delete(serverId);
    const server = this.servers.get(serverId);
    if (server === undefined) return;
    this.servers.delete(serverId);
    this.positions.delete(serverId);
    this.#recordChange();
    if (position !== undefined) {
      this.#recordRemoval({ serverId, position, isTold: false, start: selectStart(server) });
    }
    this.onChange({ kind: 'removed', server, position });
  }

  #recordRemoval(removal: KeptRemoval): void {
    this.removals.delete(removal.serverId);
    this.removals.set(removal.serverId, removal);
    const [oldest] = this.removals.keys();
    if (oldest === undefined || this.removals.size <= MAX_KEPT_REMOVALS) return;
    this.removals.delete(oldest);
    if (!this.servers.has(oldest)) this.endedStarts.delete(oldest);
  }

  /** Whether an entry is older than what is known of its server. */
  #isOutdated(
    entry: BackendServer,
    position: StorePosition,
    listed: BackendServer | undefined,
  ): boolean {
    const { serverId } = entry;
    const removal = this.removals.get(serverId);
    if (removal !== undefined && this.#isBeforeRemoval(entry, position, removal)) return true;
    const listedAt = this.positions.get(serverId);
    if (listed === undefined || listedAt === undefined) return false;
    const removedEra = this.deferredRemovals.get(serverId)?.position?.era ?? position.era;
    if (position.era > removedEra && !this.#isNewerEntry(entry, listed)) return true;
    if (position.era <= listedAt.era || this.#isNewerEntry(entry, listed)) return false;
    // A server that leaves does not stop leaving; one that is ready may have begun to leave in the same heartbeat.
    if (listed.state === 'draining') return true;
    if (entry.state === 'draining') return false;
    return (entry.heartbeats ?? Infinity) < (listed.heartbeats ?? 0);
  }

  /** Whether an entry dates from before the removal of its server. Revisions of a later era say nothing of that, heartbeats do. */
  #isBeforeRemoval(
    entry: BackendServer,
    position: StorePosition,
    { position: removedAt, start, isTold }: KeptRemoval,
  ): boolean {
    if (!isAfter(position, removedAt)) return isTold || position.era < removedAt.era;
    if (position.era === removedAt.era || start === undefined) return false;
    return !this.#isNewerEntry(entry, { ...start, serverId: entry.serverId });
  }

  /** Whether the server has written an entry after another one: it is of another start, or has more heartbeats. */
  #isNewerEntry(entry: ServerVersion, other: ServerVersion): boolean {
    const { serverId, startedAtUnixMs, heartbeats } = entry;
    if (startedAtUnixMs === other.startedAtUnixMs) {
      return heartbeats !== undefined && heartbeats > (other.heartbeats ?? -1);
    }
    // The start before the last one may reappear with a backup.
    return !this.endedStarts.has(serverId) || this.endedStarts.get(serverId) !== startedAtUnixMs;
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

function selectStart({ startedAtUnixMs, heartbeats }: ServerStart): ServerStart {
  return { startedAtUnixMs, ...(heartbeats === undefined ? {} : { heartbeats }) };
}
