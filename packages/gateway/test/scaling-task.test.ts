import { InstanceGroups, LoadTable } from '@pollendrum/policy';
import { Registry } from 'prom-client';
import { expect, test } from 'vitest';
import type { DutyCallResult, Fence, ServerOrder, Service } from '../src';
import { createScalingMetrics } from '../src/scaling/scaling-metrics';
import { ScalingTask } from '../src/scaling/scaling-task';
import { observeService } from '../src/scaling/service-observer';
import { ServerRegistry } from '../src/server-registry';
import {
  createTestLog,
  makeBundle,
  makeServer,
  sendRequest,
  startTestGateway,
  waitUntil,
} from './gateway-fixture';
import type { LogLine } from './gateway-fixture';

const SERVICE: Service = {
  name: 'engines',
  maxConnections: 100,
  engine: undefined,
  scaling: {
    minServers: 0,
    maxServers: 20,
    bootMs: 4_000,
    preemptiblePriceShare: 0.22,
    priceByFailureDomain: new Map(),
  },
};
const FENCE: Fence = { owner: 'entry-1', token: 7, era: 0 };
const DOMAINS = ['a', 'b', 'c', 'd'];

/** A task with a clock that tests advance, servers in a registry and a platform that accepts by default. */
class TaskFixture {
  nowMs = 0;
  fence: Fence | undefined = FENCE;
  isServerListUsable = true;
  services: Service[] = [SERVICE];
  readonly leaving = new Set<string>();
  readonly registry = new ServerRegistry(() => undefined);
  readonly loads = new LoadTable();
  readonly groups = new InstanceGroups('entry-1');
  readonly orders: { atMs: number; order: ServerOrder; fence: Fence }[] = [];
  readonly refusals: Fence[] = [];
  readonly lines: LogLine[] = [];
  readonly metrics = new Registry();
  judgeOrder: (order: ServerOrder) => DutyCallResult = () => ({ kind: 'accepted' });
  verifyFence: (() => Promise<boolean>) | undefined;
  readonly task = new ScalingTask({
    holder: {
      getFence: () => this.fence,
      recordRefusal: (fence) => this.refusals.push(fence),
      verifyFence: () => this.verifyFence?.() ?? Promise.resolve(true),
      getHolderId: () => this.fence?.owner,
      onChange: () => undefined,
    },
    calls: {
      orderServers: (fence, order) => {
        this.orders.push({ atMs: this.nowMs, order, fence });
        return Promise.resolve(this.judgeOrder(order));
      },
    },
    ...{ registry: this.registry, loads: this.loads, groups: this.groups },
    availability: {
      judge: ({ serverId }) => ({ kind: this.leaving.has(serverId) ? 'leaving' : 'available' }),
    },
    clock: () => this.nowMs,
    log: createTestLog(this.lines),
    metrics: createScalingMetrics(this.metrics),
    listServices: () => this.services,
    isServerListUsable: () => this.isServerListUsable,
  });

  constructor(serversPerDomain = 3) {
    for (const failureDomain of DOMAINS) {
      for (let index = 0; index < serversPerDomain; index += 1)
        this.addServer(failureDomain, index);
    }
  }

  addServer(failureDomain: string, index: number, isPreemptible = false): void {
    const serverId = `${isPreemptible ? 'spare' : 'base'}-${failureDomain}-${index}`;
    this.registry.put({ ...makeServer(serverId, 'engines', 1), failureDomain, isPreemptible });
  }

  async runSeconds(seconds: number): Promise<void> {
    for (let index = 0; index < seconds; index += 1) {
      this.task.runTick();
      await new Promise(setImmediate);
      this.nowMs += 1_000;
    }
  }

  countOrders(isPreemptible: boolean): number {
    return this.orders.filter(({ order }) => order.isPreemptible === isPreemptible).length;
  }
}

