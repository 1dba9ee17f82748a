import { computeScore, hashName } from '../rendezvous';

/** What an instance has learned of a server's limit and the others must know. */
export interface LimitFact {
  serverKey: string;
  /** Rises with each change of the limit that an instance sees; of two versions the higher one holds. */
  version: number;
  /** Requests a second from all instances together; undefined when the server names no limit any more. */
  requestsPerSecond: number | undefined;
}

/** Whether a request may be sent to a server now. */
export type LimitJudgement =
  | { kind: 'unlimited' }
  | { kind: 'room' }
  /** `roomInMs` is the time until a request may be sent; undefined at an instance that leaves the server to others. */
  | { kind: 'no-room'; roomInMs: number | undefined };

/** When there is room at servers that name limits. */
export interface LimitRoom {
  /** Time until a request may be sent, in milliseconds. */
  roomInMs: number;
  /** Mean time between two requests of this instance if all holders send alike, in milliseconds. */
  intervalMs: number;
}

/** Requests that an instance has sent to a server since it knows the limit. */
export interface SendCount {
  serverKey: string;
  count: number;
}

interface ServerLimit {
  version: number;
  requestsPerSecond: number | undefined;
  /** Requests that may be sent at once; negative after instances have sent at the same time. */
  level: number;
  filledAtMs: number;
  sentCount: number;
  countByPeer: Map<string, number>;
  /** The instances that share the limit; undefined until they are selected. */
  holderIds: ReadonlySet<string> | undefined;
}

/** Requests that may be sent at once, as a share of a second's, and at least one. */
const BURST_SECONDS = 0.25;
/** Requests sent too many are remembered for this time at most, in seconds. */
const MAX_DEBT_SECONDS = 4;
const MAX_DEBT_REQUESTS = 8;
/**
 * Instances that share a limit, by requests a second and at least. Instances that find room at the same time all use it, so
 * more of them exceed the limit by more.
 */
const HOLDERS_PER_REQUEST_RATE = 1.5;
const MIN_HOLDERS = 4;
/** Time until there may be room at another instance, in milliseconds, where this one leaves all servers to others. */
const UNKNOWN_ROOM_MS = 300;
const MAX_SERVERS = 16_384;
const MS_PER_SECOND = 1_000;

/**
 * Keeps the limits that servers name. All instances that share a limit count the requests of all of them, so that each can
 * use the whole limit while the others send nothing.
 */
export class ServerLimits {
  private readonly servers = new Map<string, ServerLimit>();

  /**
   * @param listInstanceIds lists the instances that use a server, this one included
   */
  constructor(
    private readonly instanceId: string,
    private readonly listInstanceIds: (serverKey: string) => readonly string[],
  ) {}

  /** Takes in the limit of an answer; returns the fact if it is news. */
  observe(
    serverKey: string,
    requestsPerSecond: number | undefined,
    nowMs: number,
  ): LimitFact | undefined {
    const known = this.servers.get(serverKey);
    if (known?.requestsPerSecond === requestsPerSecond) return undefined;
    const fact = { serverKey, version: (known?.version ?? 0) + 1, requestsPerSecond };
    return this.merge(fact, nowMs);
  }

  /** Takes in a fact of another instance; returns it if it is news. */
  merge(fact: LimitFact, nowMs: number): LimitFact | undefined {
    const { serverKey, version, requestsPerSecond } = fact;
    const known = this.servers.get(serverKey);
    if (known !== undefined && !isNewer(fact, known)) return undefined;
    const server = known ?? makeServerLimit(nowMs);
    if (known !== undefined) refreshLevel(server, nowMs);
    Object.assign(server, { version, requestsPerSecond, holderIds: undefined });
    const burst = requestsPerSecond === undefined ? 1 : computeBurst(requestsPerSecond);
    server.level = Math.min(server.level, burst);
    this.servers.delete(serverKey);
    this.servers.set(serverKey, server);
    this.#discardOldest();
    return fact;
  }

  /** Whether any server has named a limit. */
  hasServers(): boolean {
    return this.servers.size > 0;
  }

  judge(serverKey: string, nowMs: number): LimitJudgement {
    const server = this.servers.get(serverKey);
    if (server?.requestsPerSecond === undefined) return { kind: 'unlimited' };
    if (!this.#selectHolders(serverKey, server).has(this.instanceId)) {
      return { kind: 'no-room', roomInMs: undefined };
    }
    refreshLevel(server, nowMs);
    if (server.level >= 1) return { kind: 'room' };
    return {
      kind: 'no-room',
      roomInMs: ((1 - server.level) / server.requestsPerSecond) * MS_PER_SECOND,
    };
  }

