import type { FleetPlan, PlanNeed, PlannedDomain } from './fleet-plan';
import type { OrderBook } from './order-book';
import type { DesiredServers, ServerKind } from './types';

/** Servers are given back only if the plan costs less than this share of the current orders, so that orders do not swing. */
const MAX_KEPT_PRICE_SHARE = 0.9;
/**
 * Largest share of the servers that is given back in one step of a second, so that prompts whose cached prefixes are lost
 * with them are not all read again at the same time.
 */
const MAX_REMOVED_SHARE = 0.25;

/** What the orders of a service are to become, and what they are now. */
export interface DesiredContext {
  book: OrderBook;
  domains: readonly PlannedDomain[];
  /** Plan with the servers that are to be had. */
  plan: FleetPlan;
  /** Plan if servers of both kinds were to be had everywhere. */
  wantedPlan: FleetPlan;
  need: PlanNeed;
}

/**
 * Computes the next orders on the way to a plan: more servers are ordered at once, and others are given back as far as the
 * servers that take requests now cover the need without them.
 */
export function computeDesiredServers(context: DesiredContext): DesiredServers[] {
  const { maxServers } = context.need;
  const desired = computeLowered(computeRaised(context), context);
  const preemptible = new Map(
    desired
      .filter(({ kind }) => kind === 'preemptible')
      .map(({ failureDomain, count }) => [failureDomain, Math.min(count, maxServers)]),
  );
  // The bounds may be below what is present.
  return desired.map((order) => {
    const others = order.kind === 'preemptible' ? 0 : (preemptible.get(order.failureDomain) ?? 0);
    return { ...order, count: Math.min(order.count, maxServers - others) };
  });
}

/** Raises the orders to their targets, as far as the servers of the other kind leave room in the failure domain. */
function computeRaised(context: DesiredContext): DesiredServers[] {
  const { book, domains, need } = context;
  return domains.flatMap(({ failureDomain }) => {
    const onDemandOrdered = book.countOrdered(failureDomain, 'on-demand');
    const onDemandTarget = getTarget(context, failureDomain, 'on-demand');
    const preemptible = computePreemptible(context, failureDomain);
    const room = need.maxServers - preemptible;
    return [
      { failureDomain, kind: 'preemptible', count: preemptible },
      {
        ...{ failureDomain, kind: 'on-demand' },
        count: Math.max(onDemandOrdered, Math.min(onDemandTarget, room)),
      },
    ] satisfies DesiredServers[];
  });
}

function computePreemptible(context: DesiredContext, failureDomain: string): number {
  const { book, need } = context;
  const ordered = book.countOrdered(failureDomain, 'preemptible');
  const target = getTarget(context, failureDomain, 'preemptible');
  const onDemandOrdered = book.countOrdered(failureDomain, 'on-demand');
  if (book.isAvailable(failureDomain, 'preemptible')) {
    return Math.max(ordered, Math.min(target, need.maxServers - onDemandOrdered));
  }
  // Servers that are not to be had keep no place from those that make up for them.
  const onDemandTarget = getTarget(context, failureDomain, 'on-demand');
  const room = need.maxServers - Math.max(onDemandOrdered, onDemandTarget);
  const present = book.countPresent(failureDomain, 'preemptible');
  return Math.max(present, Math.min(Math.max(ordered, target), room));
}

/** Lowers the orders to their targets, the most expensive first. */
function computeLowered(
  raised: readonly DesiredServers[],
  context: DesiredContext,
): DesiredServers[] {
  const { domains, plan } = context;
  const priceOf = ({ failureDomain, kind }: DesiredServers) =>
    domains.find((domain) => domain.failureDomain === failureDomain)?.prices[kind] ?? 0;
  const price = raised.reduce((sum, order) => sum + order.count * priceOf(order), 0);
  if (plan.price > price * MAX_KEPT_PRICE_SHARE) return [...raised];
  const lowered = raised.map((order) => ({ ...order }));
  const { book } = context;
  const staying = new ServerTotals(book, (domain, kind) => book.countStaying(domain, kind));
  const expected = new ServerTotals(
    book,
    (domain, kind) => book.countStaying(domain, kind) + book.countBooting(domain, kind),
  );
  for (const order of [...lowered].sort((one, other) => priceOf(other) - priceOf(one))) {
    withdrawServers(order, lowered, { staying, expected }, context);
  }
  return lowered;
}

function withdrawServers(
  order: DesiredServers,
  all: readonly DesiredServers[],
  { staying, expected }: { staying: ServerTotals; expected: ServerTotals },
  context: DesiredContext,
): void {
  const { need, book } = context;
  const { failureDomain, kind } = order;
  const countInDomain = () =>
    all
      .filter((other) => other.failureDomain === failureDomain)
      .reduce((sum, { count }) => sum + count, 0);
  const target = getTarget(context, failureDomain, kind);
  // Servers that occupy the place of preemptible ones are given back as long as the others outlast a reclaim.
  const preemptibleTarget = getTarget(context, failureDomain, 'preemptible');
  const isBlocking = () =>
    kind === 'on-demand' && preemptibleTarget + order.count > need.maxServers;
  const present = book.countStaying(failureDomain, kind);
  const booting = book.countBooting(failureDomain, kind);
  while (order.count > target && countInDomain() > need.minServers) {
    const required = { ...need, total: isBlocking() ? 0 : need.total };
    // Servers that are not to be had are withdrawn without harm, and those that boot if the others are enough.
    if (order.count <= present + booting) {
      const totals = order.count > present ? expected : staying;
      if (!totals.isCoveredWithout(failureDomain, kind, required)) return;
      totals.remove(failureDomain, kind);
      if (totals === staying) expected.remove(failureDomain, kind);
    }
    order.count -= 1;
  }
}

/** An order that finds no servers is repeated as if there were some; the others make up for it. */
function getTarget(context: DesiredContext, failureDomain: string, kind: ServerKind): number {
  const { book, plan, wantedPlan } = context;
  const { counts } = book.isAvailable(failureDomain, kind) ? plan : wantedPlan;
  return counts.get(failureDomain)?.[kind] ?? 0;
}

/** Servers that take requests or are expected to, less those that are given back in this step. */
class ServerTotals {
  private total = 0;
  /** Servers that may still be given back in this step. */
  private removable: number;
  private readonly preemptible = new Map<string, number>();

  constructor(book: OrderBook, count: (failureDomain: string, kind: ServerKind) => number) {
    for (const failureDomain of book.listDomains()) {
      const preemptible = count(failureDomain, 'preemptible');
      this.preemptible.set(failureDomain, preemptible);
      this.total += preemptible + count(failureDomain, 'on-demand');
    }
    this.removable = Math.ceil(this.total * MAX_REMOVED_SHARE);
  }

  /** Whether the need is still covered with one server less. */
  isCoveredWithout(
    failureDomain: string,
    kind: ServerKind,
    need: Pick<PlanNeed, 'total' | 'afterReclaim'>,
  ): boolean {
    if (this.removable === 0) return false;
    const losses = [...this.preemptible].map(([domain, count]) =>
      domain === failureDomain && kind === 'preemptible' ? count - 1 : count,
    );
    const total = this.total - 1;
    return total >= need.total && total - Math.max(0, ...losses) >= need.afterReclaim;
  }

  remove(failureDomain: string, kind: ServerKind): void {
    this.total -= 1;
    this.removable -= 1;
    if (kind === 'on-demand') return;
    this.preemptible.set(failureDomain, (this.preemptible.get(failureDomain) ?? 0) - 1);
  }
}
