import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { hashName } from '@pollendrum/policy';
import { expect, test } from 'vitest';
import { computeOverdueAfterMs } from '../src/request-dispatcher';
import {
  makeBundle,
  makeRoute,
  makeServer,
  sendRequest,
  startTestGateway,
  startTwoServerGateway,
  waitUntil,
} from './gateway-fixture';
import { startRawBackend } from './raw-backend';
import type { RawHandler } from './raw-backend';

const RESPONSE_HEAD =
  'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n' +
  'test-attempt: attempt-1\r\n';
/** Head of a response whose end is the end of its connection. */
const UNFRAMED_HEAD =
  'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\nconnection: close\r\ntest-attempt: attempt-1\r\n';
const EVENT_COUNT = 6;
const CALLER_TIMEOUT_MS = 1_000;
const CALLER_COUNT = 160;
const CALLER_INTERVAL_MS = 50;
/** Time after which the prefill of a sent prompt counts as done, in milliseconds. */
const PREFILL_WAIT_MS = 450;

function writeChunk(socket: Socket, text: string): void {
  socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
}

function makeEvent(id: number): string {
  return `id: ${id}\ndata: word-${id}\n\n`;
}

const ALL_EVENTS = Array.from({ length: EVENT_COUNT }, (_, index) => makeEvent(index + 1)).join('');

function readLastEventId(request: string): number {
  return Number(/last-event-id: (\d+)/i.exec(request)?.[1] ?? 0);
}

/** Streams the events after the request's `Last-Event-Id`. */
const streamAll: RawHandler = (socket, request) => {
  socket.write(`${RESPONSE_HEAD}test-signature: second\r\n\r\n`);
  for (let id = readLastEventId(request) + 1; id <= EVENT_COUNT; id += 1) {
    writeChunk(socket, makeEvent(id));
  }
  socket.write('0\r\n\r\n');
};

/** Streams three events and a part of the fourth, then calls `fail`. */
function createFailingHandler(fail: (socket: Socket) => void): RawHandler {
  return (socket) => {
    socket.write(`${RESPONSE_HEAD}test-signature: first\r\n\r\n`);
    for (let id = 1; id <= 3; id += 1) writeChunk(socket, makeEvent(id));
    writeChunk(socket, 'id: 4\ndata: wo');
    void sleep(20).then(() => {
      fail(socket);
    });
  };
}

interface StreamCase {
  name: string;
  path: string;
  first: RawHandler;
  status: number | undefined;
  body: string;
  isComplete: boolean;
  sendCount: number;
}

const truncatedBody = [1, 2, 3].map(makeEvent).join('');

