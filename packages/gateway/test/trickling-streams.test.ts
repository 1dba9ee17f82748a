import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect, test } from 'vitest';
import { makeBundle, makeServer, sendRequest, startTestGateway } from './gateway-fixture';
import { startRawBackend } from './raw-backend';

const HEAD =
  'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n' +
  'test-attempt: attempt-1\r\ntest-signature: s\r\n\r\n';
const EVENTS = 4;
const TRICKLE_INTERVAL_MS = 300;
/** Time limit of the requests; a stream that goes on elsewhere ends well before it, in milliseconds. */
const TIME_LIMIT_MS = 12_000;
const MAX_DURATION_MS = 6_000;

interface TrickleCase {
  name: string;
  /** Events that the first server sends before it trickles. */
  eventsBefore: number;
  trickle: string;
}

const cases: TrickleCase[] = [
  { name: 'comments after two events', eventsBefore: 2, trickle: ':\n\n' },
  { name: 'bytes of an event after two events', eventsBefore: 2, trickle: 'd' },
  { name: 'comments before the first event', eventsBefore: 0, trickle: ':\n\n' },
  { name: 'bytes of an event before the first event', eventsBefore: 0, trickle: 'd' },
  { name: 'empty lines after one event', eventsBefore: 1, trickle: '\n' },
  { name: 'fields that are no event', eventsBefore: 1, trickle: 'retry: 10\n\n' },
];

function makeLongBundle() {
  const bundle = makeBundle();
  const routes = bundle.routes.map((route) => ({ ...route, timeoutMs: TIME_LIMIT_MS }));
  return { ...bundle, routes };
}

function writeChunk(socket: Socket, text: string): void {
  if (!socket.destroyed) socket.write(`${text.length.toString(16)}\r\n${text}\r\n`);
}

function writeEvents(socket: Socket, fromId: number, toId: number): void {
  for (let id = fromId; id <= toId; id += 1) writeChunk(socket, `id: ${id}\ndata: word\n\n`);
}

// Guards against a stream that is held until its time limit by a server that has stalled and sends a byte now and then, while
// a silent one goes on elsewhere.
test.each(cases)(
  'a resumable stream whose server has stalled goes on at another one: $name',
  async ({ eventsBefore, trickle }) => {
    let received = 0;
    const handle = async (socket: Socket, request: string) => {
      received += 1;
      const lastId = Number(/last-event-id: (\d+)/i.exec(request)?.[1] ?? 0);
      socket.write(HEAD);
      if (received > 1) {
        writeEvents(socket, lastId + 1, EVENTS);
        socket.write('0\r\n\r\n');
        return;
      }
      writeEvents(socket, 1, eventsBefore);
      while (!socket.destroyed) {
        await sleep(TRICKLE_INTERVAL_MS);
        writeChunk(socket, trickle);
      }
    };
    await using backend = await startRawBackend((socket, request) => void handle(socket, request));
    await using running = await startTestGateway({
      bundle: makeLongBundle(),
      servers: [0, 1, 2].map((index) => makeServer(`engine-${index}`, 'engines', backend.port)),
    });
    const startedAtMs = performance.now();
    const headers = { 'Test-Remaining': String(TIME_LIMIT_MS) };
    const { status, isComplete, body } = await sendRequest(running.callerPort, '/plan/1', {
      headers,
    });
    const ids = [...body.matchAll(/^id: (\d+)$/gm)].map(([, id]) => Number(id));
    expect({ status, isComplete, received }).toEqual({
      status: 200,
      isComplete: true,
      received: 2,
    });
    expect(ids).toEqual(Array.from({ length: EVENTS }, (_, index) => index + 1));
    expect(performance.now() - startedAtMs).toBeLessThan(MAX_DURATION_MS);
  },
);

// Guards against slow streams that are cut or moved although their server sends an event now and then.
test.each([{ intervalMs: 400 }, { intervalMs: 900 }])(
  'a stream with an event each $intervalMs ms stays at its server',
  async ({ intervalMs }) => {
    let received = 0;
    const handle = async (socket: Socket) => {
      received += 1;
      socket.write(HEAD);
      for (let id = 1; id <= EVENTS; id += 1) {
        writeEvents(socket, id, id);
        await sleep(intervalMs);
      }
      socket.write('0\r\n\r\n');
    };
    await using backend = await startRawBackend((socket) => void handle(socket));
    await using running = await startTestGateway({
      bundle: makeLongBundle(),
      servers: [0, 1, 2].map((index) => makeServer(`engine-${index}`, 'engines', backend.port)),
    });
    const headers = { 'Test-Remaining': String(TIME_LIMIT_MS) };
    const { status, isComplete } = await sendRequest(running.callerPort, '/plan/1', { headers });
    expect({ status, isComplete, received }).toEqual({
      status: 200,
      isComplete: true,
      received: 1,
    });
  },
);
