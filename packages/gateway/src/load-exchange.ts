import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import type { LoadTable, ServerLoad } from '@pollendrum/policy';
import { decodeCbor, encodeCbor, isValidLoadReport } from '@pollendrum/protocol';
import type { ReportedPrompt } from '@pollendrum/protocol';
import type { Clock, GatewayLog } from './ports';

/** A change of the own load is reported after this time at the latest, in milliseconds. */
const REPORT_INTERVAL_MS = 50;
/** With many peers reports are rarer, so that an instance handles about this many a second. */
const REPORTS_PER_SECOND = 400;
/** An unchanged load is reported again after this time, in milliseconds; peers forget it after 2 s. */
const REPEAT_INTERVAL_MS = 600;
/** Prompts in one report at most, so that a datagram stays under 64 KB; losing some costs a prefill. */
const MOST_PROMPTS = 200;
const MS_PER_SECOND = 1_000;

/** Where another instance receives load reports. */
export interface PeerAddress {
  instanceId: string;
  address: string;
  port: number;
}

export interface LoadExchangeOptions {
  instanceId: string;
  address: string;
  port: number;
  loads: LoadTable;
  clock: Clock;
  /** A peer sent a prompt with these shared parts to a server. */
  onPrompt(prompt: ReportedPrompt): void;
  log: GatewayLog;
}

/** Tells the other instances by datagram what load this one has put on backend servers, and takes in theirs. */
export class LoadExchange implements AsyncDisposable {
  private readonly socket: Socket;
  private readonly incarnation = `${process.pid}-${Date.now()}`;
  private readonly lastSequences = new Map<string, { incarnation: string; sequence: number }>();
  private readonly timer: NodeJS.Timeout;
  private peers: readonly PeerAddress[] = [];
  private sequence = 0;
  private prompts: ReportedPrompt[] = [];
  private lastContent = '[]';
  private lastSentAtMs = -Infinity;

  constructor(private readonly options: LoadExchangeOptions) {
    this.socket = createSocket('udp4');
    this.socket.on('message', (bytes) => {
      this.#handleMessage(bytes);
    });
    this.socket.on('error', (error) => {
      options.log.warn('load reports are not exchanged', { error: error.message });
    });
    this.socket.bind(options.port, options.address);
    this.timer = setInterval(() => {
      this.#sendIfDue();
    }, REPORT_INTERVAL_MS);
  }

  setPeers(peers: readonly PeerAddress[]): void {
    const { instanceId, loads } = this.options;
    const others = peers.filter((peer) => peer.instanceId !== instanceId);
    const kept = new Set(others.map((peer) => peer.instanceId));
    for (const { instanceId: peerId } of this.peers) {
      if (!kept.has(peerId)) loads.removePeer(peerId);
    }
    this.peers = others;
  }

  /** Tells the peers of a prompt with the next report. */
  addPrompt(prompt: ReportedPrompt): void {
    if (this.prompts.length < MOST_PROMPTS) this.prompts.push(prompt);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.timer);
    await new Promise<void>((resolve) => {
      this.socket.close(resolve);
    });
  }

  #sendIfDue(): void {
    const nowMs = this.options.clock();
    const intervalMs = Math.max(
      REPORT_INTERVAL_MS,
      (this.peers.length * MS_PER_SECOND) / REPORTS_PER_SECOND,
    );
    if (nowMs - this.lastSentAtMs < intervalMs * 0.9) return;
    const loads = listReportedLoads(this.options.loads.listLocalLoads(nowMs));
    const content = JSON.stringify(loads);
    const isRepeat = content === this.lastContent && this.prompts.length === 0;
    if (isRepeat && (loads.length === 0 || nowMs - this.lastSentAtMs < REPEAT_INTERVAL_MS)) return;
    this.lastContent = content;
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
    for (const peer of this.peers) {
      this.socket.send(bytes, peer.port, peer.address, (error) => {
        if (error) this.options.log.debug('load report not sent', { peer: peer.instanceId, error });
      });
    }
  }

  #handleMessage(bytes: Buffer): void {
    let report: unknown;
    try {
      report = decodeCbor(bytes);
    } catch (error) {
      this.options.log.warn('load report is not readable', { error: String(error) });
      return;
    }
    if (!isValidLoadReport(report)) {
      this.options.log.warn('load report is not valid', { errors: isValidLoadReport.errors });
      return;
    }
    const last = this.lastSequences.get(report.instanceId);
    const isOld = last?.incarnation === report.incarnation && last.sequence >= report.sequence;
    if (isOld) return;
    this.lastSequences.set(report.instanceId, report);
    const loads = new Map<string, ServerLoad>(
      report.loads.map(({ serverId, ...load }) => [serverId, load]),
    );
    for (const prompt of report.prompts) this.options.onPrompt(prompt);
    this.options.loads.mergePeerReport(report.instanceId, loads, this.options.clock());
  }
}

/** Rounded to whole milliseconds, which keeps the datagrams short. */
function listReportedLoads(loads: ReadonlyMap<string, ServerLoad>) {
  return [...loads].map(([serverId, load]) => ({
    serverId,
    queuedPrefillMs: Math.round(load.queuedPrefillMs),
    waiting: load.waiting,
    streaming: load.streaming,
    pauseSensitive: load.pauseSensitive,
    heldTokens: Math.round(load.heldTokens),
    shortShare: toTwoDigits(load.shortShare),
    longShare: toTwoDigits(load.longShare),
    overdueMs: Math.max(0, Math.round(load.overdueMs)),
  }));
}

/** Two digits are enough, and an idle instance's reports stay the same. */
function toTwoDigits(share: number): number {
  return Math.round(share * 100) / 100;
}
