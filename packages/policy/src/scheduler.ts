import {
  checkPoison,
  checkAdmission,
  makeQueueFullReason,
  makeTimeoutReason,
  summarizeLoad,
  type AdmissionInput,
  type ShedReason,
} from './admission';
import { CrashTracker, makeConstraint } from './crash-tracker';
import type { SchedulerEvent } from './decision-log';
import type { WaitingRequest } from './fair-queue';
import { FloorCredits } from './floor-credits';
import { RequestEstimator } from './request-estimator';
import { RequestQueue, resolveBudgetMs } from './queue';
import { RecentIds } from './recent-ids';
import { ServerTable, type HeldGrant } from './server-table';
import type { SchedulerOptions } from './scheduler-options';
import { SchedulingPass, type StartChoice } from './scheduling-pass';
import { TeamLimits } from './team-limits';
import type {
  AdoptedGrant,
  Decision,
  FinishedGrant,
  QueuedRequest,
  Scheduler,
  SchedulerSummary,
  SchedulingClass,
  SchedulingTeam,
  ShardServer,
} from './types';

const DEFAULT_QUEUE_LIMIT = 10_000;
/**
 * Interval between expiry checks of crash records, in milliseconds. Crash records are kept for minutes, so a check
 * every second is enough.
 */
const CRASH_EXPIRY_INTERVAL_MS = 1000;

/**
 * Creates the scheduler of one shard. It never throws on the arguments of a call: unknown and repeated
 * attempts are ignored, and a clock value lower than an earlier value has no effect.
 */
export function createScheduler(options: SchedulerOptions = {}): Scheduler {
  return new ShardScheduler(options);
}

class ShardScheduler implements Scheduler {
  private readonly queue = new RequestQueue();
  private readonly floorCredits = new FloorCredits();
  private readonly table = new ServerTable();
  private readonly crashTracker = new CrashTracker();
  private readonly limits: TeamLimits;
  private readonly estimator = new RequestEstimator();
  /** Shed decisions that `takeDecisions` has not returned yet. */
  private pendingSheds = new Map<string, Decision>();
  /** Attempts that this scheduler shed or that were withdrawn. */
  private readonly closedIds = new RecentIds();
  private readonly finishedIds = new RecentIds();
  private nowMs = 0;
  private nextCrashExpiryMs = 0;
  private hasChanged = false;

  constructor(private readonly options: SchedulerOptions) {
    this.limits = new TeamLimits(options.shardCount ?? 1);
  }

  updateClasses(classes: readonly SchedulingClass[]): void {
    this.queue.updateClasses(classes);
    this.hasChanged = true;
  }

  updateTeams(teams: readonly SchedulingTeam[]): void {
    this.limits.update(teams);
  }

  updateServers(servers: readonly ShardServer[], nowMs: number): void {
    this.setNow(nowMs);
    this.table.update(servers);
  }

  enqueue(request: QueuedRequest, nowMs: number): void {
    this.setNow(nowMs);
    if (this.isKnown(request.attemptId)) return;
    const { attemptId, className, fingerprint, excludedServerIds } = request;
    const { settings } = this.queue.getClass(className);
    const { tier } = settings;
    this.emit({
      ...{ kind: 'enqueue', atMs: this.nowMs, attemptId, className, tier },
      ...{ fingerprint, excludedServerIds },
    });
    const estimate = this.estimator.estimate(request);
    const budgetMs = resolveBudgetMs(settings, request, estimate.upperServiceMs);
    const shedReason = checkAdmission(request, budgetMs, this.makeAdmissionInput());
    if (shedReason !== undefined) {
      this.shed(attemptId, shedReason);
      return;
    }
    this.limits.addAttempt(request.team);
    const constraint = makeConstraint(request, this.crashTracker);
    this.queue.add(request, this.nowMs, { constraint, ...estimate });
    this.shedExcess();
  }

  withdraw(attemptId: string): void {
    if (this.table.getGrant(attemptId) !== undefined) return;
    this.pendingSheds.delete(attemptId);
    this.removeWaiting(attemptId);
    this.closedIds.add(attemptId);
  }

