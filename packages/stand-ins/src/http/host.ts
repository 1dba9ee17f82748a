import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo, Socket } from 'node:net';

/** Where a stand-in listens. */
export interface ListenOptions {
  /**
   * IP address to listen on.
   * @default '127.0.0.1'
   */
  address?: string;
  /**
   * TCP port; 0 lets the system choose a free one.
   * @default 0
   */
  port?: number;
}

/** A running stand-in. Disposal closes the listener and all connections. */
export interface StandIn extends AsyncDisposable {
  readonly address: string;
  readonly port: number;
}

export type RequestHandler = (
  request: IncomingMessage,
  response: ServerResponse,
) => Promise<void> | void;

/** Longer than the idle time of usual clients, so that the client closes idle connections first. */
const KEEP_ALIVE_TIMEOUT_MS = 65_000;

/** An HTTP server that knows its connections, so that faults can be applied to them. */
export class HttpHost implements StandIn {
  private readonly server: Server;
  private readonly sockets = new Set<Socket>();
  private readonly silenced = new WeakSet<Socket>();
  /** Kept after a crash fault, which stops the listener. */
  private bound: AddressInfo | undefined;

  constructor(handler: RequestHandler) {
    this.server = createServer((request, response) => {
      if (this.isSilenced(request.socket)) return;
      void this.handleRequest(handler, request, response);
    });
    this.server.keepAliveTimeout = KEEP_ALIVE_TIMEOUT_MS;
    this.server.on('connection', (socket) => {
      this.sockets.add(socket);
      socket.once('close', () => this.sockets.delete(socket));
    });
  }

  get address(): string {
    return this.getBound().address;
  }

  get port(): number {
    return this.getBound().port;
  }

  /** Starts to listen; rejects with the system's error, e.g. EADDRINUSE. */
  async start(options: ListenOptions): Promise<void> {
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(options.port ?? 0, options.address ?? '127.0.0.1', () => {
        this.server.off('error', reject);
        resolve();
      });
    });
    this.bound = this.server.address() as AddressInfo;
  }

  /** Open connections stop sending and reading for good; new connections work. */
  setSilent(exceptSocket?: Socket): void {
    for (const socket of this.sockets) {
      if (socket === exceptSocket || this.isSilenced(socket)) continue;
      this.silenced.add(socket);
      // Writes stay pending for good. Corking is not enough: the end of a response uncorks.
      socket._write = () => undefined;
      socket._writev = () => undefined;
      socket.pause();
      // The HTTP server resumes the socket when a request body has been read.
      socket.on('resume', () => socket.pause());
    }
  }

  isSilenced(socket: Socket): boolean {
    return this.silenced.has(socket);
  }

  /** Stops listening and resets all connections, as the end of the process would. */
  discardConnections(): void {
    this.server.close();
    for (const socket of this.sockets) socket.resetAndDestroy();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const closed = new Promise<void>((resolve) => this.server.close(() => resolve()));
    for (const socket of this.sockets) socket.destroy();
    await closed;
  }

  private getBound(): AddressInfo {
    if (!this.bound) throw new Error('the stand-in is not listening');
    return this.bound;
  }

  private async handleRequest(
    handler: RequestHandler,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    try {
      await handler(request, response);
    } catch (error) {
      sendError(response, error);
    }
  }
}

/** An error that is answered with its status and code. */
export class HttpError extends Error {
  constructor(
    readonly status: number,
    readonly code: string,
    message: string,
    readonly headers: Record<string, string> = {},
  ) {
    super(message);
    this.name = 'HttpError';
  }
}

export function sendJson(
  response: ServerResponse,
  status: number,
  value: unknown,
  headers: Record<string, string> = {},
): void {
  if (response.destroyed || response.headersSent) return;
  const body = Buffer.from(JSON.stringify(value));
  response.writeHead(status, {
    'Content-Type': 'application/json',
    'Content-Length': body.length,
    ...headers,
  });
  response.end(body);
}

function sendError(response: ServerResponse, error: unknown): void {
  const known =
    error instanceof HttpError
      ? error
      : new HttpError(500, 'internal_error', error instanceof Error ? error.message : 'unknown');
  if (response.headersSent) {
    response.destroy();
    return;
  }
  const body = { error: { code: known.code, message: known.message } };
  sendJson(response, known.status, body, known.headers);
}

/** Reads the whole body; throws `HttpError` 413 when it is longer than the limit. */
export async function readBody(request: IncomingMessage, limitBytes: number): Promise<Buffer> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of request as AsyncIterable<Buffer>) {
    size += chunk.length;
    // The rest is read and dropped, so that the client can finish sending and read the answer.
    if (size <= limitBytes) chunks.push(chunk);
  }
  if (size > limitBytes) {
    throw new HttpError(413, 'body_too_large', `the limit is ${limitBytes.toString()} bytes`);
  }
  return Buffer.concat(chunks);
}

/** Reads a JSON object; throws `HttpError` 400 for anything else. */
export async function readJson(
  request: IncomingMessage,
  limitBytes = 16 * 1024 * 1024,
): Promise<Record<string, unknown>> {
  const body = await readBody(request, limitBytes);
  let value: unknown;
  try {
    value = JSON.parse(body.toString('utf8'));
  } catch {
    throw new HttpError(400, 'bad_json', 'the body is not JSON');
  }
  if (typeof value !== 'object' || value === null || Array.isArray(value)) {
    throw new HttpError(400, 'bad_json', 'the body is not a JSON object');
  }
  return value as Record<string, unknown>;
}

export function parseUrl(request: IncomingMessage): URL {
  return new URL(request.url ?? '/', 'http://stand-in');
}

/** The value of a header that occurs at most once. */
export function readHeader(request: IncomingMessage, name: string): string | undefined {
  const value = request.headers[name];
  return Array.isArray(value) ? value[0] : value;
}
