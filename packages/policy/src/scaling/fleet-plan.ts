import { SERVER_KINDS } from './types';
import type { KindCounts, ServerKind } from './types';

/** A failure domain in which a service can have servers. */
export interface PlannedDomain {
  failureDomain: string;
  /** Price of a server by kind. */
  prices: KindCounts;
  /** Largest number of servers by kind, since no more are to be had. */
  limits: KindCounts;
}

/** What a plan has to cover, in servers. */
export interface PlanNeed {
  /** Servers while all are there. */
  total: number;
  /** Servers that are left when all preemptible ones of any one failure domain are reclaimed. */
  afterReclaim: number;
  /** Bounds for each failure domain, both kinds together. */
  minServers: number;
  maxServers: number;
}

export interface FleetPlan {
  counts: ReadonlyMap<string, KindCounts>;
  /** Price of all servers of the plan. */
  price: number;
  /**
   * Servers that are missing because of the bounds or because none are to be had, while all are there and after a reclaim; 0 if
   * the need is covered.
   */
  shortfall: number;
}

/** An even spread is taken although an uneven one is cheaper by less than this share, since it loses less with one domain. */
const EVENNESS_SHARE = 0.02;

/**
 * Computes the cheapest plan that covers the need. Each plan limits the preemptible servers in one failure domain, so that
 * their loss is covered by one sum over all domains, which the cheapest servers fill first.
 */
export function computeFleetPlan(domains: readonly PlannedDomain[], need: PlanNeed): FleetPlan {
  const largest = Math.max(0, ...domains.map(({ limits }) => limits.preemptible));
  const lastLimit = Math.min(largest, need.maxServers, Math.max(need.total, need.minServers));
  const plans = Array.from({ length: lastLimit + 1 }, (_, limit) =>
    computePlanWithin(domains, need, limit),
  );
  const shortfall = Math.min(...plans.map((plan) => plan.shortfall));
  const closest = plans.filter((plan) => plan.shortfall === shortfall);
  const lowestPrice = Math.min(...closest.map(({ price }) => price));
  const even = closest.find(({ price }) => price <= lowestPrice * (1 + EVENNESS_SHARE));
  return even ?? computePlanWithin(domains, need, 0);
}

/** Fills the need with at most `preemptibleLimit` preemptible servers in each failure domain. */
function computePlanWithin(
  domains: readonly PlannedDomain[],
  need: PlanNeed,
  preemptibleLimit: number,
): FleetPlan {
  const { minServers, maxServers } = need;
  const counts = new Map(domains.map(({ failureDomain }) => [failureDomain, makeCounts()]));
  let missing = Math.max(need.total, need.afterReclaim + preemptibleLimit);
  let price = 0;
  const add = ({ domain, kind }: Offer, wanted: number, upTo: number) => {
    const current = counts.get(domain.failureDomain);
    if (current === undefined || wanted <= 0) return;
    const kindLimit =
      kind === 'preemptible'
        ? Math.min(domain.limits.preemptible, preemptibleLimit)
        : domain.limits['on-demand'];
    const room = Math.min(
      kindLimit - current[kind],
      upTo - current.preemptible - current['on-demand'],
    );
    const added = Math.max(0, Math.min(wanted, room));
    current[kind] += added;
    missing -= added;
    price += added * domain.prices[kind];
  };
  const offers = listOffers(domains);
  for (const offer of offers) add(offer, minServers, minServers);
  for (const offer of offers) add(offer, missing, maxServers);
  return { counts, price, shortfall: computeShortfall(counts, need, preemptibleLimit) };
}

function computeShortfall(
  counts: ReadonlyMap<string, KindCounts>,
  need: PlanNeed,
  preemptibleLimit: number,
): number {
  const total = [...counts.values()].reduce(
    (sum, each) => sum + each.preemptible + each['on-demand'],
    0,
  );
  const missing = Math.max(0, need.total - total);
  return missing + Math.max(0, need.afterReclaim + preemptibleLimit - total);
}

interface Offer {
  domain: PlannedDomain;
  kind: ServerKind;
}

/** Lists the kinds of all failure domains, the cheapest first. */
function listOffers(domains: readonly PlannedDomain[]): Offer[] {
  return domains
    .flatMap((domain) => SERVER_KINDS.map((kind) => ({ domain, kind })))
    .sort((one, other) => one.domain.prices[one.kind] - other.domain.prices[other.kind]);
}

function makeCounts(): Record<ServerKind, number> {
  return { preemptible: 0, 'on-demand': 0 };
}
