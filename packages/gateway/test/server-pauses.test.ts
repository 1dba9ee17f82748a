import { setTimeout as sleep } from 'node:timers/promises';
import { expect, test } from 'vitest';
import type { RouteBundle } from '../src';
import { FakeStore } from './fake-store';
import { startGatewayFleet } from './gateway-fleet';
import { makeBundle, makeRoute, waitUntil } from './gateway-fixture';
import type { CallerResponse, TestGateway } from './gateway-fixture';
import {
  countMostInPause,
  findBusiest,
  sendTo,
  sendTraffic,
  startPausingServers,
} from './pausing-servers';
import type { Refusal } from './pausing-servers';

/** Requests of one instance that may reach a server in a pause. */
const MAX_IN_PAUSE = 2;
/** Time at which the busiest server begins to turn requests away, after the start of the traffic. */
const REFUSING_FROM_MS = 300;
const MIN_REFUSALS = 2;
const INTERVAL_MS = 15;
/** Time in which a server answers, so that requests overlap and all servers are used. */
const SERVICE_MS = 100;
const BUSY_INSTANCES = 8;
const MS_PER_SECOND = 1_000;

const refuse = (seconds: number, overrides: Partial<Refusal> = {}): Refusal => ({
  ...{ retryAfter: [String(seconds)], spanMs: seconds * MS_PER_SECOND, isNotRun: true },
  ...overrides,
});

function makeDateRefusal(): Refusal {
  const untilMs = Math.floor(Date.now() / MS_PER_SECOND + 3) * MS_PER_SECOND;
  return refuse(0, {
    retryAfter: [new Date(untilMs).toUTCString()],
    spanMs: untilMs - Date.now(),
  });
}

/** Makes a configuration in which no request is refused since it is expected to take too long. */
function makePatientBundle(): RouteBundle {
  const routes = makeBundle().routes.map((route) => ({
    ...route,
    ...{ targetLatencyMs: 1_000, timeoutMs: 10_000 },
  }));
  return makeBundle({ routes });
}

interface PauseCase {
  name: string;
  instances: number;
  path: string;
  makeRefusal(count: number): Refusal;
  /** Time for which the busiest server turns requests away, or longer until it has turned away a few. */
  refusingMs: number;
  /** Duration of the traffic after that. */
  tailMs: number;
  /** Time after that from which the server is used again; undefined if it is not. */
  usedAfterMs: number | undefined;
  /** Share of the requests that is served. Retries have a budget, so that some first requests are refused. */
  minServedShare: number;
}

const sixInstances = { instances: 6, path: '/orders/1', minServedShare: 0.9 };
const longRefusal = { refusingMs: 2_500, tailMs: 4_500, usedAfterMs: 3_200 };
const shortRefusal = { refusingMs: 700, tailMs: 5_500, usedAfterMs: 4_200 };

const cases: PauseCase[] = [
  {
    name: 'plain requests, 6 instances',
    ...sixInstances,
    ...longRefusal,
    makeRefusal: () => refuse(2),
  },
  {
    ...{ name: 'plain requests, 62 instances', ...sixInstances, ...longRefusal, instances: 62 },
    ...{ makeRefusal: () => refuse(2), minServedShare: 0.7 },
  },
  {
    ...{ name: 'streams, 6 instances', ...sixInstances, ...longRefusal, path: '/chat/1' },
    makeRefusal: () => refuse(2),
  },
  {
    ...{ name: 'streams, 62 instances', ...sixInstances, ...longRefusal, instances: 62 },
    ...{ path: '/chat/1', makeRefusal: () => refuse(2), minServedShare: 0.7 },
  },
  {
    ...{ name: 'no proof that the request was not run', ...sixInstances, ...longRefusal },
    ...{ path: '/stock/1', makeRefusal: () => refuse(2, { isNotRun: false }) },
  },
  {
    ...{ name: 'no proof that the stream was not run', ...sixInstances, ...longRefusal },
    ...{ path: '/plan/1', makeRefusal: () => refuse(2, { isNotRun: false }) },
  },
  {
    // Requests that are turned away together are told different times.
    ...{ name: 'a long pause, then a short one', ...sixInstances, ...shortRefusal, instances: 2 },
    makeRefusal: (count) => refuse(count % 2 === 0 ? 3 : 0.6, { delayMs: 200 }),
  },
  {
    ...{ name: 'several headers', ...sixInstances, ...shortRefusal },
    makeRefusal: () => refuse(3, { retryAfter: ['1', '3', 'soon', '2'] }),
  },
  {
    ...{ name: 'a decimal number', ...sixInstances, ...shortRefusal },
    makeRefusal: () => refuse(2.75, { retryAfter: ['2.75'] }),
  },
  { name: 'a date', ...sixInstances, ...shortRefusal, makeRefusal: makeDateRefusal },
  {
    ...{ name: 'a huge number', ...sixInstances, ...shortRefusal, usedAfterMs: undefined },
    makeRefusal: () => refuse(1e30, { retryAfter: ['1' + '0'.repeat(30)] }),
  },
  ...['0', '-5', 'soon', ''].map((text) => ({
    ...{ name: `unusable text '${text}'`, ...sixInstances, ...shortRefusal },
    ...{ tailMs: 2_000, usedAfterMs: 500 },
    makeRefusal: () => refuse(0, { retryAfter: [text] }),
  })),
];

