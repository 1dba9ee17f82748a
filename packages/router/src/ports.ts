import type {
  Bundle,
  Cause,
  ClaimResult,
  ListedInstance,
  OutcomeRecord,
  PeerMessage,
  ServiceClass,
  Settings,
  Team,
} from '@pollendrum/protocol';

/** Ends a subscription. */
export type Unsubscribe = () => void;

/** An instance known to membership. */
export interface Member {
  instanceId: string;
  address: string;
  peerPort: number;
  httpPort: number;
  failureDomain: string;
  region: string;
  state: 'alive' | 'suspect' | 'leaving';
}

/** Members that are not dead. The version rises with each change. */
export interface MembershipView {
  version: number;
  members: readonly Member[];
}

/**
 * What a link saw of an instance. `refused`: nothing listens there. `reset`: an open connection was
 * closed unexpectedly. `silent`: pings or the handshake got no answer for 1.5 s.
 */
export type LinkEvidence = 'refused' | 'reset' | 'silent';

/** Membership task. */
export interface MembershipPort {
  getView(): MembershipView;
  watchView(listener: (view: MembershipView) => void): Unsubscribe;
  /** Takes in the platform's list. */
  mergeList(instances: readonly ListedInstance[]): void;
  /** Takes in what a link saw: the instance is probed at once, which removes it only if that fails, too. */
  reportUnreachable(instanceId: string, evidence: LinkEvidence): void;
  /** Tells the others that this instance is stopping; it loses its shards. */
  publishLeaving(): void;
  publishCrash(fingerprint: string, serverId: string): void;
  publishCrashCleared(fingerprint: string): void;
  watchCrashes(listener: (report: CrashReport) => void): Unsubscribe;
  /** Crash reports of the last 10 minutes. */
  listCrashes(): CrashReport[];
  setBundleNumber(bundleNumber: number): void;
  /** Calls the listener when a peer has a higher bundle number than any heard before. */
  watchBundleNumber(listener: (bundleNumber: number, instanceId: string) => void): Unsubscribe;
}

/** Reported by gossip when a backend server crashed under a request, or when the request ended well. */
export type CrashReport =
  | { kind: 'crash'; fingerprint: string; serverId: string; ageMs: number }
  | { kind: 'cleared'; fingerprint: string; ageMs: number };

/** Links to other instances. A message to the own instance id is delivered locally. */
export interface PeerPort {
  readonly instanceId: string;
  /** Queues a message; false when the instance is unknown. Loss is reported through watchLinkLoss. */
  sendMessage(instanceId: string, message: PeerMessage): boolean;
  watchMessages(listener: (instanceId: string, message: PeerMessage) => void): Unsubscribe;
  /** A link was lost or replaced: messages sent on it may not have arrived. */
  watchLinkLoss(listener: (instanceId: string) => void): Unsubscribe;
  /** While the returned function has not been called, the link is pinged. */
  requestPings(instanceId: string): Unsubscribe;
}

/** A shard of a pool and who decides it. */
export interface ShardRoute {
  poolId: string;
  shardIndex: number;
  shardCount: number;
  ownerInstanceId: string | undefined;
  servers: readonly ListedInstance[];
}

/** Pools, shards and owners, worked out from membership and the platform's list. */
export interface RoutingView {
  /** Rises with each change of membership or of the list. */
  version: number;
  /** By pool id, `model:NAME` or `service:NAME`. */
  pools: ReadonlyMap<string, readonly ShardRoute[]>;
}

export interface RoutingPort {
  getView(): RoutingView;
  watchView(listener: (view: RoutingView) => void): Unsubscribe;
}

/** The bundle in force, indexed. */
export interface ActiveBundle {
  bundle: Bundle;
  digest: string;
  classesByName: ReadonlyMap<string, ServiceClass>;
  teamsByName: ReadonlyMap<string, Team>;
  /** By SHA-256 of the bearer key, hex. */
  teamsByKeySha256: ReadonlyMap<string, Team>;
  /** Whether the platform confirmed that this is the newest. */
  confirmedByPlatform: boolean;
  /** Unix time in milliseconds when the platform or a peer last confirmed it. */
  confirmedAtMs: number;
}

export interface BundlePort {
  /** Undefined until the first bundle arrived. */
  getActive(): ActiveBundle | undefined;
  watchActive(listener: (active: ActiveBundle) => void): Unsubscribe;
}

/** Result of a claim as an entry sees it. `unavailable`: nothing was claimed for this nonce that may be run. */
export type ClaimReply = Omit<ClaimResult, 'kind' | 'claimId'>;

/** How a claimed request ended. */
export interface ClaimSettlement {
  keyHash: string;
  nonce: string;
  state: 'done' | 'not-run' | 'unknown';
  status?: number;
  contentType?: string;
  /** Kept up to 1,024 bytes. */
  body?: string;
}

export interface ClaimsPort {
  /** Claims a key through the owner of its range. Never throws; settles within 5 s. */
  claimKey(keyHash: string, nonce: string, requestId: string): Promise<ClaimReply>;
  recordSettlement(settlement: ClaimSettlement): void;
}

export interface OutcomePort {
  recordOutcome(record: OutcomeRecord): void;
  /** Asks all live instances and the platform. */
  findOutcomes(requestId: string): Promise<OutcomeRecord[]>;
  listRecent(sinceMs: number): OutcomeRecord[];
  /** Writes what is waiting; used before the process exits. */
  flush(): Promise<void>;
}

/** Log fields that occur on most lines. */
export interface LogFields {
  requestId?: string;
  attemptId?: string;
  className?: string;
  team?: string;
  outcome?: string;
  cause?: Cause;
  instanceId?: string;
  serverId?: string;
  [field: string]: unknown;
}

export interface LogPort {
  error(message: string, fields?: LogFields): void;
  warn(message: string, fields?: LogFields): void;
  info(message: string, fields?: LogFields): void;
  debug(message: string, fields?: LogFields): void;
}

export interface MetricsPort {
  increment(name: string, tags?: Record<string, string>, value?: number): void;
  gauge(name: string, value: number, tags?: Record<string, string>): void;
  /** Value in milliseconds. */
  timing(name: string, valueMs: number, tags?: Record<string, string>): void;
}

/** One span of a trace; ended once. */
export interface TraceSpan extends Disposable {
  setAttribute(name: string, value: string | number | boolean): void;
  /** Headers that carry the trace to the next hop. */
  injectHeaders(): Record<string, string>;
  startChild(name: string): TraceSpan;
  fail(message: string): void;
}

export interface TracePort {
  /** Starts a span under the `traceparent` header of an incoming request, if any. */
  startRequestSpan(name: string, headers: Record<string, string | string[] | undefined>): TraceSpan;
}

export interface TelemetryPort extends AsyncDisposable {
  log: LogPort;
  metrics: MetricsPort;
  trace: TracePort;
}

/** What every task gets. */
export interface TaskContext {
  settings: Settings;
  telemetry: TelemetryPort;
}