  adopt(grant: AdoptedGrant): void {
    if (this.finishedIds.has(grant.attemptId)) return;
    this.pendingSheds.delete(grant.attemptId);
    this.removeWaiting(grant.attemptId);
    const existing = this.table.getGrant(grant.attemptId);
    if (existing !== undefined) {
      if (existing.serverId === grant.serverId) return;
      this.removeGrant(existing);
    }
    const { tier } = this.queue.getClass(grant.className).settings;
    this.limits.addAttempt(grant.team);
    this.table.addGrant({ ...grant, tier, isProbe: false });
  }

  finish(finished: FinishedGrant, nowMs: number): void {
    this.setNow(nowMs);
    const { attemptId, result } = finished;
    if (this.queue.get(attemptId) !== undefined || this.pendingSheds.has(attemptId)) return;
    this.finishedIds.add(attemptId);
    const grant = this.table.getGrant(attemptId);
    if (grant === undefined) return;
    this.removeGrant(grant);
    this.emit({ kind: 'finish', atMs: this.nowMs, attemptId, result });
    this.table.health.observe(grant.serverId, finished, grant.isProbe, this.nowMs);
    if (result === 'server-crashed') {
      this.crashTracker.record(grant.fingerprint, grant.serverId, this.nowMs, grant.grantedAtMs);
      this.updateCrashStatus(grant.fingerprint);
    }
    if (result !== 'completed') return;
    const serviceMs = Math.max(0, this.nowMs - grant.grantedAtMs);
    this.estimator.observe(grant.className, grant.team, serviceMs, finished.outputTokens ?? 0);
    this.clearCrash(grant.fingerprint);
  }

  observeCrash(fingerprint: string, serverId: string, atMs: number): void {
    this.crashTracker.record(fingerprint, serverId, atMs);
    this.updateCrashStatus(fingerprint);
    this.hasChanged = true;
  }

  clearCrash(fingerprint: string): void {
    if (this.crashTracker.getStatus(fingerprint) === 'clean') return;
    this.crashTracker.clear(fingerprint, this.nowMs);
    this.updateCrashStatus(fingerprint);
    this.hasChanged = true;
  }

  takeDecisions(nowMs: number): Decision[] {
    this.setNow(nowMs);
    this.expireCrashes();
    this.shedPastLatestStart();
    const started: Decision[] = [];
    // After a takeover or a process pause, the queue holds requests that ran over their budgets while no
    // dispatcher could start them. Shedding them before starting would give their slots to lower tiers.
    if (this.queue.length > 0) this.startWaiting(started);
    this.shedTimedOut();
    const shed = [...this.pendingSheds.values()];
    this.pendingSheds = new Map();
    this.hasChanged = false;
    return [...shed, ...started];
  }

  getNextWakeMs(): number {
    if (this.hasChanged || this.pendingSheds.size > 0) return this.nowMs;
    if (this.queue.length === 0) return Infinity;
    return Math.min(this.queue.getNextTimeoutMs(), this.table.health.getNextChangeMs(this.nowMs));
  }

  listWaiting(): string[] {
    return this.queue.listAttemptIds();
  }

  listGranted(): string[] {
    return this.table.listGranted();
  }

  summarize(nowMs: number): SchedulerSummary {
    this.nowMs = Math.max(this.nowMs, nowMs);
    return summarizeLoad(this.makeAdmissionInput());
  }

  /** Advances the clock and marks that decisions may be due. */
  private setNow(nowMs: number): void {
    this.nowMs = Math.max(this.nowMs, nowMs);
    this.hasChanged = true;
  }

  private isKnown(attemptId: string): boolean {
    return (
      this.queue.get(attemptId) !== undefined ||
      this.table.getGrant(attemptId) !== undefined ||
      this.closedIds.has(attemptId) ||
      this.finishedIds.has(attemptId)
    );
  }

  private makeAdmissionInput(): AdmissionInput {
    const { queue, table, crashTracker, limits, nowMs } = this;
    const { headroomRatio } = this.options;
    const meanServiceMs = this.estimator.getMeanServiceMs();
    return { queue, table, crashTracker, limits, nowMs, headroomRatio, meanServiceMs };
  }

  private shedExcess(): void {
    const limit = this.options.queueLimit ?? DEFAULT_QUEUE_LIMIT;
    for (;;) {
      const evicted = this.queue.findEvictionCandidate(limit);
      if (evicted === undefined) return;
      this.shedWaiting(evicted, makeQueueFullReason(this.makeAdmissionInput(), limit));
    }
  }

