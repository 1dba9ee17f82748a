import { connect } from 'node:net';
import type { Socket } from 'node:net';
import { Client } from 'undici';
import type { buildConnector } from 'undici';
import type { TrafficMeter } from './traffic-meter';

/** Connect timeout in milliseconds; servers are milliseconds away, so a host that takes longer is unreachable. */
const CONNECT_TIMEOUT_MS = 700;
/** Idle time before a connection is closed when the server states no keep-alive timeout, in milliseconds. */
const KEEP_ALIVE_TIMEOUT_MS = 4_000;
/** Upper bound of the keep-alive timeout that a server states, in milliseconds. */
const MAX_KEEP_ALIVE_TIMEOUT_MS = 60_000;
/** Margin by which the client's timeout is below the server's, in milliseconds, so that no request races the close. */
const KEEP_ALIVE_MARGIN_MS = 1_000;
/** Idle time before the first TCP keep-alive probe, in milliseconds. */
const TCP_KEEP_ALIVE_DELAY_MS = 1_000;
/**
 * A non-idempotent request, which must not be retried if a server may have run it, takes no connection that was idle
 * for longer than this, in milliseconds.
 */
const MAX_NON_IDEMPOTENT_IDLE_MS = 6_000;

/**
 * Largest part of an answer that is not its body, in bytes: status lines, headers, chunk sizes and trailers. The parser of
 * undici drops some of it unseen and without a limit.
 */
const MAX_FRAMING_BYTES = 2 ** 17;
/**
 * Limit of undici for a head, in bytes. It is never reached: beyond its limit undici creates an error for each further line that
 * has arrived, which takes over 100 ms.
 */
const PARSER_MAX_HEAD_BYTES = 2 * MAX_FRAMING_BYTES;
/** Further bytes of framing for each byte of a body that is sent in small chunks. */
const FRAMING_BYTES_PER_BODY_BYTE = 16;

/** State of a client's socket, set by the connector. */
interface SocketState {
  wasReset: boolean;
  socket: Socket | undefined;
  /** Bytes that the socket had read before the present request. */
  readBefore: number;
  /** Bytes of the body of the present answer. */
  bodyBytes: number;
}

interface OpenConnection {
  client: Client;
  state: SocketState;
}

interface IdleConnection extends OpenConnection {
  idleSinceMs: number;
}

/** A connection in use by one request. */
export interface LeasedConnection {
  client: Client;
  /** Whether the server reset the connection; undici then reports a response without a length as complete. */
  wasReset(): boolean;
  /** Records bytes of the answer's body. An answer with far more other bytes is broken off. */
  recordBody(bytes: number): void;
  /** Returns the connection for reuse, or discards it when it is closed or not reusable. */
  release(isReusable: boolean): void;
}

/** Connections to one backend server, each used by one request at a time. */
export class BackendConnections implements AsyncDisposable {
  private readonly idle: IdleConnection[] = [];
  private inUse = 0;
  private isClosed = false;

  constructor(
    readonly origin: string,
    private readonly clock: () => number,
    private readonly traffic: TrafficMeter,
  ) {}

  countConnections(): number {
    return this.inUse + this.idle.length;
  }

  /** Takes an idle connection or opens a new connection; undefined when `limit` connections are in use. */
  takeConnection(limit: number, allowsLongIdle: boolean): LeasedConnection | undefined {
    if (this.inUse >= limit) return undefined;
    this.inUse += 1;
    const { client, state } = this.#takeIdle(allowsLongIdle) ?? this.#createClient();
    state.readBefore = state.socket?.bytesRead ?? 0;
    state.bodyBytes = 0;
    let isReleased = false;
    return {
      client,
      recordBody: (bytes) => {
        state.bodyBytes += bytes;
      },
      wasReset: () => state.wasReset,
      release: (isReusable) => {
        if (isReleased) return;
        isReleased = true;
        this.inUse -= 1;
        // The server has answered before it has read the request; the next one would wait behind the rest of it.
        const hasUnsentBytes = (state.socket?.writableLength ?? 0) > 0;
        if (isReusable && !hasUnsentBytes && !client.destroyed && !this.isClosed) {
          this.idle.push({ client, state, idleSinceMs: this.clock() });
        } else {
          discardClient(client);
        }
      },
    };
  }

