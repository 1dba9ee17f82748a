import { ClassQueue, isOlder, type ServerConstraint, type WaitingRequest } from './fair-queue';
import { Heap } from './heap';
import type { QueuedRequest, SchedulingClass } from './types';

/**
 * A new bundle takes effect on all instances within 8 s, so a request of a class that is not known yet waits at
 * most that long.
 */
const UNKNOWN_CLASS_MAX_QUEUE_MS = 8000;

/** Constraint and estimates of a request that is added to the queue. */
export interface QueueEstimates {
  constraint: ServerConstraint;
  /** Expected service time, in milliseconds. */
  estimatedServiceMs: number;
  /** Upper estimate of the service time, in milliseconds. */
  upperServiceMs: number;
  estimatedTokens: number;
}

/**
 * Minimum queue budget as a share of the target. Without it, service time estimates that are too high would
 * get every request of a class shed, and no completed request could correct the estimates.
 */
const MIN_BUDGET_RATIO = 0.25;

/**
 * Maximum time in the queue, in milliseconds. A class that prefers goodput does not start a request that
 * would probably not finish before its deadline, because its tokens would be wasted.
 */
export function resolveBudgetMs(
  settings: SchedulingClass,
  request: QueuedRequest,
  upperServiceMs: number,
): number {
  if (settings.preference === 'attainment') return settings.targetFirstByteMs;
  return Math.min(settings.maxQueueMs, resolveMaxStartDelayMs(settings, request, upperServiceMs));
}

/**
 * Time in the queue, in milliseconds, after which a started request would probably not finish before its deadline;
 * at least `MIN_BUDGET_RATIO` of the target.
 */
function resolveMaxStartDelayMs(
  settings: SchedulingClass,
  request: QueuedRequest,
  upperServiceMs: number,
): number {
  if (settings.preference === 'attainment') return Infinity;
  const slackMs = request.expiresAtMs - upperServiceMs - request.arrivedAtMs;
  return Math.max(settings.targetFirstByteMs * MIN_BUDGET_RATIO, slackMs);
}

function isNewer(a: WaitingRequest, b: WaitingRequest): boolean {
  return isOlder(b, a);
}

function isStillWaiting(waiting: WaitingRequest): boolean {
  return waiting.isWaiting;
}

/** Waiting requests of a shard, indexed by start order, timeout and eviction order. */
export class RequestQueue {
  private readonly requests = new Map<string, WaitingRequest>();
  private readonly byFingerprint = new Map<string, Set<WaitingRequest>>();
  private readonly byClass = new Map<string, ClassQueue>();
  /** Classes by tier, highest first, then by name. */
  private sortedClasses: ClassQueue[] = [];
  private newestByTier = new Map<number, Heap<WaitingRequest>>();
  private byTimeout = makeTimeoutHeap();
  private byLatestStart = makeLatestStartHeap();
  private sequence = 0;

  get length(): number {
    return this.requests.size;
  }

  /** Classes, highest tier first. */
  get classes(): readonly ClassQueue[] {
    return this.sortedClasses;
  }

  /** Distinct tiers, highest first. */
  listTiers(): number[] {
    return [...new Set(this.sortedClasses.map((classQueue) => classQueue.settings.tier))];
  }

  updateClasses(classes: readonly SchedulingClass[]): void {
    const names = new Set(classes.map(({ name }) => name));
    for (const settings of classes) {
      const known = this.byClass.get(settings.name);
      if (known === undefined) this.byClass.set(settings.name, new ClassQueue({ ...settings }));
      else known.settings = { ...settings };
    }
    for (const [name, classQueue] of this.byClass) {
      if (names.has(name)) continue;
      if (classQueue.count === 0) this.byClass.delete(name);
      else classQueue.settings = { ...classQueue.settings, floorPercent: 0 };
    }
    this.sortClasses();
    this.newestByTier = new Map();
    this.byTimeout = makeTimeoutHeap();
    this.byLatestStart = makeLatestStartHeap();
    for (const waiting of this.requests.values()) {
      updateTimeLimits(waiting);
      this.addToHeaps(waiting);
    }
  }

  /**
   * Returns a class by name. A class that the active bundle does not define yet gets the lowest tier and no
   * floor.
   */
  getClass(name: string): ClassQueue {
    const known = this.byClass.get(name);
    if (known !== undefined) return known;
    const lowestTier = this.sortedClasses.at(-1)?.settings.tier ?? 0;
    const classQueue = new ClassQueue({
      name,
      tier: lowestTier,
      floorPercent: 0,
      preference: 'goodput',
      targetFirstByteMs: UNKNOWN_CLASS_MAX_QUEUE_MS,
      maxQueueMs: UNKNOWN_CLASS_MAX_QUEUE_MS,
    });
    this.byClass.set(name, classQueue);
    this.sortClasses();
    return classQueue;
  }

  get(attemptId: string): WaitingRequest | undefined {
    return this.requests.get(attemptId);
  }

  add(request: QueuedRequest, nowMs: number, estimates: QueueEstimates): WaitingRequest {
    this.sequence += 1;
    const waiting: WaitingRequest = {
      ...estimates,
      request,
      classQueue: this.getClass(request.className),
      sequence: this.sequence,
      budgetStartMs: resolveBudgetStart(request, nowMs),
      enqueuedAtMs: nowMs,
      timeoutAtMs: 0,
      latestStartMs: 0,
      isWaiting: true,
    };
    updateTimeLimits(waiting);
    this.requests.set(request.attemptId, waiting);
    const same = this.byFingerprint.get(request.fingerprint);
    if (same === undefined) this.byFingerprint.set(request.fingerprint, new Set([waiting]));
    else same.add(waiting);
    waiting.classQueue.add(waiting);
    this.addToHeaps(waiting);
    return waiting;
  }

