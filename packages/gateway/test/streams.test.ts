import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { hashName } from '@pollendrum/policy';
import { expect, test } from 'vitest';
import { computeOverdueMs } from '../src/request-dispatcher';
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

const HEAD =
  'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n' +
  'test-attempt: attempt-1\r\n';
const EVENT_COUNT = 6;
const CALLER_PATIENCE_MS = 1_000;
const CALLERS = 160;
const CALLER_INTERVAL_MS = 50;
/** After this time a prompt that was sent counts as read. */
const LONGER_THAN_READING_MS = 450;

function writeChunk(socket: Socket, text: string): void {
  socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
}

function makeEvent(id: number): string {
  return `id: ${id}\ndata: word-${id}\n\n`;
}

const WHOLE = Array.from({ length: EVENT_COUNT }, (_, index) => makeEvent(index + 1)).join('');

function readLastEventId(request: string): number {
  return Number(/last-event-id: (\d+)/i.exec(request)?.[1] ?? 0);
}

/** Streams the events after the one that the request names. */
const streamAll: RawHandler = (socket, request) => {
  socket.write(`${HEAD}test-signature: second\r\n\r\n`);
  for (let id = readLastEventId(request) + 1; id <= EVENT_COUNT; id += 1) {
    writeChunk(socket, makeEvent(id));
  }
  socket.write('0\r\n\r\n');
};

