import { PeerLoads } from './peer-loads';
import { NO_LOAD, NO_PLACED_LOAD } from './server-load';
import type { PlacedLoad, ReportedLoad, ServerLoad } from './server-load';
import { UtilizationMeter } from './utilization-meter';

/** A request that was sent to a backend server. */
export interface PlacedRequest {
  serverId: string;
  prefillMs: number;
  /** Tokens of the prompt and the response that the request holds or will hold in the engine's KV cache. */
  heldTokens: number;
  isPauseSensitive: boolean;
  hasLongPrompt: boolean;
  /**
   * Expected time of the first event (streams) or of the complete response (non-streaming requests), on the monotonic
   * clock in milliseconds.
   */
  expectedFirstByteAtMs: number;
  /** Whether the stream has sent its first event; always false for non-streaming requests. */
  isStreaming: boolean;
}

/** A server that this instance has sent requests to. */
export interface LocalServerState {
  serverId: string;
  /** Increases with each request that is added, starts streaming or is removed. */
  changeCount: number;
  hasRequests: boolean;
}

interface LocalServer {
  requests: Set<PlacedRequest>;
  changeCount: number;
  shortPromptMeter: UtilizationMeter;
  longPromptMeter: UtilizationMeter;
}

/** Tracks the load of each backend server from this instance's requests and from the load reports of its peers. */
export class LoadTable {
  private readonly local = new Map<string, LocalServer>();
  private readonly peers = new PeerLoads();
  private notifyChange: () => void = () => undefined;

  /** Sets what is called after each change of the load that this instance puts on servers. */
  setChangeListener(notifyChange: () => void): void {
    this.notifyChange = notifyChange;
  }

  add(request: PlacedRequest, nowMs: number): void {
    const server = this.local.get(request.serverId) ?? makeLocalServer();
    this.local.set(request.serverId, server);
    server.requests.add(request);
    server.changeCount += 1;
    const meter = request.hasLongPrompt ? server.longPromptMeter : server.shortPromptMeter;
    meter.add(request.prefillMs, nowMs);
    this.notifyChange();
  }

  /** Records that the stream has sent its first event, so that it counts as streaming instead of waiting. */
  markStreaming(request: PlacedRequest): void {
    if (request.isStreaming) return;
    request.isStreaming = true;
    const server = this.local.get(request.serverId);
    if (server === undefined) return;
    server.changeCount += 1;
    this.notifyChange();
  }

  remove(request: PlacedRequest): void {
    const server = this.local.get(request.serverId);
    if (!server?.requests.delete(request)) return;
    server.changeCount += 1;
    this.notifyChange();
  }

  /** Removes a server that is no longer listed. Does nothing while requests of this instance to it are in progress. */
  removeServer(serverId: string): void {
    if (this.local.get(serverId)?.requests.size === 0) this.local.delete(serverId);
  }

  /** Replaces what is known of a peer's load on the reported servers; its load on other servers stays as it was. */
  mergePeerReport(peerId: string, loads: ReadonlyMap<string, ReportedLoad>, nowMs: number): void {
    this.peers.mergeReport(peerId, loads, nowMs);
  }

  removePeer(peerId: string, nowMs: number): void {
    this.peers.removePeer(peerId, nowMs);
  }

  /** Estimates the mean age of what is known of the requests of other instances, in milliseconds; 0 without peers. */
  estimateReportAgeMs(): number {
    return this.peers.estimateReportAgeMs();
  }

  /** Lists the servers that this instance has sent requests to, also idle ones. */
  listLocalServers(): LocalServerState[] {
    return [...this.local].map(([serverId, { changeCount, requests }]) => ({
      serverId,
      changeCount,
      hasRequests: requests.size > 0,
    }));
  }

  /** Load that this instance has put on a server. */
  getReportedLoad(serverId: string, nowMs: number): ReportedLoad {
    const server = this.local.get(serverId);
    if (server === undefined) return { ...NO_PLACED_LOAD, dueInMs: undefined };
    const dueAtMs = findEarliestDue(server);
    return {
      ...summarizeServer(server, nowMs),
      dueInMs: dueAtMs === undefined ? undefined : dueAtMs - nowMs,
    };
  }

  /**
   * Total load of a server from all instances.
   *
   * @param peerFactor factor from the load of the peers that report to this instance to that of all other instances
   */
  getLoad(serverId: string, nowMs: number, peerFactor = 1): ServerLoad {
    const server = this.local.get(serverId);
    const total = { ...NO_LOAD };
    if (server !== undefined) {
      Object.assign(total, summarizeServer(server, nowMs));
      total.overdueMs = Math.max(0, nowMs - (findEarliestDue(server) ?? Infinity));
    }
    this.peers.addTo(total, serverId, nowMs, peerFactor);
    return total;
  }
}

function makeLocalServer(): LocalServer {
  return {
    requests: new Set(),
    changeCount: 0,
    shortPromptMeter: new UtilizationMeter(),
    longPromptMeter: new UtilizationMeter(),
  };
}

function summarizeServer(server: LocalServer, nowMs: number): PlacedLoad {
  const total = {
    ...NO_PLACED_LOAD,
    shortShare: server.shortPromptMeter.getUtilization(nowMs),
    longShare: server.longPromptMeter.getUtilization(nowMs),
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
  }
  return total;
}

/** Earliest expected first byte among the waiting requests; undefined if none is expected. */
function findEarliestDue(server: LocalServer): number | undefined {
  let earliestMs = Infinity;
  for (const { isStreaming, expectedFirstByteAtMs } of server.requests) {
    if (!isStreaming) earliestMs = Math.min(earliestMs, expectedFirstByteAtMs);
  }
  return Number.isFinite(earliestMs) ? earliestMs : undefined;
}
