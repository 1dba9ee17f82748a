import { BackendConnections } from './backend-connections';
import type { LeasedConnection } from './backend-connections';
import type { BackendServer, Service } from './bundle';
import type { TrafficMeter } from './traffic-meter';

/** Share of a server's connections that all instances together use; the rest is headroom while their number changes. */
const CONNECTION_SHARE = 0.8;
/** Connections to a server that an instance may always use, however small its share is. */
const MIN_CONNECTIONS = 4;

/** Connections to all backend servers. */
export class BackendPool implements AsyncDisposable {
  private readonly servers = new Map<string, BackendConnections>();

  constructor(
    private readonly clock: () => number,
    private readonly countInstances: () => number,
    private readonly traffic: TrafficMeter,
  ) {}

  /** Takes a connection; undefined when the instance's share of the server's connections is in use. */
  takeConnection(
    server: BackendServer,
    service: Service | undefined,
    allowsLongIdle: boolean,
  ): LeasedConnection | undefined {
    return this.#getConnections(server).takeConnection(this.#computeLimit(service), allowsLongIdle);
  }

  /** Closes idle connections to a server that restarted or became unresponsive. */
  discardIdle(serverId: string): void {
    this.servers.get(serverId)?.discardIdle();
  }

  async removeServer(serverId: string): Promise<void> {
    const connections = this.servers.get(serverId);
    this.servers.delete(serverId);
    await connections?.[Symbol.asyncDispose]();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.all([...this.servers.keys()].map((serverId) => this.removeServer(serverId)));
  }

  #computeLimit(service: Service | undefined): number {
    if (service === undefined) return MIN_CONNECTIONS;
    const share = (service.maxConnections * CONNECTION_SHARE) / Math.max(1, this.countInstances());
    return Math.max(MIN_CONNECTIONS, Math.floor(share));
  }

  #getConnections(server: BackendServer): BackendConnections {
    const origin = `http://${server.host}:${server.port}`;
    const existing = this.servers.get(server.serverId);
    if (existing?.origin === origin) return existing;
    // A server may start again under its id at another address. Requests in progress end at the old one.
    void existing?.[Symbol.asyncDispose]();
    const created = new BackendConnections(origin, this.clock, this.traffic);
    this.servers.set(server.serverId, created);
    return created;
  }
}
