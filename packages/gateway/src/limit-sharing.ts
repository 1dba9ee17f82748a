import { ServerLimits } from '@pollendrum/policy';
import type { LimitFact, LimitJudgement, LimitRoom, SendCount } from '@pollendrum/policy';
import type { BackendServer } from './bundle';
import type { FleetGossip } from './fleet-gossip';
import type { GossipFact } from './gossip-codec';
import type { Clock, GatewayLog } from './log-and-clock';
import type { PeerAddress, PeerSocket } from './peer-socket';
import { decodeSendCounts, encodeSendCounts, MAX_COUNTS_PER_MESSAGE } from './send-count-codec';
import { makeServerKey, parseServerId } from './server-key';

export interface LimitSharingOptions {
  instanceId: string;
  socket: Pick<PeerSocket, 'setHandler' | 'send'>;
  /** Spreads changes of limits. */
  publish: FleetGossip['publish'];
  clock: Clock;
  log: GatewayLog;
  /** Whether the servers of a service are divided between the groups of instances. */
  isDivided(service: string): boolean;
  /** Returns a server as it is listed; undefined when it is not. */
  getServer(serverId: string): BackendServer | undefined;
  /** Lists the ids of all instances, or of those of this instance's group. */
  listInstanceIds(onlyGroup: boolean): readonly string[];
}

/** Time for which sends are collected before the other holders of a limit are told, in milliseconds. */
const REPORT_DELAY_MS = 30;
/** Time after which a count is sent once more, since the datagram may be lost, in milliseconds. */
const REPEAT_DELAY_MS = 300;

/** Keeps the limits that backend servers name, together with the other instances. */
export class LimitSharing implements AsyncDisposable {
  private readonly limits: ServerLimits;
  private readonly incarnation = `${process.pid}-${Date.now()}`;
  /** Whether the holders of a service's limits were selected among a group. */
  private readonly divisions = new Map<string, boolean>();
  private readonly unreported = new Map<string, number>();
  private readonly unrepeated = new Map<string, number>();
  private reportTimer: NodeJS.Timeout | undefined;
  private repeatTimer: NodeJS.Timeout | undefined;
  private peers: ReadonlyMap<string, PeerAddress> = new Map();

  constructor(private readonly options: LimitSharingOptions) {
    this.limits = new ServerLimits(options.instanceId, (serverKey) => {
      const service = options.getServer(parseServerId(serverKey))?.service;
      return options.listInstanceIds(service !== undefined && this.#checkDivision(service));
    });
    options.socket.setHandler('send-counts', (bytes) => {
      this.#handleMessage(bytes);
    });
  }

  /** Takes in the announced instances. */
  setPeers(instances: readonly PeerAddress[]): void {
    this.peers = new Map(instances.map((instance) => [instance.instanceId, instance]));
    this.limits.resetHolders();
  }

  /**
   * Takes in that a server is listed, has changed or is gone. Limits of processes that have ended are forgotten, and a service
   * can become divided between the groups.
   */
  handleServerChange({ serverId, service }: BackendServer): void {
    this.limits.removeServers(
      (serverKey) => parseServerId(serverKey) === serverId && !this.#isListed(serverKey),
    );
    const known = this.divisions.get(service);
    if (known === undefined || known === this.options.isDivided(service)) return;
    this.limits.resetHolders();
  }

  /** Takes in the limit of an answer; undefined when the server names none. */
  observe(server: BackendServer, requestsPerSecond: number | undefined): void {
    const { clock, log } = this.options;
    const fact = this.limits.observe(makeServerKey(server), requestsPerSecond, clock());
    if (fact === undefined) return;
    const { serverId, service } = server;
    log.info('backend server changed its limit', { serverId, service, requestsPerSecond });
    this.#publish(fact);
  }

  /** Takes in a fact of another instance, which may not know yet that the server's process has ended. */
  mergeFact(fact: LimitFact): void {
    if (!this.#isListed(fact.serverKey)) return;
    const news = this.limits.merge(fact, this.options.clock());
    if (news !== undefined) this.#publish(news);
  }

  listFacts(): GossipFact[] {
    return this.limits.listFacts().map((fact) => ({ kind: 'limit', ...fact }));
  }

  judge(server: BackendServer, nowMs: number): LimitJudgement {
    if (!this.limits.hasServers()) return { kind: 'unlimited' };
    return this.limits.judge(makeServerKey(server), nowMs);
  }

  /** Estimates when there is room at one of the servers; undefined if none of them names a limit. */
  estimateRoom(servers: readonly BackendServer[], nowMs: number): LimitRoom | undefined {
    return this.limits.estimateRoom(servers.map(makeServerKey), nowMs);
  }

  /** Counts a request that is sent; the other holders of the limit are told. */
  recordSend(server: BackendServer): void {
    const sent = this.limits.recordSend(makeServerKey(server), this.options.clock());
    if (sent === undefined) return;
    this.unreported.set(sent.serverKey, sent.count);
    this.reportTimer ??= setTimeout(() => {
      this.reportTimer = undefined;
      this.#reportCounts(this.unreported);
      for (const [serverKey, count] of this.unreported) this.unrepeated.set(serverKey, count);
      this.unreported.clear();
      this.#scheduleRepeat();
    }, REPORT_DELAY_MS);
  }

  countLimited(): number {
    return this.limits.countLimited();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearTimeout(this.reportTimer);
    clearTimeout(this.repeatTimer);
    await Promise.resolve();
  }

  #isListed(serverKey: string): boolean {
    const server = this.options.getServer(parseServerId(serverKey));
    return server !== undefined && makeServerKey(server) === serverKey;
  }

  #checkDivision(service: string): boolean {
    const isDivided = this.options.isDivided(service);
    this.divisions.set(service, isDivided);
    return isDivided;
  }

  #scheduleRepeat(): void {
    this.repeatTimer ??= setTimeout(() => {
      this.repeatTimer = undefined;
      this.#reportCounts(this.unrepeated);
      this.unrepeated.clear();
    }, REPEAT_DELAY_MS);
  }

  /** Sends each peer the counts of the servers whose limit it shares. */
  #reportCounts(counts: ReadonlyMap<string, number>): void {
    const countsByPeer = new Map<PeerAddress, SendCount[]>();
    for (const [serverKey, count] of counts) {
      for (const instanceId of this.limits.listOtherHolders(serverKey)) {
        const peer = this.peers.get(instanceId);
        if (peer === undefined) continue;
        const known = countsByPeer.get(peer) ?? [];
        countsByPeer.set(peer, known);
        known.push({ serverKey, count });
      }
    }
    const { socket, instanceId } = this.options;
    for (const [peer, peerCounts] of countsByPeer) {
      while (peerCounts.length > 0) {
        const message = peerCounts.splice(0, MAX_COUNTS_PER_MESSAGE);
        socket.send(encodeSendCounts(instanceId, this.incarnation, message), [peer]);
      }
    }
  }

  #handleMessage(bytes: Buffer): void {
    const { log, clock } = this.options;
    const decoded = decodeSendCounts(bytes);
    if (decoded.kind === 'invalid') {
      log.warn('received an invalid datagram', { reason: decoded.reason });
      return;
    }
    const { peerId, counts } = decoded.counts;
    for (const count of counts) this.limits.recordPeerSends(peerId, count, clock());
  }

  #publish(fact: LimitFact): void {
    this.options.publish(`limit ${fact.serverKey}`, () =>
      this.limits.isCurrent(fact) ? { kind: 'limit', ...fact } : undefined,
    );
  }
}
