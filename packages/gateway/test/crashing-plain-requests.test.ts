import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect, test } from 'vitest';
import { FakeStore } from './fake-store';
import { EngineFleet, startGatewayFleet } from './gateway-fleet';
import type { HandlerResult } from './gateway-fleet';
import { makeBundle, sendRequest } from './gateway-fixture';
import type { CallerResponse, TestGateway } from './gateway-fixture';

const SERVERS = 3;
const RESTART_MS = 3_200;
/** Time from a crash until all instances in contact must know of it, in milliseconds. */
const CONTACT_MS = 3_000;
const CRASH_LIMIT = 3;
/** Requests that may reach servers later than `CONTACT_MS` after the third crash. */
const MAX_LATE_REQUESTS = 3;
/** Times from the arrival of a bad request until its server ends, in milliseconds. */
const CRASH_DELAYS_MS = [60, 80, 50, 70, 80, 55];
const SOUND_INTERVAL_MS = 100;
const ANSWER_MS = 20;
const BURST_INTERVAL_MS = 5_000;
const DURATION_MS = 13_000;
const TIMEOUT_MS = 60_000;

interface RepeatedRequest {
  path: string;
  method: string;
  body?: string;
}

interface RepetitionCase {
  name: string;
  instances: number;
  request: RepeatedRequest;
  /** Times of the requests of a burst, from its start, in milliseconds. */
  burstMs: readonly number[];
  /** Whether all requests of a burst go to one instance, rather than to one after the other. */
  usesOneInstance?: boolean;
  /** Time from the arrival of a request until its server ends; those of `CRASH_DELAYS_MS` by default. */
  crashDelayMs?: number;
}

const lookup: RepeatedRequest = { path: '/stock/bad?item=7', method: 'GET' };
const order: RepeatedRequest = { path: '/orders/1', method: 'POST', body: 'bad' };
const sixInTurn = [0, 15, 30, 45, 150, 300];
const atOnce = Array.from({ length: 12 }, () => 0);
const cases: RepetitionCase[] = [
  { name: 'a lookup, 6 instances', instances: 6, request: lookup, burstMs: sixInTurn },
  { name: 'a lookup, 62 instances', instances: 62, request: lookup, burstMs: sixInTurn },
  { name: 'an order, 6 instances', instances: 6, request: order, burstMs: sixInTurn },
  { name: 'an order, 62 instances', instances: 62, request: order, burstMs: sixInTurn },
  {
    ...{ name: 'a lookup at one instance', instances: 6, request: lookup, burstMs: sixInTurn },
    usesOneInstance: true,
  },
  {
    ...{ name: 'orders at the same moment', instances: 6, request: order, burstMs: atOnce },
    crashDelayMs: 50,
  },
];

// Guards against a request that ends servers within less than 100 ms of each other, by its repetitions or at several
// instances, and that is sent on when it comes again since its crashes count as one; and against other requests that are held
// back with it.
test.each(cases)(
  '$name: a plain request that ends three servers at once is held back',
  async ({ instances, request, burstMs, usesOneInstance, crashDelayMs }) => {
    const store = new FakeStore();
    const badAtMs: number[] = [];
    const handle = (socket: Socket, received: string): HandlerResult => {
      if (received.includes('bad')) {
        badAtMs.push(performance.now());
        const delayMs = CRASH_DELAYS_MS[badAtMs.length % CRASH_DELAYS_MS.length] ?? 0;
        return { crashAfterMs: crashDelayMs ?? delayMs };
      }
      setTimeout(() => {
        socket.write(
          'HTTP/1.1 200 OK\r\ncontent-length: 2\r\ntest-attempt: attempt-1\r\ntest-signature: s\r\n\r\nok',
        );
      }, ANSWER_MS);
      return 'answered';
    };
    const fleetOptions = { store, count: SERVERS, service: 'desk', restartMs: RESTART_MS, handle };
    await using fleet = new EngineFleet(fleetOptions);
    await fleet.start();
    await using running = await startGatewayFleet(store, instances, makeBundle());
    const startedAtMs = performance.now();
    const badResponses: Promise<CallerResponse>[] = [];
    const sendBad = (index: number) => {
      const { callerPort } = pickGateway(
        running.gateways,
        usesOneInstance === true ? 0 : index * 7,
      );
      badResponses.push(sendRequest(callerPort, request.path, request));
    };
    let badIndex = 0;
    for (let burstAtMs = 0; burstAtMs < DURATION_MS - 2_000; burstAtMs += BURST_INTERVAL_MS) {
      for (const offsetMs of burstMs) {
        setTimeout(sendBad, burstAtMs + offsetMs, badIndex);
        badIndex += 1;
      }
    }
    const soundStatuses: Promise<number | undefined>[] = [];
    for (let index = 0; performance.now() < startedAtMs + DURATION_MS; index += 1) {
      const { callerPort } = pickGateway(running.gateways, index);
      const hasServer = fleet.listServers().length === SERVERS;
      const sound = sendRequest(callerPort, `/stock/${index}`, { method: 'GET' });
      // Those before the crashes and while servers are away may fail.
      if (hasServer && performance.now() > startedAtMs + CONTACT_MS) {
        soundStatuses.push(sound.then(({ status }) => status));
      }
      await sleep(SOUND_INTERVAL_MS);
    }
    const thirdCrashAtMs = fleet.crashedAtMs[CRASH_LIMIT - 1] ?? Infinity;
    const late = badAtMs.filter((atMs) => atMs > thirdCrashAtMs + CONTACT_MS);
    const summary =
      `${badAtMs.length} of ${badResponses.length} sent, ${fleet.crashedAtMs.length} servers ended, ` +
      `${late.length} sent ${CONTACT_MS} ms after the third crash, crashes at ` +
      fleet.crashedAtMs.map((atMs) => Math.round(atMs - startedAtMs)).join(', ');
    console.log(summary);
    const sound = await Promise.all(soundStatuses);
    const servedShare = sound.filter((status) => status === 200).length / sound.length;
    const lastStatuses = await Promise.all(badResponses.slice(-burstMs.length));
    expect(thirdCrashAtMs, summary).toBeLessThan(Infinity);
    expect(late.length, summary).toBeLessThanOrEqual(MAX_LATE_REQUESTS);
    expect(fleet.crashedAtMs.length, summary).toBeLessThanOrEqual(CRASH_LIMIT + 1);
    expect(servedShare, summary).toBeGreaterThan(0.9);
    expect(lastStatuses.filter(({ status }) => status === 503).length).toBeGreaterThan(0);
  },
  TIMEOUT_MS,
);

function pickGateway(gateways: readonly TestGateway[], index: number): TestGateway {
  const gateway = gateways[index % gateways.length];
  if (gateway === undefined) throw new Error('no gateway has started');
  return gateway;
}