  /** Closes the idle connections, which may be dead after another connection has become unresponsive. */
  discardIdle(): void {
    for (const { client } of this.idle.splice(0)) discardClient(client);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.isClosed = true;
    this.discardIdle();
    await Promise.resolve();
  }

  #takeIdle(allowsLongIdle: boolean): OpenConnection | undefined {
    for (let index = this.idle.length - 1; index >= 0; index -= 1) {
      const candidate = this.idle[index];
      if (candidate === undefined) continue;
      if (candidate.client.destroyed) {
        this.idle.splice(index, 1);
        continue;
      }
      if (!allowsLongIdle && this.clock() - candidate.idleSinceMs > MAX_NON_IDEMPOTENT_IDLE_MS)
        continue;
      this.idle.splice(index, 1);
      return candidate;
    }
    return undefined;
  }

  #createClient(): OpenConnection {
    const state: SocketState = {
      ...{ wasReset: false, socket: undefined, readBefore: 0, bodyBytes: 0 },
    };
    const client = new Client(this.origin, {
      pipelining: 1,
      maxHeaderSize: PARSER_MAX_HEAD_BYTES,
      connect: createConnector(state, this.traffic),
      keepAliveTimeout: KEEP_ALIVE_TIMEOUT_MS,
      keepAliveMaxTimeout: MAX_KEEP_ALIVE_TIMEOUT_MS,
      keepAliveTimeoutThreshold: KEEP_ALIVE_MARGIN_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    client.on('disconnect', () => {
      const index = this.idle.findIndex((entry) => entry.client === client);
      if (index < 0) return;
      this.idle.splice(index, 1);
      discardClient(client);
    });
    return { client, state };
  }
}

function discardClient(client: Client): void {
  client.destroy().catch(() => undefined);
}

/** Creates a connector that detects resets and has an exact timeout; the connector of undici rounds it to a second. */
function createConnector(state: SocketState, traffic: TrafficMeter): buildConnector.connector {
  return (options, callback) => {
    const socket = connect({ host: options.hostname, port: Number(options.port), noDelay: true });
    traffic.addSocket('backend', socket);
    socket.setKeepAlive(true, TCP_KEEP_ALIVE_DELAY_MS);
    state.wasReset = false;
    state.socket = socket;
    state.readBefore = 0;
    let isSettled = false;
    const settle = (error: Error | null) => {
      if (isSettled) return;
      isSettled = true;
      clearTimeout(timer);
      if (error === null) {
        callback(null, socket);
        return;
      }
      socket.destroy();
      callback(error, null);
    };
    const timer = setTimeout(() => {
      settle(new Error(`no connection within ${CONNECT_TIMEOUT_MS} ms`));
    }, CONNECT_TIMEOUT_MS);
    // Runs before undici's listener, which parses what has arrived.
    socket.on('readable', () => {
      const parsedBytes = socket.bytesRead - socket.readableLength - state.readBefore;
      const framingBytes = parsedBytes - state.bodyBytes;
      const limit = MAX_FRAMING_BYTES + state.bodyBytes * FRAMING_BYTES_PER_BODY_BYTE;
      if (framingBytes > limit) socket.destroy(new Error('the answer has too much framing'));
    });
    socket.once('connect', () => {
      settle(null);
    });
    // libuv reports the end of the stream when a reset arrives together with data. Only a reset socket has no
    // remote address any more. Node caches the address, so nothing may read it before this listener.
    socket.prependListener('end', () => {
      if (socket.remoteAddress === undefined) state.wasReset = true;
    });
    // Runs before undici's listener, which treats a reset as the end of a response without a length.
    socket.on('error', (error) => {
      state.wasReset = true;
      settle(error);
    });
  };
}
