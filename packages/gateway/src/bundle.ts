/** Kind of the requests of a route. A stream that a server may have run is retried only if its route is resumable. */
export type RequestKind = 'idempotent' | 'non-idempotent' | 'stream';

/** A service that receives a share of a route's requests in proportion to its weight. */
export interface WeightedService {
  service: string;
  weight: number;
}

export interface Route {
  name: string;
  host: string;
  /** Starts and ends with a slash. */
  pathPrefix: string;
  kind: RequestKind;
  isResumable: boolean;
  /** Time limit for the complete response, in milliseconds. */
  timeoutMs: number;
  /** Target for the time to the response, or to the first event of a stream, in milliseconds. */
  targetLatencyMs: number;
  /** Target for the longest pause between events of a stream, in milliseconds. */
  pauseTargetMs: number | undefined;
  /** 0 is the highest. */
  priority: number;
  services: readonly WeightedService[];
  /** Maximum number of backend servers that may run one request; attempts that no server ran do not count. */
  maxAttempts: number;
  /** Whether requests are accepted without a team key. */
  isPublic: boolean;
}

/** Capacity of each model engine of a service. */
export interface EngineCapacity {
  /** Requests that run at the same time. */
  slots: number;
  /** Capacity of the KV cache in tokens. */
  kvTokens: number;
  /** Tokens in one event of a stream. */
  tokensPerEvent: number;
}

/** Bounds and prices of the backend servers that may be ordered for a service. */
export interface ServiceScaling {
  /** Least number of servers in each failure domain, preemptible ones included. */
  minServers: number;
  /** Largest number of servers in each failure domain, preemptible ones included. */
  maxServers: number;
  /** Time from an order until new servers take requests, in milliseconds. */
  bootMs: number;
  /** Price of a preemptible server as a share of that of another one; undefined if there are none. */
  preemptiblePriceShare: number | undefined;
  /** Relative price of a server-second by failure domain. */
  priceByFailureDomain: ReadonlyMap<string, number>;
}

export interface Service {
  name: string;
  /** Undefined when no servers are ordered for the service. */
  scaling?: ServiceScaling | undefined;
  /** Whether the configuration states an invalid scaling, so that the one in force before is kept. */
  hasInvalidScaling?: boolean;
  /** Maximum number of connections to one server from all gateway instances together. */
  maxConnections: number;
  /** Undefined when the service's servers are not model engines. */
  engine: EngineCapacity | undefined;
}

export interface GatewayTeam {
  name: string;
  keys: readonly string[];
  /** Takes precedence over the route's priority. */
  priority: number | undefined;
}

/** Limits on callers' requests and connections. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** A bundle: one version of the gateway's configuration, written by the operators. */
export interface RouteBundle {
  version: number;
  routes: readonly Route[];
  services: readonly Service[];
  /** Undefined when no request needs a team key. */
  teams: readonly GatewayTeam[] | undefined;
  limits: CallerLimits;
}

export type ServerState = 'ready' | 'draining';

/** A backend server, as described by the entry that it writes to the store. */
export interface BackendServer {
  serverId: string;
  service: string;
  host: string;
  port: number;
  failureDomain: string;
  slots: number;
  state: ServerState;
  /** Whether the platform may reclaim the server at short notice; false by default. */
  isPreemptible?: boolean;
  /** Time left when a server that is taken back wrote the entry, in milliseconds; undefined if none is stated. */
  leavesInMs?: number | undefined;
  /**
   * Start time of the server's process in Unix milliseconds. When it changes, the failures, caches and
   * speeds recorded for the previous process are discarded.
   */
  startedAtUnixMs: number | undefined;
  /** Heartbeats since the process started; the number falls only when a process starts. */
  heartbeats?: number;
}
