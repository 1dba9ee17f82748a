import { ClassQueue, isOlder, type Constraint, type WaitingRequest } from './fair-queue';
import { Heap } from './heap';
import type { QueuedRequest, SchedulingClass } from './types';

/** A bundle is in force everywhere within 8 s, so a request of a class not known yet waits at most that long. */
const UNKNOWN_CLASS_MAX_QUEUE_MS = 8000;

/** What the queue needs to know about a request besides the request itself. */
export interface QueueEstimates {
  constraint: Constraint;
  /** In milliseconds. */
  estimatedServiceMs: number;
  /** In milliseconds. */
  longServiceMs: number;
  estimatedTokens: number;
}

/**
 * Least time in the queue as a share of the target. Without it, estimates that are too long would refuse
 * every request of a class, and no completion would correct them.
 */
const MIN_BUDGET_RATIO = 0.25;

/**
 * Longest time in the queue, in milliseconds. A class that prefers goodput does not start a request that
 * would probably not end before its caller leaves, because its tokens would be wasted.
 */
export function resolveBudgetMs(
  settings: SchedulingClass,
  request: QueuedRequest,
  longServiceMs: number,
): number {
  if (settings.preference === 'attainment') return settings.targetFirstByteMs;
  return Math.min(settings.maxQueueMs, resolveUsefulMs(settings, request, longServiceMs));
}

/** Time in the queue, in milliseconds, after which a start is wasted work: it would probably not end in time. */
function resolveUsefulMs(
  settings: SchedulingClass,
  request: QueuedRequest,
  longServiceMs: number,
): number {
  if (settings.preference === 'attainment') return Infinity;
  const endableMs = request.expiresAtMs - longServiceMs - request.arrivedAtMs;
  return Math.max(settings.targetFirstByteMs * MIN_BUDGET_RATIO, endableMs);
}

function isNewer(a: WaitingRequest, b: WaitingRequest): boolean {
  return isOlder(b, a);
}

function isStillWaiting(waiting: WaitingRequest): boolean {
  return waiting.isWaiting;
}

/** All waiting requests of a shard, with the orders in which they start, time out and are evicted. */
export class RequestQueue {
  private readonly requests = new Map<string, WaitingRequest>();
  private readonly byFingerprint = new Map<string, Set<WaitingRequest>>();
  private readonly byClass = new Map<string, ClassQueue>();
  /** Highest tier first. */
  private sorted: ClassQueue[] = [];
  private newestByTier = new Map<number, Heap<WaitingRequest>>();
  private timeouts = makeTimeoutHeap();
  private uselessStarts = makeUselessStartHeap();
  private sequence = 0;

  get length(): number {
    return this.requests.size;
  }

  /** Classes, highest tier first. */
  get classes(): readonly ClassQueue[] {
    return this.sorted;
  }

  /** Distinct tiers, highest first. */
  listTiers(): number[] {
    return [...new Set(this.sorted.map((classQueue) => classQueue.settings.tier))];
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
    this.timeouts = makeTimeoutHeap();
    this.uselessStarts = makeUselessStartHeap();
    for (const waiting of this.requests.values()) {
      updateLimits(waiting);
      this.addToOrders(waiting);
    }
  }

