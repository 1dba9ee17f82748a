import { connect } from 'node:net';
import { LRUCache } from 'lru-cache';
import { Client, Pool } from 'undici';

/** Address of a backend server. */
export interface ServerAddress {
  /** IP address. */
  address: string;
  port: number;
}

const CONNECT_TIMEOUT_MS = 1_000;
const KEEP_ALIVE_MS = 10_000;
const MAX_SERVERS = 2_048;

/** Connections to backend servers, one pool for each server. */
export class ServerPools implements AsyncDisposable {
  readonly #pools = new LRUCache<string, Pool>({
    max: MAX_SERVERS,
    // Closing lets requests in flight end.
    dispose: (pool) => void pool.close().catch(() => undefined),
  });

  /** Returns the pool of a server. Requests have no timeout of their own; callers bound them. */
  getPool(server: ServerAddress): Pool {
    const origin = toOrigin(server);
    const known = this.#pools.get(origin);
    if (known !== undefined) return known;
    const pool = new Pool(origin, {
      pipelining: 1,
      connect: { timeout: CONNECT_TIMEOUT_MS },
      keepAliveTimeout: KEEP_ALIVE_MS,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    this.#pools.set(origin, pool);
    return pool;
  }

  /**
   * Creates a client with a connection of its own. Checks use it because pooled connections may be silent;
   * non-idempotent calls use it because a pooled connection may be closed just as the request is written.
   */
  createUnpooledClient(server: ServerAddress): Client {
    return new Client(toOrigin(server), {
      connect: { timeout: CONNECT_TIMEOUT_MS },
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

/** Whether a server accepts a connection within 1 s. Never throws. */
export async function isServerReachable(server: ServerAddress): Promise<boolean> {
  return await new Promise<boolean>((resolve) => {
    const socket = connect({ host: server.address, port: server.port });
    const settle = (isAlive: boolean) => {
      socket.destroy();
      resolve(isAlive);
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
