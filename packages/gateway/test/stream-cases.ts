import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect } from 'vitest';
import {
  makeBundle,
  makeRoute,
  makeServer,
  sendRequest,
  startTestGateway,
} from './gateway-fixture';
import type { CallerResponse, TestGateway } from './gateway-fixture';
import { startRawBackend } from './raw-backend';
import type { RawHandler } from './raw-backend';

export const EVENT_COUNT = 6;
export const SENT_BEFORE_BREAK = 3;
/** Time for the gateway to read what a server sent before the server breaks off, in milliseconds. */
export const READ_WAIT_MS = 40;
export const ERROR_TEXT = 'upstream failed\n\nat worker 3\n\n';
export const ID = 'test-attempt: attempt-1\r\n';
export const SIGNED = `${ID}test-signature: second\r\n`;
export const EVENT_STREAM = 'content-type: text/event-stream\r\n';
export const CHUNKED = 'transfer-encoding: chunked\r\n';
const CLOSE = 'connection: close\r\n';

function makeEvent(id: number): string {
  return `id: ${id}\ndata: word-${id}\n\n`;
}

export function makeEvents(first: number, last: number): string {
  return Array.from({ length: Math.max(0, last - first + 1) }, (_, index) =>
    makeEvent(first + index),
  ).join('');
}

export const ALL_EVENTS = makeEvents(1, EVENT_COUNT);

export function encodeChunk(text: string): string {
  return text === '' ? '' : `${Buffer.byteLength(text).toString(16)}\r\n${text}\r\n`;
}

function readLastEventId(received: string): number {
  return Number(/last-event-id: (\d+)/i.exec(received)?.[1] ?? 0);
}

export interface FirstCase {
  name: string;
  handle: RawHandler;
}

/** Streams the first events and `partial`, waits until they are read, then calls `fail`. */
function createBreakingHandler(
  isChunked: boolean,
  partial: string,
  fail: (socket: Socket) => void,
): RawHandler {
  return (socket) => {
    const encode = isChunked ? encodeChunk : (text: string) => text;
    socket.write(`HTTP/1.1 200 OK\r\n${EVENT_STREAM}${isChunked ? CHUNKED : CLOSE}`);
    socket.write(`${ID}test-signature: first\r\n\r\n`);
    for (let id = 1; id <= SENT_BEFORE_BREAK; id += 1) socket.write(encode(makeEvent(id)));
    if (partial !== '') socket.write(encode(partial));
    void sleep(READ_WAIT_MS).then(() => {
      fail(socket);
    });
  };
}

const PARTIAL_EVENT = 'id: 4\ndata: wo';
const reset = (socket: Socket) => socket.resetAndDestroy();
const end = (socket: Socket) => socket.end();

export const firstCases: FirstCase[] = [
  { name: 'reset inside an event', handle: createBreakingHandler(true, PARTIAL_EVENT, reset) },
  { name: 'reset between events', handle: createBreakingHandler(true, '', reset) },
  { name: 'reset without a length', handle: createBreakingHandler(false, '', reset) },
  { name: 'cut off between chunks', handle: createBreakingHandler(true, '', end) },
  {
    name: 'cut off inside a chunk',
    handle: createBreakingHandler(true, '', (socket) => socket.end('40\r\nid: 4\ndata: wo')),
  },
  {
    name: 'ended in order inside an event',
    handle: createBreakingHandler(true, PARTIAL_EVENT, (socket) => socket.end('0\r\n\r\n')),
  },
  {
    name: 'ended without a length inside an event',
    handle: createBreakingHandler(false, PARTIAL_EVENT, end),
  },
];
export const silentCase: FirstCase = {
  name: 'silent inside an event',
  handle: createBreakingHandler(true, PARTIAL_EVENT, () => undefined),
};

export interface SecondCase {
  name: string;
  handle: RawHandler;
}

/** Answers with a status line and headers; the body has a length. */
export function createAnswer(status: string, headers: string, body: string): RawHandler {
  return (socket) =>
    socket.write(`HTTP/1.1 ${status}\r\n${headers}content-length: ${body.length}\r\n\r\n${body}`);
}

/** Streams what `build` makes of the last event id, then calls `finish`. */
export function createStream(
  build: (lastEventId: number) => string,
  finish: (socket: Socket) => void = (socket) => socket.write('0\r\n\r\n'),
  headers: string = SIGNED,
): RawHandler {
  return (socket, received) => {
    socket.write(`HTTP/1.1 200 OK\r\n${EVENT_STREAM}${CHUNKED}${headers}\r\n`);
    socket.write(encodeChunk(build(readLastEventId(received))));
    finish(socket);
  };
}

/** Streams what `build` makes of the last event id; the end of the connection ends the body. */
export function createUnframedStream(
  build: (lastEventId: number) => string,
  contentType = EVENT_STREAM,
): RawHandler {
  return (socket, received) =>
    socket.end(
      `HTTP/1.1 200 OK\r\n${contentType}${CLOSE}${SIGNED}\r\n${build(readLastEventId(received))}`,
    );
}

export const resumeAll: RawHandler = createStream((last) => makeEvents(last + 1, EVENT_COUNT));
export const TEXT = 'content-type: text/plain\r\n';
export const RAW_ERROR = `HTTP/1.1 500 Internal Server Error\r\n${TEXT}content-length: ${ERROR_TEXT.length}\r\n\r\n${ERROR_TEXT}`;

const ERROR_STATUSES = [
  '301 Moved',
  '302 Found',
  '400 Bad Request',
  '404 Not Found',
  '410 Gone',
  '421 Misdirected Request',
  '429 Too Many Requests',
  '500 Internal Server Error',
  '502 Bad Gateway',
  '503 Service Unavailable',
  '504 Gateway Timeout',
];

