import type { DesiredServers, FleetCounts, ServerKind } from './types';

/** Outcome of an order; `unavailable`: no such servers are to be had there now. */
export type OrderOutcome = 'accepted' | 'unavailable' | 'throttled' | 'unknown';

/** Time for which an order that found no servers is not repeated, unless it is for fewer, in milliseconds. They are back within 8 to 10 s. */
const UNAVAILABLE_RETRY_MS = 3_000;
/** Time for which none are assumed to be had there, in milliseconds; longer than until the next answer to a repeated order. */
const REFUSAL_MS = 5_000;
/** Share of the preemptible servers of a failure domain whose loss in one step is taken for a reclaim. */
const RECLAIMED_SHARE = 0.5;
/** Shortest interval between two orders for a failure domain, in milliseconds. */
const MIN_ORDER_INTERVAL_MS = 950;
/** Longest wait for the answer to an order before another one for the same servers, in milliseconds. */
const MAX_ANSWER_MS = 10_000;
/** Orders in a row without an answer after which they are repeated less often. */
const MAX_QUICK_REPEATS = 3;
const SLOW_REPEAT_MS = 3_000;
/** Time on top of the boot time until ordered servers must have appeared, in milliseconds: orders and entries take time. */
const DELIVERY_MARGIN_MS = 2_500;

/** What is known of the servers of one kind in one failure domain. */
interface Subject {
  failureDomain: string;
  kind: ServerKind;
  present: number;
  /** Largest number of servers that were present before the first accepted order. */
  baseline: number;
  accepted: { count: number; atMs: number } | undefined;
  /** Servers in the last order that may have taken effect; undefined if it certainly has not. */
  effectiveCount: number | undefined;
  /** Whether servers were lost since the last accepted order, so that it is repeated. */
  hasLosses: boolean;
  /** Time until which a refusal by the platform holds. */
  refusedUntilMs: number;
  isRefused: boolean;
  refusedCount: number | undefined;
  /** Whether servers of an accepted order have not appeared in time. */
  isUndelivered: boolean;
  /** When the order was sent whose answer is waited for. */
  sendingSinceMs: number | undefined;
  retryAtMs: number;
  unknownInRow: number;
}

/**
 * Keeps the orders of a service and what came of them. Nothing can be read back from the platform, so an order is repeated
 * when the servers that are present differ from it for longer than they take to start or stop.
 */
export class OrderBook {
  private readonly subjects = new Map<string, Subject>();
  private readonly sentAtMs = new Map<string, number>();

  /** Takes in the servers that take requests; a failure domain that is not contained has none. */
  observe(fleet: FleetCounts, nowMs: number, bootMs: number): void {
    for (const [failureDomain, counts] of fleet) {
      for (const kind of ['preemptible', 'on-demand'] as const) {
        this.#observeSubject(this.#getSubject(failureDomain, kind), counts[kind], nowMs, bootMs);
      }
    }
    for (const subject of this.subjects.values()) {
      if (!fleet.has(subject.failureDomain)) this.#observeSubject(subject, 0, nowMs, bootMs);
    }
  }

  /** Lists the failure domains in which the service has or had servers. */
  listDomains(): string[] {
    return [...new Set([...this.subjects.values()].map(({ failureDomain }) => failureDomain))];
  }

  countPresent(failureDomain: string, kind: ServerKind): number {
    return this.subjects.get(makeKey(failureDomain, kind))?.present ?? 0;
  }

  /** Servers that are present and stay: those that an order gives back take requests for some time longer. */
  countStaying(failureDomain: string, kind: ServerKind): number {
    const subject = this.subjects.get(makeKey(failureDomain, kind));
    if (subject === undefined) return 0;
    const { present, accepted, effectiveCount } = subject;
    return Math.min(present, accepted?.count ?? Infinity, effectiveCount ?? Infinity);
  }

  /** Servers that were ordered last, or that were present before the first order. */
  countOrdered(failureDomain: string, kind: ServerKind): number {
    const subject = this.subjects.get(makeKey(failureDomain, kind));
    return subject?.accepted?.count ?? subject?.baseline ?? 0;
  }

  /** Servers that were ordered and are expected to appear. */
  countBooting(failureDomain: string, kind: ServerKind): number {
    const subject = this.subjects.get(makeKey(failureDomain, kind));
    if (subject?.accepted === undefined || isUnavailable(subject)) return 0;
    return Math.max(0, subject.accepted.count - subject.present);
  }

  isAvailable(failureDomain: string, kind: ServerKind): boolean {
    const subject = this.subjects.get(makeKey(failureDomain, kind));
    return subject === undefined || !isUnavailable(subject);
  }

