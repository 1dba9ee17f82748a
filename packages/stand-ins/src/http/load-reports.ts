/** What `GET /load` answers. */
export interface LoadReport {
  running: number;
  waiting: number;
  slots: number;
  /** Share of the KV cache in use, 0 to 1. */
  kvUsed: number;
  draining: boolean;
  /** Unix time in milliseconds that the report describes. */
  asOf: number;
}

/** Longest lag that can be set, in milliseconds. */
const MAX_LAG_MS = 60_000;

/** Keeps past reports, so that the load can be reported as it was some time ago. */
export class LoadReports {
  private readonly history: LoadReport[] = [];

  recordReport(report: Omit<LoadReport, 'asOf'>): void {
    const asOf = Date.now();
    this.history.push({ ...report, asOf });
    const isOld = (index: number) => (this.history[index]?.asOf ?? asOf) < asOf - MAX_LAG_MS;
    if (!isOld(0)) return;
    let obsolete = 0;
    while (isOld(obsolete + 1)) obsolete += 1;
    this.history.splice(0, obsolete);
  }

  /** The report that was true `lagMs` ago; the oldest one when none is that old. */
  getReport(lagMs: number): LoadReport | undefined {
    const asOf = Date.now() - lagMs;
    const past = this.history.findLast((report) => report.asOf <= asOf);
    return past ? { ...past, asOf } : this.history[0];
  }
}