test('servers are replaced by preemptible ones, which take requests first', async () => {
  const fixture = new TaskFixture();
  await fixture.runSeconds(6);
  expect(fixture.orders.map(({ order }) => order)).toEqual(
    DOMAINS.map((failureDomain) => ({
      ...{ service: 'engines', failureDomain, count: 3, isPreemptible: true },
    })),
  );
  for (const domain of DOMAINS)
    [0, 1, 2].forEach((index) => fixture.addServer(domain, index, true));
  await fixture.runSeconds(3);
  const lowered = fixture.orders.slice(4).map(({ order }) => order);
  expect(lowered.every(({ isPreemptible }) => !isPreemptible)).toBe(true);
  const last = new Map(lowered.map(({ failureDomain, count }) => [failureDomain, count]));
  expect([...last].sort()).toEqual(DOMAINS.map((failureDomain) => [failureDomain, 0]));
  // A quarter of the 24 servers at a time.
  expect(lowered.slice(0, 2).map(({ count }) => count)).toEqual([0, 0]);
  expect(fixture.orders.filter(({ atMs }) => atMs === 6_000)).toHaveLength(2);
  expect(fixture.orders.every(({ fence }) => fence === FENCE)).toBe(true);
  expect(fixture.lines.map(({ message }) => message)).toContain('backend servers ordered');
  const text = await fixture.metrics.metrics();
  expect(text).toContain(
    'pollendrum_servers_present{service="engines",failure_domain="a",kind="preemptible"} 3',
  );
  expect(text).toContain('pollendrum_server_orders_total{service="engines",result="accepted"} 9');
});

// Guards against orders by an instance that may not order, or that does not know the servers.
test.each<{ name: string; prepare: (fixture: TaskFixture) => void }>([
  { name: 'it does not hold the duties', prepare: (fixture) => (fixture.fence = undefined) },
  {
    name: 'the list of servers is out of date',
    prepare: (fixture) => (fixture.isServerListUsable = false),
  },
  {
    name: 'no scaling is configured',
    prepare: (fixture) => (fixture.services = [{ ...SERVICE, scaling: undefined }]),
  },
  {
    name: 'no servers are known',
    prepare: (fixture) => {
      fixture.registry.replaceAll([], 0, { era: 0, revision: 1 });
    },
  },
])('nothing is ordered while $name', async ({ prepare }) => {
  const fixture = new TaskFixture();
  prepare(fixture);
  await fixture.runSeconds(10);
  expect(fixture.orders).toEqual([]);
});

// Guards against a new holder that orders before it knows the load, or trusts what it knew in an earlier term.
test('a new term begins with two seconds of observation', async () => {
  const fixture = new TaskFixture();
  await fixture.runSeconds(3);
  expect(fixture.orders).toHaveLength(4);
  fixture.fence = undefined;
  await fixture.runSeconds(1);
  fixture.fence = { ...FENCE, token: 9 };
  await fixture.runSeconds(2);
  expect(fixture.orders).toHaveLength(4);
  await fixture.runSeconds(1);
  expect(fixture.orders.slice(4).map(({ fence }) => fence.token)).toEqual([9, 9, 9, 9]);
});

test.each<{ name: string; isHeld: boolean; refusals: Fence[]; outcome: string }>([
  { name: 'no servers are to be had', isHeld: true, refusals: [], outcome: 'unavailable' },
  { name: 'the lease is lost', isHeld: false, refusals: Array(4).fill(FENCE), outcome: 'fenced' },
])('a refusal while $name', async ({ isHeld, refusals, outcome }) => {
  const fixture = new TaskFixture();
  fixture.judgeOrder = () => ({ kind: 'refused' });
  fixture.verifyFence = () => Promise.resolve(isHeld);
  await fixture.runSeconds(3);
  expect(fixture.refusals).toEqual(refusals);
  expect(fixture.lines.map(({ fields }) => fields['outcome'])).toContain(outcome);
  if (!isHeld) return;
  // Not repeated for three seconds.
  expect(fixture.countOrders(true)).toBe(4);
  await fixture.runSeconds(2);
  expect(fixture.countOrders(true)).toBe(4);
  await fixture.runSeconds(1);
  expect(fixture.countOrders(true)).toBe(8);
});

test.each<DutyCallResult>([{ kind: 'throttled' }, { kind: 'unknown', error: 'no response' }])(
  'an order is repeated after the result $kind',
  async (result) => {
    const fixture = new TaskFixture();
    fixture.judgeOrder = () => result;
    await fixture.runSeconds(4);
    expect(fixture.countOrders(true)).toBe(8);
    // Repeated results are logged once for each order.
    expect(fixture.lines.filter(({ level }) => level === 'warn')).toHaveLength(4);
  },
);