/** Streams three events and a part of the fourth, then does what the test says. */
function createBreakingHandler(breakOff: (socket: Socket) => void): RawHandler {
  return (socket) => {
    socket.write(`${HEAD}test-signature: first\r\n\r\n`);
    for (let id = 1; id <= 3; id += 1) writeChunk(socket, makeEvent(id));
    writeChunk(socket, 'id: 4\ndata: wo');
    void sleep(20).then(() => {
      breakOff(socket);
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
  sends: number;
}

const brokenBody = [1, 2, 3].map(makeEvent).join('');

const cases: StreamCase[] = [
  {
    name: 'a stream is passed on whole',
    path: '/chat/1',
    first: streamAll,
    status: 200,
    body: WHOLE,
    isComplete: true,
    sends: 1,
  },
  {
    // Guards against pieces that are missing, come twice or are joined from halves of two runs.
    name: 'a resumable stream that is reset inside an event goes on at another server',
    path: '/plan/1',
    first: createBreakingHandler((socket) => socket.resetAndDestroy()),
    status: 200,
    body: WHOLE,
    isComplete: true,
    sends: 2,
  },
  {
    name: 'a resumable stream that falls silent goes on at another server',
    path: '/plan/1',
    first: createBreakingHandler(() => undefined),
    status: 200,
    body: WHOLE,
    isComplete: true,
    sends: 2,
  },
  {
    name: 'a resumable stream that ends inside an event goes on at another server',
    path: '/plan/1',
    first: createBreakingHandler((socket) => socket.end('0\r\n\r\n')),
    status: 200,
    body: WHOLE,
    isComplete: true,
    sends: 2,
  },
  {
    // Guards against a second run of a stream that must not be repeated, and against one that looks complete.
    name: 'a stream that must not be repeated breaks off',
    path: '/chat/1',
    first: createBreakingHandler((socket) => socket.resetAndDestroy()),
    status: 200,
    body: brokenBody,
    isComplete: false,
    sends: 1,
  },
  {
    name: 'a stream that the server refused to run goes to another server',
    path: '/chat/1',
    first: (socket) =>
      socket.write('HTTP/1.1 503 Full\r\ntest-not-run: 1\r\ncontent-length: 0\r\n\r\n'),
    status: 200,
    body: WHOLE,
    isComplete: true,
    sends: 2,
  },
  {
    name: 'a stream that must not be repeated and breaks before its head gets 502',
    path: '/chat/1',
    first: (socket) => socket.resetAndDestroy(),
    status: 502,
    body: '{"error":',
    isComplete: true,
    sends: 1,
  },
];

test.each(cases)('$name', async ({ path, first, status, body, isComplete, sends }) => {
  await using running = await startTwoServerGateway('engines', first, streamAll);
  const answer = await sendRequest(running.callerPort, path, {
    headers: { 'Test-Tokens': '100,50', 'Test-Parts': 'aa:60,bb:40' },
  });
  expect(answer).toMatchObject({ status, isComplete });
  expect(answer.body.startsWith(body)).toBe(true);
  expect(running.countReceived()).toBe(sends);
});

test('a continued stream keeps the signature of its first server', async () => {
  let received = 0;
  await using backend = await startRawBackend((socket, request) => {
    received += 1;
    if (received > 1) streamAll(socket, request);
    else createBreakingHandler((broken) => broken.resetAndDestroy())(socket, request);
  });
  await using running = await startTestGateway({
    servers: [
      makeServer('one', 'engines', backend.port),
      makeServer('two', 'engines', backend.port),
    ],
  });
  const answer = await sendRequest(running.callerPort, '/plan/1');
  expect(answer.headers['test-signature']).toBe('first');
  expect(answer.body).toBe(WHOLE);
});

test('when the caller leaves, the server stops', async () => {
  let isClosed = false;
  let markReceived: () => void = () => undefined;
  const received = new Promise<void>((resolve) => (markReceived = resolve));
  await using backend = await startRawBackend((socket) => {
    socket.on('close', () => (isClosed = true));
    markReceived();
    socket.write(`${HEAD}test-signature: first\r\n\r\n`);
    writeChunk(socket, makeEvent(1));
  });
  await using running = await startTestGateway({
    servers: [makeServer('one', 'engines', backend.port)],
  });
  await sendRequest(running.callerPort, '/chat/1', { disconnectAfter: received });
  await waitUntil(() => isClosed);
});

test('a stream that is not complete at its time limit breaks off', async () => {
  await using backend = await startRawBackend((socket) => {
    socket.write(`${HEAD}test-signature: first\r\n\r\n`);
    writeChunk(socket, makeEvent(1));
  });
  await using running = await startTestGateway({
    servers: [makeServer('one', 'engines', backend.port)],
  });
  const answer = await sendRequest(running.callerPort, '/chat/1', {
    headers: { 'Test-Remaining': '300' },
  });
  expect(answer).toMatchObject({ status: 200, isComplete: false, body: makeEvent(1) });
});

test('a server that takes streams and says nothing gets few of them', async () => {
  // The mute one is the first choice of short prompts.
  const [muteId, healthyId] = ['engine-1', 'engine-2'].sort((a, b) => hashName(a) - hashName(b));
  let muteCount = 0;
  await using mute = await startRawBackend(() => {
    muteCount += 1;
  });
  await using healthy = await startRawBackend(streamAll);
  const chat = makeRoute({
    ...{ name: 'chat', pathPrefix: '/chat/', kind: 'stream', pauseTargetMs: 200 },
    ...{ targetLatencyMs: 600, services: [{ service: 'engines', weight: 1 }] },
  });
  await using running = await startTestGateway({
    bundle: makeBundle({ routes: [chat] }),
    servers: [
      makeServer(muteId ?? '', 'engines', mute.port),
      makeServer(healthyId ?? '', 'engines', healthy.port),
    ],
  });
  // Guards against a mute server that looks idle each time that its callers have left, and gets the next ones.
  const callers: Promise<unknown>[] = [];
  for (let index = 0; index < CALLERS; index += 1) {
    const leaveAfter = sleep(CALLER_PATIENCE_MS);
    callers.push(sendRequest(running.callerPort, '/chat/1', { disconnectAfter: leaveAfter }));
    await sleep(CALLER_INTERVAL_MS);
  }
  await Promise.all(callers);
  // What is sent before the first one is overdue is lost; after that a tenth of the callers may find out again.
  const beforeOverdue = computeOverdueMs(50) / CALLER_INTERVAL_MS;
  expect(muteCount).toBeGreaterThan(0);
  expect(muteCount).toBeLessThanOrEqual(beforeOverdue + CALLERS / 10);
});

// Guards against prompts that are read again although another server has them cached, and against callers that
// name a server to fetch from.
test('a server is told where to fetch cached parts of a prompt', async () => {
  const received: { port: number; request: string }[] = [];
  const createHandler = (getPort: () => number): RawHandler => {
    return (socket, request) => {
      received.push({ port: getPort(), request });
      // The first request waits, so that the next one goes to the other server.
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
  const send = (own: string, leaveAfter?: Promise<void>) =>
    sendRequest(running.callerPort, '/plan/1', {
      headers: {
        'Test-Tokens': '6000,100',
        'Test-Parts': `shared:5000,${own}:1000`,
        'Test-Cache-Source': '127.0.0.9:9',
      },
      ...(leaveAfter === undefined ? {} : { disconnectAfter: leaveAfter }),
    });
  const waiting = send('first', sleep(LONGER_THAN_READING_MS + 200));
  await sleep(LONGER_THAN_READING_MS);
  expect((await send('second')).status).toBe(200);
  await waiting;
  const [first, second] = received;
  expect(first?.request).not.toContain('Test-Cache-Source');
  expect(second?.port).not.toBe(first?.port);
  expect(second?.request).toContain(`Test-Cache-Source: 127.0.0.1:${first?.port}\r\n`);
});