const cases: StreamCase[] = [
  {
    name: 'a complete stream is forwarded',
    path: '/chat/1',
    first: streamAll,
    status: 200,
    body: ALL_EVENTS,
    isComplete: true,
    sendCount: 1,
  },
  {
    // Guards against events that are lost, duplicated or joined from parts of two attempts.
    name: 'a resumable stream that is reset inside an event resumes at another server',
    path: '/plan/1',
    first: createFailingHandler((socket) => socket.resetAndDestroy()),
    status: 200,
    body: ALL_EVENTS,
    isComplete: true,
    sendCount: 2,
  },
  {
    name: 'a resumable stream that stalls resumes at another server',
    path: '/plan/1',
    first: createFailingHandler(() => undefined),
    status: 200,
    body: ALL_EVENTS,
    isComplete: true,
    sendCount: 2,
  },
  {
    name: 'a resumable stream that ends inside an event resumes at another server',
    path: '/plan/1',
    first: createFailingHandler((socket) => socket.end('0\r\n\r\n')),
    status: 200,
    body: ALL_EVENTS,
    isComplete: true,
    sendCount: 2,
  },
  {
    // Guards against a second run of a stream that is not resumable, and against a truncated response that looks
    // complete.
    name: 'a stream that is not resumable is truncated when its server fails',
    path: '/chat/1',
    first: createFailingHandler((socket) => socket.resetAndDestroy()),
    status: 200,
    body: truncatedBody,
    isComplete: false,
    sendCount: 1,
  },
  {
    name: 'a stream that the server refused to run is retried at another server',
    path: '/chat/1',
    first: (socket) =>
      socket.write(
        'HTTP/1.1 503 Full\r\ntest-not-run: 1\r\ntest-attempt: attempt-1\r\ncontent-length: 0\r\n\r\n',
      ),
    status: 200,
    body: ALL_EVENTS,
    isComplete: true,
    sendCount: 2,
  },
  {
    // Guards against a server that ends before its first event, whose connection closes without a reset, and a caller
    // that takes the empty response for a whole one.
    name: 'a stream without a length that ends before its first event gets 502',
    path: '/chat/1',
    first: (socket) => socket.end(`${UNFRAMED_HEAD}test-signature: first\r\n\r\n`),
    status: 502,
    body: '{"error":',
    isComplete: true,
    sendCount: 1,
  },
  {
    name: 'a resumable stream without a length that ends before its first event starts at another server',
    path: '/plan/1',
    first: (socket) => socket.end(`${UNFRAMED_HEAD}test-signature: first\r\n\r\n`),
    status: 200,
    body: ALL_EVENTS,
    isComplete: true,
    sendCount: 2,
  },
  {
    name: 'a stream without a length that ends after an event is complete',
    path: '/chat/1',
    first: (socket) => socket.end(`${UNFRAMED_HEAD}test-signature: first\r\n\r\n${ALL_EVENTS}`),
    status: 200,
    body: ALL_EVENTS,
    isComplete: true,
    sendCount: 1,
  },
  {
    name: 'a stream that is not resumable and fails before the response head gets 502',
    path: '/chat/1',
    first: (socket) => socket.resetAndDestroy(),
    status: 502,
    body: '{"error":',
    isComplete: true,
    sendCount: 1,
  },
];

test.each(cases)('$name', async ({ path, first, status, body, isComplete, sendCount }) => {
  await using running = await startTwoServerGateway('engines', first, streamAll);
  const response = await sendRequest(running.callerPort, path, {
    headers: { 'Test-Tokens': '100,50', 'Test-Parts': 'aa:60,bb:40' },
  });
  expect(response).toMatchObject({ status, isComplete });
  expect(response.body.startsWith(body)).toBe(true);
  expect(running.countReceived()).toBe(sendCount);
});

// Guards against a success without the server's signature.
test('a complete stream without events is forwarded with the head of its server', async () => {
  const sendEmpty: RawHandler = (socket) =>
    socket.write(`${RESPONSE_HEAD}test-signature: first\r\n\r\n0\r\n\r\n`);
  await using running = await startTwoServerGateway('engines', sendEmpty, sendEmpty);
  const response = await sendRequest(running.callerPort, '/chat/1');
  expect(response).toMatchObject({ status: 200, body: '', isComplete: true });
  expect(response.headers['test-signature']).toBe('first');
});

test('a resumed stream keeps the signature of its first server', async () => {
  let received = 0;
  await using backend = await startRawBackend((socket, request) => {
    received += 1;
    if (received > 1) streamAll(socket, request);
    else createFailingHandler((socket) => socket.resetAndDestroy())(socket, request);
  });
  await using running = await startTestGateway({
    servers: [
      makeServer('one', 'engines', backend.port),
      makeServer('two', 'engines', backend.port),
    ],
  });
  const response = await sendRequest(running.callerPort, '/plan/1');
  expect(response.headers['test-signature']).toBe('first');
  expect(response.body).toBe(ALL_EVENTS);
});

test('when the caller disconnects, the connection to the server is closed', async () => {
  let isClosed = false;
  let markReceived: () => void = () => undefined;
  const received = new Promise<void>((resolve) => (markReceived = resolve));
  await using backend = await startRawBackend((socket) => {
    socket.on('close', () => (isClosed = true));
    markReceived();
    socket.write(`${RESPONSE_HEAD}test-signature: first\r\n\r\n`);
    writeChunk(socket, makeEvent(1));
  });
  await using running = await startTestGateway({
    servers: [makeServer('one', 'engines', backend.port)],
  });
  await sendRequest(running.callerPort, '/chat/1', { disconnectAfter: received });
  await waitUntil(() => isClosed);
});

