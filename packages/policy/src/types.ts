import type { Cause } from '@pollendrum/protocol';

/** The part of a service class that scheduling needs. Times in milliseconds. */
export interface SchedulingClass {
  name: string;
  /** 0 is the highest. */
  tier: number;
  /** Share of service starts in percent that is the class's own. */
  floorPercent: number;
  /** What shedding protects. */
  preference: 'attainment' | 'goodput';
  /** Target until the first token or the whole answer of a plain service. */
  targetFirstByteMs: number;
  maxQueueMs: number;
}

/** The part of a team that scheduling needs. */
export interface SchedulingTeam {
  name: string;
  weight: number;
  /** Undefined: no limit. */
  requestsPerSecond?: number;
  concurrentRequests?: number;
}

export type ServerState = 'healthy' | 'ejected' | 'leaving' | 'down';

/** A backend server of the shard, as the platform's list and its load answers describe it. */
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
  /** When the request reached its entry, on the dispatcher's clock. */
  arrivedAtMs: number;
  /** When the request must have ended, on the dispatcher's clock. */
  expiresAtMs: number;
  excludedServerIds: readonly string[];
  isRetry: boolean;
  failureDomain: string;
}

/** A grant that an entry already holds, announced after a takeover. */
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

/** How a grant ended, as its entry saw it. */
export interface FinishedGrant {
  attemptId: string;
  result: FinishResult;
  firstTokenMs?: number;
  meanGapMs?: number;
  outputTokens?: number;
}

export type GrantReason = 'floor' | 'tier' | 'probe';

/** What the scheduler decided. Every enqueued attempt gets at most one decision. */
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

/** Load of a shard as told to entries. */
export interface SchedulerSummary {
  /** Estimated wait of a new request by tier, in milliseconds. */
  waitMsByTier: number[];
  usedSlots: number;
  slots: number;
}

/**
 * Decides one shard. Pure: callers pass the clock in, in milliseconds of a monotonic clock,
 * and carry out the decisions that are returned.
 */
export interface Scheduler {
  updateClasses(classes: readonly SchedulingClass[]): void;
  updateTeams(teams: readonly SchedulingTeam[]): void;
  updateServers(servers: readonly ShardServer[], nowMs: number): void;
  /** Takes in a request. An attempt id that is already known has no effect. */
  enqueue(request: QueuedRequest, nowMs: number): void;
  /** Removes a waiting request; no decision follows. */
  withdraw(attemptId: string): void;
  adopt(grant: AdoptedGrant): void;
  /** Ends a grant and frees its slot. Unknown attempts are ignored. */
  finish(grant: FinishedGrant, nowMs: number): void;
  observeCrash(fingerprint: string, serverId: string, nowMs: number): void;
  clearCrash(fingerprint: string): void;
  /** Grants and sheds that are due now. */
  takeDecisions(nowMs: number): Decision[];
  /** When takeDecisions should run again if nothing else happens; Infinity if never. */
  getNextWakeMs(): number;
  /** Attempt ids that wait, in order of arrival. */
  listWaiting(): string[];
  /** Attempt ids that hold a grant. */
  listGranted(): string[];
  summarize(nowMs: number): SchedulerSummary;
}
