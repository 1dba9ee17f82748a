import type { AddressInfo, Server } from 'node:net';
import { once } from 'node:events';
import { encodeFrame, type PeerMessage } from '@pollendrum/protocol';
import type { LinkEvidence, LogPort, Member, MetricsPort, PeerPort, Unsubscribe } from '../ports';
import { Connection, type CloseReason, type HelloDecision } from './connection';
import type { HandshakeOptions } from './handshake';
import { PeerLink } from './peer-link';
import { connectSocket, openServer, updateServerTls, type LinkTls } from './socket-factory';

/** Period of pings on a link with requested pings or an unanswered message. */
export const PING_INTERVAL_MS = 500;
/** Time after an unanswered message at which the link is closed as silent. */
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
  readonly #peers = new Map<string, PeerLink>();
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
      this.#checkPeers();
    }, CHECK_INTERVAL_MS);
  }

  listLinkedInstances(): string[] {
    return [...this.#peers].filter(([, peer]) => peer.active !== undefined).map(([id]) => id);
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
    const peer = this.#getPeer(instanceId);
    const isOverLimit = peer.addFrame(encodeFrame(message), performance.now());
    if (isOverLimit) this.#handleOverflow(peer);
    else if (!peer.hasConnection) this.#connectPeer(peer);
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
    const peer = this.#getPeer(instanceId);
    peer.pingRequestCount += 1;
    let isActive = true;
    return () => {
      if (isActive) peer.pingRequestCount -= 1;
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

  /** If both sides dial at once, the connection dialed by the lower instance id is kept. */
  handleHello(connection: Connection, instanceId: string): HelloDecision {
    if (this.#isStopped || this.#options.getMember(instanceId) === undefined) return 'refuse';
    if (instanceId === this.instanceId) return 'refuse';
    const peer = this.#getPeer(instanceId);
    peer.accepting.add(connection);
    const isOwnDialPreferred =
      this.instanceId < instanceId && peer.hasRecentDial(performance.now());
    return isOwnDialPreferred ? 'park' : 'accept';
  }

  handleEstablished(connection: Connection, instanceId: string): void {
    const peer = this.#getPeer(instanceId);
    const replaced = peer.setActive(connection, performance.now());
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
    const peer = this.#getPeer(instanceId);
    if (peer.active !== connection) return;
    peer.observeReceived(performance.now(), message.kind);
    if (message.kind === 'ping') {
      connection.writeFrame(encodeFrame({ kind: 'pong', sequence: message.sequence }));
    } else if (message.kind !== 'pong') {
      this.#notifyMessage(instanceId, message);
    }
  }

  handleClosed(connection: Connection, reason: CloseReason): void {
    this.#connections.delete(connection);
    const { instanceId } = connection;
    const peer = instanceId === undefined ? undefined : this.#peers.get(instanceId);
    this.#options.log.debug(`link connection closed: ${reason}`, { instanceId });
    this.#options.metrics.increment('link.closed', { reason });
    if (peer === undefined || this.#isStopped) return;
    const wasActive = peer.active === connection;
    const isLoss = this.#removeConnection(peer, connection, reason);
    const evidence = resolveEvidence(connection, reason, wasActive && isLoss);
    if (evidence !== undefined) this.#options.reportUnreachable?.(peer.instanceId, evidence);
    if (isLoss) this.#notifyLinkLoss(peer.instanceId);
  }

  /** Returns whether messages may have been lost with the connection. */
  #removeConnection(peer: PeerLink, connection: Connection, reason: CloseReason): boolean {
    const wasActive = peer.active === connection;
    const isLoss = wasActive && !this.#isIdleClose(peer, reason);
    peer.removeConnection(connection);
    // The peer's dial was parked in favor of the connection that is now closed.
    for (const parked of peer.accepting) parked.resumeHandshake();
    if (wasActive) return isLoss;
    if (peer.hasConnection) return false;
    return peer.clearQueue() > 0;
  }

  #isIdleClose(peer: PeerLink, reason: CloseReason): boolean {
    if (reason === 'idle') return true;
    if (reason !== 'closed-by-peer' || peer.pingRequestCount > 0) return false;
    const idleMs = this.#options.idleMs ?? LINK_IDLE_MS;
    const tolerance = Math.min(IDLE_TOLERANCE_MS, idleMs / 2);
    return (
      peer.unansweredSinceMs === undefined &&
      peer.computeIdleMs(performance.now()) >= idleMs - tolerance
    );
  }

  #handleOverflow(peer: PeerLink): void {
    this.#options.log.warn('link exceeded its buffer limit; dropping its messages', {
      instanceId: peer.instanceId,
    });
    if (peer.active !== undefined) {
      peer.active.close('buffer-full');
      return;
    }
    peer.clearQueue();
    setImmediate(() => {
      this.#notifyLinkLoss(peer.instanceId);
    });
  }

  #connectPeer(peer: PeerLink): void {
    const member = this.#options.getMember(peer.instanceId);
    if (member === undefined) return;
    const direction = { kind: 'dialed', instanceId: peer.instanceId } as const;
    const socket = connectSocket(member.address, member.peerPort, this.#tls, () => {
      connection.startHandshake();
    });
    const connection = new Connection(socket, direction, this.#options, this);
    this.#connections.add(connection);
    peer.dialing = connection;
  }

  #checkPeers(): void {
    const nowMs = performance.now();
    const timerDelayMs = nowMs - this.#lastCheckMs - CHECK_INTERVAL_MS;
    this.#lastCheckMs = nowMs;
    for (const [instanceId, peer] of this.#peers) {
      // After a pause of this process, received messages are still unread: this is not silence.
      if (timerDelayMs > PING_INTERVAL_MS) peer.resetSilence(nowMs);
      if (peer.active !== undefined) this.#checkActive(peer, peer.active, nowMs);
      else if (peer.hasConnection) continue;
      else if (peer.pingRequestCount > 0) this.#connectPeer(peer);
      else this.#peers.delete(instanceId);
    }
  }

  #checkActive(peer: PeerLink, active: Connection, nowMs: number): void {
    if (peer.computeSilenceMs(nowMs) >= LINK_SILENCE_MS) {
      active.close('silent');
      return;
    }
    if (peer.isPingDue(nowMs, PING_INTERVAL_MS)) {
      peer.sendPing(nowMs);
      return;
    }
    const isIdle = peer.computeIdleMs(nowMs) >= (this.#options.idleMs ?? LINK_IDLE_MS);
    if (isIdle && peer.pingRequestCount === 0) active.close('idle');
  }

  #getPeer(instanceId: string): PeerLink {
    const known = this.#peers.get(instanceId);
    if (known !== undefined) return known;
    const peer = new PeerLink(instanceId, this.#options.maxBufferedBytes ?? MAX_BUFFERED_BYTES);
    this.#peers.set(instanceId, peer);
    return peer;
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
