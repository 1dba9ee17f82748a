import type { DesiredServers, LoadSample, OrderOutcome, ScalingBounds } from '../../src';
import { ServiceScaler } from '../../src';
import type { KindCounts, ServerKind } from '../../src';

const STEP_MS = 1_000;
const SLOTS = 64;
/** Requests that servers hold beyond their slots before more are turned away, as a factor. */
const MAX_HELD = 1.5;
const RECLAIM_NOTICE_MS = 2_000;

export const BOUNDS: ScalingBounds = {
  minServers: 0,
  maxServers: 40,
  bootMs: 4_000,
  preemptiblePriceShare: 0.22,
  priceByFailureDomain: new Map([
    ['a', 0.85],
    ['b', 1.2],
    ['c', 1],
    ['d', 1.1],
  ]),
};

interface SimulatedServer {
  failureDomain: string;
  kind: ServerKind;
  readyAtMs: number;
  /** Time from which it takes no requests. */
  leavesAtMs: number;
}

/** Preemptible servers of a failure domain that vanish, and where none are to be had for some time. */
export interface Reclaim {
  atMs: number;
  failureDomain: string;
  unavailableIn: readonly string[];
  unavailableForMs: number;
}

export interface FleetScenario {
  durationMs: number;
  /** Servers in each failure domain at the start, all of them on demand. */
  startServers: number;
  bounds?: ScalingBounds;
  domains?: readonly string[];
  /** Work in fully busy servers. */
  computeDemand(nowMs: number): number;
  reclaim?: Reclaim;
  /** Time at which every fourth server ends; the platform starts them again after the boot time. */
  crashAtMs?: number;
  /** Outcome of an order other than that of a reclaim; accepted by default. */
  judgeOrder?(order: DesiredServers, nowMs: number): OrderOutcome;
  isFleetKnown?(nowMs: number): boolean;
}

export interface FleetStep {
  nowMs: number;
  demand: number;
  /** Servers that take requests. */
  ready: number;
  onDemand: number;
  byDomain: ReadonlyMap<string, KindCounts>;
  price: number;
  orders: readonly DesiredServers[];
  reason: string;
}

/** Servers that boot in a fixed time and are observed a step late, and a load that depends only on the time. */
export function simulateFleet(scenario: FleetScenario): FleetStep[] {
  const bounds = scenario.bounds ?? BOUNDS;
  const domains = scenario.domains ?? ['a', 'b', 'c', 'd'];
  const scaler = new ServiceScaler();
  let servers: SimulatedServer[] = domains.flatMap((failureDomain) =>
    Array.from({ length: scenario.startServers }, () => ({
      ...{ failureDomain, kind: 'on-demand' as const, readyAtMs: 0, leavesAtMs: Infinity },
    })),
  );
  const steps: FleetStep[] = [];
  let observed: ReadonlyMap<string, KindCounts> | undefined;
  for (let nowMs = 0; nowMs < scenario.durationMs; nowMs += STEP_MS) {
    applyEvents(scenario, servers, nowMs, bounds.bootMs);
    servers = servers.filter(({ leavesAtMs }) => leavesAtMs > nowMs);
    const ready = servers.filter(({ readyAtMs }) => readyAtMs <= nowMs);
    const byDomain = countServers(ready, domains);
    const demand = scenario.computeDemand(nowMs);
    const isKnown = scenario.isFleetKnown?.(nowMs) ?? true;
    const decision = isKnown
      ? scaler.chooseOrders(
          {
            bounds,
            fleet: observed ?? byDomain,
            load: makeLoad(Math.min(demand, ready.length * MAX_HELD)),
          },
          nowMs,
        )
      : ({ kind: 'wait', reason: 'unknown' } as const);
    const orders = decision.kind === 'plan' ? decision.due : [];
    for (const order of orders) {
      scaler.recordSend(order, nowMs);
      const outcome = judgeOrder(scenario, order, nowMs);
      if (outcome === 'accepted') servers = applyOrder(servers, order, nowMs, bounds.bootMs);
      scaler.recordOutcome(order, outcome, nowMs);
    }
    observed = byDomain;
    const onDemand = ready.filter(({ kind }) => kind === 'on-demand').length;
    const price = computePrice(servers, bounds);
    const { reason } = decision;
    steps.push({
      ...{ nowMs, demand, ready: ready.length, onDemand, byDomain, price, orders, reason },
    });
  }
  return steps;
}

function makeLoad(busyServers: number): LoadSample {
  return {
    slotsPerServer: SLOTS,
    running: busyServers * SLOTS,
    waiting: 0,
    prefillUtilization: busyServers * 0.8,
    queuedPrefillMs: 0,
  };
}

function applyEvents(
  { reclaim, crashAtMs }: FleetScenario,
  servers: SimulatedServer[],
  nowMs: number,
  bootMs: number,
): void {
  if (reclaim?.atMs === nowMs) {
    for (const server of servers) {
      if (server.kind === 'preemptible' && server.failureDomain === reclaim.failureDomain) {
        server.leavesAtMs = Math.min(server.leavesAtMs, nowMs);
      }
    }
  }
  if (crashAtMs !== nowMs) return;
  for (const [index, server] of servers.entries()) {
    if (index % 4 === 0) server.readyAtMs = nowMs + bootMs;
  }
}

function judgeOrder(
  { reclaim, judgeOrder: judge }: FleetScenario,
  order: DesiredServers,
  nowMs: number,
): OrderOutcome {
  const isGone =
    reclaim !== undefined &&
    order.kind === 'preemptible' &&
    reclaim.unavailableIn.includes(order.failureDomain) &&
    nowMs >= reclaim.atMs &&
    nowMs < reclaim.atMs + RECLAIM_NOTICE_MS + reclaim.unavailableForMs;
  return isGone ? 'unavailable' : (judge?.(order, nowMs) ?? 'accepted');
}

function applyOrder(
  servers: readonly SimulatedServer[],
  { failureDomain, kind, count }: DesiredServers,
  nowMs: number,
  bootMs: number,
): SimulatedServer[] {
  const isConcerned = (server: SimulatedServer) =>
    server.failureDomain === failureDomain && server.kind === kind;
  const kept = servers.filter(isConcerned).slice(0, count);
  const added = Array.from({ length: count - kept.length }, () => ({
    ...{ failureDomain, kind, readyAtMs: nowMs + bootMs, leavesAtMs: Infinity },
  }));
  return [...servers.filter((server) => !isConcerned(server)), ...kept, ...added];
}

function countServers(
  servers: readonly SimulatedServer[],
  domains: readonly string[],
): Map<string, KindCounts> {
  const count = (failureDomain: string, kind: ServerKind) =>
    servers.filter((server) => server.failureDomain === failureDomain && server.kind === kind)
      .length;
  return new Map(
    domains.map((domain) => [
      domain,
      { preemptible: count(domain, 'preemptible'), 'on-demand': count(domain, 'on-demand') },
    ]),
  );
}

function computePrice(servers: readonly SimulatedServer[], bounds: ScalingBounds): number {
  return servers.reduce((sum, { failureDomain, kind }) => {
    const price = bounds.priceByFailureDomain.get(failureDomain) ?? 1;
    return sum + (kind === 'preemptible' ? price * (bounds.preemptiblePriceShare ?? 1) : price);
  }, 0);
}
