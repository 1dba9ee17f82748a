import { createSocket, type Socket } from 'node:dgram';
import { once } from 'node:events';
import type { ListedInstance } from '@pollendrum/protocol';
import type {
  CrashReport,
  LinkEvidence,
  LogPort,
  MembershipPort,
  MembershipView,
  MetricsPort,
  Unsubscribe,
} from '../ports';
import { decodeDatagram, encodeDatagram } from './datagram-codec';
import { MembershipState } from './membership-state';
import type { MembershipEffect, SelfDescription } from './membership-types';
import type { TrafficCounter } from '../telemetry/traffic-counter';

export interface MembershipTaskOptions {
  /** This instance. With peerPort 0, it binds any free port and announces that port. */
  self: SelfDescription;
  /** Key that authenticates datagrams; the same for all instances. */
  clusterKey: string;
  log: LogPort;
  metrics: MetricsPort;
  /** Counts datagrams if set. */
  traffic?: TrafficCounter;
  /**
   * Random numbers, uniform in [0, 1).
   * @default Math.random
   */
  random?: () => number;
  /**
   * Monotonic clock in milliseconds.
   * @default performance.now
   */
  getNowMs?: () => number;
  /**
   * Probe interval in milliseconds.
   * @default 500
   */
  probeIntervalMs?: number;
}

export interface MembershipTask extends MembershipPort, AsyncDisposable {
  /** UDP port that the socket is bound to. */
  readonly port: number;
}

/**
 * Binds the UDP socket and starts probing.
 * @throws Error with code EADDRINUSE when the port is taken.
 */
export async function createMembershipTask(
  options: MembershipTaskOptions,
): Promise<MembershipTask> {
  const socket = createSocket(options.self.address.includes(':') ? 'udp6' : 'udp4');
  socket.bind(options.self.peerPort, options.self.address);
  await once(socket, 'listening');
  return new UdpMembershipTask(options, socket);
}

class UdpMembershipTask implements MembershipTask {
  readonly port: number;
  readonly #options: MembershipTaskOptions;
  readonly #socket: Socket;
  readonly #state: MembershipState;
  readonly #getNowMs: () => number;
  readonly #viewListeners = new Set<(view: MembershipView) => void>();
  readonly #crashListeners = new Set<(report: CrashReport) => void>();
  readonly #bundleListeners = new Set<(bundleNumber: number, instanceId: string) => void>();
  #timer: NodeJS.Timeout | undefined;
  #isClosed = false;

  constructor(options: MembershipTaskOptions, socket: Socket) {
    this.#options = options;
    this.#socket = socket;
    this.port = socket.address().port;
    this.#getNowMs = options.getNowMs ?? (() => performance.now());
    this.#state = new MembershipState({
      self: { ...options.self, peerPort: this.port },
      random: options.random ?? Math.random,
      probeIntervalMs: options.probeIntervalMs,
    });
    socket.on('message', (bytes, { address, port }) => {
      this.#handleBytes(bytes, address, port);
    });
    socket.on('error', (error) => {
      options.log.warn(`membership socket failed: ${error.message}`);
    });
    this.#runTimer();
  }

  getView(): MembershipView {
    return this.#state.getView();
  }

  watchView(listener: (view: MembershipView) => void): Unsubscribe {
    return addListener(this.#viewListeners, listener);
  }

  mergeList(instances: readonly ListedInstance[]): void {
    this.#applyEffects(this.#state.mergeList(instances, this.#getNowMs()));
  }

  reportUnreachable(instanceId: string, evidence: LinkEvidence): void {
    this.#options.metrics.increment('membership.evidence', { evidence });
    this.#applyEffects(this.#state.reportUnreachable(instanceId, evidence, this.#getNowMs()));
  }

  publishLeaving(): void {
    this.#applyEffects(this.#state.publishLeaving(this.#getNowMs()));
  }

  publishCrash(fingerprint: string, serverId: string): void {
    this.#publishReport({ kind: 'crash', fingerprint, serverId, ageMs: 0 });
  }

  publishCrashCleared(fingerprint: string): void {
    this.#publishReport({ kind: 'cleared', fingerprint, ageMs: 0 });
  }

  watchCrashes(listener: (report: CrashReport) => void): Unsubscribe {
    return addListener(this.#crashListeners, listener);
  }

  listCrashes(): CrashReport[] {
    return this.#state.listCrashReports(this.#getNowMs());
  }

  setBundleNumber(bundleNumber: number): void {
    this.#state.setBundleNumber(bundleNumber);
  }

  watchBundleNumber(listener: (bundleNumber: number, instanceId: string) => void): Unsubscribe {
    return addListener(this.#bundleListeners, listener);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    if (this.#isClosed) return;
    this.#isClosed = true;
    clearTimeout(this.#timer);
    const closed = once(this.#socket, 'close');
    this.#socket.close();
    await closed;
  }

  #publishReport(report: CrashReport): void {
    this.#applyEffects(this.#state.publishCrashReport(report, this.#getNowMs()));
  }

  #handleBytes(bytes: Buffer, address: string, port: number): void {
    this.#options.traffic?.recordReceived(bytes.length);
    const decoded = decodeDatagram(bytes, this.#options.clusterKey);
    if (decoded.kind === 'invalid') {
      this.#options.metrics.increment('membership.datagram_discarded', { fault: decoded.fault });
      return;
    }
    const source = { address, port };
    this.#applyEffects(this.#state.handleDatagram(decoded.datagram, source, this.#getNowMs()));
  }

  #runTimer(): void {
    this.#applyEffects(this.#state.handleTime(this.#getNowMs()));
  }

  #scheduleTimer(): void {
    clearTimeout(this.#timer);
    if (this.#isClosed) return;
    const delayMs = Math.max(1, Math.ceil(this.#state.getNextWakeMs() - this.#getNowMs()));
    this.#timer = setTimeout(() => {
      this.#runTimer();
    }, delayMs);
  }

  #applyEffects(effects: readonly MembershipEffect[]): void {
    for (const effect of effects) this.#applyEffect(effect);
    this.#scheduleTimer();
  }

  #applyEffect(effect: MembershipEffect): void {
    switch (effect.kind) {
      case 'send':
        this.#sendDatagram(effect);
        return;
      case 'view-changed':
        for (const listener of this.#viewListeners) listener(this.#state.getView());
        return;
      case 'crash-reported':
        for (const listener of this.#crashListeners) listener(effect.report);
        return;
      case 'bundle-number-raised':
        for (const listener of this.#bundleListeners) {
          listener(effect.bundleNumber, effect.instanceId);
        }
    }
  }

  #sendDatagram({ address, port, datagram }: Extract<MembershipEffect, { kind: 'send' }>): void {
    if (this.#isClosed) return;
    const bytes = encodeDatagram(datagram, this.#options.clusterKey);
    this.#options.traffic?.recordSent(bytes.length);
    this.#options.metrics.increment('membership.sent_bytes', {}, bytes.length);
    this.#socket.send(bytes, port, address, (error) => {
      if (error) this.#options.log.debug(`datagram to ${address}:${port} failed: ${error.message}`);
    });
  }
}

function addListener<L>(listeners: Set<L>, listener: L): Unsubscribe {
  listeners.add(listener);
  return () => {
    listeners.delete(listener);
  };
}
