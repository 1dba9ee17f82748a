import type { CrashReport } from '../ports';

/** Age at which a crash report expires. */
export const CRASH_RETENTION_MS = 600_000;
const MAX_REPORTS = 4_096;
// The age in a gossiped report excludes the transit time of each hop, so copies of a report differ
// slightly in time. Two crashes of a server by the same request are further apart, because the
// server restarts in between.
const SAME_CRASH_WINDOW_MS = 2_000;

interface StoredReport {
  report:
    | { kind: 'crash'; fingerprint: string; serverId: string }
    | { kind: 'cleared'; fingerprint: string };
  atMs: number;
}

/**
 * Reports of the last 10 minutes: of requests that crashed a backend server, and of requests that were
 * cleared because they succeeded later. A cleared report removes the earlier crash reports with its
 * fingerprint.
 */
export class CrashStore {
  readonly #reports = new Map<string, StoredReport>();

  /** Stores a report and returns its key; undefined if the report is expired, cleared or known. */
  add(report: CrashReport, nowMs: number): string | undefined {
    this.#expireReports(nowMs);
    if (report.ageMs >= CRASH_RETENTION_MS) return undefined;
    const atMs = nowMs - report.ageMs;
    const clearedAtMs = this.#reports.get(`cleared ${report.fingerprint}`)?.atMs ?? -Infinity;
    if (atMs <= clearedAtMs) return undefined;
    const key = buildReportKey(report, atMs);
    if (report.kind === 'crash') {
      if (this.#hasCrash(report.fingerprint, report.serverId, atMs)) return undefined;
      const { kind, fingerprint, serverId } = report;
      this.#reports.set(key, { report: { kind, fingerprint, serverId }, atMs });
    } else {
      // A repeated cleared report differs only in transit time, so it is not stored again.
      if (!this.#removeCrashes(report.fingerprint, atMs) && clearedAtMs > -Infinity)
        return undefined;
      this.#reports.set(key, {
        report: { kind: 'cleared', fingerprint: report.fingerprint },
        atMs,
      });
    }
    if (this.#reports.size > MAX_REPORTS) this.#removeOldest();
    return key;
  }

  get(key: string, nowMs: number): CrashReport | undefined {
    const stored = this.#reports.get(key);
    if (stored === undefined) return undefined;
    const ageMs = Math.max(0, nowMs - stored.atMs);
    return ageMs < CRASH_RETENTION_MS ? { ...stored.report, ageMs } : undefined;
  }

  list(nowMs: number): CrashReport[] {
    this.#expireReports(nowMs);
    return [...this.#reports.values()].map(({ report, atMs }) => ({
      ...report,
      ageMs: Math.max(0, nowMs - atMs),
    }));
  }

  #hasCrash(fingerprint: string, serverId: string, atMs: number): boolean {
    return [...this.#reports.values()].some(
      (stored) =>
        stored.report.kind === 'crash' &&
        stored.report.fingerprint === fingerprint &&
        stored.report.serverId === serverId &&
        Math.abs(stored.atMs - atMs) < SAME_CRASH_WINDOW_MS,
    );
  }

  #removeCrashes(fingerprint: string, untilMs: number): boolean {
    let hasRemoved = false;
    for (const [key, { report, atMs }] of this.#reports) {
      if (report.kind !== 'crash' || report.fingerprint !== fingerprint || atMs > untilMs) continue;
      this.#reports.delete(key);
      hasRemoved = true;
    }
    return hasRemoved;
  }

  #expireReports(nowMs: number): void {
    for (const [key, { atMs }] of this.#reports) {
      if (nowMs - atMs >= CRASH_RETENTION_MS) this.#reports.delete(key);
    }
  }

  #removeOldest(): void {
    const [oldest] = this.#reports.keys();
    if (oldest !== undefined) this.#reports.delete(oldest);
  }
}

function buildReportKey(report: CrashReport, atMs: number): string {
  return report.kind === 'crash'
    ? `crash ${report.fingerprint} ${report.serverId} ${Math.round(atMs)}`
    : `cleared ${report.fingerprint}`;
}
