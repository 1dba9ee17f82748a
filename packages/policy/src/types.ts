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
  /**
   * Target time from the arrival of a request until its first token, or until the whole response for a service
   * without streaming.
   */
  targetFirstByteMs: number;
  /** Maximum time in the queue with `goodput`; not used with `attainment`. */
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

/**
 * State of a backend server.
 *
 * - `healthy`: gets requests.
 * - `ejected`: slow or failing; gets only probes.
 * - `leaving`: marked as leaving in the platform's server list, or reported that it is draining; gets no new
 *   requests.
 * - `down`: crashed or silent; gets only probes.
 */
export type ServerState = 'healthy' | 'ejected' | 'leaving' | 'down';

/** A backend server of the shard, from the platform's server list and the server's load reports. */
export interface ShardServer {
  id: string;
  slots: number;
  failureDomain: string;
  isLeaving: boolean;
}

/**
 * One attempt of a request, as submitted to the scheduler. A retry is a new attempt with the same `requestId`.
 */
export interface QueuedRequest {
  attemptId: string;
  requestId: string;
  className: string;
  team: string;
  /** Hash of the request's content, the same for its retries and for copies of the request. */
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
  /** Servers on which the attempt must not start. */
  excludedServerIds: readonly string[];
  isRetry: boolean;
  /** Failure domain of the entry instance; servers in the same domain are preferred. */
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

/**
 * How an attempt with a grant ended.
 *
 * - `completed`: the server sent the whole response.
 * - `failed`: the attempt failed without evidence of a crash, for example with an error status.
 * - `cancelled`: the attempt was aborted after it had been sent.
 * - `not-sent`: the attempt was given up before it was sent to the server.
 * - `server-crashed`: the server crashed while the attempt ran.
 * - `server-refused`: the server refused the attempt without running it.
 * - `server-draining`: the server refused the attempt without running it because it is draining.
 * - `server-silent`: the server could not be reached or stopped sending data.
 */
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
  /**
   * Time from the sending of the attempt to its first token, or to the whole response of a service without
   * streaming, in milliseconds.
   */
  firstTokenMs?: number;
  /** Mean time between two tokens, in milliseconds. */
  meanGapMs?: number;
  outputTokens?: number;
}

/**
 * Why a request was started.
 *
 * - `floor`: its class had the credit for a start (see `FloorCredits`).
 * - `tier`: it was next by tier and first-byte due time (arrival time plus target).
 * - `probe`: it was sent to an ejected or down server to test the server.
 */
export type GrantReason = 'floor' | 'tier' | 'probe';

/**
 * A scheduling decision. Every enqueued attempt gets at most one decision. A grant starts the attempt: it
 * occupies a slot of the server from then on.
 */
export type Decision =
  | {
      kind: 'grant';
      attemptId: string;
      serverId: string;
      reason: GrantReason;
      /** Time since this scheduler queued the attempt, in milliseconds. */
      queuedMs: number;
      tier: number;
    }
  /** `retryAfterMs` is the minimum delay before the caller retries the request; 0 if there is no minimum. */
  | { kind: 'shed'; attemptId: string; cause: Cause; retryAfterMs: number };

/** Load of a shard, as reported to entry instances. */
export interface SchedulerSummary {
  /** Estimated wait of a new request by tier, in milliseconds. */
  waitMsByTier: number[];
  usedSlots: number;
  slots: number;
}

/**
 * Schedules the requests of one shard, which is a part of a pool's backend servers. The dispatcher, the instance
 * that owns the shard, runs the scheduler; entry instances receive requests from callers and hold the grants.
 *
 * The scheduler does no I/O and reads no clock: the current time is an argument, in milliseconds of a monotonic
 * clock, and the dispatcher carries out the returned decisions.
 */
export interface Scheduler {
  updateClasses(classes: readonly SchedulingClass[]): void;
  updateTeams(teams: readonly SchedulingTeam[]): void;
  updateServers(servers: readonly ShardServer[], nowMs: number): void;
  /** Queues or sheds an attempt. An attempt id that is already known is ignored. */
  enqueue(request: QueuedRequest, nowMs: number): void;
  /** Removes a waiting attempt; no decision follows. */
  withdraw(attemptId: string): void;
  /** Counts a grant from another dispatcher against the server's slots. */
  adopt(grant: AdoptedGrant): void;
  /** Ends a grant and frees its slot. Unknown attempts are ignored. */
  finish(finished: FinishedGrant, nowMs: number): void;
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
