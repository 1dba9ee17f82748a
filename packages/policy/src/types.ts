import type { Cause } from '@pollendrum/protocol';

/** The settings of a service class that the scheduler uses. Times are in milliseconds. */
export interface SchedulingClass {
  name: string;
  /** Priority tier; 0 is the highest. */
  tier: number;
  /** Minimum share of the shard's starts, in percent, while the class has waiting requests. */
  floorPercent: number;
  /**
   * `attainment` limits the time in the queue to `targetFirstByteMs`; `goodput` allows up to `maxQueueMs` and
   * sheds requests that would probably not finish before their deadline.
   */
  preference: 'attainment' | 'goodput';
  /** Target time until the first token, or until the whole answer for a service without streaming. */
  targetFirstByteMs: number;
  maxQueueMs: number;
}

/** The settings of a team that the scheduler uses. */
export interface SchedulingTeam {
  name: string;
  /** Weight of the team in the fair queueing of each class. */
  weight: number;
  /** No limit if undefined, as for `concurrentRequests`. */
  requestsPerSecond?: number;
  concurrentRequests?: number;
}

export type ServerState = 'healthy' | 'ejected' | 'leaving' | 'down';

/** A backend server of the shard, from the platform's server list and the server's load reports. */
export interface ShardServer {
  id: string;
  slots: number;
  failureDomain: string;
  isLeaving: boolean;
}

/** A request that waits for a grant. */
export interface QueuedRequest {
  attemptId: string;
  requestId: string;
  className: string;
  team: string;
  fingerprint: string;
  /** 0 when the request has no prompt prefix. */
  prefixHash: number;
  promptTokens: number;
  /** 0 when the caller set no limit. */
  maxOutputTokens: number;
  /** When the request reached the entry instance, on the dispatcher's clock. */
  arrivedAtMs: number;
  /** Deadline for the whole request, on the dispatcher's clock. */
  expiresAtMs: number;
  excludedServerIds: readonly string[];
  isRetry: boolean;
  failureDomain: string;
}

/** A grant that an entry instance already holds and reports after another dispatcher took over. */
export interface AdoptedGrant {
  attemptId: string;
  serverId: string;
  className: string;
  team: string;
  fingerprint: string;
  grantedAtMs: number;
}

export type FinishResult =
  | 'completed'
  | 'failed'
  | 'cancelled'
  | 'not-sent'
  | 'server-crashed'
  | 'server-refused'
  | 'server-draining'
  | 'server-silent';

/** How a grant ended, as reported by the entry instance that held it. */
export interface FinishedGrant {
  attemptId: string;
  result: FinishResult;
  firstTokenMs?: number;
  meanGapMs?: number;
  outputTokens?: number;
}

export type GrantReason = 'floor' | 'tier' | 'probe';

/** A scheduling decision. Every enqueued attempt gets at most one decision. */
export type Decision =
  | {
      kind: 'grant';
      attemptId: string;
      serverId: string;
      reason: GrantReason;
      queuedMs: number;
      tier: number;
    }
  | { kind: 'shed'; attemptId: string; cause: Cause; retryAfterMs: number };

/** Load of a shard, as reported to entry instances. */
export interface SchedulerSummary {
  /** Estimated wait of a new request by tier, in milliseconds. */
  waitMsByTier: number[];
  usedSlots: number;
  slots: number;
}

/**
 * Schedules the requests of one shard. It does no I/O and reads no clock: callers pass the time in, in
 * milliseconds of a monotonic clock, and carry out the returned decisions.
 */
export interface Scheduler {
  updateClasses(classes: readonly SchedulingClass[]): void;
  updateTeams(teams: readonly SchedulingTeam[]): void;
  updateServers(servers: readonly ShardServer[], nowMs: number): void;
  /** Queues or sheds a request. An attempt id that is already known is ignored. */
  enqueue(request: QueuedRequest, nowMs: number): void;
  /** Removes a waiting request; no decision follows. */
  withdraw(attemptId: string): void;
  /** Counts a grant from another dispatcher against the server's slots. */
  adopt(grant: AdoptedGrant): void;
  /** Ends a grant and frees its slot. Unknown attempts are ignored. */
  finish(grant: FinishedGrant, nowMs: number): void;
  /** Records a reported crash of a server that ran a request with the fingerprint. */
  observeCrash(fingerprint: string, serverId: string, atMs: number): void;
  /** Discards the recorded crashes of a fingerprint. */
  clearCrash(fingerprint: string): void;
  /** Returns the grants and sheds that are due. Each decision is returned once. */
  takeDecisions(nowMs: number): Decision[];
  /** Time at which to call `takeDecisions` again if no other call comes first; Infinity if never. */
  getNextWakeMs(): number;
  /** Ids of the waiting attempts, in order of arrival. */
  listWaiting(): string[];
  /** Ids of the attempts that hold a grant. */
  listGranted(): string[];
  summarize(nowMs: number): SchedulerSummary;
}
