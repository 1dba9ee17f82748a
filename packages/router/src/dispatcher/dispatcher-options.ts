import type { Scheduler } from '@pollendrum/policy';
import type { OutcomeRecord } from '@pollendrum/protocol';
import type {
  BundlePort,
  LogPort,
  MembershipPort,
  MetricsPort,
  PeerPort,
  RoutingPort,
} from '../ports';

/** Shard for which a scheduler is created. */
export interface ShardSchedulerOptions {
  poolId: string;
  shardIndex: number;
  shardCount: number;
  /** Monotonic clock of the dispatcher in milliseconds. */
  nowMs: number;
}

export interface DispatcherTaskOptions {
  instanceId: string;
  peers: PeerPort;
  routing: Pick<RoutingPort, 'getView' | 'watchView'>;
  bundles: Pick<BundlePort, 'getActive' | 'watchActive'>;
  membership: Pick<
    MembershipPort,
    | 'getView'
    | 'watchView'
    | 'publishCrash'
    | 'publishCrashCleared'
    | 'watchCrashes'
    | 'listCrashes'
  >;
  createScheduler: (options: ShardSchedulerOptions) => Scheduler;
  /** Stores the outcome record of a request whose entry died. */
  recordOutcome: (record: OutcomeRecord) => void;
  log: LogPort;
  metrics: MetricsPort;
  /**
   * Slots of a backend server for which neither the platform's list nor a load poll gives a number.
   * @default 8
   */
  slotsPerServer?: number;
  /**
   * Interval between load polls of a server, in milliseconds.
   * @default 1000
   */
  loadPollMs?: number;
  /**
   * Monotonic clock in milliseconds.
   * @default performance.now
   */
  getNowMs?: () => number;
}

export interface DispatcherTask extends AsyncDisposable {
  /** Replies `moved` to queued requests, releases all shards and accepts no further requests. */
  stop(): void;
  /** Shards that this instance owns, as POOL/INDEX. */
  listShards(): string[];
}

/** How long a new owner of a shard waits for entries to report their grants before it makes grants. */
export const ADOPTION_PERIOD_MS = 250;
/** How long an entry's slots stay in use after its link was lost, unless the entry reports them again. */
export const LOST_ENTRY_GRACE_MS = 3_000;
/** Validity time of a grant: the entry must send the request within it. */
export const GRANT_VALID_MS = 1_000;
/** Minimum interval between two summaries of a shard to the same entry. */
export const SUMMARY_INTERVAL_MS = 200;
/** Default number of slots of a backend server. */
export const DEFAULT_SLOTS_PER_SERVER = 8;
