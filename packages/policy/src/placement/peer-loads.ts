import { addRequests, NO_PLACED_LOAD } from './server-load';
import type { PlacedLoad, ReportedLoad, ServerLoad } from './server-load';
import { computeDecay, UtilizationMeter } from './utilization-meter';

/** Time after which a peer that sends no report has probably stopped, in milliseconds. */
const PEER_LIFETIME_MS = 2_000;
/** Time after which a load that its peer does not repeat is outdated, in milliseconds; the last report of it was lost. */
const LOAD_LIFETIME_MS = 4_000;
/** Minimum interval between checks for expired loads, in milliseconds. */
const EXPIRY_CHECK_INTERVAL_MS = 200;
/** Idle servers with a lower utilization are not kept. */
const MIN_KEPT_UTILIZATION = 0.005;

/** Weight of the newest interval in the smoothed interval between reports. */
const INTERVAL_SMOOTHING = 0.05;
/** Longer intervals come from peers without requests, whose loads do not change, in milliseconds. */
const MAX_REPORT_INTERVAL_MS = 1_500;
/**
 * Time that a report probably takes on the network and in the event loops of both instances, in milliseconds. Placement
 * depends little on it: in the simulation of 74 instances, results hardly differ from 300 to 1,800 ms.
 */
const REPORT_DELAY_MS = 300;

/** Load that one peer has put on one server. */
interface PeerLoad {
  load: ReportedLoad;
  receivedAtMs: number;
  /** Earliest expected first byte among the waiting requests, on this instance's clock; Infinity if none waits. */
  dueAtMs: number;
}

interface Peer {
  heardAtMs: number;
  /** Loads by server id, in the order in which they were received. */
  loads: Map<string, PeerLoad>;
}

/** Sum over all peers for one server. */
interface ServerTotal {
  requests: PlacedLoad;
  shortMeter: UtilizationMeter;
  longMeter: UtilizationMeter;
  loadByPeer: Map<string, PeerLoad>;
}

/**
 * Load that the other instances have put on backend servers. Sums are kept per server; a lookup only visits the peers
 * that use the server.
 */
export class PeerLoads {
  private readonly peers = new Map<string, Peer>();
  private readonly totals = new Map<string, ServerTotal>();
  private lastExpiryCheckAtMs = -Infinity;
  private reportIntervalMs = 0;

  /** Replaces what is known of a peer's load on these servers; its load on other servers stays as it was. */
  mergeReport(peerId: string, loads: ReadonlyMap<string, ReportedLoad>, nowMs: number): void {
    const known = this.peers.get(peerId);
    const peer = known ?? { heardAtMs: nowMs, loads: new Map<string, PeerLoad>() };
    if (known === undefined) this.peers.set(peerId, peer);
    else this.#observeInterval(nowMs - known.heardAtMs);
    peer.heardAtMs = nowMs;
    for (const [serverId, load] of loads) {
      this.#removeLoad(peerId, peer, serverId, nowMs);
      if (isNegligible(load)) continue;
      const peerLoad = { load, receivedAtMs: nowMs, dueAtMs: nowMs + (load.dueInMs ?? Infinity) };
      peer.loads.set(serverId, peerLoad);
      this.#addToTotal(peerId, serverId, peerLoad);
    }
  }

  removePeer(peerId: string, nowMs: number): void {
    const peer = this.peers.get(peerId);
    if (peer === undefined) return;
    this.peers.delete(peerId);
    for (const serverId of [...peer.loads.keys()]) {
      this.#removeLoad(peerId, peer, serverId, nowMs);
    }
  }

  /** Estimates the mean age of what is known of the peers' requests, in milliseconds; 0 without peers. */
  estimateReportAgeMs(): number {
    return this.peers.size === 0 ? 0 : REPORT_DELAY_MS + this.reportIntervalMs / 2;
  }

  /** Adds the load that peers have put on a server to `total`, multiplied by `factor`. */
  addTo(total: ServerLoad, serverId: string, nowMs: number, factor: number): void {
    this.#expire(nowMs);
    const peers = this.totals.get(serverId);
    if (peers === undefined) return;
    addRequests(total, peers.requests, factor);
    total.shortShare += factor * peers.shortMeter.getUtilization(nowMs);
    total.longShare += factor * peers.longMeter.getUtilization(nowMs);
    for (const { dueAtMs } of peers.loadByPeer.values()) {
      total.overdueMs = Math.max(total.overdueMs, nowMs - dueAtMs);
    }
  }

  #observeInterval(intervalMs: number): void {
    const bounded = Math.min(MAX_REPORT_INTERVAL_MS, intervalMs);
    this.reportIntervalMs += INTERVAL_SMOOTHING * (bounded - this.reportIntervalMs);
  }

  #addToTotal(peerId: string, serverId: string, peerLoad: PeerLoad): void {
    const { load, receivedAtMs } = peerLoad;
    const total = this.totals.get(serverId) ?? makeServerTotal();
    this.totals.set(serverId, total);
    total.loadByPeer.set(peerId, peerLoad);
    addRequests(total.requests, load, 1);
    total.shortMeter.addUtilization(load.shortShare, receivedAtMs);
    total.longMeter.addUtilization(load.longShare, receivedAtMs);
  }

  #removeLoad(peerId: string, peer: Peer, serverId: string, nowMs: number): void {
    const known = peer.loads.get(serverId);
    const total = this.totals.get(serverId);
    if (known === undefined || total === undefined) return;
    peer.loads.delete(serverId);
    total.loadByPeer.delete(peerId);
    if (total.loadByPeer.size === 0) {
      this.totals.delete(serverId);
      return;
    }
    const decay = computeDecay(nowMs - known.receivedAtMs);
    addRequests(total.requests, known.load, -1);
    total.shortMeter.addUtilization(-known.load.shortShare * decay, nowMs);
    total.longMeter.addUtilization(-known.load.longShare * decay, nowMs);
  }

  #expire(nowMs: number): void {
    if (nowMs - this.lastExpiryCheckAtMs < EXPIRY_CHECK_INTERVAL_MS) return;
    this.lastExpiryCheckAtMs = nowMs;
    for (const [peerId, peer] of this.peers) {
      if (nowMs - peer.heardAtMs > PEER_LIFETIME_MS) {
        this.removePeer(peerId, nowMs);
        continue;
      }
      for (const [serverId, { receivedAtMs }] of peer.loads) {
        if (nowMs - receivedAtMs <= LOAD_LIFETIME_MS) break;
        this.#removeLoad(peerId, peer, serverId, nowMs);
      }
    }
  }
}

function makeServerTotal(): ServerTotal {
  return {
    requests: { ...NO_PLACED_LOAD },
    shortMeter: new UtilizationMeter(),
    longMeter: new UtilizationMeter(),
    loadByPeer: new Map(),
  };
}

function isNegligible({ waiting, streaming, shortShare, longShare }: ReportedLoad): boolean {
  return waiting + streaming === 0 && shortShare + longShare < MIN_KEPT_UTILIZATION;
}
