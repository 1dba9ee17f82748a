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

/** An instance in the membership view. */
export interface Member {
  instanceId: string;
  address: string;
  peerPort: number;
  httpPort: number;
  failureDomain: string;
  region: string;
  state: 'alive' | 'suspect' | 'leaving';
}

/** Members that are not dead. The version increases with every change. */
export interface MembershipView {
  version: number;
  members: readonly Member[];
}

/**
 * Failure of an instance as observed by a link. `refused`: nothing listens at its address. `reset`: an open
 * connection was closed unexpectedly. `silent`: pings or the handshake got no reply for 1.5 s.
 */
export type LinkEvidence = 'refused' | 'reset' | 'silent';

/** Membership of the instances: failure detection and gossip. */
export interface MembershipPort {
  getView(): MembershipView;
  watchView(listener: (view: MembershipView) => void): Unsubscribe;
  /** Merges the platform's instance list into the view. */
  mergeList(instances: readonly ListedInstance[]): void;
  /** Reports a failure observed by a link: the instance is probed at once and removed if that fails, too. */
  reportUnreachable(instanceId: string, evidence: LinkEvidence): void;
  /** Announces to the other instances that this instance is stopping; it loses its shards. */
  publishLeaving(): void;
  publishCrash(fingerprint: string, serverId: string): void;
  publishCrashCleared(fingerprint: string): void;
  watchCrashes(listener: (report: CrashReport) => void): Unsubscribe;
  /** Crash reports of the last 10 minutes. */
  listCrashes(): CrashReport[];
  setBundleNumber(bundleNumber: number): void;
  /** Calls the listener when a peer announces a higher bundle number than any announced before. */
  watchBundleNumber(listener: (bundleNumber: number, instanceId: string) => void): Unsubscribe;
}

/** Gossip report that a request crashed a backend server, or that the request has since succeeded. */
export type CrashReport =
  | { kind: 'crash'; fingerprint: string; serverId: string; ageMs: number }
  | { kind: 'cleared'; fingerprint: string; ageMs: number };

/** Links to other instances. A message to the id of this instance is delivered locally. */
export interface PeerPort {
  readonly instanceId: string;
  /** Queues a message; false when the instance is unknown. Lost links are reported through watchLinkLoss. */
  sendMessage(instanceId: string, message: PeerMessage): boolean;
  watchMessages(listener: (instanceId: string, message: PeerMessage) => void): Unsubscribe;
  /** Calls the listener when a link is lost or replaced: messages sent on it may not have arrived. */
  watchLinkLoss(listener: (instanceId: string) => void): Unsubscribe;
  /** Keeps the link to the instance pinged at least until the returned function is called. */
  requestPings(instanceId: string): Unsubscribe;
}

/** A shard of a pool and the instance that dispatches to it. */
export interface ShardRoute {
  poolId: string;
  shardIndex: number;
  shardCount: number;
  ownerInstanceId: string | undefined;
  servers: readonly ListedInstance[];
}

/** Pools, shards and their owners, computed from membership and the platform's instance list. */
export interface RoutingView {
  /** Increases with every change of membership or of the instance list. */
  version: number;
  /** Shards by pool id, `model:NAME` or `service:NAME`. */
  pools: ReadonlyMap<string, readonly ShardRoute[]>;
}

export interface RoutingPort {
  getView(): RoutingView;
  watchView(listener: (view: RoutingView) => void): Unsubscribe;
}

/** The active bundle with lookup tables. */
export interface ActiveBundle {
  bundle: Bundle;
  digest: string;
  classesByName: ReadonlyMap<string, ServiceClass>;
  teamsByName: ReadonlyMap<string, Team>;
  /** Teams by the SHA-256 of their API key, hex. */
  teamsByKeySha256: ReadonlyMap<string, Team>;
  /** Whether the platform confirmed that this is the latest bundle. */
  confirmedByPlatform: boolean;
  /** Unix time in milliseconds of the last confirmation by the platform or a peer. */
  confirmedAtMs: number;
}

export interface BundlePort {
  /** Undefined until the first bundle arrives. */
  getActive(): ActiveBundle | undefined;
  watchActive(listener: (active: ActiveBundle) => void): Unsubscribe;
}

/** Result of claiming an idempotency key. `unavailable`: no claim was confirmed, so the request must not be sent. */
export type ClaimReply = Omit<ClaimResult, 'kind' | 'claimId'>;

/** Final state of a request whose idempotency key was claimed. */
export interface ClaimSettlement {
  keyHash: string;
  nonce: string;
  state: 'done' | 'not-run' | 'unknown';
  status?: number;
  contentType?: string;
  /** Stored only up to 1,024 bytes. */
  body?: string;
}

export interface ClaimsPort {
  /**
   * Claims an idempotency key, by its hash, through the owner of its hash range. Never rejects; resolves within
   * 5 s.
   */
  claimKey(keyHash: string, nonce: string, requestId: string): Promise<ClaimReply>;
  recordSettlement(settlement: ClaimSettlement): void;
}

export interface OutcomePort {
  recordOutcome(record: OutcomeRecord): void;
  /** Queries all live instances and the platform. */
  findOutcomes(requestId: string): Promise<OutcomeRecord[]>;
  listRecent(sinceMs: number): OutcomeRecord[];
  /** Writes all pending records; called before the process exits. */
  flush(): Promise<void>;
}

/** Common fields of log lines. */
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
  /** Records a duration in milliseconds. */
  timing(name: string, valueMs: number, tags?: Record<string, string>): void;
}

/** A span of a trace; it is disposed exactly once, which ends it. */
export interface TraceSpan extends Disposable {
  setAttribute(name: string, value: string | number | boolean): void;
  /** Returns the headers that propagate the trace context to the next hop. */
  injectHeaders(): Record<string, string>;
  startChild(name: string): TraceSpan;
  fail(message: string): void;
}

export interface TracePort {
  /** Starts a span, as a child of the `traceparent` header of the incoming request if there is one. */
  startRequestSpan(name: string, headers: Record<string, string | string[] | undefined>): TraceSpan;
}

export interface TelemetryPort extends AsyncDisposable {
  log: LogPort;
  metrics: MetricsPort;
  trace: TracePort;
}

/** Settings and telemetry, which every task receives. */
export interface TaskContext {
  settings: Settings;
  telemetry: TelemetryPort;
}
