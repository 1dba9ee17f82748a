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

const CLOSE_WAIT_MS = 250;
const SIGNED_HEADERS = 'test-signature: s1\r\ntest-attempt: attempt-1\r\n';

function writeResponse(socket: Socket, status: string, headers: string, body: string): void {
  socket.write(`HTTP/1.1 ${status}\r\n${headers}content-length: ${body.length}\r\n\r\n${body}`);
}

const respondOk: RawHandler = (socket) => writeResponse(socket, '200 OK', SIGNED_HEADERS, 'fine');

interface PlainCase {
  name: string;
  path: string;
  /** Handles the first request that a server receives; later requests get a 200 response. */
  first: RawHandler;
  status: number;
  body?: string;
  /** How many times the request reached a server. */
  sendCount: number;
}

const cases: PlainCase[] = [
  {
    name: 'a complete response is forwarded',
    path: '/orders/1',
    first: respondOk,
    status: 200,
    body: 'fine',
    sendCount: 1,
  },
  {
    // Guards against running an order twice after the first response was lost.
    name: 'an order whose response is lost is not retried and not reported as not run',
    path: '/orders/1',
    first: (socket) => socket.resetAndDestroy(),
    status: 502,
    sendCount: 1,
  },
  {
    name: 'an order that the server refused to run is retried at another server',
    path: '/orders/1',
    first: (socket) =>
      writeResponse(socket, '503 Full', 'test-not-run: 1\r\ntest-attempt: attempt-1\r\n', ''),
    status: 200,
    sendCount: 2,
  },
  {
    name: 'an order that reaches the wrong server and gets 421 is retried at another server',
    path: '/orders/1',
    first: (socket) => writeResponse(socket, '421 Misdirected', 'test-attempt: attempt-1\r\n', ''),
    status: 200,
    sendCount: 2,
  },
  {
    name: 'a lookup whose response is lost is retried',
    path: '/stock/1',
    first: (socket) => socket.resetAndDestroy(),
    status: 200,
    sendCount: 2,
  },
  {
    name: 'a lookup whose response is truncated is retried',
    path: '/stock/1',
    first: (socket) =>
      socket.end(`HTTP/1.1 200 OK\r\n${SIGNED_HEADERS}content-length: 10\r\n\r\nfi`),
    status: 200,
    body: 'fine',
    sendCount: 2,
  },
  {
    name: 'a lookup that gets a server error is retried',
    path: '/stock/1',
    first: (socket) => writeResponse(socket, '500 Error', SIGNED_HEADERS, 'no'),
    status: 200,
    sendCount: 2,
  },
  {
    name: 'a server error for an order is forwarded',
    path: '/orders/1',
    first: (socket) => writeResponse(socket, '500 Error', SIGNED_HEADERS, 'no'),
    status: 500,
    body: 'no',
    sendCount: 1,
  },
  {
    // Guards against a late second response on a reused connection that reaches another caller.
    name: 'a response to another request is not forwarded',
    path: '/orders/1',
    first: (socket) =>
      writeResponse(socket, '200 OK', 'test-signature: s1\r\ntest-attempt: other\r\n', 'theirs'),
    status: 502,
    sendCount: 1,
  },
  {
    name: 'a success without a signature is not forwarded',
    path: '/orders/1',
    first: (socket) => writeResponse(socket, '200 OK', 'test-attempt: attempt-1\r\n', 'forged'),
    status: 502,
    sendCount: 1,
  },
  {
    // Guards against reporting an order as not run when the server that refused it may have run it.
    name: 'a refusal without the not-run header is not forwarded',
    path: '/orders/1',
    first: (socket) => writeResponse(socket, '503 Busy', SIGNED_HEADERS, 'busy'),
    status: 502,
    sendCount: 1,
  },
  {
    name: 'an encoded response is not forwarded',
    path: '/orders/1',
    first: (socket) =>
      writeResponse(socket, '200 OK', `${SIGNED_HEADERS}content-encoding: gzip\r\n`, 'zz'),
    status: 502,
    sendCount: 1,
  },
];

test.each(cases)('$name', async ({ path, first, status, body, sendCount }) => {
  await using running = await startTwoServerGateway('desk', first, respondOk);
  const response = await sendRequest(running.callerPort, path);
  expect(response.status).toBe(status);
  if (body !== undefined) expect(response.body).toBe(body);
  expect(running.countReceived()).toBe(sendCount);
});

