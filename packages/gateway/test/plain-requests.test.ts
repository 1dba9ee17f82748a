import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect, test } from 'vitest';
import {
  makeServer,
  sendRequest,
  startTestGateway,
  startTwoServerGateway,
  waitUntil,
} from './gateway-fixture';
import { startRawBackend } from './raw-backend';
import type { RawHandler } from './raw-backend';

const LONGER_THAN_A_CLOSE_MS = 250;
const SIGNED = 'test-signature: s1\r\ntest-attempt: attempt-1\r\n';

function writeAnswer(socket: Socket, status: string, headers: string, body: string): void {
  socket.write(`HTTP/1.1 ${status}\r\n${headers}content-length: ${body.length}\r\n\r\n${body}`);
}

const answerOk: RawHandler = (socket) => writeAnswer(socket, '200 OK', SIGNED, 'fine');

interface PlainCase {
  name: string;
  path: string;
  /** What the first server that is asked does; the next one answers well. */
  first: RawHandler;
  status: number;
  body?: string;
  /** Servers that received the request. */
  sends: number;
}

const cases: PlainCase[] = [
  {
    name: 'an answer is passed on whole',
    path: '/orders/1',
    first: answerOk,
    status: 200,
    body: 'fine',
    sends: 1,
  },
  {
    // Guards against running an order twice after its answer was lost.
    name: 'an order whose answer is lost is not sent again, and not said to be not run',
    path: '/orders/1',
    first: (socket) => socket.resetAndDestroy(),
    status: 502,
    sends: 1,
  },
  {
    name: 'an order that the server refused to run goes to another server',
    path: '/orders/1',
    first: (socket) =>
      writeAnswer(socket, '503 Full', 'test-not-run: 1\r\ntest-attempt: attempt-1\r\n', ''),
    status: 200,
    sends: 2,
  },
  {
    name: 'an order at an address that belongs to another server goes to another one',
    path: '/orders/1',
    first: (socket) => writeAnswer(socket, '421 Misdirected', '', ''),
    status: 200,
    sends: 2,
  },
  {
    name: 'a lookup whose answer is lost is sent again',
    path: '/stock/1',
    first: (socket) => socket.resetAndDestroy(),
    status: 200,
    sends: 2,
  },
  {
    name: 'a lookup whose answer breaks off is sent again',
    path: '/stock/1',
    first: (socket) => socket.end(`HTTP/1.1 200 OK\r\n${SIGNED}content-length: 10\r\n\r\nfi`),
    status: 200,
    body: 'fine',
    sends: 2,
  },
  {
    name: 'a lookup that ends in an error of the server is sent again',
    path: '/stock/1',
    first: (socket) => writeAnswer(socket, '500 Error', SIGNED, 'no'),
    status: 200,
    sends: 2,
  },
  {
    name: 'an error of the server on an order is passed on',
    path: '/orders/1',
    first: (socket) => writeAnswer(socket, '500 Error', SIGNED, 'no'),
    status: 500,
    body: 'no',
    sends: 1,
  },
  {
    // Guards against a late second answer on a reused connection that reaches another caller.
    name: 'an answer to another request is not passed on',
    path: '/orders/1',
    first: (socket) =>
      writeAnswer(socket, '200 OK', 'test-signature: s1\r\ntest-attempt: other\r\n', 'theirs'),
    status: 502,
    sends: 1,
  },
  {
    name: 'a success without a signature is not passed on',
    path: '/orders/1',
    first: (socket) => writeAnswer(socket, '200 OK', 'test-attempt: attempt-1\r\n', 'forged'),
    status: 502,
    sends: 1,
  },
  {
    // Guards against telling a caller that an order was not run on the word of a server that may have run it.
    name: 'a refusal without the mark of not having run is not passed on',
    path: '/orders/1',
    first: (socket) => writeAnswer(socket, '503 Busy', SIGNED, 'busy'),
    status: 502,
    sends: 1,
  },
  {
    name: 'an encoded answer is not passed on',
    path: '/orders/1',
    first: (socket) => writeAnswer(socket, '200 OK', `${SIGNED}content-encoding: gzip\r\n`, 'zz'),
    status: 502,
    sends: 1,
  },
];

test.each(cases)('$name', async ({ path, first, status, body, sends }) => {
  await using running = await startTwoServerGateway('desk', first, answerOk);
  const answer = await sendRequest(running.callerPort, path);
  expect(answer.status).toBe(status);
  if (body !== undefined) expect(answer.body).toBe(body);
  expect(running.countReceived()).toBe(sends);
});