  /** Removes a request without starting it. */
  remove(waiting: WaitingRequest): void {
    this.removeFromIndexes(waiting);
    waiting.classQueue.remove(waiting);
    this.discardRemoved(waiting);
  }

  /** Removes a request that starts and charges its estimated tokens to the team. */
  removeStarted(waiting: WaitingRequest, teamWeight: number): void {
    this.removeFromIndexes(waiting);
    waiting.classQueue.removeStarted(waiting, teamWeight);
    this.discardRemoved(waiting);
  }

  updateConstraint(waiting: WaitingRequest, constraint: ServerConstraint): void {
    waiting.classQueue.updateConstraint(waiting, constraint);
  }

  /** Finds the newest request of the lowest waiting tier if the queue is longer than the limit. */
  findEvictionCandidate(limit: number): WaitingRequest | undefined {
    if (this.length <= limit) return undefined;
    for (const tier of this.listTiers().reverse()) {
      const newest = this.newestByTier.get(tier)?.getFirst();
      if (newest !== undefined) return newest;
    }
    return undefined;
  }

  /** Finds a request that reached its queue timeout. */
  findTimedOut(nowMs: number): WaitingRequest | undefined {
    const first = this.byTimeout.getFirst();
    return first !== undefined && first.timeoutAtMs <= nowMs ? first : undefined;
  }

  /** Finds a request that reached its latest start time. */
  findPastLatestStart(nowMs: number): WaitingRequest | undefined {
    const first = this.byLatestStart.getFirst();
    return first !== undefined && first.latestStartMs <= nowMs ? first : undefined;
  }

  /** Time of the next queue timeout in milliseconds; Infinity if the queue is empty. */
  getNextTimeoutMs(): number {
    return this.byTimeout.getFirst()?.timeoutAtMs ?? Infinity;
  }

  listByFingerprint(fingerprint: string): WaitingRequest[] {
    return [...(this.byFingerprint.get(fingerprint) ?? [])];
  }

  listAttemptIds(): string[] {
    return [...this.requests.values()]
      .sort((a, b) => (isOlder(a, b) ? -1 : 1))
      .map(({ request }) => request.attemptId);
  }

  /** Counts waiting requests by tier, from tier 0 to `lowestTier`. */
  countByTier(lowestTier: number): number[] {
    const counts = new Array<number>(lowestTier + 1).fill(0);
    for (const { settings, count } of this.sortedClasses) {
      if (settings.tier <= lowestTier) counts[settings.tier] = (counts[settings.tier] ?? 0) + count;
    }
    return counts;
  }

  private addToHeaps(waiting: WaitingRequest): void {
    const { tier } = waiting.classQueue.settings;
    let newest = this.newestByTier.get(tier);
    if (newest === undefined) {
      newest = new Heap<WaitingRequest>(isNewer, isStillWaiting);
      this.newestByTier.set(tier, newest);
    }
    newest.add(waiting);
    this.byTimeout.add(waiting);
    this.byLatestStart.add(waiting);
  }

  private removeFromIndexes(waiting: WaitingRequest): void {
    waiting.isWaiting = false;
    this.requests.delete(waiting.request.attemptId);
    const same = this.byFingerprint.get(waiting.request.fingerprint);
    same?.delete(waiting);
    if (same?.size === 0) this.byFingerprint.delete(waiting.request.fingerprint);
  }

  private discardRemoved(waiting: WaitingRequest): void {
    this.byTimeout.discardRemoved(this.length);
    this.byLatestStart.discardRemoved(this.length);
    this.newestByTier.get(waiting.classQueue.settings.tier)?.discardRemoved(this.length);
  }

  private sortClasses(): void {
    this.sortedClasses = [...this.byClass.values()].sort(
      (a, b) => a.settings.tier - b.settings.tier || (a.settings.name < b.settings.name ? -1 : 1),
    );
  }
}

/**
 * Time from which the queue budget is counted. A retry starts anew, because the first attempt's run time is not
 * queue time.
 */
export function resolveBudgetStart(request: QueuedRequest, nowMs: number): number {
  return request.isRetry ? nowMs : Math.min(request.arrivedAtMs, nowMs);
}

/** Sets the request's queue timeout and latest start time from its class. */
function updateTimeLimits(waiting: WaitingRequest): void {
  const {
    request,
    classQueue,
    budgetStartMs: budgetStartMs,
    upperServiceMs: upperServiceMs,
  } = waiting;
  const budgetMs = resolveBudgetMs(classQueue.settings, request, upperServiceMs);
  const maxStartDelayMs = resolveMaxStartDelayMs(classQueue.settings, request, upperServiceMs);
  waiting.timeoutAtMs = Math.min(budgetStartMs + budgetMs, request.expiresAtMs);
  waiting.latestStartMs = Math.min(budgetStartMs + maxStartDelayMs, request.expiresAtMs);
}

function makeTimeoutHeap(): Heap<WaitingRequest> {
  return new Heap<WaitingRequest>((a, b) => a.timeoutAtMs < b.timeoutAtMs, isStillWaiting);
}

function makeLatestStartHeap(): Heap<WaitingRequest> {
  return new Heap<WaitingRequest>((a, b) => a.latestStartMs < b.latestStartMs, isStillWaiting);
}
