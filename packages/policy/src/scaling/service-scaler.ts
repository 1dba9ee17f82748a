import { computeDesiredServers } from './desired-servers';
import { computeFleetPlan } from './fleet-plan';
import type { PlanNeed, PlannedDomain } from './fleet-plan';
import { computeBusyServers, LoadForecast } from './load-forecast';
import { OrderBook } from './order-book';
import type { OrderOutcome } from './order-book';
import { SERVER_KINDS } from './types';
import type { DesiredServers, FleetCounts, LoadSample, ScalingBounds, ServerKind } from './types';

/** What is known of a service at one time. */
export interface ScalingInput {
  bounds: ScalingBounds;
  /** Servers that take requests, by failure domain and kind. */
  fleet: FleetCounts;
  load: LoadSample;
}

export type ScalingDecision =
  /** Nothing is ordered until enough is known. */
  | { kind: 'wait'; reason: string }
  | {
      kind: 'plan';
      desired: readonly DesiredServers[];
      /** Orders to be sent now. */
      due: readonly DesiredServers[];
      reason: string;
    };

/**
 * Share of busy slots and of prefill time up to which first tokens and pauses stay within their targets: near half, a prompt waits
 * for one other on average and a jump of load to the double is still served.
 */
const TARGET_OCCUPANCY = 0.5;
/** The same for the seconds until the servers of a reclaimed failure domain are replaced; prompts wait for more others. */
const MAX_OCCUPANCY = 0.7;
/** Margin over the forecast peak, for the error of loads that are up to 1.5 s old. */
const FORECAST_MARGIN = 1.1;
/** Time for which the load is observed before the first order, in milliseconds; the first reports of peers come within 2 s. */
const MIN_KNOWLEDGE_MS = 2_000;
/** Time for which the servers found at the start count as needed, in milliseconds; a full period of the load's swing. */
const PRIOR_MS = 18_000;
/** Longest interval between two observations, in milliseconds; after a longer one the load counts as unknown again. */
const MAX_GAP_MS = 5_000;
/** Time until an order has reached the platform and its servers are listed, on top of the boot time, in milliseconds. */
const ORDER_LAG_MS = 1_500;

/** Decides which servers are ordered for one service, while this instance holds the duty. */
export class ServiceScaler {
  private readonly forecast = new LoadForecast();
  private readonly book = new OrderBook();
  /** When the load became known without a gap since. */
  private startedAtMs: number | undefined;
  private observedAtMs = -Infinity;
  /** Largest number of servers seen before the first order. */
  private serversAtStart = 0;

  /** Takes in the servers and their load, and chooses what is ordered. */
  chooseOrders(input: ScalingInput, nowMs: number): ScalingDecision {
    const { bounds, fleet, load } = input;
    if (nowMs - this.observedAtMs > MAX_GAP_MS) {
      this.startedAtMs = undefined;
      this.serversAtStart = 0;
    }
    this.observedAtMs = nowMs;
    this.startedAtMs ??= nowMs;
    this.book.observe(fleet, nowMs, bounds.bootMs);
    this.forecast.record(computeBusyServers(load), nowMs);
    const ageMs = nowMs - this.startedAtMs;
    if (ageMs <= MIN_KNOWLEDGE_MS) {
      this.serversAtStart = Math.max(this.serversAtStart, this.#countPresent());
    }
    if (ageMs < MIN_KNOWLEDGE_MS) return { kind: 'wait', reason: 'the load is not known yet' };
    if (this.serversAtStart === 0) {
      this.startedAtMs = undefined;
      return { kind: 'wait', reason: 'no servers of the service are known' };
    }
    const peak = this.forecast.estimatePeak(nowMs, bounds.bootMs + ORDER_LAG_MS);
    const need = this.#computeNeed(peak, bounds, ageMs);
    const domains = this.#listDomains(bounds, 'present');
    const desired = computeDesiredServers({
      book: this.book,
      domains,
      plan: computeFleetPlan(domains, need),
      wantedPlan: computeFleetPlan(this.#listDomains(bounds, 'wanted'), need),
      need,
    });
    const due = this.book.selectDue(desired, nowMs, bounds.bootMs);
    return { kind: 'plan', desired, due, reason: this.#explainNeed(peak, need) };
  }

  recordSend(order: DesiredServers, nowMs: number): void {
    this.book.recordSend(order, nowMs);
  }

  recordOutcome(order: DesiredServers, outcome: OrderOutcome, nowMs: number): void {
    this.book.recordOutcome(order, outcome, nowMs);
  }

  /** Servers that take requests, as observed last. */
  countPresent(failureDomain: string, kind: ServerKind): number {
    return this.book.countPresent(failureDomain, kind);
  }

  /** Servers in the last accepted order, or those that were present before it. */
  countOrdered(failureDomain: string, kind: ServerKind): number {
    return this.book.countOrdered(failureDomain, kind);
  }

  #computeNeed(peak: number, bounds: ScalingBounds, ageMs: number): PlanNeed {
    const { minServers, maxServers } = bounds;
    const prior = ageMs < PRIOR_MS ? this.serversAtStart : 0;
    const busyServers = peak * FORECAST_MARGIN;
    return {
      total: Math.max(1, prior, Math.ceil(busyServers / TARGET_OCCUPANCY)),
      afterReclaim: Math.max(
        1,
        Math.ceil((prior * TARGET_OCCUPANCY) / MAX_OCCUPANCY),
        Math.ceil(busyServers / MAX_OCCUPANCY),
      ),
      ...{ minServers, maxServers },
    };
  }

  /** @param limitedTo whether servers that are not to be had are limited to those present, or taken as if they were to be had */
  #listDomains(bounds: ScalingBounds, limitedTo: 'present' | 'wanted'): PlannedDomain[] {
    const { maxServers, preemptiblePriceShare, priceByFailureDomain } = bounds;
    return this.book.listDomains().map((failureDomain) => {
      const price = priceByFailureDomain.get(failureDomain) ?? 1;
      const computeLimit = (kind: ServerKind) =>
        limitedTo === 'wanted' || this.book.isAvailable(failureDomain, kind)
          ? maxServers
          : this.book.countPresent(failureDomain, kind);
      return {
        failureDomain,
        prices: { preemptible: price * (preemptiblePriceShare ?? 1), 'on-demand': price },
        limits: {
          preemptible: preemptiblePriceShare === undefined ? 0 : computeLimit('preemptible'),
          'on-demand': computeLimit('on-demand'),
        },
      };
    });
  }

  #countPresent(): number {
    const { book } = this;
    return book
      .listDomains()
      .flatMap((domain) => SERVER_KINDS.map((kind) => book.countPresent(domain, kind)))
      .reduce((sum, count) => sum + count, 0);
  }

  #explainNeed(peak: number, need: PlanNeed): string {
    const unavailable = this.book
      .listDomains()
      .flatMap((domain) => SERVER_KINDS.map((kind) => ({ domain, kind })))
      .filter(({ domain, kind }) => !this.book.isAvailable(domain, kind))
      .map(({ domain, kind }) => `${kind} in ${domain}`);
    const text = `a peak of ${peak.toFixed(1)} busy servers needs ${need.total}, ${need.afterReclaim} after a reclaim`;
    return unavailable.length === 0 ? text : `${text}; not to be had: ${unavailable.join(', ')}`;
  }
}