  private shedTimedOut(): void {
    this.shedLate(() => this.queue.findTimedOut(this.nowMs));
  }

  private shedPastLatestStart(): void {
    this.shedLate(() => this.queue.findPastLatestStart(this.nowMs));
  }

  private shedLate(findNext: () => WaitingRequest | undefined): void {
    for (;;) {
      const late = findNext();
      if (late === undefined) return;
      this.shedWaiting(late, makeTimeoutReason(this.makeAdmissionInput(), late.budgetStartMs));
    }
  }

  private shedWaiting(waiting: WaitingRequest, shedReason: ShedReason): void {
    this.queue.remove(waiting);
    this.limits.removeAttempt(waiting.request.team);
    this.shed(waiting.request.attemptId, shedReason);
  }

  private shed(attemptId: string, { cause, retryAfterMs }: ShedReason): void {
    this.pendingSheds.set(attemptId, { kind: 'shed', attemptId, cause, retryAfterMs });
    this.closedIds.add(attemptId);
    this.emit({ kind: 'shed', atMs: this.nowMs, attemptId, cause });
  }

  private startWaiting(decisions: Decision[]): void {
    const { queue, floorCredits, table, crashTracker, nowMs } = this;
    const { headroomRatio } = this.options;
    const pass = new SchedulingPass({
      queue,
      floorCredits,
      table,
      crashTracker,
      nowMs,
      headroomRatio,
    });
    for (;;) {
      const choice = pass.chooseNext();
      if (choice === undefined) break;
      decisions.push(this.grant(choice));
    }
    for (const classQueue of queue.classes) classQueue.resetPass();
  }

  private grant({ waiting, serverId, reason, isFloorStart }: StartChoice): Decision {
    const { request, classQueue, enqueuedAtMs } = waiting;
    const { attemptId, className, team, fingerprint } = request;
    const { tier } = classQueue.settings;
    this.floorCredits.recordStart(this.queue.classes, classQueue, isFloorStart);
    this.queue.removeStarted(waiting, this.limits.getWeight(team));
    const isProbe = reason === 'probe';
    if (isProbe) this.table.health.recordProbe(serverId, this.nowMs);
    const grantedAtMs = this.nowMs;
    this.table.addGrant({
      ...{ attemptId, serverId, className, tier, team, fingerprint, grantedAtMs, isProbe },
    });
    this.emit({ kind: 'start', atMs: this.nowMs, attemptId, className, tier, serverId, reason });
    const queuedMs = this.nowMs - enqueuedAtMs;
    return { kind: 'grant', attemptId, serverId, reason, queuedMs, tier };
  }

  private removeGrant(grant: HeldGrant): void {
    this.table.removeGrant(grant);
    this.limits.removeAttempt(grant.team);
  }

  private removeWaiting(attemptId: string): void {
    const waiting = this.queue.get(attemptId);
    if (waiting === undefined) return;
    this.queue.remove(waiting);
    this.limits.removeAttempt(waiting.request.team);
    this.emit({ kind: 'remove', atMs: this.nowMs, attemptId });
  }

  /** Sheds or re-constrains the waiting requests of a fingerprint after its crash status changed. */
  private updateCrashStatus(fingerprint: string): void {
    const isSuspect = this.crashTracker.getStatus(fingerprint) !== 'clean';
    this.emit({ kind: 'suspect', atMs: this.nowMs, fingerprint, isSuspect });
    for (const waiting of this.queue.listByFingerprint(fingerprint)) {
      const shedReason = checkPoison(waiting.request, this.crashTracker);
      if (shedReason !== undefined) this.shedWaiting(waiting, shedReason);
      else this.queue.updateConstraint(waiting, makeConstraint(waiting.request, this.crashTracker));
    }
  }

  private expireCrashes(): void {
    if (this.nowMs < this.nextCrashExpiryMs) return;
    this.nextCrashExpiryMs = this.nowMs + CRASH_EXPIRY_INTERVAL_MS;
    for (const fingerprint of this.crashTracker.expire(this.nowMs))
      this.updateCrashStatus(fingerprint);
  }

  private emit(event: SchedulerEvent): void {
    this.options.onEvent?.(event);
  }
}