test('the request reaches the server unchanged except for headers that the gateway sets or drops', async () => {
  let receivedRequest = '';
  await using backend = await startRawBackend((socket, request) => {
    receivedRequest = request;
    respondOk(socket, request);
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
  expect(receivedRequest).toMatch(/^POST \/orders\/a%20b\?x=1&y=%2F HTTP\/1\.1\r\n/);
  expect(receivedRequest).toContain('X-Other: kept\r\n');
  expect(receivedRequest).toContain('Test-Team: team-a\r\n');
  expect(receivedRequest).toContain('Test-Expected: one\r\n');
  expect(receivedRequest).toMatch(/\r\n\r\ntwo mules$/);
  for (const unwanted of ['forged', 'key-a', 'X-Hop', 'Test-Priority']) {
    expect(receivedRequest).not.toContain(unwanted);
  }
  const remainingMs = Number(/Test-Remaining: (\d+)/.exec(receivedRequest)?.[1]);
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
  const response = await sendRequest(running.callerPort, path, { key, body, headers });
  expect(response.status).toBe(status);
});

test('a 503 for lack of a server has a retry-after header', async () => {
  await using running = await startTestGateway({ servers: [makeServer('e', 'engines', 1)] });
  const response = await sendRequest(running.callerPort, '/orders/1');
  expect(Number(response.headers['retry-after'])).toBeGreaterThan(0);
});

test('an order without a response gets 504 at its deadline', async () => {
  await using backend = await startRawBackend(() => undefined);
  await using running = await startTestGateway({
    servers: [makeServer('one', 'desk', backend.port)],
  });
  const startedAtMs = performance.now();
  const response = await sendRequest(running.callerPort, '/orders/1', {
    headers: { 'Test-Remaining': '300' },
  });
  expect(response.status).toBe(504);
  expect(performance.now() - startedAtMs).toBeLessThan(300 + 500);
});

test('a lookup at an unresponsive server is retried at another server', async () => {
  await using unresponsive = await startRawBackend(() => undefined);
  await using healthy = await startRawBackend(respondOk);
  await using running = await startTestGateway({
    servers: [makeServer('a', 'desk', unresponsive.port), makeServer('b', 'desk', healthy.port)],
  });
  const responses = await Promise.all(
    [1, 2, 3, 4].map((id) => sendRequest(running.callerPort, `/stock/${id}`)),
  );
  expect(responses.map(({ status }) => status)).toEqual([200, 200, 200, 200]);
});

interface DisconnectCase {
  name: string;
  path: string;
  /** Whether the gateway closes the connection to the server when the caller disconnects. */
  closesConnection: boolean;
}

test.each<DisconnectCase>([
  // Guards against servers that keep working for a caller that has disconnected.
  { name: 'a lookup is cancelled', path: '/stock/1', closesConnection: true },
  { name: 'an order runs to its end', path: '/orders/1', closesConnection: false },
])('when the caller disconnects, $name', async ({ path, closesConnection }) => {
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
  if (closesConnection) await waitUntil(() => isClosed);
  else await sleep(CLOSE_WAIT_MS);
  expect(isClosed).toBe(closesConnection);
});

test('the log line of a request has the attempts, the outcome and the configuration version', async () => {
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

const SLOW_ANSWER_MS = 400;

// Guards against lookups that fail because their only server, which would have answered, took longer than usual.
test.each([
  { name: 'one server', servers: 1 },
  { name: 'the other server is draining', servers: 2 },
])('a lookup waits for a slow answer when no other server takes it: $name', async ({ servers }) => {
  await using backend = await startRawBackend((socket) => {
    setTimeout(() => {
      socket.write(
        'HTTP/1.1 200 OK\r\ntest-signature: s\r\ntest-attempt: attempt-1\r\ncontent-length: 2\r\n\r\nok',
      );
    }, SLOW_ANSWER_MS);
  });
  const draining = { ...makeServer('two', 'desk', backend.port), state: 'draining' as const };
  await using running = await startTestGateway({
    servers: [makeServer('one', 'desk', backend.port), draining].slice(0, servers),
  });
  const response = await sendRequest(running.callerPort, '/stock/1', { method: 'GET' });
  expect(response.status).toBe(200);
  expect(response.body).toBe('ok');
});