// Guards against servers that get requests although they have asked for none, and against servers that are not used any more.
test.each(cases)(
  'a server that asks for a pause gets none until its end, and is used afterwards: $name',
  async ({ name, instances, path, makeRefusal, refusingMs, tailMs, ...expected }) => {
    const store = new FakeStore();
    let startedAtMs = Infinity;
    let refusingIndex: number | undefined;
    let stoppedAtMs = Infinity;
    const getRecord = () => servers.records[refusingIndex ?? 0] ?? { arrivals: [], pauses: [] };
    const isRefusing = () => {
      const nowMs = performance.now();
      const hasRefused = getRecord().pauses.length >= MIN_REFUSALS;
      if (hasRefused && nowMs >= startedAtMs + REFUSING_FROM_MS + refusingMs)
        stoppedAtMs = Math.min(stoppedAtMs, nowMs);
      return nowMs >= startedAtMs + REFUSING_FROM_MS && nowMs < stoppedAtMs;
    };
    const service = path.startsWith('/chat/') || path.startsWith('/plan/') ? 'engines' : 'desk';
    await using servers = await startPausingServers({
      ...{ store, count: 3, service },
      chooseRefusal: (index, count) => {
        if (!isRefusing()) return undefined;
        refusingIndex ??= findBusiest(servers.records);
        return index === refusingIndex ? makeRefusal(count) : undefined;
      },
      getServiceMs: () => SERVICE_MS,
    });
    await using fleet = await startGatewayFleet(store, instances, makePatientBundle());
    startedAtMs = performance.now();
    const responses = await sendTraffic(fleet.gateways, {
      ...{ path, intervalMs: INTERVAL_MS, busyInstances: BUSY_INSTANCES },
      isOngoing: () => isRefusing() || performance.now() < stoppedAtMs + tailMs,
    });
    const record = getRecord();
    const most = countMostInPause(record);
    const servedShare = responses.filter(({ status }) => status === 200).length / responses.length;
    const usedFromMs = stoppedAtMs + (expected.usedAfterMs ?? 0);
    const lateCount = record.arrivals.filter(({ atMs }) => atMs >= usedFromMs).length;
    console.log(
      `${name}: most of one instance in a pause ${most}, ${record.pauses.length} refusals, ` +
        `${servedShare.toFixed(3)} of ${responses.length} served, ${lateCount} at the end`,
    );
    expect(record.pauses.length).toBeGreaterThanOrEqual(MIN_REFUSALS);
    expect(most).toBeLessThanOrEqual(MAX_IN_PAUSE);
    expect(servedShare).toBeGreaterThanOrEqual(expected.minServedShare);
    if (expected.usedAfterMs !== undefined) expect(lateCount).toBeGreaterThan(0);
  },
);

// Guards against a pause that outlives the start of the server that asked for it, which would leave the new one unused.
test('a restart of a server ends its pause', async () => {
  const store = new FakeStore();
  let isRefusing = true;
  await using servers = await startPausingServers({
    ...{ store, count: 2, service: 'desk' },
    chooseRefusal: (index) => (index === 0 && isRefusing ? refuse(60) : undefined),
    getServiceMs: () => SERVICE_MS,
  });
  await using fleet = await startGatewayFleet(store, 6, makeBundle());
  const traffic = { path: '/orders/1', intervalMs: INTERVAL_MS, busyInstances: BUSY_INSTANCES };
  await sendTraffic(fleet.gateways, { ...traffic, isOngoing: (elapsedMs) => elapsedMs < 2_500 });
  const [record = { arrivals: [], pauses: [] }] = servers.records;
  const most = countMostInPause(record);
  isRefusing = false;
  servers.restart(0);
  const restartedAtMs = performance.now();
  const responses = await sendTraffic(fleet.gateways, {
    ...traffic,
    isOngoing: (elapsedMs) => elapsedMs < 1_500,
  });
  const afterwards = record.arrivals.filter(({ atMs }) => atMs >= restartedAtMs);
  console.log(`restart: most in a pause ${most}, ${afterwards.length} after the restart`);
  expect(most).toBeLessThanOrEqual(MAX_IN_PAUSE);
  expect(new Set(afterwards.map(({ instanceId }) => instanceId)).size).toBe(6);
  expect(responses.every(({ status }) => status === 200)).toBe(true);
});