// Guards against orders that use up the calls that the platform accepts from all duties together.
test('at most 20 orders are sent in a second', async () => {
  const fixture = new TaskFixture();
  fixture.services = Array.from({ length: 10 }, (_, index) => ({ ...SERVICE, name: `s-${index}` }));
  for (const { name } of fixture.services) {
    for (const failureDomain of DOMAINS) {
      fixture.registry.put({ ...makeServer(`${name}-${failureDomain}`, name, 1), failureDomain });
    }
  }
  await fixture.runSeconds(3);
  expect(fixture.orders).toHaveLength(20);
  await fixture.runSeconds(1);
  expect(fixture.orders).toHaveLength(40);
});

// Guards against a holder in one of several groups that takes its group's load for that of all servers.
test.each([
  { instances: 1, servers: 4 },
  { instances: 100, servers: 60 },
  { instances: 100, servers: 6 },
])(
  'the load of $servers servers is estimated in a fleet of $instances',
  ({ instances, servers }) => {
    const { registry, loads, groups } = new TaskFixture(0);
    groups.update(Array.from({ length: instances }, (_, index) => `entry-${index + 1}`));
    const ids = Array.from({ length: servers }, (_, index) => `server-${index}`);
    for (const serverId of ids) registry.put(makeServer(serverId, 'engines', 1));
    const load = {
      ...{ queuedPrefillMs: 10, waiting: 0, streaming: 1, pauseSensitive: 0, heldTokens: 0 },
      ...{ shortShare: 0.1, longShare: 0, dueInMs: undefined },
    };
    const known = groups.selectServers(registry.listReady('engines'));
    const peers = groups.countMembers() - 1;
    for (let peer = 0; peer < Math.max(1, peers); peer += 1) {
      loads.mergePeerReport(
        `peer-${peer}`,
        new Map(known.map((server) => [server.serverId, load])),
        0,
      );
    }
    const observation = observeService(
      { registry, loads, groups, availability: { judge: () => ({ kind: 'available' }) } },
      ...(['engines', 0] as const),
    );
    // In a divided fleet only the members of a group use a server, otherwise all other instances do.
    const users = groups.isDivided(servers) ? peers : Math.max(1, instances - 1);
    expect(observation?.load.running).toBeCloseTo(servers * users, 0);
    expect(observation?.load.queuedPrefillMs).toBeCloseTo(servers * users * 10, -1);
  },
);

test('servers that leave are not counted', () => {
  const { registry, loads, groups } = new TaskFixture(2);
  const availability = {
    judge: ({ serverId }: { serverId: string }) =>
      ({ kind: serverId.includes('-a-') ? 'leaving' : 'available' }) as const,
  };
  const observation = observeService({ registry, loads, groups, availability }, 'engines', 0);
  expect([...(observation?.fleet.keys() ?? [])]).toEqual(['b', 'c', 'd']);
});

// Guards against a task that a gateway does not start, or starts although the platform asks for no orders.
test.each([
  { name: 'sends orders', kinds: ['server-orders'] as const, orderCount: 1 },
  { name: 'sends no orders', kinds: ['usage-reports'] as const, orderCount: 0 },
])('a gateway that holds duties of kind $kinds $name', async ({ kinds, orderCount }) => {
  const scaling = SERVICE.scaling && { ...SERVICE.scaling, minServers: 2 };
  const orders: ServerOrder[] = [];
  const accept = (): Promise<DutyCallResult> => Promise.resolve({ kind: 'accepted' });
  const orderServers = (_: Fence, order: ServerOrder) => {
    orders.push(order);
    return accept();
  };
  const calls = { orderServers, reportUsage: accept };
  await using running = await startTestGateway({
    bundle: makeBundle({ services: [{ ...SERVICE, scaling }] }),
    servers: [makeServer('one', 'engines', 1)],
    duties: {
      ...{ calls, kinds },
      settings: { address: '127.0.0.1:1', names: [], callsPerSecond: 10, leaseMs: 300 },
    },
  });
  if (orderCount > 0) await waitUntil(() => orders.length > 0);
  else await new Promise((resolve) => setTimeout(resolve, 6_000));
  expect(orders).toHaveLength(orderCount);
  const { body } = await sendRequest(running.metricsPort, '/', { method: 'GET' });
  expect(body.includes('pollendrum_servers_present{service="engines"')).toBe(orderCount > 0);
});
