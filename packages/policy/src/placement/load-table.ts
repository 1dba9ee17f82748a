import { PeerLoads } from './peer-loads';
import { NO_LOAD } from './server-load';
import type { ServerLoad } from './server-load';
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

/** Servers without requests are omitted from reports unless their utilization exceeds this value. */
const MIN_REPORTED_UTILIZATION = 0.005;

interface LocalServer {
  requests: Set<PlacedRequest>;
  shortPromptMeter: UtilizationMeter;
  longPromptMeter: UtilizationMeter;
}

/** Tracks the load of each backend server from this instance's requests and from the load reports of its peers. */
export class LoadTable {
  private readonly local = new Map<string, LocalServer>();
  private readonly peers = new PeerLoads();

  add(request: PlacedRequest, nowMs: number): void {
    const server = this.local.get(request.serverId) ?? makeLocalServer();
    this.local.set(request.serverId, server);
    server.requests.add(request);
    const meter = request.hasLongPrompt ? server.longPromptMeter : server.shortPromptMeter;
    meter.add(request.prefillMs, nowMs);
  }

  /** Records that the stream has sent its first event, so that it counts as streaming instead of waiting. */
  markStreaming(request: PlacedRequest): void {
    request.isStreaming = true;
  }

  remove(request: PlacedRequest): void {
    this.local.get(request.serverId)?.requests.delete(request);
  }

  /** Removes a server that is no longer listed. Does nothing while requests of this instance to it are in progress. */
  removeServer(serverId: string): void {
    if (this.local.get(serverId)?.requests.size === 0) this.local.delete(serverId);
  }

  /** Stores a peer's report in place of the peer's previous report. */
  replacePeerReport(peerId: string, loads: ReadonlyMap<string, ServerLoad>, nowMs: number): void {
    this.peers.replaceReport(peerId, loads, nowMs);
  }

  removePeer(peerId: string): void {
    this.peers.removePeer(peerId);
  }

  /** Lists the load that this instance has put on each server, without idle servers. */
  listLocalLoads(nowMs: number): Map<string, ServerLoad> {
    const loads = new Map<string, ServerLoad>();
    for (const [serverId, server] of this.local) {
      const load = summarizeServer(server, nowMs);
      const hasLoad =
        server.requests.size > 0 || load.shortShare + load.longShare > MIN_REPORTED_UTILIZATION;
      if (hasLoad) loads.set(serverId, load);
    }
    return loads;
  }

  /** Total load of a server from all instances. */
  getLoad(serverId: string, nowMs: number): ServerLoad {
    const server = this.local.get(serverId);
    const total = server === undefined ? { ...NO_LOAD } : summarizeServer(server, nowMs);
    this.peers.addTo(total, serverId, nowMs);
    return total;
  }
}

function makeLocalServer(): LocalServer {
  return {
    requests: new Set(),
    shortPromptMeter: new UtilizationMeter(),
    longPromptMeter: new UtilizationMeter(),
  };
}

function summarizeServer(server: LocalServer, nowMs: number): ServerLoad {
  const total = {
    ...NO_LOAD,
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
    total.overdueMs = Math.max(total.overdueMs, nowMs - request.expectedFirstByteAtMs);
  }
  return total;
}