/** Time after the end of a pause in which the returning requests are counted. */
const RETURN_WINDOW_MS = 200;
/** Long enough that all instances hear of the pause also on a busy machine. */
const PAUSE_MS = 8_000;
/** Slots of the servers that `makeServer` makes. */
const SERVER_SLOTS = 16;
/** Time before the end of the pause at which all instances must know of it. */
const LESSON_MARGIN_MS = 2_500;

// Guards against instances that all return at the end of a pause: a server that has just become usable gets more than it has
// slots and turns away again.
test.each([6, 84])('%i instances return to a server one after the other', async (instances) => {
  const store = new FakeStore();
  let endMs = -Infinity;
  await using servers = await startPausingServers({
    // Each instance hears of the pause of the only server before the others are listed.
    ...{ store, count: 3, listedCount: 1, service: 'desk' },
    chooseRefusal: (index) => {
      const leftMs = endMs - performance.now();
      if (index !== 0 || leftMs <= 0) return undefined;
      const text = (Math.ceil(leftMs) / MS_PER_SECOND).toFixed(3);
      return refuse(0, { retryAfter: [text], spanMs: Math.ceil(leftMs) });
    },
    // The other servers are busy at the end of the pause, so that each instance prefers the one that returns.
    getServiceMs: (index, path) => (index !== 0 && path === '/orders/busy' ? 2_500 : 0),
  });
  await using fleet = await startGatewayFleet(store, instances, makePatientBundle());
  const [record = { arrivals: [], pauses: [] }] = servers.records;
  endMs = performance.now() + PAUSE_MS;
  const sendAll = (path: string, gateways = fleet.gateways) =>
    gateways.map((gateway) => sendTo(gateway, path, { 'Test-Remaining': '10000' }));
  const listUntold = () => {
    const told = new Set(record.pauses.map(({ instanceId }) => instanceId));
    return fleet.gateways.filter(({ settings }) => !told.has(settings.instanceId));
  };
  // On a busy machine some of the first connections take too long.
  while (listUntold().length > 0 && performance.now() < endMs - LESSON_MARGIN_MS) {
    await Promise.all(sendAll('/orders/lesson', listUntold()));
  }
  expect(listUntold()).toEqual([]);
  servers.list(1);
  servers.list(2);
  await sleep(endMs - performance.now() - 1_500);
  const busy = [...sendAll('/orders/busy'), ...sendAll('/orders/busy')];
  await sleep(Math.max(0, endMs - performance.now()) + 20);
  const returning: Promise<CallerResponse>[] = [];
  for (const delayMs of [100, 100, 2_500, 0]) {
    returning.push(...sendAll('/orders/return'));
    await sleep(delayMs);
  }
  const responses = await Promise.all([...returning, ...busy]);
  const returnedAtMs = record.arrivals.map(({ atMs }) => atMs).filter((atMs) => atMs >= endMs);
  const first = returnedAtMs.filter((atMs) => atMs < endMs + RETURN_WINDOW_MS).length;
  const served = responses.filter(({ status }) => status === 200).length;
  console.log(
    `${instances} instances return: ${first} in the first ${RETURN_WINDOW_MS} ms, ${returnedAtMs.length} in ` +
      `all, ${served} of ${responses.length} served`,
    new Set(responses.map(({ status, body }) => `${status ?? 'closed'} ${body.slice(0, 60)}`)),
  );
  expect(first).toBeLessThanOrEqual(SERVER_SLOTS);
  expect(returnedAtMs.length).toBeGreaterThan(0);
  expect(served).toBe(responses.length);
});

const SOONEST_MS = 1_500;

interface Caller {
  path: string;
  /** Time for which the first refusal asks the caller to wait, as a point in time. */
  promisedAtMs: number;
  servedAtMs: number;
}

/** Sends a request again after each refusal, at the time that the refusal names, until it is served. */
async function sendUntilServed(gateway: TestGateway, path: string): Promise<Caller> {
  let promisedAtMs: number | undefined;
  for (;;) {
    const response = await sendTo(gateway, path, { 'Test-Remaining': '10000' });
    const nowMs = performance.now();
    if (response.status === 200) {
      return { path, promisedAtMs: promisedAtMs ?? nowMs, servedAtMs: nowMs };
    }
    const delayMs = getRetryAfterMs(response);
    promisedAtMs ??= nowMs + delayMs;
    await sleep(delayMs);
  }
}

