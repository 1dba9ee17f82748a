import type { Socket } from 'node:net';
import {
  encodeFrame,
  FrameReader,
  FramingError,
  isValidPeerMessage,
  type Hello,
  type PeerMessage,
} from '@pollendrum/protocol';
import { buildHello, generateNonce, verifyHello, type HandshakeOptions } from './handshake';

/** Time limit for opening a connection and authenticating both sides. */
export const HANDSHAKE_TIMEOUT_MS = 1_500;
// A hello takes a few hundred bytes; an unauthenticated peer that sends more is disconnected.
const MAX_HANDSHAKE_BYTES = 4_096;

/** Why a connection was closed. */
export type CloseReason =
  | 'closed-by-peer'
  | 'connection-refused'
  | 'handshake-timeout'
  | 'handshake-refused'
  | 'protocol-error'
  | 'unknown-instance'
  | 'silent'
  | 'buffer-full'
  | 'idle'
  | 'duplicate'
  | 'stopped';

/** `park` suspends the handshake until `resumeHandshake` is called. */
export type HelloDecision = 'accept' | 'park' | 'refuse';

/** Callbacks of a connection; `handleHello` decides whether to accept it. */
export interface ConnectionHandler {
  handleHello(connection: Connection, instanceId: string): HelloDecision;
  handleEstablished(connection: Connection, instanceId: string): void;
  handleMessage(connection: Connection, message: PeerMessage): void;
  handleClosed(connection: Connection, reason: CloseReason): void;
}

export type ConnectionDirection = { kind: 'dialed'; instanceId: string } | { kind: 'accepted' };

// `parked`: the handler decides or has suspended the handshake. `greeted`: this side has sent a hello.
type ConnectionState = 'new' | 'parked' | 'greeted' | 'established' | 'closed';

/** Socket to another instance, with handshake, framing and message validation. */
export class Connection {
  readonly direction: ConnectionDirection['kind'];
  /** Undefined until the hello of an accepted connection is verified. */
  instanceId: string | undefined;
  readonly #socket: Socket;
  readonly #handshake: HandshakeOptions;
  readonly #handler: ConnectionHandler;
  readonly #reader = new FrameReader();
  readonly #nonce = generateNonce();
  readonly #timer: NodeJS.Timeout;
  #peerNonce = '';
  #handshakeBytes = 0;
  #state: ConnectionState = 'new';
  #closeReason: CloseReason = 'closed-by-peer';

