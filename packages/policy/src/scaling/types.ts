/** `preemptible`: the platform may reclaim the server at short notice; `on-demand`: it does not. */
export type ServerKind = 'preemptible' | 'on-demand';

export const SERVER_KINDS: readonly ServerKind[] = ['preemptible', 'on-demand'];

/** Servers of one failure domain by kind. */
export type KindCounts = Readonly<Record<ServerKind, number>>;

/** Servers by failure domain and kind. */
export type FleetCounts = ReadonlyMap<string, KindCounts>;

/** Bounds and prices within which servers are ordered for a service. */
export interface ScalingBounds {
  /** Least number of servers in each failure domain, both kinds together. */
  minServers: number;
  /** Largest number of servers in each failure domain, both kinds together. */
  maxServers: number;
  /** Time from an order until new servers take requests, in milliseconds. */
  bootMs: number;
  /** Price of a preemptible server as a share of that of another one; undefined if there are none. */
  preemptiblePriceShare: number | undefined;
  /** Relative price of a server by failure domain; 1 where none is stated. */
  priceByFailureDomain: ReadonlyMap<string, number>;
}

/** Load of all servers of a service at one time. */
export interface LoadSample {
  /** Requests that a server runs at the same time. */
  slotsPerServer: number;
  /** Streams that have begun. */
  running: number;
  /** Requests without a first event or a response. */
  waiting: number;
  /** Sum over the servers of the share of time spent on prefill. */
  prefillUtilization: number;
  /** Sum over the servers of the prefill time of the waiting requests, in milliseconds. */
  queuedPrefillMs: number;
}

/** How many servers one failure domain is to have of one kind. */
export interface DesiredServers {
  failureDomain: string;
  kind: ServerKind;
  count: number;
}