  /** Class by name; one that the bundle in force here does not have yet gets the lowest tier and no floor. */
  getClass(name: string): ClassQueue {
    const known = this.byClass.get(name);
    if (known !== undefined) return known;
    const lowestTier = this.sorted.at(-1)?.settings.tier ?? 0;
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
      queuedSinceMs: resolveQueuedSince(request, nowMs),
      enqueuedAtMs: nowMs,
      timeoutAtMs: 0,
      usefulUntilMs: 0,
      isWaiting: true,
    };
    updateLimits(waiting);
    this.requests.set(request.attemptId, waiting);
    const same = this.byFingerprint.get(request.fingerprint);
    if (same === undefined) this.byFingerprint.set(request.fingerprint, new Set([waiting]));
    else same.add(waiting);
    waiting.classQueue.add(waiting);
    this.addToOrders(waiting);
    return waiting;
  }

  /** Removes a request that will not start here. */
  remove(waiting: WaitingRequest): void {
    this.removeFromIndex(waiting);
    waiting.classQueue.remove(waiting);
    this.discardRemoved(waiting);
  }

  /** Removes a request that starts and charges its team. */
  takeStarted(waiting: WaitingRequest, teamWeight: number): void {
    this.removeFromIndex(waiting);
    waiting.classQueue.takeStarted(waiting, teamWeight);
    this.discardRemoved(waiting);
  }

  updateConstraint(waiting: WaitingRequest, constraint: Constraint): void {
    waiting.classQueue.updateConstraint(waiting, constraint);
  }

  /** Newest request of the lowest tier that waits, if more wait than the limit. */
  findExcess(limit: number): WaitingRequest | undefined {
    if (this.length <= limit) return undefined;
    for (const tier of this.listTiers().reverse()) {
      const newest = this.newestByTier.get(tier)?.getFirst();
      if (newest !== undefined) return newest;
    }
    return undefined;
  }

  /** A request whose time in the queue is over. */
  findTimedOut(nowMs: number): WaitingRequest | undefined {
    const first = this.timeouts.getFirst();
    return first !== undefined && first.timeoutAtMs <= nowMs ? first : undefined;
  }

  /** A request whose start would be wasted work. */
  findUselessStart(nowMs: number): WaitingRequest | undefined {
    const first = this.uselessStarts.getFirst();
    return first !== undefined && first.usefulUntilMs <= nowMs ? first : undefined;
  }

  /** Time of the next timeout in milliseconds; Infinity if nothing waits. */
  getNextTimeoutMs(): number {
    return this.timeouts.getFirst()?.timeoutAtMs ?? Infinity;
  }

  listByFingerprint(fingerprint: string): WaitingRequest[] {
    return [...(this.byFingerprint.get(fingerprint) ?? [])];
  }

  listAttemptIds(): string[] {
    return [...this.requests.values()]
      .sort((a, b) => (isOlder(a, b) ? -1 : 1))
      .map(({ request }) => request.attemptId);
  }

  /** Waiting requests by tier, from tier 0 to the given one. */
  countByTier(lowestTier: number): number[] {
    const counts = new Array<number>(lowestTier + 1).fill(0);
    for (const { settings, count } of this.sorted) {
      if (settings.tier <= lowestTier) counts[settings.tier] = (counts[settings.tier] ?? 0) + count;
    }
    return counts;
  }

  private addToOrders(waiting: WaitingRequest): void {
    const { tier } = waiting.classQueue.settings;
    let newest = this.newestByTier.get(tier);
    if (newest === undefined) {
      newest = new Heap<WaitingRequest>(isNewer, isStillWaiting);
      this.newestByTier.set(tier, newest);
    }
    newest.add(waiting);
    this.timeouts.add(waiting);
    this.uselessStarts.add(waiting);
  }

  private removeFromIndex(waiting: WaitingRequest): void {
    waiting.isWaiting = false;
    this.requests.delete(waiting.request.attemptId);
    const same = this.byFingerprint.get(waiting.request.fingerprint);
    same?.delete(waiting);
    if (same?.size === 0) this.byFingerprint.delete(waiting.request.fingerprint);
  }

  private discardRemoved(waiting: WaitingRequest): void {
    this.timeouts.discardRemoved(this.length);
    this.uselessStarts.discardRemoved(this.length);
    this.newestByTier.get(waiting.classQueue.settings.tier)?.discardRemoved(this.length);
  }

  private sortClasses(): void {
    this.sorted = [...this.byClass.values()].sort(
      (a, b) => a.settings.tier - b.settings.tier || (a.settings.name < b.settings.name ? -1 : 1),
    );
  }
}

/** A retry's wait begins anew: the time that its first attempt ran is not time in the queue. */
export function resolveQueuedSince(request: QueuedRequest, nowMs: number): number {
  return request.isRetry ? nowMs : Math.min(request.arrivedAtMs, nowMs);
}

/** Sets when the request's time in the queue is over and until when its start is of use. */
function updateLimits(waiting: WaitingRequest): void {
  const { request, classQueue, queuedSinceMs, longServiceMs } = waiting;
  const budgetMs = resolveBudgetMs(classQueue.settings, request, longServiceMs);
  const usefulMs = resolveUsefulMs(classQueue.settings, request, longServiceMs);
  waiting.timeoutAtMs = Math.min(queuedSinceMs + budgetMs, request.expiresAtMs);
  waiting.usefulUntilMs = Math.min(queuedSinceMs + usefulMs, request.expiresAtMs);
}

function makeTimeoutHeap(): Heap<WaitingRequest> {
  return new Heap<WaitingRequest>((a, b) => a.timeoutAtMs < b.timeoutAtMs, isStillWaiting);
}

function makeUselessStartHeap(): Heap<WaitingRequest> {
  return new Heap<WaitingRequest>((a, b) => a.usefulUntilMs < b.usefulUntilMs, isStillWaiting);
}
