import { ShareMeter } from './share-meter';

/** Load that one instance, or all of them, have put on one backend server. */
export interface ServerLoad {
  /** Prefill time of streams that have not sent an event yet, in milliseconds. */
  queuedPrefillMs: number;
  /** Requests that have not sent anything yet. */
  waiting: number;
  /** Streams that have sent an event and are not complete. */
  streaming: number;
  /** The part of `streaming` that a long prefill beside it would make late. */
  pauseSensitive: number;
  /** Tokens of prompts and answers that running requests hold in the engine's memory. */
  heldTokens: number;
  /** Share of the server's recent time that prefills of short prompts take. */
  shortShare: number;
  /** The same for long prompts. */
  longShare: number;
  /** How far the oldest waiting request is past its expected first byte, in milliseconds. */
  overdueMs: number;
}

export const NO_LOAD: ServerLoad = {
  queuedPrefillMs: 0,
  waiting: 0,
  streaming: 0,
  pauseSensitive: 0,
  heldTokens: 0,
  shortShare: 0,
  longShare: 0,
  overdueMs: 0,
};

/** A request that was sent to a backend server. */
export interface PlacedRequest {
  serverId: string;
  prefillMs: number;
  /** Tokens that the request holds in the engine's memory. */
  heldTokens: number;
  isPauseSensitive: boolean;
  isLong: boolean;
  /** When its first byte is expected, on the monotonic clock in milliseconds. */
  expectedFirstByteAtMs: number;
  isStreaming: boolean;
}

/** A peer's report counts this long, in milliseconds; a peer that is silent for longer has likely stopped. */
const PEER_REPORT_LIFETIME_MS = 2_000;
/** Shares below this are left out of reports. */
const LEAST_SHARE = 0.005;

interface PeerReport {
  receivedAtMs: number;
  loads: ReadonlyMap<string, ServerLoad>;
}

interface OwnServer {
  requests: Set<PlacedRequest>;
  shortShare: ShareMeter;
  longShare: ShareMeter;
}

/** Requests under way at each backend server: the instance's own exactly, those of its peers by their reports. */
export class LoadTable {
  private readonly own = new Map<string, OwnServer>();
  private readonly peers = new Map<string, PeerReport>();

  add(request: PlacedRequest, nowMs: number): void {
    const server = this.own.get(request.serverId) ?? makeOwnServer();
    this.own.set(request.serverId, server);
    server.requests.add(request);
    const meter = request.isLong ? server.longShare : server.shortShare;
    meter.add(request.prefillMs, nowMs);
  }

  markStreaming(request: PlacedRequest): void {
    request.isStreaming = true;
  }

  remove(request: PlacedRequest): void {
    this.own.get(request.serverId)?.requests.delete(request);
  }

  /** Forgets the shares of a server that has left; its requests end on their own. */
  removeServer(serverId: string): void {
    if (this.own.get(serverId)?.requests.size === 0) this.own.delete(serverId);
  }

  /** Takes in a peer's report; it replaces the peer's previous one. */
  mergePeerReport(peerId: string, loads: ReadonlyMap<string, ServerLoad>, nowMs: number): void {
    this.peers.set(peerId, { receivedAtMs: nowMs, loads });
  }

  removePeer(peerId: string): void {
    this.peers.delete(peerId);
  }

  /** The own load of every server that has any. */
  listOwnLoads(nowMs: number): Map<string, ServerLoad> {
    const loads = new Map<string, ServerLoad>();
    for (const [serverId, server] of this.own) {
      const load = summarizeServer(server, nowMs);
      const hasLoad = server.requests.size > 0 || load.shortShare + load.longShare > LEAST_SHARE;
      if (hasLoad) loads.set(serverId, load);
    }
    return loads;
  }

  /** Load of a server over all instances. */
  getLoad(serverId: string, nowMs: number): ServerLoad {
    const server = this.own.get(serverId);
    const total = server === undefined ? { ...NO_LOAD } : summarizeServer(server, nowMs);
    for (const [peerId, report] of this.peers) {
      if (nowMs - report.receivedAtMs > PEER_REPORT_LIFETIME_MS) {
        this.peers.delete(peerId);
        continue;
      }
      const load = report.loads.get(serverId);
      if (load !== undefined) addLoad(total, load);
    }
    return total;
  }
}

function makeOwnServer(): OwnServer {
  return { requests: new Set(), shortShare: new ShareMeter(), longShare: new ShareMeter() };
}

function summarizeServer(server: OwnServer, nowMs: number): ServerLoad {
  const total = {
    ...NO_LOAD,
    shortShare: server.shortShare.getShare(nowMs),
    longShare: server.longShare.getShare(nowMs),
  };
  for (const request of server.requests) {
    total.heldTokens += request.heldTokens;
    if (request.isStreaming) {
      total.streaming += 1;
      if (request.isPauseSensitive) total.pauseSensitive += 1;
      continue;
    }
    total.waiting += 1;
    total.queuedPrefillMs += request.prefillMs;
    total.overdueMs = Math.max(total.overdueMs, nowMs - request.expectedFirstByteAtMs);
  }
  return total;
}

function addLoad(total: ServerLoad, load: ServerLoad): void {
  total.queuedPrefillMs += load.queuedPrefillMs;
  total.waiting += load.waiting;
  total.streaming += load.streaming;
  total.pauseSensitive += load.pauseSensitive;
  total.heldTokens += load.heldTokens;
  total.shortShare += load.shortShare;
  total.longShare += load.longShare;
  total.overdueMs = Math.max(total.overdueMs, load.overdueMs);
}