  /** Selects the orders to be sent now, at most one for each failure domain; those for more servers go first. */
  selectDue(desired: readonly DesiredServers[], nowMs: number, bootMs: number): DesiredServers[] {
    const due = desired.filter((order) => this.#isDue(order, nowMs, bootMs));
    const raisesFirst = due.sort((one, other) => this.#countAdded(other) - this.#countAdded(one));
    const byDomain = new Map<string, DesiredServers>();
    for (const order of raisesFirst) {
      if (!byDomain.has(order.failureDomain)) byDomain.set(order.failureDomain, order);
    }
    return [...byDomain.values()];
  }

  recordSend({ failureDomain, kind, count }: DesiredServers, nowMs: number): void {
    this.sentAtMs.set(failureDomain, nowMs);
    const subject = this.#getSubject(failureDomain, kind);
    subject.sendingSinceMs = nowMs;
    subject.effectiveCount = count;
  }

  recordOutcome(order: DesiredServers, outcome: OrderOutcome, nowMs: number): void {
    const subject = this.#getSubject(order.failureDomain, order.kind);
    subject.sendingSinceMs = undefined;
    subject.unknownInRow = outcome === 'unknown' ? subject.unknownInRow + 1 : 0;
    switch (outcome) {
      case 'accepted':
        subject.accepted = { count: order.count, atMs: nowMs };
        subject.hasLosses = false;
        subject.isRefused = false;
        return;
      case 'unavailable':
        subject.effectiveCount = undefined;
        markRefused(subject, nowMs);
        subject.refusedCount = order.count;
        subject.retryAtMs = nowMs + UNAVAILABLE_RETRY_MS;
        return;
      case 'throttled':
        subject.effectiveCount = undefined;
        return;
      case 'unknown':
        if (subject.unknownInRow >= MAX_QUICK_REPEATS) subject.retryAtMs = nowMs + SLOW_REPEAT_MS;
        return;
    }
  }

  #observeSubject(subject: Subject, present: number, nowMs: number, bootMs: number): void {
    const { accepted } = subject;
    if (nowMs >= subject.refusedUntilMs) subject.isRefused = false;
    if (present < Math.min(subject.present, accepted?.count ?? 0)) {
      subject.hasLosses = true;
      if (isReclaim(subject, present)) markRefused(subject, nowMs);
    }
    if (accepted === undefined) subject.baseline = Math.max(subject.baseline, present);
    if (present > subject.present) subject.isUndelivered = false;
    subject.present = present;
    if (accepted === undefined || present >= accepted.count || subject.hasLosses) return;
    if (nowMs - accepted.atMs > bootMs + DELIVERY_MARGIN_MS) subject.isUndelivered = true;
  }

  #isDue({ failureDomain, kind, count }: DesiredServers, nowMs: number, bootMs: number): boolean {
    const subject = this.#getSubject(failureDomain, kind);
    const { accepted, present, hasLosses, sendingSinceMs, retryAtMs, refusedCount } = subject;
    const isNewlyLower = accepted !== undefined && count < accepted.count && count !== refusedCount;
    if (nowMs < retryAtMs && !isNewlyLower) return false;
    if (sendingSinceMs !== undefined && nowMs - sendingSinceMs < MAX_ANSWER_MS) return false;
    const sentAtMs = this.sentAtMs.get(failureDomain) ?? -Infinity;
    if (nowMs - sentAtMs < MIN_ORDER_INTERVAL_MS) return false;
    if (accepted === undefined) return count !== present;
    if (count !== accepted.count || hasLosses) return true;
    return present !== count && nowMs - accepted.atMs > bootMs + DELIVERY_MARGIN_MS;
  }

  #countAdded({ failureDomain, kind, count }: DesiredServers): number {
    return count - this.countPresent(failureDomain, kind);
  }

  #getSubject(failureDomain: string, kind: ServerKind): Subject {
    const key = makeKey(failureDomain, kind);
    const known = this.subjects.get(key);
    if (known !== undefined) return known;
    const subject: Subject = {
      ...{ failureDomain, kind, present: 0, baseline: 0, accepted: undefined, unknownInRow: 0 },
      ...{ hasLosses: false, isRefused: false, isUndelivered: false, sendingSinceMs: undefined },
      ...{
        retryAtMs: -Infinity,
        refusedUntilMs: -Infinity,
        refusedCount: undefined,
        effectiveCount: undefined,
      },
    };
    this.subjects.set(key, subject);
    return subject;
  }
}

/** Whether so many preemptible servers are gone at once that the platform has taken them back, and has no others there. */
function isReclaim({ kind, present: previous }: Subject, present: number): boolean {
  return kind === 'preemptible' && previous - present >= Math.max(2, previous * RECLAIMED_SHARE);
}

function markRefused(subject: Subject, nowMs: number): void {
  subject.isRefused = true;
  subject.refusedUntilMs = nowMs + REFUSAL_MS;
}

function isUnavailable({ isRefused, isUndelivered }: Subject): boolean {
  return isRefused || isUndelivered;
}

function makeKey(failureDomain: string, kind: ServerKind): string {
  return `${kind} ${failureDomain}`;
}