  constructor(
    socket: Socket,
    direction: ConnectionDirection,
    handshake: HandshakeOptions,
    handler: ConnectionHandler,
  ) {
    this.#socket = socket;
    this.#handshake = handshake;
    this.#handler = handler;
    this.direction = direction.kind;
    this.instanceId = direction.kind === 'dialed' ? direction.instanceId : undefined;
    this.#timer = setTimeout(() => {
      this.close('handshake-timeout');
    }, HANDSHAKE_TIMEOUT_MS);
    socket.setNoDelay(true);
    socket.on('data', (chunk: Buffer) => {
      this.#handleChunk(chunk);
    });
    socket.on('error', (error: NodeJS.ErrnoException) => {
      if (error.code === 'ECONNREFUSED') this.#closeReason = 'connection-refused';
    });
    socket.on('end', () => socket.destroy());
    socket.on('close', () => {
      this.#handleSocketClosed();
    });
  }

  get isEstablished(): boolean {
    return this.#state === 'established';
  }

  get isParked(): boolean {
    return this.#state === 'parked';
  }

  /** Number of bytes written to the socket and not yet passed to the kernel. */
  get bufferedBytes(): number {
    return this.#socket.writableLength;
  }

  /** Sends the first hello of a dialed connection. */
  startHandshake(): void {
    if (this.#state !== 'new') return;
    this.#sendHello('open', '');
    this.#state = 'greeted';
  }

  /** Answers the hello of a parked connection. */
  resumeHandshake(): void {
    if (this.#state !== 'parked') return;
    this.#sendHello('accept', this.#peerNonce);
    this.#state = 'greeted';
  }

  writeFrame(frame: Buffer): void {
    if (this.#state === 'established') this.#sendFrame(frame);
  }

  /** Destroys the socket; `handleClosed` is called once it is closed. */
  close(reason: CloseReason): void {
    if (this.#state === 'closed' || this.#socket.destroyed) return;
    this.#closeReason = reason;
    this.#socket.destroy();
  }

  #handleSocketClosed(): void {
    if (this.#state === 'closed') return;
    this.#state = 'closed';
    clearTimeout(this.#timer);
    this.#handler.handleClosed(this, this.#closeReason);
  }

  #handleChunk(chunk: Buffer): void {
    if (this.#state !== 'established') {
      this.#handshakeBytes += chunk.length;
      if (this.#handshakeBytes > MAX_HANDSHAKE_BYTES && this.direction === 'accepted') {
        this.close('protocol-error');
        return;
      }
    }
    const messages = this.#readMessages(chunk);
    this.#handshake.traffic?.recordReceived(chunk.length, messages.length);
    for (const message of messages) {
      if (this.#socket.destroyed) return;
      if (isValidPeerMessage(message)) this.#handleMessage(message);
      else this.close('protocol-error');
    }
  }

  #readMessages(chunk: Buffer): unknown[] {
    try {
      return this.#reader.readMessages(chunk);
    } catch (error) {
      if (!(error instanceof FramingError)) throw error;
      this.close('protocol-error');
      return [];
    }
  }

  #handleMessage(message: PeerMessage): void {
    if (this.#state === 'established') {
      if (message.kind === 'hello') this.close('protocol-error');
      else this.#handler.handleMessage(this, message);
      return;
    }
    if (message.kind !== 'hello') {
      this.close('protocol-error');
      return;
    }
    if (this.direction === 'dialed') this.#handleAcceptHello(message);
    else if (this.#state === 'new') this.#handleOpenHello(message);
    else if (this.#state === 'greeted') this.#handleConfirmHello(message);
    else this.close('protocol-error');
  }

  #handleOpenHello(hello: Hello): void {
    const verified = verifyHello(this.#handshake, 'open', hello, '');
    if (verified === undefined) {
      this.close('handshake-refused');
      return;
    }
    this.instanceId = verified.instanceId;
    this.#peerNonce = verified.nonce;
    this.#state = 'parked';
    const decision = this.#handler.handleHello(this, verified.instanceId);
    switch (decision) {
      case 'accept':
        this.resumeHandshake();
        return;
      case 'park':
        return;
      case 'refuse':
        this.close('unknown-instance');
    }
  }

  #handleAcceptHello(hello: Hello): void {
    const verified = verifyHello(this.#handshake, 'accept', hello, this.#nonce);
    if (verified === undefined || verified.instanceId !== this.instanceId) {
      this.close('handshake-refused');
      return;
    }
    this.#sendHello('confirm', verified.nonce);
    this.#markEstablished(verified.instanceId);
  }

  #handleConfirmHello(hello: Hello): void {
    const verified = verifyHello(this.#handshake, 'confirm', hello, this.#nonce);
    // Comparing the nonce binds the confirmation to the first hello of this connection.
    if (verified?.nonce !== this.#peerNonce || verified.instanceId !== this.instanceId) {
      this.close('handshake-refused');
      return;
    }
    this.#markEstablished(verified.instanceId);
  }

  #markEstablished(instanceId: string): void {
    clearTimeout(this.#timer);
    this.#state = 'established';
    this.#handler.handleEstablished(this, instanceId);
  }

  #sendHello(step: 'open' | 'accept' | 'confirm', peerNonce: string): void {
    const peer = this.instanceId ?? '';
    this.#sendFrame(encodeFrame(buildHello(this.#handshake, step, peer, this.#nonce, peerNonce)));
  }

  #sendFrame(frame: Buffer): void {
    this.#handshake.traffic?.recordSent(frame.length);
    this.#socket.write(frame);
  }
}
