import { judgeWindow, MIN_REPORT_DELAY_MS } from '@pollendrum/policy';
import type { RecordedUsage, WindowCoverage } from '@pollendrum/policy';
import type { Clock, GatewayLog } from '../log-and-clock';
import type { DutyLease } from './duty-lease';
import type { DutyCallResult, DutyCalls, Fence } from './types';
import type { UsageSharing } from './usage-sharing';

export interface UsageReporterOptions {
  lease: DutyLease;
  sharing: UsageSharing;
  calls: Pick<DutyCalls, 'reportUsage'>;
  windowMs: number;
  /** Time after the end of a window at which its report is due, in milliseconds. */
  dueAfterMs: number;
  clock: Clock;
  log: GatewayLog;
  metrics: UsageReporterMetrics;
}

/** Counts of what the reporter has done. */
export interface UsageReporterMetrics {
  recordCall(result: DutyCallResult['kind']): void;
  recordWindow(result: 'recorded' | 'omitted'): void;
}

/** Interval at which the holder checks whether a report is due, in milliseconds. */
const CHECK_INTERVAL_MS = 200;
/** Windows that the lease object keeps after the platform has accepted them. */
const KEPT_ACCEPTED = 12;
/** Windows that it keeps at most; the platform may be away for minutes. */
const MAX_KEPT = 48;
/** Wait after a call that was not accepted, in milliseconds; it doubles up to the longest one. */
const FIRST_RETRY_DELAY_MS = 500;
const MAX_RETRY_DELAY_MS = 4_000;
/** Time for which an instance that hears nobody leaves the duties to others, in milliseconds. */
const CUT_OFF_PAUSE_MS = 10_000;
/**
 * Time without a response after which the duties are left to others, in milliseconds, since this instance may be cut off from the
 * platform. It doubles each time, as the platform may be away for all.
 */
const FIRST_SILENCE_MS = 4_000;
const MAX_SILENCE_MS = 64_000;
/** Instances without which one that hears nobody cannot tell that it is cut off. */
const MIN_OTHERS = 2;

/**
 * Reports the usage of all instances while this one holds the duties. The counts of a window are written into the lease object
 * before they are sent, so that this and all later holders report the same.
 */
export class UsageReporter implements AsyncDisposable {
  private timer: NodeJS.Timeout | undefined;
  private token: number | undefined;
  /** Time of the take-over by the clock of usage. */
  private takenAtMs = 0;
  private nextWindowId = 0;
  private ledger: readonly RecordedUsage[] = [];
  /** Whether the lease object holds the ledger as it is. */
  private isRecorded = true;
  /** What this process has recorded, which a backup of the store may lack. */
  private known: readonly RecordedUsage[] = [];
  private retryAtMs = -Infinity;
  private retryDelayMs = FIRST_RETRY_DELAY_MS;
  private isFailing = false;
  /** Start of the first of the calls since which there has been no response. */
  private silentSinceMs: number | undefined;
  private maxSilenceMs = FIRST_SILENCE_MS;
  private lastReported = 0;
  private isDisposed = false;

  constructor(private readonly options: UsageReporterOptions) {
    options.lease.onChange((isHolder) => {
      if (isHolder) this.#schedule();
    });
  }

  /** Returns the last window of which the platform has accepted a report by this instance; 0 if there is none. */
  getLastReported(): number {
    return this.lastReported;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.isDisposed = true;
    clearTimeout(this.timer);
    await Promise.resolve();
  }

