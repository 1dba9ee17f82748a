/**
 * The trade-off between affinity to cached prompt prefixes and even load.
 *
 * Prefilling a shared prefix again costs prefill time (4.9 million tokens on a bad day), an uneven choice costs waiting.
 * Both are expressed as a cost of placement, in which 1 corresponds to one request that is certain to miss its target.
 * The other instances see nearly the same loads and choose at the same time, so the load of a server is raised to the
 * level that it is expected to reach by their choices before it is weighed against a cached prefix.
 */

/**
 * Cost reduction for the affinity server. It is below the cost of prefilling shared parts again, so that affinity only
 * decides where shared parts are prefilled first.
 */
export const AFFINITY_WEIGHT = 0.1;
/** Cost of prefilling tokens that another server has cached, per thousand tokens. */
export const RECOMPUTE_WEIGHT = 0.12;
/** Cost of fetching cached tokens from another server instead of prefilling them, per thousand tokens. */
export const FETCH_WEIGHT = 0.01;

/** Costs that differ by less count as equal. */
const COST_TOLERANCE = 1e-6;

/** Cost of placing a request on a server, divided by its causes. */
export interface SplitCost {
  /** Cost that every request of this kind has on the server, because of the server's load and state. */
  loadCost: number;
  /** Cost, or reduction if it is negative, because of what the server has cached of this prompt. */
  cacheCost: number;
}

/**
 * Chooses a server by its cost after the requests that other instances have probably placed since their last reports.
 * Together these requests raise the costs of the cheapest servers by `unseenCost`, which is what choosers reach that
 * all choose by this function: they fill the servers up to a common level. Servers whose costs are equal then are chosen
 * in proportion to their distance from that level. Without unseen requests the lowest cost wins.
 *
 * @param random from 0 (inclusive) to 1 (exclusive)
 */
export function chooseEvenly<T extends SplitCost>(
  servers: readonly T[],
  unseenCost: number,
  random: number,
): T | undefined {
  const level = unseenCost > 0 ? computeFillLevel(servers, unseenCost) : -Infinity;
  let best: T | undefined;
  let bestCost = Infinity;
  let tiedWeight = 0;
  for (const server of servers) {
    const cost = Math.max(server.loadCost, level) + server.cacheCost;
    if (cost > bestCost + COST_TOLERANCE) continue;
    if (cost < bestCost - COST_TOLERANCE) {
      best = server;
      bestCost = cost;
      tiedWeight = 0;
    }
    tiedWeight += Math.max(0, level - server.loadCost);
  }
  if (tiedWeight === 0) return best;
  let remaining = random * tiedWeight;
  for (const server of servers) {
    const cost = Math.max(server.loadCost, level) + server.cacheCost;
    if (Math.abs(cost - bestCost) > COST_TOLERANCE) continue;
    remaining -= Math.max(0, level - server.loadCost);
    if (remaining < 0) return server;
  }
  return best;
}

/** Level to which the lowest costs rise if they are raised by `unseenCost` in total. */
function computeFillLevel(servers: readonly SplitCost[], unseenCost: number): number {
  const costs = servers.map(({ loadCost }) => loadCost).sort((one, other) => one - other);
  let sum = 0;
  let level = Infinity;
  for (const [index, cost] of costs.entries()) {
    if (cost >= level) break;
    sum += cost;
    level = (unseenCost + sum) / (index + 1);
  }
  return level;
}
