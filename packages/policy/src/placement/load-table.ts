import { PeerLoads } from './peer-loads';
import { NO_LOAD } from './server-load';
import type { ServerLoad } from './server-load';
import { UtilizationMeter } from './utilization-meter';

/** A request that was sent to a backend server. */
export interface PlacedRequest {
  serverId: string;
  prefillMs: number;
  /** Tokens that the request holds in the engine's memory. */
  heldTokens: number;
  isPauseSensitive: boolean;
  hasLongPrompt: boolean;
  /** When its first byte is expected, on the monotonic clock in milliseconds. */
  expectedFirstByteAtMs: number;
  isStreaming: boolean;
}

/** Shares below this are left out of reports. */
const LEAST_SHARE = 0.005;

interface OwnServer {
  requests: Set<PlacedRequest>;
  shortShare: UtilizationMeter;
  longShare: UtilizationMeter;
}

/** Requests under way at each backend server: the instance's own exactly, those of its peers by their reports. */
export class LoadTable {
  private readonly own = new Map<string, OwnServer>();
  private readonly peers = new PeerLoads();

  add(request: PlacedRequest, nowMs: number): void {
    const server = this.own.get(request.serverId) ?? makeOwnServer();
    this.own.set(request.serverId, server);
    server.requests.add(request);
    const meter = request.hasLongPrompt ? server.longShare : server.shortShare;
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
    this.peers.merge(peerId, loads, nowMs);
  }

  removePeer(peerId: string): void {
    this.peers.removePeer(peerId);
  }

  /** The own load of every server that has any. */
  listLocalLoads(nowMs: number): Map<string, ServerLoad> {
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
    this.peers.addTo(total, serverId, nowMs);
    return total;
  }
}

function makeOwnServer(): OwnServer {
  return {
    requests: new Set(),
    shortShare: new UtilizationMeter(),
    longShare: new UtilizationMeter(),
  };
}

function summarizeServer(server: OwnServer, nowMs: number): ServerLoad {
  const total = {
    ...NO_LOAD,
    shortShare: server.shortShare.getUtilization(nowMs),
    longShare: server.longShare.getUtilization(nowMs),
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
