import type { AddressInfo, Server } from 'node:net';
import { once } from 'node:events';
import { encodeFrame, type PeerMessage } from '@pollendrum/protocol';
import type { LinkEvidence, LogPort, Member, MetricsPort, PeerPort, Unsubscribe } from '../ports';
import { Connection, type CloseReason, type HelloDecision } from './connection';
import type { HandshakeOptions } from './handshake';
import { PeerLink } from './peer-link';
import { connectSocket, openServer, updateServerTls, type LinkTls } from './socket-factory';

/** Interval of pings on a link with requested pings, or with no message since the last sent message. */
export const PING_INTERVAL_MS = 500;
/** Time after a sent message without any message from the peer at which the link is closed as silent. */
export const LINK_SILENCE_MS = 1_500;
/** Time without messages after which a link is closed. */
export const LINK_IDLE_MS = 60_000;
/** Limit of outgoing bytes that are buffered for a link. */
export const MAX_BUFFERED_BYTES = 8_388_608;

const CHECK_INTERVAL_MS = 250;
// The two sides measure idle time slightly differently. A close by the peer that is early by up to
// this time still counts as idle and not as a loss.
const IDLE_TOLERANCE_MS = 5_000;

export interface LinkTaskOptions extends HandshakeOptions {
  /** IP address to listen on. */
  address: string;
  /** TCP port to listen on; 0 binds any free port. */
  port: number;
  /** Returns an instance of the membership view; undefined if it is unknown. */
  getMember: (instanceId: string) => Member | undefined;
  /** Called when an instance refuses a connection, closes one unexpectedly or is silent. */
  reportUnreachable?: (instanceId: string, evidence: LinkEvidence) => void;
  log: LogPort;
  metrics: MetricsPort;
  /** Enables mutual TLS; undefined uses plain TCP. */
  tls?: LinkTls;
  /**
   * Time in milliseconds without messages after which a link is closed.
   * @default 60000
   */
  idleMs?: number;
  /**
   * Limit of outgoing bytes that are buffered for a link.
   * @default 8388608
   */
  maxBufferedBytes?: number;
}

export interface LinkTask extends PeerPort, AsyncDisposable {
  /** TCP port that the server listens on. */
  readonly port: number;
  /** Returns the ids of the instances with an established link. */
  listLinkedInstances(): string[];
  /** Replaces the certificate and keys for new links; no effect with plain TCP. */
  updateTls(tls: LinkTls): void;
}

/**
 * Listens for links from other instances and opens links on demand.
 * @throws Error with code EADDRINUSE when the port is taken.
 */
export async function createLinkTask(options: LinkTaskOptions): Promise<LinkTask> {
  const task = new TcpLinkTask(options);
  await task.start();
  return task;
}

class TcpLinkTask implements LinkTask {
  readonly instanceId: string;
  readonly #options: LinkTaskOptions;
  readonly #links = new Map<string, PeerLink>();
  readonly #connections = new Set<Connection>();
  readonly #messageListeners = new Set<(instanceId: string, message: PeerMessage) => void>();
  readonly #linkLossListeners = new Set<(instanceId: string) => void>();
  #tls: LinkTls | undefined;
  #server: Server | undefined;
  #timer: NodeJS.Timeout | undefined;
  #lastCheckMs = performance.now();
  #isStopped = false;

  constructor(options: LinkTaskOptions) {
    this.#options = options;
    this.instanceId = options.instanceId;
    this.#tls = options.tls;
  }

