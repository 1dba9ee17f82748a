import type { Socket } from 'node:net';
import { buildConnector, Pool } from 'undici';
import { PlatformUnavailableError, WatchAbortedError } from './errors';

/** HTTP request to the platform. */
export interface PlatformRequest {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  path: string;
  /** Description of the request for error messages, for example `get claims/3`. */
  operation: string;
  timeoutMs: number;
  headers?: Record<string, string>;
  body?: string;
  signal?: AbortSignal;
}

/** Complete response of the platform. */
export interface PlatformResponse {
  status: number;
  etag: string | undefined;
  /** Headers by lower-case name; of a repeated header the first value. */
  headers: ReadonlyMap<string, string>;
  text: string;
  elapsedMs: number;
}

export interface HttpClientOptions {
  /** Called with each connection that has been opened. */
  onConnect?(socket: Socket): void;
}

const MAX_CONNECTIONS = 32;
/** Largest response in bytes; the platform's pages and objects have about 1 MB. */
const MAX_RESPONSE_BYTES = 16 * 2 ** 20;
/** Time after which a connection that is not open is given up, in milliseconds. */
const CONNECT_TIMEOUT_MS = 2_000;

/** HTTP client with a connection pool that is replaced after a timeout. */
export class HttpClient implements AsyncDisposable {
  #pool: Pool;

  constructor(
    readonly url: string,
    private readonly options: HttpClientOptions = {},
  ) {
    this.#pool = this.#createPool();
  }

  /**
   * Sends a request and reads the complete response.
   * @throws PlatformUnavailableError when the connection fails or no complete response arrives
   * within the timeout.
   * @throws WatchAbortedError when the signal aborts the request.
   */
  async sendRequest(request: PlatformRequest): Promise<PlatformResponse> {
    if (request.signal?.aborted) throw new WatchAbortedError(request.operation);
    const startedAt = performance.now();
    const pool = this.#pool;
    const abortController = new AbortController();
    const cancelRequest = () => {
      abortController.abort();
    };
    let isTimedOut = false;
    const timer = setTimeout(() => {
      isTimedOut = true;
      abortController.abort();
    }, request.timeoutMs);
    request.signal?.addEventListener('abort', cancelRequest, { once: true });
    try {
      const { signal } = abortController;
      const response = await endOnAbort(fetchText(pool, request, signal), signal);
      return { ...response, elapsedMs: performance.now() - startedAt };
    } catch (error) {
      if (isTimedOut) this.#replacePool(pool);
      if (request.signal?.aborted) throw new WatchAbortedError(request.operation);
      const reason = isTimedOut ? 'timed out' : String(error);
      throw new PlatformUnavailableError(request.operation, performance.now() - startedAt, reason);
    } finally {
      clearTimeout(timer);
      request.signal?.removeEventListener('abort', cancelRequest);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#pool.destroy();
  }

  #createPool(): Pool {
    const connect = buildConnector({ timeout: CONNECT_TIMEOUT_MS });
    return new Pool(this.url, {
      connections: MAX_CONNECTIONS,
      pipelining: 1,
      maxResponseSize: MAX_RESPONSE_BYTES,
      connect: (options, callback) => {
        connect(options, (...result) => {
          if (result[0] === null) this.options.onConnect?.(result[1]);
          callback(...result);
        });
      },
    });
  }

  // The other connections of the pool may lead to the same unresponsive host. Requests in flight end
  // with their responses or timeouts.
  #replacePool(timedOutPool: Pool): void {
    if (this.#pool !== timedOutPool) return;
    this.#pool = this.#createPool();
    timedOutPool.close().catch(() => undefined);
  }
}

async function fetchText(pool: Pool, request: PlatformRequest, signal: AbortSignal) {
  const response = await pool.request({
    method: request.method,
    path: request.path,
    headers: request.headers ?? {},
    body: request.body ?? null,
    signal,
  });
  const etag = response.headers.etag;
  return {
    status: response.statusCode,
    etag: typeof etag === 'string' ? etag : undefined,
    headers: toHeaderMap(response.headers),
    text: await response.body.text(),
  };
}

function toHeaderMap(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): ReadonlyMap<string, string> {
  const entries = Object.entries(headers).flatMap(([name, value]): [string, string][] => {
    const first = Array.isArray(value) ? value[0] : value;
    return first === undefined ? [] : [[name, first]];
  });
  return new Map(entries);
}

/** Rejects when the signal aborts, since undici heeds it only once a connection is open. */
async function endOnAbort<T>(promise: Promise<T>, signal: AbortSignal): Promise<T> {
  let abort: () => void = () => undefined;
  const aborted = new Promise<never>((_, reject) => {
    abort = () => {
      reject(new Error('aborted'));
    };
    signal.addEventListener('abort', abort, { once: true });
  });
  try {
    return await Promise.race([promise, aborted]);
  } finally {
    signal.removeEventListener('abort', abort);
    promise.catch(() => undefined);
  }
}
