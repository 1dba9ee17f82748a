import { addLoad, NO_LOAD } from './server-load';
import type { ServerLoad } from './server-load';

/** A peer's report counts this long, in milliseconds; a peer that is silent for longer has likely stopped. */
const REPORT_LIFETIME_MS = 2_000;
/** How often silent peers are looked for, in milliseconds. */
const EXPIRY_CHECK_INTERVAL_MS = 200;
/** The longest delay that a peer reported counts until another report of that peer, or for this time, in milliseconds. */
const OVERDUE_LIFETIME_MS = 700;

interface PeerReport {
  receivedAtMs: number;
  loads: ReadonlyMap<string, ServerLoad>;
}

interface ReportedOverdue {
  peerId: string;
  overdueMs: number;
  receivedAtMs: number;
}

/**
 * Load that the other instances have put on backend servers. Sums are kept by server, so that a lookup does not
 * grow with the number of instances.
 */
export class PeerLoads {
  private readonly reports = new Map<string, PeerReport>();
  private readonly totals = new Map<string, ServerLoad>();
  private readonly overdues = new Map<string, ReportedOverdue>();
  private checkedExpiryAtMs = -Infinity;

  /** Takes in a peer's report; it replaces the peer's previous one. */
  merge(peerId: string, loads: ReadonlyMap<string, ServerLoad>, nowMs: number): void {
    this.removePeer(peerId);
    this.reports.set(peerId, { receivedAtMs: nowMs, loads });
    for (const [serverId, load] of loads) {
      this.#addToTotal(serverId, load, 1);
      this.#mergeOverdue(serverId, { peerId, overdueMs: load.overdueMs, receivedAtMs: nowMs });
    }
  }

  removePeer(peerId: string): void {
    const report = this.reports.get(peerId);
    if (report === undefined) return;
    this.reports.delete(peerId);
    for (const [serverId, load] of report.loads) this.#addToTotal(serverId, load, -1);
  }

  /** Adds the peers' load of a server to a total. */
  addTo(total: ServerLoad, serverId: string, nowMs: number): void {
    this.#expire(nowMs);
    const peers = this.totals.get(serverId);
    if (peers !== undefined) addLoad(total, peers, 1);
    const reported = this.overdues.get(serverId);
    if (reported === undefined || nowMs - reported.receivedAtMs > OVERDUE_LIFETIME_MS) return;
    total.overdueMs = Math.max(total.overdueMs, reported.overdueMs);
  }

  #addToTotal(serverId: string, load: ServerLoad, sign: 1 | -1): void {
    const total = this.totals.get(serverId) ?? { ...NO_LOAD };
    addLoad(total, load, sign);
    if (total.waiting + total.streaming <= 0 && total.shortShare + total.longShare < 0.001) {
      this.totals.delete(serverId);
    } else {
      this.totals.set(serverId, total);
    }
  }

  #mergeOverdue(serverId: string, reported: ReportedOverdue): void {
    const known = this.overdues.get(serverId);
    const isReplaced =
      known === undefined ||
      known.peerId === reported.peerId ||
      reported.overdueMs >= known.overdueMs ||
      reported.receivedAtMs - known.receivedAtMs > OVERDUE_LIFETIME_MS;
    if (isReplaced) this.overdues.set(serverId, reported);
  }

  #expire(nowMs: number): void {
    if (nowMs - this.checkedExpiryAtMs < EXPIRY_CHECK_INTERVAL_MS) return;
    this.checkedExpiryAtMs = nowMs;
    for (const [peerId, report] of this.reports) {
      if (nowMs - report.receivedAtMs > REPORT_LIFETIME_MS) this.removePeer(peerId);
    }
  }
}