test('a stream that is incomplete at its deadline is truncated', async () => {
  await using backend = await startRawBackend((socket) => {
    socket.write(`${RESPONSE_HEAD}test-signature: first\r\n\r\n`);
    writeChunk(socket, makeEvent(1));
  });
  await using running = await startTestGateway({
    servers: [makeServer('one', 'engines', backend.port)],
  });
  const response = await sendRequest(running.callerPort, '/chat/1', {
    headers: { 'Test-Remaining': '300' },
  });
  expect(response).toMatchObject({ status: 200, isComplete: false, body: makeEvent(1) });
});

test('a server that accepts streams and sends nothing gets few of them', async () => {
  // The unresponsive server is the first choice for short prompts.
  const [unresponsiveId, healthyId] = ['engine-1', 'engine-2'].sort(
    (a, b) => hashName(a) - hashName(b),
  );
  let unresponsiveCount = 0;
  await using unresponsive = await startRawBackend(() => {
    unresponsiveCount += 1;
  });
  await using healthy = await startRawBackend(streamAll);
  const chat = makeRoute({
    ...{ name: 'chat', pathPrefix: '/chat/', kind: 'stream', pauseTargetMs: 200 },
    ...{ targetLatencyMs: 600, services: [{ service: 'engines', weight: 1 }] },
  });
  await using running = await startTestGateway({
    bundle: makeBundle({ routes: [chat] }),
    servers: [
      makeServer(unresponsiveId ?? '', 'engines', unresponsive.port),
      makeServer(healthyId ?? '', 'engines', healthy.port),
    ],
  });
  // Guards against an unresponsive server that looks idle whenever callers disconnect, and so gets the next streams.
  const callers: Promise<unknown>[] = [];
  for (let index = 0; index < CALLER_COUNT; index += 1) {
    const disconnectAfter = sleep(CALLER_TIMEOUT_MS);
    callers.push(sendRequest(running.callerPort, '/chat/1', { disconnectAfter }));
    await sleep(CALLER_INTERVAL_MS);
  }
  await Promise.all(callers);
  // Streams sent before the first is overdue are lost; after that, a tenth of the callers may probe the server again.
  const sendsBeforeOverdue = computeOverdueAfterMs(50) / CALLER_INTERVAL_MS;
  expect(unresponsiveCount).toBeGreaterThan(0);
  expect(unresponsiveCount).toBeLessThanOrEqual(sendsBeforeOverdue + CALLER_COUNT / 10);
});

// Guards against a second prefill of prompt parts that another server has cached, and against callers that name the
// server to fetch from.
test('a request names the server to fetch cached prompt parts from', async () => {
  const received: { port: number; request: string }[] = [];
  const createHandler = (getPort: () => number): RawHandler => {
    return (socket, request) => {
      received.push({ port: getPort(), request });
      // The first request gets no response, so that the second request goes to the other server.
      if (received.length > 1) streamAll(socket, request);
    };
  };
  await using one = await startRawBackend(createHandler(() => one.port));
  await using two = await startRawBackend(createHandler(() => two.port));
  const plan = makeRoute({
    ...{ name: 'plan', pathPrefix: '/plan/', kind: 'stream', targetLatencyMs: 400 },
    services: [{ service: 'engines', weight: 1 }],
  });
  await using running = await startTestGateway({
    bundle: makeBundle({ routes: [plan] }),
    servers: [makeServer('one', 'engines', one.port), makeServer('two', 'engines', two.port)],
  });
  const send = (uniqueId: string, disconnectAfter?: Promise<void>) =>
    sendRequest(running.callerPort, '/plan/1', {
      headers: {
        'Test-Tokens': '6000,100',
        'Test-Parts': `shared:5000,${uniqueId}:1000`,
        'Test-Cache-Source': '127.0.0.9:9',
      },
      ...(disconnectAfter === undefined ? {} : { disconnectAfter }),
    });
  const waiting = send('first', sleep(PREFILL_WAIT_MS + 200));
  await sleep(PREFILL_WAIT_MS);
  expect((await send('second')).status).toBe(200);
  await waiting;
  const [first, second] = received;
  expect(first?.request).not.toContain('Test-Cache-Source');
  expect(second?.port).not.toBe(first?.port);
  expect(second?.request).toContain(`Test-Cache-Source: 127.0.0.1:${first?.port}\r\n`);
});
