/** Load that one instance has put on one backend server. */
export interface ServerLoad {
  /** Prefill time of streams that have not sent an event yet, in milliseconds. */
  queuedPrefillMs: number;
  /** Requests that have not sent anything yet. */
  waiting: number;
  /** Streams that have sent an event and are not complete. */
  streaming: number;
  /** The part of `streaming` that a long prefill beside it would make late. */
  pauseSensitive: number;
  /** How far the oldest waiting request is past its expected first event, in milliseconds. */
  overdueMs: number;
}

export const NO_LOAD: ServerLoad = {
  queuedPrefillMs: 0,
  waiting: 0,
  streaming: 0,
  pauseSensitive: 0,
  overdueMs: 0,
};

/** A request that was sent to a backend server. */
export interface PlacedRequest {
  serverId: string;
  prefillMs: number;
  isPauseSensitive: boolean;
  /** When its first byte is expected, on the monotonic clock in milliseconds. */
  expectedFirstByteAtMs: number;
  isStreaming: boolean;
}

/** A peer's report counts this long, in milliseconds; a peer that is silent for longer has likely stopped. */
const PEER_REPORT_LIFETIME_MS = 2_000;

interface PeerReport {
  receivedAtMs: number;
  loads: ReadonlyMap<string, ServerLoad>;
}

/** Requests under way at each backend server: the instance's own exactly, those of its peers by their reports. */
export class LoadTable {
  private readonly placed = new Map<string, Set<PlacedRequest>>();
  private readonly peers = new Map<string, PeerReport>();

  add(request: PlacedRequest): void {
    const known = this.placed.get(request.serverId);
    if (known === undefined) this.placed.set(request.serverId, new Set([request]));
    else known.add(request);
  }

  markStreaming(request: PlacedRequest): void {
    request.isStreaming = true;
  }

  remove(request: PlacedRequest): void {
    const known = this.placed.get(request.serverId);
    known?.delete(request);
    if (known?.size === 0) this.placed.delete(request.serverId);
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
    for (const [serverId, requests] of this.placed)
      loads.set(serverId, sumRequests(requests, nowMs));
    return loads;
  }

  /** Load of a server over all instances. */
  getLoad(serverId: string, nowMs: number): ServerLoad {
    const total = sumRequests(this.placed.get(serverId) ?? [], nowMs);
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

function sumRequests(requests: Iterable<PlacedRequest>, nowMs: number): ServerLoad {
  const total = { ...NO_LOAD };
  for (const request of requests) {
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
  total.overdueMs = Math.max(total.overdueMs, load.overdueMs);
}