test('the request reaches the server unchanged but for what the gateway sets', async () => {
  let seen = '';
  await using backend = await startRawBackend((socket, request) => {
    seen = request;
    answerOk(socket, request);
  });
  await using running = await startTestGateway({
    servers: [makeServer('one', 'desk', backend.port)],
  });
  await sendRequest(running.callerPort, '/orders/a%20b?x=1&y=%2F', {
    body: 'two mules',
    headers: {
      'Test-Team': 'forged',
      'Test-Expected': 'forged',
      'Test-Reserved': 'forged',
      'Test-Priority': '0',
      'X-Other': 'kept',
      Connection: 'close, X-Hop',
      'X-Hop': 'dropped',
    },
  });
  expect(seen).toMatch(/^POST \/orders\/a%20b\?x=1&y=%2F HTTP\/1\.1\r\n/);
  expect(seen).toContain('X-Other: kept\r\n');
  expect(seen).toContain('Test-Team: team-a\r\n');
  expect(seen).toContain('Test-Expected: one\r\n');
  expect(seen).toMatch(/\r\n\r\ntwo mules$/);
  for (const unwanted of ['forged', 'key-a', 'X-Hop', 'Test-Priority']) {
    expect(seen).not.toContain(unwanted);
  }
  const remainingMs = Number(/Test-Remaining: (\d+)/.exec(seen)?.[1]);
  expect(remainingMs).toBeGreaterThan(1_000);
  expect(remainingMs).toBeLessThanOrEqual(2_000);
});

interface RejectionCase {
  name: string;
  path: string;
  key?: string;
  body?: string;
  headers?: Record<string, string>;
  status: number;
}

const rejections: RejectionCase[] = [
  { name: 'a path without a route', path: '/nowhere/1', status: 404 },
  { name: 'a prefix without its last slash', path: '/orders', status: 404 },
  { name: 'an unknown key', path: '/orders/1', key: 'key-z', status: 401 },
  { name: 'a body over the limit', path: '/orders/1', body: 'x'.repeat(1_001), status: 413 },
  {
    name: 'a head over the limit',
    path: '/orders/1',
    headers: { 'x-long': 'x'.repeat(17_000) },
    status: 431,
  },
  { name: 'a service without a server', path: '/orders/1', status: 503 },
];

test.each(rejections)('$name gets $status', async ({ path, key, body, headers, status }) => {
  await using running = await startTestGateway({ servers: [makeServer('e', 'engines', 1)] });
  const answer = await sendRequest(running.callerPort, path, { key, body, headers });
  expect(answer.status).toBe(status);
});

test('a refusal for lack of a server says when to come back', async () => {
  await using running = await startTestGateway({ servers: [makeServer('e', 'engines', 1)] });
  const answer = await sendRequest(running.callerPort, '/orders/1');
  expect(Number(answer.headers['retry-after'])).toBeGreaterThan(0);
});

test('an order that no server answers gets 504 at its time limit', async () => {
  await using backend = await startRawBackend(() => undefined);
  await using running = await startTestGateway({
    servers: [makeServer('one', 'desk', backend.port)],
  });
  const startedAtMs = performance.now();
  const answer = await sendRequest(running.callerPort, '/orders/1', {
    headers: { 'Test-Remaining': '300' },
  });
  expect(answer.status).toBe(504);
  expect(performance.now() - startedAtMs).toBeLessThan(300 + 500);
});

test('a lookup at a server that fell silent is answered by another one', async () => {
  await using silent = await startRawBackend(() => undefined);
  await using healthy = await startRawBackend(answerOk);
  await using running = await startTestGateway({
    servers: [makeServer('a', 'desk', silent.port), makeServer('b', 'desk', healthy.port)],
  });
  const answers = await Promise.all(
    [1, 2, 3, 4].map((id) => sendRequest(running.callerPort, `/stock/${id}`)),
  );
  expect(answers.map(({ status }) => status)).toEqual([200, 200, 200, 200]);
});

interface LeavingCase {
  name: string;
  path: string;
  /** Whether the server's connection is closed when the caller leaves. */
  closes: boolean;
}

test.each<LeavingCase>([
  // Guards against servers that work on for a caller who has left.
  { name: 'a lookup is stopped', path: '/stock/1', closes: true },
  { name: 'an order runs to its end', path: '/orders/1', closes: false },
])('when the caller leaves, $name', async ({ path, closes }) => {
  let isClosed = false;
  let markReceived: () => void = () => undefined;
  const received = new Promise<void>((resolve) => (markReceived = resolve));
  await using backend = await startRawBackend((socket) => {
    socket.on('close', () => (isClosed = true));
    markReceived();
  });
  await using running = await startTestGateway({
    servers: [makeServer('one', 'desk', backend.port)],
  });
  await sendRequest(running.callerPort, path, { disconnectAfter: received });
  if (closes) await waitUntil(() => isClosed);
  else await sleep(LONGER_THAN_A_CLOSE_MS);
  expect(isClosed).toBe(closes);
});

test('the log line of a request tells its servers, its outcome and the version in force', async () => {
  await using backend = await startRawBackend((socket) => socket.resetAndDestroy());
  await using running = await startTestGateway({
    servers: [makeServer('one', 'desk', backend.port)],
  });
  await sendRequest(running.callerPort, '/orders/1');
  const line = running.lines.find(({ message }) => message === 'request not answered');
  expect(line?.fields).toMatchObject({
    requestId: 'attempt-1',
    route: 'orders',
    team: 'team-a',
    outcome: 'refused',
    status: 502,
    bundleVersion: 1,
    attempts: [{ serverId: 'one', result: 'broken' }],
  });
});