  /** Checks again after the interval, as long as this instance holds the duties. */
  #schedule(): void {
    if (this.timer !== undefined || this.isDisposed) return;
    this.timer = setTimeout(() => {
      void this.#checkReports().finally(() => {
        this.timer = undefined;
        if (this.options.lease.getFence() !== undefined) this.#schedule();
      });
    }, CHECK_INTERVAL_MS);
  }

  async #checkReports(): Promise<void> {
    const { lease, sharing } = this.options;
    const fence = lease.getFence();
    if (fence === undefined) return;
    if (fence.token !== this.token) this.#takeOver(fence);
    sharing.mergeOwnCounts();
    this.#recordDueWindows();
    if (!this.isRecorded && !(await this.#writeLedger())) return;
    await this.#sendNext();
  }

  /** Continues after the windows that this and earlier holders have recorded. */
  #takeOver({ token }: Fence): void {
    const { lease, sharing, log, windowMs, dueAfterMs } = this.options;
    this.token = token;
    this.takenAtMs = sharing.readTime();
    const stored = lease.getRecordedUsage();
    const storedIds = new Set(stored.map(({ windowId }) => windowId));
    const lost = this.known.filter(({ windowId }) => !storedIds.has(windowId));
    this.ledger = [...stored, ...lost]
      .sort((one, other) => one.windowId - other.windowId)
      .slice(-MAX_KEPT);
    this.isRecorded = lost.length === 0;
    const firstId = sharing.computeWindowId() - Math.ceil(dueAfterMs / windowMs) - 1;
    const lastId = this.ledger.at(-1)?.windowId;
    this.nextWindowId = Math.max(0, lastId === undefined ? firstId : lastId + 1);
    sharing.notifyInstances();
    log.info('usage is reported by this instance', {
      ...{ token, nextWindowId: this.nextWindowId },
      ...{ unaccepted: this.ledger.filter(({ isAccepted }) => !isAccepted).length },
      hasLostRecords: lease.hasLostRecords(),
    });
  }

  /** Adds the windows to the ledger whose counts are in, and passes over those that are not reported. */
  #recordDueWindows(): void {
    const { sharing, metrics, windowMs } = this.options;
    const firstKept = sharing.computeWindowId() - MAX_KEPT;
    this.nextWindowId = Math.max(this.nextWindowId, firstKept);
    for (;;) {
      const windowId = this.nextWindowId;
      const sinceEndMs = sharing.readTime() - (windowId + 1) * windowMs;
      if (sinceEndMs < 0) return;
      const coverage = sharing.table.computeCoverage(windowId, sharing.listInstanceIds());
      const judgement = this.#judge(windowId, sinceEndMs, coverage);
      if (judgement === 'wait') return;
      this.nextWindowId += 1;
      if (judgement === 'omit') {
        this.#recordOmission(windowId, coverage);
        continue;
      }
      const counts = sharing.table.computeSums(windowId);
      this.ledger = discardOldEntries([...this.ledger, { windowId, counts, isAccepted: false }]);
      this.isRecorded = false;
      metrics.recordWindow('recorded');
    }
  }

  #judge(windowId: number, sinceEndMs: number, coverage: WindowCoverage) {
    const { lease, sharing, windowMs, dueAfterMs } = this.options;
    const endMs = (windowId + 1) * windowMs;
    return judgeWindow({
      ...{ sinceEndMs, dueAfterMs, coverage },
      wasPresent: sharing.firstWindowId < windowId,
      mayBeReported: lease.hasLostRecords() && endMs + MIN_REPORT_DELAY_MS <= this.takenAtMs,
    });
  }

  #recordOmission(windowId: number, { complete, missing }: WindowCoverage): void {
    const { lease, log, metrics } = this.options;
    metrics.recordWindow('omitted');
    log.warn('usage of a window is not reported', { windowId, complete, missing: missing.length });
    if (complete > 1 || missing.length < MIN_OTHERS) return;
    log.warn('the duties are left to others, since no counts of theirs arrive');
    lease.releaseFor(CUT_OFF_PAUSE_MS);
  }

  /** Returns whether the lease object holds the ledger, under the same token. */
  async #writeLedger(): Promise<boolean> {
    const { ledger } = this;
    const fence = await this.options.lease.recordUsage(ledger);
    if (fence === undefined || fence.token !== this.token) return false;
    this.isRecorded = true;
    this.known = ledger;
    return true;
  }

  /** Sends the oldest report that has not been accepted. */
  async #sendNext(): Promise<void> {
    const { lease, calls, clock } = this.options;
    const due = this.ledger.find(({ isAccepted }) => !isAccepted);
    const fence = lease.getFence();
    if (due === undefined || fence === undefined || fence.token !== this.token) return;
    if (clock() < this.retryAtMs) return;
    const { windowId, counts } = due;
    const startedAtMs = clock();
    const result = await calls.reportUsage(fence, { windowId, counts: new Map(counts) });
    this.#handleResult(result, windowId, fence);
    this.#checkSilence(result, startedAtMs);
  }

  #handleResult(result: DutyCallResult, windowId: number, fence: Fence): void {
    const { lease, metrics, log, clock } = this.options;
    metrics.recordCall(result.kind);
    if (result.kind === 'accepted') {
      this.#recordAccepted(windowId);
      return;
    }
    if (result.kind === 'refused') lease.recordRefusal(fence);
    if (!this.isFailing) {
      log.warn('a report of usage is not accepted; retrying', { windowId, ...result });
    }
    this.isFailing = true;
    this.retryAtMs = clock() + this.retryDelayMs;
    this.retryDelayMs = Math.min(MAX_RETRY_DELAY_MS, 2 * this.retryDelayMs);
  }

  /** Leaves the duties to others when the platform has not responded for some time. */
  #checkSilence({ kind }: DutyCallResult, startedAtMs: number): void {
    const { lease, log, clock } = this.options;
    if (kind !== 'unknown') {
      this.silentSinceMs = undefined;
      if (kind === 'accepted') this.maxSilenceMs = FIRST_SILENCE_MS;
      return;
    }
    this.silentSinceMs ??= startedAtMs;
    if (clock() - this.silentSinceMs < this.maxSilenceMs) return;
    this.silentSinceMs = undefined;
    this.maxSilenceMs = Math.min(MAX_SILENCE_MS, 2 * this.maxSilenceMs);
    log.warn('the duties are left to others, since the platform does not respond');
    lease.releaseFor(CUT_OFF_PAUSE_MS);
  }

  #recordAccepted(windowId: number): void {
    const { lease, log } = this.options;
    if (this.isFailing) log.info('reports of usage are accepted again', { windowId });
    this.isFailing = false;
    this.retryDelayMs = FIRST_RETRY_DELAY_MS;
    this.lastReported = windowId;
    this.ledger = this.ledger.map((entry) =>
      entry.windowId === windowId ? { ...entry, isAccepted: true } : entry,
    );
    this.known = this.ledger;
    // The next renewal tells later holders; without it they only repeat the report.
    lease.setUsage(this.ledger);
  }
}

/** Keeps what is not accepted and the last ones that are, since a backup may be some seconds old. */
function discardOldEntries(ledger: readonly RecordedUsage[]): RecordedUsage[] {
  const accepted = ledger.filter(({ isAccepted }) => isAccepted);
  const dropped = new Set(accepted.slice(0, -KEPT_ACCEPTED));
  return ledger.filter((entry) => !dropped.has(entry)).slice(-MAX_KEPT);
}
