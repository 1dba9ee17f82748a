import { addLoad, NO_LOAD } from './server-load';
import type { ServerLoad } from './server-load';

/** Lifetime of a peer's report, in milliseconds; a peer without a newer report has probably stopped. */
const REPORT_LIFETIME_MS = 2_000;
/** Minimum interval between checks for expired reports, in milliseconds. */
const EXPIRY_CHECK_INTERVAL_MS = 200;
/** Time for which a peer's overdue time is kept if the peer sends no newer one, in milliseconds. */
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
 * Load that the other instances have put on backend servers. Totals are kept per server, so that the cost of a
 * lookup does not grow with the number of instances.
 */
export class PeerLoads {
  private readonly reports = new Map<string, PeerReport>();
  private readonly totals = new Map<string, ServerLoad>();
  private readonly longestOverdueByServer = new Map<string, ReportedOverdue>();
  private lastExpiryCheckAtMs = -Infinity;

  /** Stores a peer's report in place of the peer's previous report. */
  replaceReport(peerId: string, loads: ReadonlyMap<string, ServerLoad>, nowMs: number): void {
    this.removePeer(peerId);
    this.reports.set(peerId, { receivedAtMs: nowMs, loads });
    for (const [serverId, load] of loads) {
      this.#addToTotal(serverId, load, 1);
      this.#updateLongestOverdue(serverId, {
        peerId,
        overdueMs: load.overdueMs,
        receivedAtMs: nowMs,
      });
    }
  }

  removePeer(peerId: string): void {
    const report = this.reports.get(peerId);
    if (report === undefined) return;
    this.reports.delete(peerId);
    for (const [serverId, load] of report.loads) this.#addToTotal(serverId, load, -1);
  }

  /** Adds the load that peers have put on a server to `total`. */
  addTo(total: ServerLoad, serverId: string, nowMs: number): void {
    this.#expire(nowMs);
    const peers = this.totals.get(serverId);
    if (peers !== undefined) addLoad(total, peers, 1);
    const reported = this.longestOverdueByServer.get(serverId);
    if (reported === undefined || nowMs - reported.receivedAtMs > OVERDUE_LIFETIME_MS) return;
    total.overdueMs = Math.max(total.overdueMs, reported.overdueMs);
  }

  #addToTotal(serverId: string, load: ServerLoad, sign: 1 | -1): void {
    const total = this.totals.get(serverId) ?? { ...NO_LOAD };
    addLoad(total, load, sign);
    // Reports omit servers without requests below `MIN_REPORTED_UTILIZATION`, so a smaller rest is a rounding error.
    if (total.waiting + total.streaming <= 0 && total.shortShare + total.longShare < 0.001) {
      this.totals.delete(serverId);
    } else {
      this.totals.set(serverId, total);
    }
  }

  #updateLongestOverdue(serverId: string, reported: ReportedOverdue): void {
    const known = this.longestOverdueByServer.get(serverId);
    const isReplaced =
      known === undefined ||
      known.peerId === reported.peerId ||
      reported.overdueMs >= known.overdueMs ||
      reported.receivedAtMs - known.receivedAtMs > OVERDUE_LIFETIME_MS;
    if (isReplaced) this.longestOverdueByServer.set(serverId, reported);
  }

  #expire(nowMs: number): void {
    if (nowMs - this.lastExpiryCheckAtMs < EXPIRY_CHECK_INTERVAL_MS) return;
    this.lastExpiryCheckAtMs = nowMs;
    for (const [peerId, report] of this.reports) {
      if (nowMs - report.receivedAtMs > REPORT_LIFETIME_MS) this.removePeer(peerId);
    }
  }
}