function getRetryAfterMs({ status, headers }: CallerResponse): number {
  expect(status).toBe(503);
  const delayMs = Number(headers['retry-after']) * MS_PER_SECOND;
  expect(delayMs).toBeGreaterThan(0);
  return delayMs;
}

// Guards against callers that are sent away for too short a time, so that they return in vain, or too long, and against less
// urgent ones that take the first room.
test('callers are told when the first of the paused servers takes requests, the most urgent first', async () => {
  const store = new FakeStore();
  let pausedFromMs = Infinity;
  const ends = [4_000, SOONEST_MS, 5_000];
  await using servers = await startPausingServers({
    ...{ store, count: 3, service: 'desk' },
    chooseRefusal: (index) => {
      const leftMs = pausedFromMs + (ends[index] ?? 0) - performance.now();
      return Number.isFinite(leftMs) && leftMs > 0
        ? refuse(0, { retryAfter: [(leftMs / MS_PER_SECOND).toFixed(3)], spanMs: leftMs })
        : undefined;
    },
    getServiceMs: () => 50,
  });
  const timeoutMs = 10_000;
  const routes = [
    makeRoute({ name: 'urgent', pathPrefix: '/urgent/', priority: 0, timeoutMs }),
    makeRoute({ name: 'batch', pathPrefix: '/batch/', priority: 3, timeoutMs }),
    makeRoute({ name: 'orders', pathPrefix: '/orders/', priority: 3, timeoutMs }),
  ];
  await using fleet = await startGatewayFleet(store, 1, makeBundle({ routes }));
  const [gateway] = fleet.gateways;
  if (gateway === undefined) throw new Error('no instance');
  pausedFromMs = performance.now();
  await waitUntil(() => {
    void sendTo(gateway, '/orders/lesson');
    return servers.records.every(({ pauses }) => pauses.length > 0);
  });
  await sleep(100);
  const soonestMs = pausedFromMs + SOONEST_MS;
  const callers: Promise<Caller>[] = [];
  for (let index = 0; index < 10; index += 1) {
    for (const path of ['/batch/1', '/urgent/1']) callers.push(sendUntilServed(gateway, path));
    await sleep(10);
  }
  const served = await Promise.all(callers);
  const computeMean = (values: readonly number[]) =>
    values.reduce((sum, value) => sum + value, 0) / values.length;
  const [batchMs, urgentMs] = ['/batch/1', '/urgent/1'].map((path) =>
    computeMean(
      served.filter((caller) => caller.path === path).map(({ servedAtMs }) => servedAtMs),
    ),
  );
  const promisedMs = served.map(({ promisedAtMs }) => promisedAtMs);
  const formatMs = (atMs = 0) => Math.round(atMs - soonestMs);
  console.log(
    `all paused: promised ${formatMs(Math.min(...promisedMs))} to ${formatMs(Math.max(...promisedMs))} ms ` +
      `after the soonest end, served after ${formatMs(urgentMs)} (urgent) and ${formatMs(batchMs)} ms (others), ` +
      `most in a pause ${Math.max(...servers.records.map(countMostInPause))}`,
  );
  expect(Math.min(...promisedMs)).toBeGreaterThanOrEqual(soonestMs - 20);
  expect(Math.min(...promisedMs)).toBeLessThanOrEqual(soonestMs + 1_000);
  expect(Math.max(...servers.records.map(countMostInPause))).toBeLessThanOrEqual(MAX_IN_PAUSE);
  expect(urgentMs).toBeLessThan(batchMs ?? 0);
});

// Guards against a caller whose request is turned away with a pause by the last server, and who is told to return in the pause.
test.each([1, 2])(
  'a caller whose request was turned away by all %i servers is told the end of the first pause',
  async (count) => {
    const store = new FakeStore();
    await using servers = await startPausingServers({
      ...{ store, count, service: 'desk', chooseRefusal: (index: number) => refuse(2 + index) },
    });
    await using fleet = await startGatewayFleet(store, 1, makePatientBundle());
    const [gateway] = fleet.gateways;
    if (gateway === undefined) throw new Error('no instance');
    const response = await sendTo(gateway, '/orders/1', { 'Test-Remaining': '10000' });
    const { pauses } = servers.records[0] ?? { pauses: [] };
    const leftMs = (pauses[0]?.untilMs ?? 0) - performance.now();
    const toldMs = getRetryAfterMs(response);
    console.log(
      `${count} servers: told ${toldMs} ms, the first pause ends in ${leftMs.toFixed(0)} ms`,
    );
    expect(servers.records.map(({ arrivals }) => arrivals.length)).toEqual(Array(count).fill(1));
    expect(toldMs).toBeGreaterThanOrEqual(leftMs);
    expect(toldMs).toBeLessThanOrEqual(leftMs + 500);
  },
);
