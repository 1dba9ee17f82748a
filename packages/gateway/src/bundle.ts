/** What the requests of a route are. A stream may be repeated only if the route is resumable. */
export type RequestKind = 'idempotent' | 'non-idempotent' | 'stream';

/** A service that a route leads to, chosen in proportion to its weight. */
export interface WeightedService {
  service: string;
  weight: number;
}

export interface Route {
  name: string;
  host: string;
  /** Begins and ends with a slash. */
  pathPrefix: string;
  kind: RequestKind;
  isResumable: boolean;
  /** Longest time that a request is kept waiting, in milliseconds. */
  timeoutMs: number;
  /** Time to the answer or the first event within which a request is on time, in milliseconds. */
  targetLatencyMs: number;
  /** Longest pause between events within which a stream is on time, in milliseconds. */
  pauseTargetMs: number | undefined;
  /** 0 is the highest. */
  priority: number;
  services: readonly WeightedService[];
  /** Most backend servers that may run one request. */
  maxAttempts: number;
  /** Whether requests need no team key. */
  isPublic: boolean;
}

/** Sizes that a service states for its model engines. */
export interface EngineCapacity {
  slots: number;
  kvTokens: number;
  tokensPerEvent: number;
}

export interface Service {
  name: string;
  /** Connections that one server accepts from all instances together. */
  maxConnections: number;
  /** Present for services of model engines. */
  engine: EngineCapacity | undefined;
}

export interface GatewayTeam {
  name: string;
  keys: readonly string[];
  /** Takes precedence over a route's priority. */
  priority: number | undefined;
}

/** Bounds on what a caller may send. */
export interface CallerLimits {
  maxHeaderBytes: number;
  maxBodyBytes: number;
  headerTimeoutMs: number;
  idleTimeoutMs: number;
}

/** One version of the operators' configuration. */
export interface RouteBundle {
  version: number;
  routes: readonly Route[];
  services: readonly Service[];
  /** Undefined when requests need no key at all. */
  teams: readonly GatewayTeam[] | undefined;
  limits: CallerLimits;
}

export type ServerState = 'ready' | 'draining';

/** A backend server as its own entry in the store describes it. */
export interface BackendServer {
  serverId: string;
  service: string;
  host: string;
  port: number;
  failureDomain: string;
  slots: number;
  state: ServerState;
  /** Start of the server's process in Unix milliseconds; a new start forgets all that ran before. */
  startedAtUnixMs: number | undefined;
}
