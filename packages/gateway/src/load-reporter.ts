import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import type { LoadTable, ServerLoad } from '@pollendrum/policy';
import { decodeCbor, encodeCbor, isValidLoadReport } from '@pollendrum/protocol';
import type { ReportedPrompt } from '@pollendrum/protocol';
import type { Clock, GatewayLog } from './log-and-clock';
import type { TrafficMeter } from './traffic-meter';

/** A changed load is reported within this time unless there are many peers, in milliseconds. */
const REPORT_INTERVAL_MS = 50;
/** Approximate limit on the reports that an instance receives per second; with many peers each reports less often. */
const MAX_RECEIVED_REPORTS_PER_SECOND = 400;
/** Interval at which an unchanged load is reported again, in milliseconds; peers discard a report after 2 s. */
const UNCHANGED_REPORT_INTERVAL_MS = 600;
/**
 * Maximum number of prompts in a report, which keeps the datagram below 64 KB. Further prompts are not reported,
 * which can cost a prefill that a cache would have saved.
 */
const MAX_PROMPTS_PER_REPORT = 200;
const MS_PER_SECOND = 1_000;

/** Address at which an instance receives load reports. */
export interface PeerAddress {
  instanceId: string;
  address: string;
  port: number;
}

export interface LoadReporterOptions {
  instanceId: string;
  address: string;
  port: number;
  loads: LoadTable;
  clock: Clock;
  /** Called when a peer reports a prompt that it sent to a server. */
  onPrompt(prompt: ReportedPrompt): void;
  log: GatewayLog;
  traffic: TrafficMeter;
}

/**
 * Sends the load that this instance puts on backend servers to the other instances in UDP datagrams, and merges the
 * reports received from them.
 */
export class LoadReporter implements AsyncDisposable {
  private readonly socket: Socket;
  private readonly incarnation = `${process.pid}-${Date.now()}`;
  private readonly lastSequences = new Map<string, { incarnation: string; sequence: number }>();
  private readonly timer: NodeJS.Timeout;
  private peers: readonly PeerAddress[] = [];
  private sequence = 0;
  private prompts: ReportedPrompt[] = [];
  private lastLoadsJson = '[]';
  private lastSentAtMs = -Infinity;

  constructor(private readonly options: LoadReporterOptions) {
    this.socket = createSocket('udp4');
    this.socket.on('message', (bytes) => {
      this.#handleMessage(bytes);
    });
    this.socket.on('error', (error) => {
      options.log.warn('load report socket failed', { error: error.message });
    });
    this.socket.bind(options.port, options.address);
    this.timer = setInterval(() => {
      this.#sendReportIfDue();
    }, REPORT_INTERVAL_MS);
  }

  setPeers(peers: readonly PeerAddress[]): void {
    const { instanceId, loads } = this.options;
    const others = peers.filter((peer) => peer.instanceId !== instanceId);
    const remainingIds = new Set(others.map((peer) => peer.instanceId));
    for (const { instanceId: peerId } of this.peers) {
      if (!remainingIds.has(peerId)) loads.removePeer(peerId);
    }
    this.peers = others;
  }

  /** Adds a prompt to the next report. */
  addPrompt(prompt: ReportedPrompt): void {
    if (this.prompts.length < MAX_PROMPTS_PER_REPORT) this.prompts.push(prompt);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.timer);
    await new Promise<void>((resolve) => {
      this.socket.close(resolve);
    });
  }

  #sendReportIfDue(): void {
    const nowMs = this.options.clock();
    const intervalMs = Math.max(
      REPORT_INTERVAL_MS,
      (this.peers.length * MS_PER_SECOND) / MAX_RECEIVED_REPORTS_PER_SECOND,
    );
    if (nowMs - this.lastSentAtMs < intervalMs * 0.9) return;
    const loads = buildLoadEntries(this.options.loads.listLocalLoads(nowMs));
    const loadsJson = JSON.stringify(loads);
    const isUnchanged = loadsJson === this.lastLoadsJson && this.prompts.length === 0;
    if (
      isUnchanged &&
      (loads.length === 0 || nowMs - this.lastSentAtMs < UNCHANGED_REPORT_INTERVAL_MS)
    )
      return;
    this.lastLoadsJson = loadsJson;
    this.lastSentAtMs = nowMs;
    this.sequence += 1;
    const bytes = encodeCbor({
      instanceId: this.options.instanceId,
      incarnation: this.incarnation,
      sequence: this.sequence,
      loads,
      prompts: this.prompts,
    });
    this.prompts = [];
    this.options.traffic.recordBytes('peer', 'sent', bytes.length * this.peers.length);
    for (const peer of this.peers) {
      this.socket.send(bytes, peer.port, peer.address, (error) => {
        if (error)
          this.options.log.debug('failed to send load report', { peer: peer.instanceId, error });
      });
    }
  }

  #handleMessage(bytes: Buffer): void {
    this.options.traffic.recordBytes('peer', 'received', bytes.length);
    let report: unknown;
    try {
      report = decodeCbor(bytes);
    } catch (error) {
      this.options.log.warn('received a load report that cannot be decoded', {
        error: String(error),
      });
      return;
    }
    if (!isValidLoadReport(report)) {
      this.options.log.warn('received an invalid load report', {
        errors: isValidLoadReport.errors,
      });
      return;
    }
    const previous = this.lastSequences.get(report.instanceId);
    const isOutdated =
      previous?.incarnation === report.incarnation && previous.sequence >= report.sequence;
    if (isOutdated) return;
    this.lastSequences.set(report.instanceId, report);
    const loads = new Map<string, ServerLoad>(
      report.loads.map(({ serverId, ...load }) => [serverId, load]),
    );
    for (const prompt of report.prompts) this.options.onPrompt(prompt);
    this.options.loads.replacePeerReport(report.instanceId, loads, this.options.clock());
  }
}

/** Builds the load entries of a report. Values are rounded to keep the datagrams short. */
function buildLoadEntries(loads: ReadonlyMap<string, ServerLoad>) {
  return [...loads].map(([serverId, load]) => ({
    serverId,
    queuedPrefillMs: Math.round(load.queuedPrefillMs),
    waiting: load.waiting,
    streaming: load.streaming,
    pauseSensitive: load.pauseSensitive,
    heldTokens: Math.round(load.heldTokens),
    shortShare: toTwoDecimals(load.shortShare),
    longShare: toTwoDecimals(load.longShare),
    overdueMs: Math.max(0, Math.round(load.overdueMs)),
  }));
}

/** Rounds to two decimals, so that the slowly decaying shares of an idle instance do not count as a change. */
function toTwoDecimals(share: number): number {
  return Math.round(share * 100) / 100;
}