export const errorCases: SecondCase[] = ERROR_STATUSES.flatMap((status) => [
  { name: `${status} with a length`, handle: createAnswer(status, TEXT + ID, ERROR_TEXT) },
  { name: `${status}, signed`, handle: createAnswer(status, TEXT + SIGNED, ERROR_TEXT) },
  {
    name: `${status}, signed, as an event stream`,
    handle: createAnswer(status, EVENT_STREAM + SIGNED, makeEvents(4, EVENT_COUNT)),
  },
  {
    name: `${status}, not run`,
    handle: createAnswer(status, `${TEXT}${ID}test-not-run: 1\r\n`, ERROR_TEXT),
  },
  {
    name: `${status}, signed, in chunks`,
    handle: (socket) =>
      socket.write(
        `HTTP/1.1 ${status}\r\n${TEXT}${SIGNED}${CHUNKED}\r\n${encodeChunk(ERROR_TEXT)}0\r\n\r\n`,
      ),
  },
  {
    name: `${status}, signed, ended by its connection`,
    handle: (socket) =>
      socket.end(`HTTP/1.1 ${status}\r\n${TEXT}${CLOSE}${SIGNED}\r\n${ERROR_TEXT}`),
  },
]);

export const otherCases: SecondCase[] = [
  {
    name: '200 without a signature',
    handle: createStream((last) => makeEvents(last + 1, EVENT_COUNT), undefined, ID),
  },
  {
    name: '200 with an encoding',
    handle: createStream(
      (last) => makeEvents(last + 1, EVENT_COUNT),
      undefined,
      `${SIGNED}content-encoding: gzip\r\n`,
    ),
  },
  {
    name: "200 with another request's id",
    handle: createStream(
      () => ERROR_TEXT,
      undefined,
      'test-attempt: attempt-9\r\ntest-signature: second\r\n',
    ),
  },
  {
    name: '200 without a request id',
    handle: createStream(
      (last) => makeEvents(last + 1, EVENT_COUNT),
      undefined,
      'test-signature: second\r\n',
    ),
  },
  {
    name: '204',
    handle: (socket) => socket.write(`HTTP/1.1 204 No Content\r\n${SIGNED}\r\n`),
  },
  {
    name: '206',
    handle: createAnswer('206 Partial Content', EVENT_STREAM + SIGNED, makeEvents(4, EVENT_COUNT)),
  },
  {
    name: 'an error head inside the chunks',
    handle: createStream(
      (last) => makeEvents(last + 1, last + 1),
      (socket) => socket.end(RAW_ERROR),
    ),
  },
  {
    name: 'a reset after some events',
    handle: createStream(
      (last) => makeEvents(last + 1, last + 2),
      (socket) => void sleep(READ_WAIT_MS).then(() => socket.resetAndDestroy()),
    ),
  },
  {
    name: 'an event stream without a length that is empty',
    handle: createUnframedStream(() => ''),
  },
  { name: 'bytes that are no answer', handle: (socket) => socket.end(ERROR_TEXT) },
  { name: 'a closed connection', handle: (socket) => socket.end() },
];

/** Attempts of the route that the cases use. */
export const MAX_ATTEMPTS = 3;

export type RunningCase = TestGateway & { countReceived(): number };

/** Starts a gateway and three servers; the nth handler handles the nth request, the last one all later requests. */
export async function startCase(
  handlers: readonly RawHandler[],
  maxAttempts = MAX_ATTEMPTS,
  serverCount = 3,
): Promise<RunningCase> {
  let received = 0;
  const handle: RawHandler = (socket, text) => {
    const handler = handlers[Math.min(received, handlers.length - 1)];
    received += 1;
    handler?.(socket, text);
  };
  const backends = await Promise.all(
    Array.from({ length: serverCount }, () => startRawBackend(handle)),
  );
  const plan = makeRoute({
    ...{ name: 'plan', pathPrefix: '/plan/', kind: 'stream', isResumable: true, maxAttempts },
    ...{ pauseTargetMs: 300, timeoutMs: 10_000, services: [{ service: 'engines', weight: 1 }] },
  });
  const running = await startTestGateway({
    bundle: makeBundle({ routes: [plan] }),
    servers: backends.map(({ port }, index) => makeServer(`engine-${index}`, 'engines', port)),
  });
  return {
    ...running,
    countReceived: () => received,
    async [Symbol.asyncDispose]() {
      await running[Symbol.asyncDispose]();
      for (const backend of backends) await backend[Symbol.asyncDispose]();
    },
  };
}

export function sendPlan(port: number, remainingMs = 8_000): Promise<CallerResponse> {
  return sendRequest(port, '/plan/1', { headers: { 'Test-Remaining': String(remainingMs) } });
}

/** Checks that the caller has whole events in order of one stream, and a complete end only after the last event. */
export function checkSoundStream(response: CallerResponse): void {
  const eventCount = response.body.split('\n\n').length - 1;
  expect(response.body).toBe(makeEvents(1, eventCount));
  expect(eventCount).toBeGreaterThanOrEqual(SENT_BEFORE_BREAK);
  expect(response.status).toBe(200);
  expect(response.headers['test-signature']).toBe('first');
  expect(response.headers['content-type']).toBe('text/event-stream');
  if (response.isComplete) expect(response.body).toBe(ALL_EVENTS);
}

/** Each way in which a first server breaks off, followed by each answer of a second server. */
export function listCombinations(
  seconds: readonly SecondCase[],
  firsts: readonly FirstCase[] = firstCases,
): { name: string; first: RawHandler; second: RawHandler }[] {
  return seconds.flatMap((second) =>
    firsts.map((first) => ({
      name: `${first.name}, then ${second.name}`,
      first: first.handle,
      second: second.handle,
    })),
  );
}
