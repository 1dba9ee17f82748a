import { Pool } from 'undici';
import { PlatformUnavailableError, WatchAbortedError } from './errors';

/** One HTTP call to the platform. */
export interface PlatformRequest {
  method: 'GET' | 'POST' | 'PUT' | 'DELETE';
  path: string;
  /** Named in errors. */
  operation: string;
  timeoutMs: number;
  headers?: Record<string, string>;
  body?: string;
  signal?: AbortSignal;
}

export interface PlatformResponse {
  status: number;
  etag: string | undefined;
  text: string;
  elapsedMs: number;
}

const MAX_CONNECTIONS = 32;

/** Sends calls over a pool of connections; the pool is replaced after a timeout. */
export class HttpClient implements AsyncDisposable {
  #pool: Pool;

  constructor(readonly url: string) {
    this.#pool = this.#createPool();
  }

  /**
   * Sends one call and reads the whole answer.
   * @throws PlatformUnavailableError when no answer arrived within the timeout.
   * @throws WatchAbortedError when the signal ended the call.
   */
  async sendRequest(call: PlatformRequest): Promise<PlatformResponse> {
    if (call.signal?.aborted) throw new WatchAbortedError(call.operation);
    const startedAt = performance.now();
    const pool = this.#pool;
    const abort = new AbortController();
    const endCall = () => {
      abort.abort();
    };
    let isTimedOut = false;
    const timer = setTimeout(() => {
      isTimedOut = true;
      abort.abort();
    }, call.timeoutMs);
    call.signal?.addEventListener('abort', endCall, { once: true });
    try {
      const { status, etag, text } = await requestText(pool, call, abort.signal);
      return { status, etag, text, elapsedMs: performance.now() - startedAt };
    } catch (error) {
      if (isTimedOut) this.#replacePool(pool);
      if (call.signal?.aborted) throw new WatchAbortedError(call.operation);
      const reason = isTimedOut ? 'timed out' : String(error);
      throw new PlatformUnavailableError(call.operation, performance.now() - startedAt, reason);
    } finally {
      clearTimeout(timer);
      call.signal?.removeEventListener('abort', endCall);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#pool.destroy();
  }

  #createPool(): Pool {
    return new Pool(this.url, { connections: MAX_CONNECTIONS, pipelining: 1 });
  }

  // The other connections of the pool may lead to the same unresponsive host. Calls in flight end
  // by their own timeouts.
  #replacePool(timedOut: Pool): void {
    if (this.#pool !== timedOut) return;
    this.#pool = this.#createPool();
    timedOut.close().catch(() => undefined);
  }
}

async function requestText(pool: Pool, call: PlatformRequest, signal: AbortSignal) {
  const response = await pool.request({
    method: call.method,
    path: call.path,
    headers: call.headers ?? {},
    body: call.body ?? null,
    signal,
  });
  const etag = response.headers.etag;
  return {
    status: response.statusCode,
    etag: typeof etag === 'string' ? etag : undefined,
    text: await response.body.text(),
  };
}
