import { LoadChanges } from '@pollendrum/policy';
import type { LoadTable } from '@pollendrum/policy';
import { decodeLoadReport, encodeLoadReport } from './load-report-codec';
import type { ReportedPrompt } from './load-report-codec';
import type { Clock, GatewayLog } from './log-and-clock';
import type { PeerAddress, PeerSocket } from './peer-socket';

/** Shortest interval between two reports, in milliseconds. */
const MIN_REPORT_INTERVAL_MS = 50;
/** Limit on the reports that an instance sends per second, which costs processor time at its peers. */
const MAX_REPORTS_PER_SECOND = 160;
/**
 * Limit on the bytes that an instance sends to all its peers per second, with the headers of datagrams. Peers send alike,
 * so it also receives this much. The interval between reports grows until the limit is kept.
 */
const MAX_BYTES_PER_SECOND = 80_000;
/** Bytes of the IP and UDP headers of a datagram. */
const DATAGRAM_HEADER_BYTES = 28;
/** Interval of reports without a change while requests are in progress, in milliseconds. */
const IDLE_REPORT_INTERVAL_MS = 600;
/** Limits on the contents of a report, which keep the datagram below the size that networks split. */
const MAX_LOADS_PER_REPORT = 24;
const MAX_PROMPTS_PER_REPORT = 8;
/** Prompts beyond this number are not reported, which can cost a prefill that a cache would have saved. */
const MAX_PENDING_PROMPTS = 200;
const MS_PER_SECOND = 1_000;

export interface LoadReporterOptions {
  instanceId: string;
  socket: PeerSocket;
  loads: LoadTable;
  clock: Clock;
  /** Called when a peer reports a prompt that it sent to a server. */
  onPrompt(prompt: ReportedPrompt): void;
  log: GatewayLog;
}

/**
 * Sends changes of the load that this instance puts on backend servers to the other instances in UDP datagrams, and
 * merges the reports received from them.
 */
export class LoadReporter implements AsyncDisposable {
  private readonly incarnation = `${process.pid}-${Date.now()}`;
  private readonly lastSequences = new Map<string, { incarnation: string; sequence: number }>();
  private timer: NodeJS.Timeout | undefined;
  private timerDueAtMs = Infinity;
  private hasChanges = false;
  private isDisposed = false;
  private readonly changes: LoadChanges;
  private peers: readonly PeerAddress[] = [];
  private sequence = 0;
  private pendingPrompts: ReportedPrompt[] = [];
  private lastSentAtMs = -Infinity;
  private nextReportAtMs = -Infinity;

  constructor(private readonly options: LoadReporterOptions) {
    this.changes = new LoadChanges(options.loads);
    options.socket.setHandler('load-report', (bytes) => {
      this.#handleMessage(bytes);
    });
    options.loads.setChangeListener(() => {
      this.#handleChange();
    });
  }

  setPeers(peers: readonly PeerAddress[]): void {
    const { instanceId, loads, clock } = this.options;
    const others = peers.filter((peer) => peer.instanceId !== instanceId);
    const knownIds = new Set(this.peers.map((peer) => peer.instanceId));
    const remainingIds = new Set(others.map((peer) => peer.instanceId));
    for (const peerId of knownIds) {
      if (!remainingIds.has(peerId)) loads.removePeer(peerId, clock());
    }
    this.peers = others;
    if (!others.some((peer) => !knownIds.has(peer.instanceId))) return;
    this.changes.reset();
    this.#handleChange();
  }

  /** Adds a prompt to the next report that has room for it. */
  addPrompt(prompt: ReportedPrompt): void {
    if (this.pendingPrompts.length < MAX_PENDING_PROMPTS) this.pendingPrompts.push(prompt);
    this.#handleChange();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.isDisposed = true;
    clearTimeout(this.timer);
    await Promise.resolve();
  }

  #handleChange(): void {
    this.hasChanges = true;
    this.#schedule(this.nextReportAtMs);
  }

  /** Sets the timer for the next report, unless it is set for an earlier time; an instance without requests sets none. */
  #schedule(dueAtMs: number): void {
    if (this.isDisposed || dueAtMs >= this.timerDueAtMs) return;
    clearTimeout(this.timer);
    this.timerDueAtMs = dueAtMs;
    this.timer = setTimeout(
      () => {
        this.timerDueAtMs = Infinity;
        this.#sendReportIfDue();
        this.#scheduleNext();
      },
      Math.max(0, dueAtMs - this.options.clock()),
    );
  }

  #scheduleNext(): void {
    if (this.hasChanges) {
      this.#schedule(this.nextReportAtMs);
      return;
    }
    const repetitionAtMs = this.changes.computeNextRepetitionMs();
    const signAtMs = this.changes.hasRequests()
      ? this.lastSentAtMs + IDLE_REPORT_INTERVAL_MS
      : Infinity;
    const dueAtMs = Math.min(repetitionAtMs, signAtMs);
    if (dueAtMs < Infinity) this.#schedule(Math.max(dueAtMs, this.nextReportAtMs));
  }

  #sendReportIfDue(): void {
    const nowMs = this.options.clock();
    const loads = this.changes.takeDue(nowMs, MAX_LOADS_PER_REPORT);
    const prompts = this.pendingPrompts.splice(0, MAX_PROMPTS_PER_REPORT);
    this.hasChanges = loads.length === MAX_LOADS_PER_REPORT || this.pendingPrompts.length > 0;
    if (loads.length + prompts.length === 0) {
      if (nowMs - this.lastSentAtMs < IDLE_REPORT_INTERVAL_MS) return;
      if (!this.changes.hasRequests()) return;
    }
    this.sequence += 1;
    const { instanceId } = this.options;
    const { incarnation, sequence } = this;
    const bytes = encodeLoadReport({ instanceId, incarnation, sequence, loads, prompts });
    this.lastSentAtMs = nowMs;
    this.nextReportAtMs = nowMs + computeIntervalMs(bytes.length, this.peers.length);
    this.options.socket.send(bytes, this.peers);
  }

  #handleMessage(bytes: Buffer): void {
    const { loads, log, onPrompt, clock } = this.options;
    const decoded = decodeLoadReport(bytes);
    if (decoded.kind === 'invalid') {
      log.warn('received an invalid load report', { reason: decoded.reason });
      return;
    }
    const { report } = decoded;
    const previous = this.lastSequences.get(report.instanceId);
    const isSameIncarnation = previous?.incarnation === report.incarnation;
    if (isSameIncarnation && previous.sequence >= report.sequence) return;
    if (!isSameIncarnation) loads.removePeer(report.instanceId, clock());
    this.lastSequences.set(report.instanceId, report);
    for (const prompt of report.prompts) onPrompt(prompt);
    const loadByServer = new Map(report.loads.map(({ serverId, load }) => [serverId, load]));
    loads.mergePeerReport(report.instanceId, loadByServer, clock());
  }
}

/** Time from a report of this size until the next one, in milliseconds, so that both limits per second are kept. */
function computeIntervalMs(reportBytes: number, peerCount: number): number {
  const bytes = (reportBytes + DATAGRAM_HEADER_BYTES) * peerCount;
  return Math.max(
    MIN_REPORT_INTERVAL_MS,
    (peerCount * MS_PER_SECOND) / MAX_REPORTS_PER_SECOND,
    (bytes * MS_PER_SECOND) / MAX_BYTES_PER_SECOND,
  );
}
