import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect, test } from 'vitest';
import type { UsageReport } from '../src';
import { makeServer, sendRequest, startTestGateway, waitUntil } from './gateway-fixture';
import { startRawBackend } from './raw-backend';
import type { RawHandler } from './raw-backend';
import { EVENT_STREAM, makeEvents, SIGNED } from './stream-cases';

const DUTY_SETTINGS = {
  ...{ address: '127.0.0.1:1', names: [], callsPerSecond: 50 },
  ...{ leaseMs: 200, usageWindowSeconds: 0.3, usageDelaySeconds: 0.8 },
};
const READ_WAIT_MS = 40;

function writeResponse(socket: Socket, status: string, headers: string, body = ''): void {
  socket.write(`HTTP/1.1 ${status}\r\n${headers}content-length: ${body.length}\r\n\r\n${body}`);
}

const answer: RawHandler = (socket) => writeResponse(socket, '200 OK', SIGNED, 'fine');
const reset: RawHandler = (socket) => socket.resetAndDestroy();
const refuse: RawHandler = (socket) =>
  writeResponse(socket, '503 Full', `${SIGNED}test-not-run: 1\r\n`);
const sendStream: RawHandler = (socket) =>
  writeResponse(socket, '200 OK', `${EVENT_STREAM}${SIGNED}`, makeEvents(1, 6));
/** Begins a stream and ends its connection inside the answer. */
const breakStream: RawHandler = (socket) => {
  socket.write(`HTTP/1.1 200 OK\r\n${EVENT_STREAM}${SIGNED}content-length: 900\r\n\r\n`);
  socket.write(makeEvents(1, 2));
  setTimeout(() => socket.resetAndDestroy(), READ_WAIT_MS);
};
const resumeStream: RawHandler = (socket, request) => {
  const last = Number(/last-event-id: (\d+)/i.exec(request)?.[1] ?? 0);
  writeResponse(socket, '200 OK', `${EVENT_STREAM}${SIGNED}`, makeEvents(last + 1, 6));
};

interface CountCase {
  name: string;
  path: string;
  first: RawHandler;
  others: RawHandler;
  /** 0 if nothing is counted. */
  count: 0 | 1;
  key?: string;
}

const cases: CountCase[] = [
  { name: 'an answered order', path: '/orders/1', first: answer, others: answer, count: 1 },
  {
    name: 'an order whose connection breaks',
    path: '/orders/1',
    first: reset,
    others: answer,
    count: 1,
  },
  {
    name: 'an order that no server runs',
    path: '/orders/1',
    first: refuse,
    others: refuse,
    count: 0,
  },
  {
    name: 'an order that the second server runs',
    path: '/orders/1',
    first: refuse,
    others: answer,
    count: 1,
  },
  { name: 'a lookup that is repeated', path: '/stock/1', first: reset, others: answer, count: 1 },
  {
    ...{ name: 'an order answered with an error', path: '/orders/1', count: 1 },
    first: (socket) => writeResponse(socket, '500 Error', SIGNED),
    others: answer,
  },
  {
    ...{ name: 'an order at the wrong server', path: '/orders/1', count: 0 },
    first: (socket) => writeResponse(socket, '421 Misdirected', SIGNED),
    others: (socket) => writeResponse(socket, '421 Misdirected', SIGNED),
  },
  { name: 'a stream', path: '/chat/1', first: sendStream, others: sendStream, count: 1 },
  {
    name: 'a stream that goes on elsewhere',
    path: '/plan/1',
    first: breakStream,
    others: resumeStream,
    count: 1,
  },
  {
    name: 'a stream that no server runs',
    path: '/chat/1',
    first: refuse,
    others: refuse,
    count: 0,
  },
  {
    name: 'a request without a valid key',
    path: '/orders/1',
    first: answer,
    others: answer,
    count: 0,
    key: 'none',
  },
];

test.each(cases)('$name counts $count', async ({ path, first, others, count, key = 'key-a' }) => {
  let received = 0;
  const handle: RawHandler = (socket, request) => {
    received += 1;
    if (received === 1) first(socket, request);
    else others(socket, request);
  };
  await using one = await startRawBackend(handle);
  await using two = await startRawBackend(handle);
  const reports = new Map<number, UsageReport>();
  await using running = await startTestGateway({
    servers: ['desk', 'engines'].flatMap((service) => [
      makeServer(`${service}-1`, service, one.port),
      makeServer(`${service}-2`, service, two.port),
    ]),
    duties: {
      ...{ settings: DUTY_SETTINGS, kinds: ['usage-reports'] },
      calls: {
        reportUsage: (_, report) => {
          reports.set(report.windowId, report);
          return Promise.resolve({ kind: 'accepted' });
        },
        orderServers: () => Promise.resolve({ kind: 'accepted' }),
      },
    },
  });
  await waitUntil(() => reports.size > 0);
  await sendRequest(running.callerPort, path, { key });
  const { size } = reports;
  // A window that ends after the request is reported after those before it.
  await waitUntil(() => reports.size >= size + 5);
  await sleep(0);
  const total = [...reports.values()].reduce(
    (sum, { counts }) => sum + (counts.get('team-a') ?? 0),
    0,
  );
  expect(total).toBe(count);
});