  /** Estimates when there is room at one of these servers; undefined if none of them names a limit. */
  estimateRoom(serverKeys: readonly string[], nowMs: number): LimitRoom | undefined {
    let hasLimit = false;
    let roomInMs = Infinity;
    let requestsPerSecond = 0;
    for (const serverKey of serverKeys) {
      const server = this.servers.get(serverKey);
      if (server?.requestsPerSecond === undefined) continue;
      hasLimit = true;
      const judgement = this.judge(serverKey, nowMs);
      if (judgement.kind !== 'no-room' || judgement.roomInMs === undefined) continue;
      roomInMs = Math.min(roomInMs, judgement.roomInMs);
      requestsPerSecond += server.requestsPerSecond / this.#selectHolders(serverKey, server).size;
    }
    if (!hasLimit) return undefined;
    if (requestsPerSecond === 0) return { roomInMs: UNKNOWN_ROOM_MS, intervalMs: 0 };
    return { roomInMs, intervalMs: MS_PER_SECOND / requestsPerSecond };
  }

  /** Counts a request of this instance; returns the count that the other holders must know, if there is a limit. */
  recordSend(serverKey: string, nowMs: number): SendCount | undefined {
    const server = this.servers.get(serverKey);
    if (server?.requestsPerSecond === undefined) return undefined;
    takeLevel(server, 1, nowMs);
    server.sentCount += 1;
    return { serverKey, count: server.sentCount };
  }

  /**
   * Takes in the requests of another instance.
   *
   * @param peerId identifies the start of the instance, whose count begins anew with it
   */
  recordPeerSends(peerId: string, { serverKey, count }: SendCount, nowMs: number): void {
    const server = this.servers.get(serverKey);
    if (server?.requestsPerSecond === undefined) return;
    const known = server.countByPeer.get(peerId);
    if (known !== undefined && count <= known) return;
    server.countByPeer.set(peerId, count);
    // The requests before the first message of a peer may be long past.
    takeLevel(server, known === undefined ? 1 : count - known, nowMs);
  }

  /** Lists the other instances that share a server's limit. */
  listOtherHolders(serverKey: string): string[] {
    const server = this.servers.get(serverKey);
    if (server === undefined) return [];
    return [...this.#selectHolders(serverKey, server)].filter((id) => id !== this.instanceId);
  }

  /** Selects the holders anew at the next use, since the instances or the servers that they use have changed. */
  resetHolders(): void {
    for (const server of this.servers.values()) server.holderIds = undefined;
  }

  removeServers(isObsolete: (serverKey: string) => boolean): void {
    for (const serverKey of this.servers.keys()) {
      if (isObsolete(serverKey)) this.servers.delete(serverKey);
    }
  }

  countLimited(): number {
    return [...this.servers.values()].filter((server) => server.requestsPerSecond !== undefined)
      .length;
  }

  /** Lists all facts, the newest first. */
  listFacts(): LimitFact[] {
    return [...this.servers]
      .map(([serverKey, { version, requestsPerSecond }]) => ({
        serverKey,
        version,
        requestsPerSecond,
      }))
      .reverse();
  }

  isCurrent({ serverKey, version }: LimitFact): boolean {
    return this.servers.get(serverKey)?.version === version;
  }

  #selectHolders(serverKey: string, server: ServerLimit): ReadonlySet<string> {
    if (server.holderIds !== undefined) return server.holderIds;
    const keyHash = hashName(serverKey);
    const rate = server.requestsPerSecond ?? 0;
    const count = MIN_HOLDERS + Math.floor(rate * HOLDERS_PER_REQUEST_RATE);
    const scored = this.listInstanceIds(serverKey).map((id) => ({
      id,
      score: computeScore(keyHash, hashName(id)),
    }));
    scored.sort((a, b) => b.score - a.score || (a.id < b.id ? -1 : 1));
    server.holderIds = new Set(scored.slice(0, count).map(({ id }) => id));
    return server.holderIds;
  }

  #discardOldest(): void {
    if (this.servers.size <= MAX_SERVERS) return;
    const [oldest] = this.servers.keys();
    if (oldest !== undefined) this.servers.delete(oldest);
  }
}

function makeServerLimit(nowMs: number): ServerLimit {
  return {
    ...{ version: 0, requestsPerSecond: undefined, level: 1, filledAtMs: nowMs, sentCount: 0 },
    countByPeer: new Map(),
    holderIds: undefined,
  };
}

/** Of two facts with the same version the lower limit holds, so that all instances keep the same one. */
function isNewer(fact: LimitFact, known: Omit<LimitFact, 'serverKey'>): boolean {
  if (fact.version !== known.version) return fact.version > known.version;
  return (fact.requestsPerSecond ?? Infinity) < (known.requestsPerSecond ?? Infinity);
}

function computeBurst(requestsPerSecond: number): number {
  return Math.max(1, requestsPerSecond * BURST_SECONDS);
}

function refreshLevel(server: ServerLimit, nowMs: number): void {
  const { requestsPerSecond = 0 } = server;
  const filled = server.level + ((nowMs - server.filledAtMs) * requestsPerSecond) / MS_PER_SECOND;
  server.level = Math.min(filled, computeBurst(requestsPerSecond));
  server.filledAtMs = nowMs;
}

function takeLevel(server: ServerLimit, count: number, nowMs: number): void {
  refreshLevel(server, nowMs);
  const { requestsPerSecond = 0 } = server;
  const maxDebt = Math.max(MAX_DEBT_REQUESTS, requestsPerSecond * MAX_DEBT_SECONDS);
  server.level = Math.max(-maxDebt, server.level - count);
}
