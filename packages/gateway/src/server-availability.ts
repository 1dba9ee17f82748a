import { LeavingServers, ServerPauses } from '@pollendrum/policy';
import type { LimitRoom, ReturningHead, ReturningSend } from '@pollendrum/policy';
import type { BackendServer } from './bundle';
import type { FleetGossip } from './fleet-gossip';
import type { LeavingFact } from './gossip-codec';
import type { Clock } from './log-and-clock';
import { ReclaimedServers } from './reclaimed-servers';
import { makeServerKey, parseServerId } from './server-key';
import type { ServerChange } from './server-registry';

/** Whether this instance may send requests to a server now. */
export type Availability =
  | { kind: 'available' }
  /** The server has asked for a pause, which is over, and takes few requests at first; more urgent ones go first. */
  | { kind: 'returning' }
  /** As many requests as are allowed after the pause wait for their response heads. */
  | { kind: 'returning-full' }
  | { kind: 'paused'; untilMs: number }
  | { kind: 'leaving' };

/** What says first that a server leaves: the head of an answer, its entry in the store, or another instance. */
export type LeavingSource =
  { kind: 'answer'; status: number } | { kind: 'entry' } | { kind: 'instance' };

export interface ServerAvailabilityOptions {
  /** Spreads the news that a server leaves. */
  publish: FleetGossip['publish'];
  clock: Clock;
  /** Returns a server as it is listed; undefined when it is not. */
  getServer(serverId: string): BackendServer | undefined;
  /** Counts the instances that use the servers of a service, this one included. */
  countInstances(service: string): number;
  /** Called when this instance learns that a server leaves. */
  onLeaving(server: BackendServer, source: LeavingSource): void;
}

/** When a server may be there that replaces one that leaves; servers start within seconds. */
const REPLACEMENT_ROOM: LimitRoom = { roomInMs: 1_000, intervalMs: 0 };

/**
 * Keeps what backend servers say about taking requests, in their entries and in their answers, and judges whether a request
 * may be sent to one of them. What is known belongs to one start of a server.
 */
export class ServerAvailability {
  private readonly leaving: LeavingServers;
  private readonly pauses: ServerPauses;
  /** Servers that leave at a stated time. */
  readonly reclaimed = new ReclaimedServers();

  constructor(private readonly options: ServerAvailabilityOptions) {
    this.leaving = new LeavingServers((serverKey) => this.#findListed(serverKey) !== undefined);
    this.pauses = new ServerPauses({
      random: Math.random,
      countInstances: (serverKey) => {
        const service = options.getServer(parseServerId(serverKey))?.service;
        return service === undefined ? 1 : options.countInstances(service);
      },
    });
  }

  judge(server: BackendServer, nowMs: number): Availability {
    if (!this.leaving.hasServers() && !this.pauses.hasServers()) return { kind: 'available' };
    const serverKey = makeServerKey(server);
    if (this.leaving.has(serverKey)) return { kind: 'leaving' };
    const judgement = this.pauses.judge(serverKey, nowMs);
    return judgement.kind === 'open' ? { kind: 'available' } : judgement;
  }

  /** Takes in that a server that has turned a request away wants none of this instance for a time. */
  recordPause(server: BackendServer, durationMs: number): void {
    this.pauses.recordPause(makeServerKey(server), durationMs, this.options.clock());
  }

  /** Records that a request is sent; undefined unless the server returns from a pause. */
  recordSend(server: BackendServer): ReturningSend | undefined {
    return this.pauses.recordSend(makeServerKey(server), this.options.clock());
  }

  /** Records the head of the answer to a request that `recordSend` has returned. */
  recordHead(send: ReturningSend, head: ReturningHead): void {
    this.pauses.recordHead(send, head);
  }

  /** Records that a request that `recordSend` has returned has ended. */
  recordEnd(send: ReturningSend): void {
    this.pauses.recordEnd(send);
  }

  /** Estimates when one of these servers, or one that replaces them, takes requests; undefined if all do. */
  estimateRoom(servers: readonly BackendServer[], nowMs: number): LimitRoom | undefined {
    const staying = servers.map(makeServerKey).filter((serverKey) => !this.leaving.has(serverKey));
    const room = this.pauses.estimateRoom(staying, nowMs);
    const isReplaced = staying.length < servers.length;
    if (!isReplaced || (room?.roomInMs ?? Infinity) < REPLACEMENT_ROOM.roomInMs) return room;
    return REPLACEMENT_ROOM;
  }

  /** Records that a start of a server leaves, and tells the other instances, which may be unable to read its entry. */
  recordLeaving(server: BackendServer, source: LeavingSource): void {
    const { clock, publish, onLeaving } = this.options;
    const serverKey = makeServerKey(server);
    if (!this.leaving.record(serverKey, clock())) return;
    onLeaving(server, source);
    if (!this.#isToldToOthers(serverKey)) return;
    publish(`leaving ${serverKey}`, () =>
      this.#isToldToOthers(serverKey) ? { kind: 'leaving', serverKey } : undefined,
    );
  }

  /** Takes in a fact of another instance, which may not know yet that the server's process has ended. */
  mergeFact({ serverKey }: LeavingFact): void {
    const server = this.#findListed(serverKey);
    if (server !== undefined) this.recordLeaving(server, { kind: 'instance' });
  }

  /** Lists the servers that leave and are still listed. */
  listFacts(): LeavingFact[] {
    return this.leaving
      .listListed()
      .filter((serverKey) => this.#isToldToOthers(serverKey))
      .map((serverKey) => ({ kind: 'leaving', serverKey }));
  }

  handleServerChange(change: ServerChange): void {
    const { server } = change;
    if (isNewUnnamedStart(change)) {
      this.leaving.remove(makeServerKey(server));
      this.reclaimed.remove(makeServerKey(server));
      this.pauses.removeServers((serverKey) => serverKey === makeServerKey(server));
    }
    if (change.kind !== 'removed' && server.state === 'draining') {
      this.recordLeaving(server, { kind: 'entry' });
      this.#recordLeaveTime(server);
    }
  }

  /** The entry may be read some time after it was written, so that the server can be gone earlier than recorded. */
  #recordLeaveTime(server: BackendServer): void {
    if (server.leavesInMs === undefined) return;
    const nowMs = this.options.clock();
    this.reclaimed.record(makeServerKey(server), nowMs + server.leavesInMs, nowMs);
  }

  /**
   * Whether the other instances are told that a server leaves. Starts without a start time are not told, since a late message
   * would be taken for one about the next start.
   */
  #isToldToOthers(serverKey: string): boolean {
    return this.#findListed(serverKey)?.startedAtUnixMs !== undefined;
  }

  #findListed(serverKey: string): BackendServer | undefined {
    const server = this.options.getServer(parseServerId(serverKey));
    return server !== undefined && makeServerKey(server) === serverKey ? server : undefined;
  }
}

/** Whether a server without a start time may have started again, so that it shares its key with the start before. */
function isNewUnnamedStart(change: ServerChange): boolean {
  if (change.server.startedAtUnixMs !== undefined) return false;
  switch (change.kind) {
    case 'added':
      return false;
    case 'changed':
      return change.isRestarted;
    case 'removed':
      return true;
  }
}
