import { expect, test } from 'vitest';
import { FakeStore } from './fake-store';
import { startGatewayFleet } from './gateway-fleet';
import { isServed, LeavingServers, makeLeavingBundle, sendTraffic } from './leaving-servers';
import type { LeavingAnswer, LeavingNotice, UsualAnswer } from './leaving-servers';

const LEAVING = ['server-0', 'server-1'];
const IN_ALL: LeavingNotice = { answer: 'plain', in: 'all' };
const NOTICE_MS = 1_000;
/** Instances of a large fleet that get requests, so that each gets several after it has been told. */
const TARGETS = 12;

interface ReadyCase {
  name: string;
  instances: number;
  servers: number;
  /** Instances that get requests. */
  targets: number;
  durationMs: number;
}

const readyCases: ReadyCase[] = [
  { name: '6 instances', instances: 6, servers: 3, targets: 6, durationMs: 6_000 },
  { name: '62 instances', instances: 62, servers: 3, targets: 62, durationMs: 8_000 },
  {
    ...{ name: '62 instances in groups', instances: 62, servers: 16, targets: TARGETS },
    durationMs: 8_000,
  },
];

// Guards against requests to servers that have said in an answer that they leave, while their entries stay ready.
test.each(readyCases)(
  'two servers say that they leave while their entries stay ready: $name',
  async ({ name, instances, servers, targets, durationMs }) => {
    const store = new FakeStore();
    await using backends = new LeavingServers(store, 'desk');
    await backends.startServers(servers);
    await using fleet = await startGatewayFleet(store, instances, makeLeavingBundle());
    const startedAtMs = performance.now();
    const sent = await sendTraffic(fleet.gateways.slice(0, targets), {
      ...{ path: '/orders/1', method: 'POST', durationMs },
      steps: [
        {
          afterMs: NOTICE_MS,
          run: () => {
            backends.announceLeaving(LEAVING, IN_ALL);
          },
        },
      ],
    });
    const told = LEAVING.map((serverId) => backends.countTold(serverId));
    console.log(`${name}: ${sent.length} requests, told ${told.join(', ')}`, backends.countLate());
    expect(Math.max(...told)).toBeGreaterThan(0);
    expect(backends.countArrivals('server-2', startedAtMs + 2_000)).toBeGreaterThan(0);
    expect(sent.filter((request) => !isServed(request))).toEqual([]);
    expect(backends.countLate()).toBe(0);
  },
);

interface AnswerCase {
  name: string;
  answer: LeavingAnswer;
  value?: string;
  /** Whether the answer says that the server itself leaves. */
  isBinding: boolean;
  usualAnswer: UsualAnswer;
  path: string;
  method: 'GET' | 'POST';
}

const plainRequest = { usualAnswer: 'plain', path: '/stock/1', method: 'GET' } as const;

const answerCases: AnswerCase[] = [
  { name: 'a plain answer', answer: 'plain', isBinding: true, ...plainRequest },
  {
    ...{ name: 'the head of a stream that goes on', answer: 'long-stream', isBinding: true },
    ...{ usualAnswer: 'stream', path: '/chat/1', method: 'POST' },
  },
  { name: 'a refusal', answer: 'refusal', isBinding: true, ...plainRequest },
  { name: 'a status of 500', answer: 'server-error', isBinding: true, ...plainRequest },
  { name: 'an unsigned answer', answer: 'unsigned', isBinding: true, ...plainRequest },
  {
    ...{ name: 'an answer with another request id', answer: 'other-request-id', isBinding: true },
    ...plainRequest,
  },
  { name: 'several values', answer: 'plain', value: '0, 1', isBinding: true, ...plainRequest },
  { name: 'an invalid value', answer: 'plain', value: 'true', isBinding: false, ...plainRequest },
];

// Guards against notices that are read only from some answers, only when an answer ends, or that a later answer takes back,
// and against servers that are left out for a value that says nothing.
test.each(answerCases)(
  'a server says only once to each instance that it leaves: $name',
  async ({ answer, value = '1', isBinding, usualAnswer, path, method }) => {
    const store = new FakeStore();
    const service = usualAnswer === 'plain' ? 'desk' : 'engines';
    await using backends = new LeavingServers(store, service, usualAnswer);
    await backends.startServers(1);
    await using fleet = await startGatewayFleet(store, 6, makeLeavingBundle());
    const startedAtMs = performance.now();
    const sent = await sendTraffic(fleet.gateways, {
      ...{ path, method, durationMs: 4_000 },
      steps: [
        {
          afterMs: NOTICE_MS,
          run: () => {
            backends.announceLeaving(['server-0'], { answer, value, in: 'first' });
          },
        },
        { afterMs: NOTICE_MS + 300, run: () => backends.startProcess('server-1') },
      ],
    });
    const sentLater = sent.filter(({ sentAtMs }) => sentAtMs > startedAtMs + 2_000);
    const servedShare = sentLater.filter(isServed).length / sentLater.length;
    expect(backends.countArrivals('server-1', startedAtMs + 2_000)).toBeGreaterThan(0);
    expect(servedShare).toBeGreaterThanOrEqual(0.95);
    if (!isBinding) {
      expect(backends.countArrivals('server-0', startedAtMs + 3_000)).toBeGreaterThan(0);
      return;
    }
    expect(backends.countTold('server-0')).toBeGreaterThan(0);
    expect(backends.countLate()).toBe(0);
  },
);

