import { connect } from 'node:net';
import { LRUCache } from 'lru-cache';
import { Client, Pool } from 'undici';
import { createStrictConnector } from './strict-connector';

export interface ServerAddress {
  /** IP address. */
  address: string;
  port: number;
}

const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 10_000;
const MAX_POOLS = 2_048;

/** Connection pools, one for each backend server. */
export class ServerPools implements AsyncDisposable {
  readonly #pools = new LRUCache<string, Pool>({
    max: MAX_POOLS,
    // close() waits for requests in flight.
    dispose: (pool) => void pool.close().catch(() => undefined),
  });

  /** Returns the pool of a server. It sets no request timeouts: the abort signal of each request limits its time. */
  getPool(server: ServerAddress): Pool {
    const origin = toOrigin(server);
    const existingPool = this.#pools.get(origin);
    if (existingPool !== undefined) return existingPool;
    const pool = new Pool(origin, {
      pipelining: 1,
      connect: createStrictConnector(CONNECT_TIMEOUT_MS),
      keepAliveTimeout: KEEP_ALIVE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#pools.set(origin, pool);
    return pool;
  }

  /**
   * Creates a client with a new connection outside the pool. Status requests and resumes use it because a
   * pooled connection may be silent. Non-idempotent calls use it because the server may close a pooled
   * connection while the request is being written.
   */
  createUnpooledClient(server: ServerAddress): Client {
    return new Client(toOrigin(server), {
      connect: createStrictConnector(CONNECT_TIMEOUT_MS),
      headersTimeout: 0,
      bodyTimeout: 0,
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    const pools = [...this.#pools.values()];
    await Promise.all(pools.map((pool) => pool.destroy()));
    this.#pools.clear();
  }
}

function toOrigin(server: ServerAddress): string {
  const host = server.address.includes(':') ? `[${server.address}]` : server.address;
  return `http://${host}:${server.port}`;
}

/** Returns whether a server accepts a connection within 1 s. Never throws. */
export async function isServerReachable(server: ServerAddress): Promise<boolean> {
  return await new Promise<boolean>((resolve) => {
    const socket = connect({ host: server.address, port: server.port });
    const settle = (isReachable: boolean) => {
      socket.destroy();
      resolve(isReachable);
    };
    socket.setTimeout(CONNECT_TIMEOUT_MS);
    socket.once('connect', () => {
      settle(true);
    });
    socket.once('timeout', () => {
      settle(false);
    });
    socket.once('error', () => {
      settle(false);
    });
  });
}
