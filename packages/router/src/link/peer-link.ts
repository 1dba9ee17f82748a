import { encodeFrame, type PeerMessage } from '@pollendrum/protocol';
import type { Connection } from './connection';
import { HANDSHAKE_TIMEOUT_MS } from './connection';

/** Connections that a newly established connection replaces. */
export interface ReplacedConnections {
  /** The active connection until now; messages sent on it may be lost. */
  previous: Connection | undefined;
  /** Connections that have carried no messages. */
  unused: Connection[];
}

/** Link to an instance: its connections, queued frames and liveness. */
export class PeerLink {
  readonly instanceId: string;
  readonly accepting = new Set<Connection>();
  active: Connection | undefined;
  dialing: Connection | undefined;
  pingRequestCount = 0;
  /**
   * When this instance sent the first message after it last received a message; undefined if it has
   * sent none since.
   */
  awaitingMessageSinceMs: number | undefined;
  readonly #maxBufferedBytes: number;
  #queue: Buffer[] = [];
  #queuedBytes = 0;
  #activeSinceMs = 0;
  #lastActivityMs = 0;
  #lastPingMs = -Infinity;
  #pingSequence = 0;

  constructor(instanceId: string, maxBufferedBytes: number) {
    this.instanceId = instanceId;
    this.#maxBufferedBytes = maxBufferedBytes;
  }

  get hasConnection(): boolean {
    return this.active !== undefined || this.dialing !== undefined || this.accepting.size > 0;
  }

  /** Whether this side is dialing, or its dial succeeded less than a handshake timeout ago. */
  hasRecentDial(nowMs: number): boolean {
    if (this.dialing !== undefined) return true;
    if (this.active?.direction !== 'dialed') return false;
    return nowMs - this.#activeSinceMs < HANDSHAKE_TIMEOUT_MS;
  }

  /** Writes or queues the frame. Returns whether the buffered bytes exceed the limit. */
  addFrame(frame: Buffer, nowMs: number): boolean {
    this.#lastActivityMs = nowMs;
    if (this.active === undefined) {
      this.#queue.push(frame);
      this.#queuedBytes += frame.length;
      return this.#queuedBytes > this.#maxBufferedBytes;
    }
    this.awaitingMessageSinceMs ??= nowMs;
    this.active.writeFrame(frame);
    return this.active.bufferedBytes > this.#maxBufferedBytes;
  }

  /** Drops the queued frames and returns their number. */
  clearQueue(): number {
    const count = this.#queue.length;
    this.#queue = [];
    this.#queuedBytes = 0;
    return count;
  }

  /** Makes the connection active and writes the queued frames to it. */
  setActive(connection: Connection, nowMs: number): ReplacedConnections {
    const previous = this.active;
    const others = [this.dialing, ...this.accepting];
    const unused = others.filter((other) => other !== undefined && other !== connection);
    this.active = connection;
    this.dialing = undefined;
    this.accepting.clear();
    this.#activeSinceMs = nowMs;
    this.#lastActivityMs = nowMs;
    this.awaitingMessageSinceMs = this.#queue.length > 0 ? nowMs : undefined;
    for (const frame of this.#queue) connection.writeFrame(frame);
    this.clearQueue();
    return { previous, unused: unused.filter((other) => other !== undefined) };
  }

  removeConnection(connection: Connection): void {
    this.accepting.delete(connection);
    if (this.dialing === connection) this.dialing = undefined;
    if (this.active !== connection) return;
    this.active = undefined;
    this.awaitingMessageSinceMs = undefined;
  }

  observeReceived(nowMs: number, kind: PeerMessage['kind']): void {
    this.awaitingMessageSinceMs = undefined;
    if (kind !== 'pong') this.#lastActivityMs = nowMs;
  }

  resetSilence(nowMs: number): void {
    if (this.awaitingMessageSinceMs !== undefined) this.awaitingMessageSinceMs = nowMs;
  }

  computeSilenceMs(nowMs: number): number {
    return this.awaitingMessageSinceMs === undefined ? 0 : nowMs - this.awaitingMessageSinceMs;
  }

  computeIdleMs(nowMs: number): number {
    return nowMs - this.#lastActivityMs;
  }

  isPingDue(nowMs: number, intervalMs: number): boolean {
    const isNeeded = this.pingRequestCount > 0 || this.awaitingMessageSinceMs !== undefined;
    return isNeeded && nowMs - this.#lastPingMs >= intervalMs;
  }

  sendPing(nowMs: number): void {
    this.#lastPingMs = nowMs;
    this.#pingSequence += 1;
    if (this.pingRequestCount > 0) this.#lastActivityMs = nowMs;
    this.awaitingMessageSinceMs ??= nowMs;
    this.active?.writeFrame(encodeFrame({ kind: 'ping', sequence: this.#pingSequence }));
  }
}
