import type { ListedInstance } from '@pollendrum/protocol';
import { Agent, request } from 'undici';
import type { MetricsPort } from '../ports';
import type { ServerLoad } from './owned-shard';

/** Timeout of a poll. */
export const LOAD_TIMEOUT_MS = 800;
/** Default interval between polls of a server. */
export const LOAD_POLL_MS = 1_000;
const MAX_LOAD_BYTES = 65_536;
// A single poll may fail by chance; a server that can't be reached is also detected by failing requests.
const FAILURES_UNTIL_DOWN = 3;

export interface LoadPollerOptions {
  /** Servers to poll. */
  listServers: () => Iterable<ListedInstance>;
  /** Called when the load of a server has changed. */
  handleChange: () => void;
  metrics: MetricsPort;
  /**
   * Interval between polls of a server, in milliseconds.
   * @default 1000
   */
  intervalMs?: number;
}

interface PolledServer extends ServerLoad {
  consecutiveFailures: number;
  isPolling: boolean;
  /**
   * Incremented when the server refuses a request because it drains; the result of a poll that began
   * before is discarded.
   */
  generation: number;
}

type PollResult =
  { kind: 'answered'; isDraining: boolean; slots: number | undefined } | { kind: 'failed' };

/** Polls the load of backend servers, with at most one poll of a server in progress. */
export class LoadPoller implements AsyncDisposable {
  readonly #options: LoadPollerOptions;
  readonly #agent = new Agent({
    connect: { timeout: LOAD_TIMEOUT_MS },
    maxResponseSize: MAX_LOAD_BYTES,
  });
  readonly #servers = new Map<string, PolledServer>();
  readonly #timer: NodeJS.Timeout;
  #isClosed = false;

  constructor(options: LoadPollerOptions) {
    this.#options = options;
    this.#timer = setInterval(() => {
      this.#startPolls();
    }, options.intervalMs ?? LOAD_POLL_MS);
  }

  getLoad(serverId: string): ServerLoad | undefined {
    return this.#servers.get(serverId);
  }

  /**
   * Marks a server as draining after it refused a request for this reason, until a later poll reports that it is
   * not draining.
   */
  markDraining(serverId: string): void {
    const server = this.#getOrCreateServer(serverId);
    server.generation += 1;
    server.isDraining = true;
    this.#options.handleChange();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    if (this.#isClosed) return;
    this.#isClosed = true;
    clearInterval(this.#timer);
    await this.#agent.destroy();
  }

  #startPolls(): void {
    const listed = [...this.#options.listServers()];
    const listedIds = new Set(listed.map(({ id }) => id));
    for (const serverId of this.#servers.keys()) {
      if (!listedIds.has(serverId)) this.#servers.delete(serverId);
    }
    for (const server of listed) void this.#updateLoad(server);
  }

  async #updateLoad(listed: ListedInstance): Promise<void> {
    const server = this.#getOrCreateServer(listed.id);
    if (server.isPolling) return;
    server.isPolling = true;
    const { generation } = server;
    const result = await this.#requestLoad(listed);
    server.isPolling = false;
    if (this.#isClosed || generation !== server.generation) return;
    const previousLoad = describeLoad(server);
    applyResult(server, result);
    this.#options.metrics.increment('dispatcher.load_poll', { result: result.kind });
    if (describeLoad(server) !== previousLoad) this.#options.handleChange();
  }

  async #requestLoad({ address, port }: ListedInstance): Promise<PollResult> {
    const host = address.includes(':') ? `[${address}]` : address;
    try {
      const response = await request(`http://${host}:${port}/load`, {
        dispatcher: this.#agent,
        signal: AbortSignal.timeout(LOAD_TIMEOUT_MS),
      });
      const text = await response.body.text();
      const isDraining =
        response.statusCode === 503 && response.headers['x-draining'] !== undefined;
      // An HTTP service doesn't have to serve /load; any response shows that it is alive.
      if (response.statusCode !== 200) return { kind: 'answered', isDraining, slots: undefined };
      return parseLoad(text);
    } catch {
      return { kind: 'failed' };
    }
  }

  #getOrCreateServer(serverId: string): PolledServer {
    const known = this.#servers.get(serverId);
    if (known !== undefined) return known;
    const server: PolledServer = {
      ...{ isDraining: false, isDown: false, slots: undefined },
      ...{ consecutiveFailures: 0, isPolling: false, generation: 0 },
    };
    this.#servers.set(serverId, server);
    return server;
  }
}

function applyResult(server: PolledServer, result: PollResult): void {
  switch (result.kind) {
    case 'answered':
      server.consecutiveFailures = 0;
      server.isDown = false;
      server.isDraining = result.isDraining;
      server.slots = result.slots ?? server.slots;
      return;
    case 'failed':
      server.consecutiveFailures += 1;
      if (server.consecutiveFailures >= FAILURES_UNTIL_DOWN) server.isDown = true;
  }
}

function describeLoad({ isDraining, isDown, slots }: ServerLoad): string {
  return `${isDraining} ${isDown} ${slots}`;
}

function parseLoad(text: string): PollResult {
  const load = parseObject(text);
  const slots = Number.isInteger(load.slots) ? Math.max(0, Number(load.slots)) : undefined;
  return { kind: 'answered', isDraining: load.draining === true, slots };
}

function parseObject(text: string): Record<string, unknown> {
  try {
    const value: unknown = JSON.parse(text);
    return typeof value === 'object' && value !== null ? { ...value } : {};
  } catch {
    // Some HTTP services respond to every path with a page, which contains no load.
    return {};
  }
}