  get port(): number {
    return (this.#server?.address() as AddressInfo).port;
  }

  async start(): Promise<void> {
    const { address, port, log } = this.#options;
    this.#server = await openServer(address, port, this.#tls, (socket) => {
      this.#connections.add(new Connection(socket, { kind: 'accepted' }, this.#options, this));
    });
    this.#server.on('error', (error) => {
      log.error(`link listener failed: ${error.message}`);
    });
    this.#lastCheckMs = performance.now();
    this.#timer = setInterval(() => {
      this.#checkLinks();
    }, CHECK_INTERVAL_MS);
  }

  listLinkedInstances(): string[] {
    return [...this.#links].filter(([, link]) => link.active !== undefined).map(([id]) => id);
  }

  updateTls(tls: LinkTls): void {
    if (this.#tls === undefined || this.#server === undefined) return;
    this.#tls = tls;
    updateServerTls(this.#server, tls);
  }

  sendMessage(instanceId: string, message: PeerMessage): boolean {
    if (this.#isStopped) return false;
    if (instanceId === this.instanceId) {
      setImmediate(() => {
        this.#notifyMessage(instanceId, message);
      });
      return true;
    }
    if (this.#options.getMember(instanceId) === undefined) return false;
    const link = this.#getLink(instanceId);
    const isOverLimit = link.addFrame(encodeFrame(message), performance.now());
    if (isOverLimit) this.#handleOverflow(link);
    else if (!link.hasConnection) this.#connectLink(link);
    return true;
  }

  watchMessages(listener: (instanceId: string, message: PeerMessage) => void): Unsubscribe {
    return addListener(this.#messageListeners, listener);
  }

  watchLinkLoss(listener: (instanceId: string) => void): Unsubscribe {
    return addListener(this.#linkLossListeners, listener);
  }

  requestPings(instanceId: string): Unsubscribe {
    if (instanceId === this.instanceId) return () => undefined;
    const link = this.#getLink(instanceId);
    link.pingRequestCount += 1;
    let isActive = true;
    return () => {
      if (isActive) link.pingRequestCount -= 1;
      isActive = false;
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    if (this.#isStopped) return;
    this.#isStopped = true;
    clearInterval(this.#timer);
    for (const connection of this.#connections) connection.close('stopped');
    if (this.#server === undefined) return;
    const closed = once(this.#server, 'close');
    this.#server.close();
    await closed;
  }

  /** If both sides dial at once, the connection dialed by the instance with the lower id is kept. */
  handleHello(connection: Connection, instanceId: string): HelloDecision {
    if (this.#isStopped || this.#options.getMember(instanceId) === undefined) return 'refuse';
    if (instanceId === this.instanceId) return 'refuse';
    const link = this.#getLink(instanceId);
    link.accepting.add(connection);
    const isLocalDialPreferred =
      this.instanceId < instanceId && link.hasRecentDial(performance.now());
    return isLocalDialPreferred ? 'park' : 'accept';
  }

  handleEstablished(connection: Connection, instanceId: string): void {
    const link = this.#getLink(instanceId);
    const replaced = link.setActive(connection, performance.now());
    for (const other of replaced.unused) other.close('duplicate');
    if (replaced.previous === undefined) return;
    replaced.previous.close('duplicate');
    this.#notifyLinkLoss(instanceId);
  }

  handleMessage(connection: Connection, message: PeerMessage): void {
    const { instanceId } = connection;
    if (instanceId === undefined || this.#options.getMember(instanceId) === undefined) {
      connection.close('unknown-instance');
      return;
    }
    const link = this.#getLink(instanceId);
    if (link.active !== connection) return;
    link.observeReceived(performance.now(), message.kind);
    if (message.kind === 'ping') {
      connection.writeFrame(encodeFrame({ kind: 'pong', sequence: message.sequence }));
    } else if (message.kind !== 'pong') {
      this.#notifyMessage(instanceId, message);
    }
  }

  handleClosed(connection: Connection, reason: CloseReason): void {
    this.#connections.delete(connection);
    const { instanceId } = connection;
    const link = instanceId === undefined ? undefined : this.#links.get(instanceId);
    this.#options.log.debug(`link connection closed: ${reason}`, { instanceId });
    this.#options.metrics.increment('link.closed', { reason });
    if (link === undefined || this.#isStopped) return;
    const wasActive = link.active === connection;
    const isLoss = this.#removeConnection(link, connection, reason);
    const evidence = resolveEvidence(connection, reason, wasActive && isLoss);
    if (evidence !== undefined) this.#options.reportUnreachable?.(link.instanceId, evidence);
    if (isLoss) this.#notifyLinkLoss(link.instanceId);
  }

  /** Returns whether messages may have been lost with the connection. */
  #removeConnection(link: PeerLink, connection: Connection, reason: CloseReason): boolean {
    const wasActive = link.active === connection;
    const isLoss = wasActive && !this.#isIdleClose(link, reason);
    link.removeConnection(connection);
    // A connection that the peer dialed may have waited for the closed connection; its handshake can
    // now continue.
    for (const parked of link.accepting) parked.resumeHandshake();
    if (wasActive) return isLoss;
    if (link.hasConnection) return false;
    return link.clearQueue() > 0;
  }

  #isIdleClose(link: PeerLink, reason: CloseReason): boolean {
    if (reason === 'idle') return true;
    if (reason !== 'closed-by-peer' || link.pingRequestCount > 0) return false;
    const idleMs = this.#options.idleMs ?? LINK_IDLE_MS;
    const tolerance = Math.min(IDLE_TOLERANCE_MS, idleMs / 2);
    return (
      link.awaitingMessageSinceMs === undefined &&
      link.computeIdleMs(performance.now()) >= idleMs - tolerance
    );
  }

  #handleOverflow(link: PeerLink): void {
    this.#options.log.warn('link exceeded its buffer limit; dropping its messages', {
      instanceId: link.instanceId,
    });
    if (link.active !== undefined) {
      link.active.close('buffer-full');
      return;
    }
    link.clearQueue();
    setImmediate(() => {
      this.#notifyLinkLoss(link.instanceId);
    });
  }

  #connectLink(link: PeerLink): void {
    const member = this.#options.getMember(link.instanceId);
    if (member === undefined) return;
    const direction = { kind: 'dialed', instanceId: link.instanceId } as const;
    const socket = connectSocket(member.address, member.peerPort, this.#tls, () => {
      connection.startHandshake();
    });
    const connection = new Connection(socket, direction, this.#options, this);
    this.#connections.add(connection);
    link.dialing = connection;
  }

  #checkLinks(): void {
    const nowMs = performance.now();
    const timerDelayMs = nowMs - this.#lastCheckMs - CHECK_INTERVAL_MS;
    this.#lastCheckMs = nowMs;
    for (const [instanceId, link] of this.#links) {
      // After a pause of this process, received messages are still unread: this is not silence.
      if (timerDelayMs > PING_INTERVAL_MS) link.resetSilence(nowMs);
      if (link.active !== undefined) this.#checkActive(link, link.active, nowMs);
      else if (link.hasConnection) continue;
      else if (link.pingRequestCount > 0) this.#connectLink(link);
      else this.#links.delete(instanceId);
    }
  }

  #checkActive(link: PeerLink, active: Connection, nowMs: number): void {
    if (link.computeSilenceMs(nowMs) >= LINK_SILENCE_MS) {
      active.close('silent');
      return;
    }
    if (link.isPingDue(nowMs, PING_INTERVAL_MS)) {
      link.sendPing(nowMs);
      return;
    }
    const isIdle = link.computeIdleMs(nowMs) >= (this.#options.idleMs ?? LINK_IDLE_MS);
    if (isIdle && link.pingRequestCount === 0) active.close('idle');
  }

  #getLink(instanceId: string): PeerLink {
    const known = this.#links.get(instanceId);
    if (known !== undefined) return known;
    const link = new PeerLink(instanceId, this.#options.maxBufferedBytes ?? MAX_BUFFERED_BYTES);
    this.#links.set(instanceId, link);
    return link;
  }

  #notifyMessage(instanceId: string, message: PeerMessage): void {
    if (this.#isStopped) return;
    for (const listener of this.#messageListeners) listener(instanceId, message);
  }

  #notifyLinkLoss(instanceId: string): void {
    if (this.#isStopped) return;
    this.#options.metrics.increment('link.lost');
    for (const listener of this.#linkLossListeners) listener(instanceId);
  }
}

/** Returns the failure of the peer that a closed connection indicates; undefined if none. */
function resolveEvidence(
  connection: Connection,
  reason: CloseReason,
  isLostLink: boolean,
): LinkEvidence | undefined {
  switch (reason) {
    case 'connection-refused':
      return 'refused';
    case 'silent':
      return 'silent';
    case 'handshake-timeout':
      return connection.direction === 'dialed' ? 'silent' : undefined;
    case 'closed-by-peer':
      return isLostLink ? 'reset' : undefined;
    default:
      return undefined;
  }
}

function addListener<L>(listeners: Set<L>, listener: L): Unsubscribe {
  listeners.add(listener);
  return () => {
    listeners.delete(listener);
  };
}
