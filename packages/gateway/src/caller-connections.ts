import type { Socket } from 'node:net';
import { chooseConnectionToClose, listExcessHeads } from '@pollendrum/policy';
import type { CallerConnectionState } from '@pollendrum/policy';
import type { CallerBoundReporter, ResolvedCallerBounds } from './caller-bounds';

export interface CallerConnectionsOptions {
  bounds: ResolvedCallerBounds;
  reporter: CallerBoundReporter;
  clock: () => number;
}

class CallerConnection implements CallerConnectionState {
  readonly address: string;
  openRequests = 0;
  /** Whether the last response has been made, so that further requests are not taken. */
  isClosing = false;
  idleSinceMs: number;
  /** Bytes that the socket had read when it became idle. */
  private readBefore = 0;

  constructor(
    readonly socket: Socket,
    nowMs: number,
  ) {
    this.address = socket.remoteAddress ?? '';
    this.idleSinceMs = nowMs;
  }

  get hasBegunHead(): boolean {
    return this.openRequests === 0 && this.socket.bytesRead > this.readBefore;
  }

  recordRequestEnd(nowMs: number): void {
    this.openRequests -= 1;
    if (this.openRequests > 0) return;
    this.idleSinceMs = nowMs;
    this.readBefore = this.socket.bytesRead;
  }
}

/** Open connections of callers, with bounds for their number, for heads that have begun and for requests of one of them. */
export class CallerConnections {
  private readonly connections = new Map<Socket, CallerConnection>();

  constructor(private readonly options: CallerConnectionsOptions) {}

  count(): number {
    return this.connections.size;
  }

  /** Takes in a new connection and closes another one, or the new one, if there are too many. */
  add(socket: Socket): void {
    const { bounds, reporter, clock } = this.options;
    if (this.connections.size >= bounds.maxConnections) {
      reporter.report('connections');
      const chosen = chooseConnectionToClose(this.connections.values());
      this.#close(chosen?.socket ?? socket);
      if (chosen === undefined) return;
    }
    this.connections.set(socket, new CallerConnection(socket, clock()));
    socket.once('close', () => {
      this.connections.delete(socket);
    });
  }

  /** Takes in a request; false if it is not to be answered, as the connection is closed or has too many of them. */
  recordRequest(socket: Socket): boolean {
    const connection = this.connections.get(socket);
    if (connection === undefined || connection.isClosing) return false;
    connection.openRequests += 1;
    if (connection.openRequests <= this.options.bounds.maxPipelinedRequests) return true;
    this.options.reporter.report('pipelined-requests');
    this.#close(socket);
    return false;
  }

  /** Takes in that the connection will be closed after a response. */
  recordLastResponse(socket: Socket): void {
    const connection = this.connections.get(socket);
    if (connection !== undefined) connection.isClosing = true;
  }

  recordRequestEnd(socket: Socket): void {
    const connection = this.connections.get(socket);
    if (connection === undefined) return;
    // Requests that are refused at once count until all reads of this turn are done: one read can bring thousands of them.
    setImmediate(() => {
      connection.recordRequestEnd(this.options.clock());
    });
  }

  /** Closes connections whose begun heads are too many. */
  closeExcessHeads(): void {
    const { bounds, reporter } = this.options;
    for (const { socket } of listExcessHeads(this.connections.values(), bounds.maxBegunHeads)) {
      reporter.report('begun-heads');
      this.#close(socket);
    }
  }

  #close(socket: Socket): void {
    this.connections.delete(socket);
    socket.destroy();
  }
}