// Guards against a resumed stream that goes on at a server that has said that it leaves.
test('a resumable stream whose server breaks goes on at a server that stays', async () => {
  const store = new FakeStore();
  await using backends = new LeavingServers(store, 'engines', 'breaking-stream');
  await backends.startServers(3);
  await using fleet = await startGatewayFleet(store, 2, makeLeavingBundle());
  const startedAtMs = performance.now();
  const sent = await sendTraffic(fleet.gateways, {
    ...{ path: '/plan/1', method: 'POST', durationMs: 4_000 },
    steps: [
      {
        afterMs: 0,
        run: () => {
          backends.announceLeaving(['server-0'], { answer: 'long-stream', in: 'first' });
        },
      },
    ],
  });
  expect(backends.countTold('server-0')).toBeGreaterThan(0);
  expect(backends.countArrivals('server-1', startedAtMs + 2_000)).toBeGreaterThan(0);
  expect(sent.some(isServed)).toBe(true);
  expect(backends.countLate()).toBe(0);
});

interface DomainCase {
  name: string;
  instances: number;
  servers: number;
}

const domainCases: DomainCase[] = [
  { name: '6 instances', instances: 6, servers: 4 },
  { name: '62 instances in groups', instances: 62, servers: 16 },
];

// Guards against refusals while servers of other failure domains stay, and against late requests to those that leave.
test.each(domainCases)(
  'all servers of a failure domain leave and the others take the load: $name',
  async ({ instances, servers }) => {
    const store = new FakeStore();
    await using backends = new LeavingServers(store, 'desk');
    const isInDomain = (index: number) => index < servers / 2;
    await backends.startServers(servers, (index) => ({
      failureDomain: isInDomain(index) ? 'local' : 'other',
    }));
    const ids = Array.from({ length: servers }, (_, index) => index);
    const leaving = ids.filter(isInDomain).map((index) => `server-${index}`);
    await using fleet = await startGatewayFleet(store, instances, makeLeavingBundle());
    const sent = await sendTraffic(fleet.gateways.slice(0, TARGETS), {
      ...{ path: '/orders/1', method: 'POST', durationMs: 8_000 },
      steps: [
        {
          afterMs: NOTICE_MS,
          run: () => {
            backends.announceLeaving(leaving, IN_ALL);
          },
        },
      ],
    });
    expect(Math.max(...leaving.map((serverId) => backends.countTold(serverId)))).toBeGreaterThan(0);
    expect(sent.filter((request) => !isServed(request))).toEqual([]);
    expect(backends.countLate()).toBe(0);
  },
);

// Guards against requests to the last servers of a service when all leave, against refusals that do not say when to come
// back, and against a service that stays refused when a new server starts.
test('all servers of a service leave and a new server starts', async () => {
  const store = new FakeStore();
  await using backends = new LeavingServers(store, 'desk');
  await backends.startServers(3);
  await using fleet = await startGatewayFleet(store, 6, makeLeavingBundle());
  const startedAtMs = performance.now();
  const sent = await sendTraffic(fleet.gateways, {
    ...{ path: '/orders/1', method: 'POST', durationMs: 7_000 },
    steps: [
      {
        afterMs: NOTICE_MS,
        run: () => {
          backends.announceLeaving([...LEAVING, 'server-2'], IN_ALL);
        },
      },
      { afterMs: 5_000, run: () => backends.startProcess('server-3') },
    ],
  });
  const selectSent = (fromMs: number, untilMs: number) =>
    sent.filter(
      ({ sentAtMs }) => sentAtMs >= startedAtMs + fromMs && sentAtMs < startedAtMs + untilMs,
    );
  const refused = selectSent(4_000, 5_000);
  const servedAgain = selectSent(6_000, 7_000);
  expect(backends.countLate()).toBe(0);
  expect(refused.length).toBeGreaterThan(0);
  for (const { response } of refused) {
    expect(response.status).toBe(503);
    expect(Number(response.headers['retry-after'])).toBeGreaterThan(0);
  }
  expect(servedAgain.length).toBeGreaterThan(0);
  expect(servedAgain.filter((request) => !isServed(request))).toEqual([]);
});
