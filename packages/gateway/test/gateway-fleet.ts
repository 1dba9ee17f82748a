import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import type { ObjectStore, RouteBundle } from '../src';
import { FakeStore } from './fake-store';
import { makeServer, startTestGateway, waitUntil } from './gateway-fixture';
import type { TestGateway } from './gateway-fixture';
import { startRawBackend } from './raw-backend';
import type { RawBackend } from './raw-backend';

/** Time after which the entry of a server that has ended is gone, and after which another one starts. */
const ENTRY_EXPIRY_MS = 300;
const RESTART_MS = 400;

/** What a server does with a request; `crashAfterMs` is the time from its arrival until the server ends. */
export type HandlerResult = 'answered' | 'crash' | { crashAfterMs: number };

export interface EngineFleetOptions {
  store: FakeStore;
  count: number;
  /** `engines` by default. */
  service?: string;
  /** Time from the end of a server's entry until another server starts, in milliseconds. 400 by default. */
  restartMs?: number;
  /** Answers a request unless the server is to end. */
  handle(socket: Socket, request: string, serverId: string): HandlerResult;
}

/** Engines that end when a request crashes them and start again with another id. */
export class EngineFleet implements AsyncDisposable {
  readonly crashedAtMs: number[] = [];
  private readonly backends = new Map<string, RawBackend>();
  private startCount = 0;
  private isClosed = false;

  constructor(private readonly options: EngineFleetOptions) {}

  /** Ids of the servers that run. */
  listServers(): string[] {
    return [...this.backends.keys()];
  }

  async start(): Promise<void> {
    for (let index = 0; index < this.options.count; index += 1) await this.#startEngine();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.isClosed = true;
    for (const backend of this.backends.values()) await backend[Symbol.asyncDispose]();
  }

  async #startEngine(): Promise<void> {
    this.startCount += 1;
    const serverId = `engine-${this.startCount}`;
    const { store, service = 'engines' } = this.options;
    const backend = await startRawBackend((socket, request) => {
      const result = this.options.handle(socket, request, serverId);
      if (result === 'answered') return;
      if (result === 'crash') void this.crash(serverId);
      else setTimeout(() => void this.crash(serverId), result.crashAfterMs);
    });
    this.backends.set(serverId, backend);
    store.put('servers', serverId, makeServer(serverId, service, backend.port));
  }

  /** Ends a server, unless it has ended, and starts another one later. */
  async crash(serverId: string): Promise<void> {
    const backend = this.backends.get(serverId);
    if (backend === undefined) return;
    this.backends.delete(serverId);
    this.crashedAtMs.push(performance.now());
    await backend.crash();
    await sleep(ENTRY_EXPIRY_MS);
    this.options.store.remove('servers', serverId);
    await sleep(this.options.restartMs ?? RESTART_MS);
    if (!this.isClosed) await this.#startEngine();
  }
}

/** Gateways that share a store. */
export interface GatewayFleet extends AsyncDisposable {
  gateways: readonly TestGateway[];
}

/**
 * Starts gateways and waits until each of them is ready and knows all others.
 *
 * @param wrapStore makes what a gateway uses in place of the store; the store itself by default
 */
export async function startGatewayFleet(
  store: FakeStore,
  count: number,
  bundle: RouteBundle,
  wrapStore?: (store: FakeStore) => ObjectStore,
): Promise<GatewayFleet> {
  const gateways: TestGateway[] = [];
  for (let index = 0; index < count; index += 1) {
    const instanceId = `entry-${index}`;
    gateways.push(await startTestGateway({ store, bundle, wrapStore, instanceId }));
  }
  await waitUntil(() => gateways.every(({ gateway }) => gateway.isReady()));
  await waitUntil(() => store.listNames('instances').length === count);
  await sleep(0);
  return {
    gateways,
    async [Symbol.asyncDispose]() {
      await Promise.all(gateways.map((running) => running[Symbol.asyncDispose]()));
    },
  };
}
