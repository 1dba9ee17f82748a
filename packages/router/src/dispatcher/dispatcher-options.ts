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

/** What a scheduler is created for. */
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
  /** Stores the record of a request whose entry died. */
  recordOutcome: (record: OutcomeRecord) => void;
  log: LogPort;
  metrics: MetricsPort;
  /**
   * Slots of a backend server that declares none.
   * @default 8
   */
  slotsPerServer?: number;
  /**
   * Period of load polls in milliseconds.
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
  /** Answers waiting requests with `moved`, gives up all shards and takes no further requests. */
  stop(): void;
  /** Shards that this instance decides, as POOL/INDEX. */
  listShards(): string[];
}

/** How long a new owner collects held grants before it grants. */
export const COLLECTION_MS = 250;
/** How long the grants of an entry count after its link was lost, unless it announces them again. */
export const LOST_ENTRY_GRACE_MS = 3_000;
/** A grant is void at the entry when it was not used within this time. */
export const GRANT_VALID_MS = 1_000;
/** Shortest time between two load summaries of a shard to one entry. */
export const SUMMARY_INTERVAL_MS = 200;
/** Default number of slots of a backend server. */
export const DEFAULT_SLOTS_PER_SERVER = 8;
