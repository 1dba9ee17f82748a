import { setTimeout as sleep } from 'node:timers/promises';
import { expect, test } from 'vitest';
import { ReclaimedServers } from '../src/reclaimed-servers';
import { makeServer, sendRequest, startTestGateway, waitUntil } from './gateway-fixture';
import { startRawBackend } from './raw-backend';
import type { RawHandler } from './raw-backend';
import {
  ALL_EVENTS,
  CHUNKED,
  encodeChunk,
  EVENT_COUNT,
  EVENT_STREAM,
  ID,
  makeEvents,
  resumeAll,
  SENT_BEFORE_BREAK,
  sendPlan,
  startCase,
} from './stream-cases';
import type { RunningCase } from './stream-cases';

const LEAVES_IN_MS = 500;
/** Time after which a silent stream is resumed without a notice, in milliseconds. */
const SILENCE_MS = 1_000;

/** Streams the first events and the others only after a delay. */
function createSlowStream(restAfterMs: number): RawHandler {
  return (socket) => {
    socket.write(`HTTP/1.1 200 OK\r\n${EVENT_STREAM}${CHUNKED}${ID}test-signature: first\r\n\r\n`);
    socket.write(encodeChunk(makeEvents(1, SENT_BEFORE_BREAK)));
    void sleep(restAfterMs).then(() => {
      socket.write(`${encodeChunk(makeEvents(SENT_BEFORE_BREAK + 1, EVENT_COUNT))}0\r\n\r\n`);
    });
  };
}

function readServerId(received: string): string {
  return /test-expected: (\S+)/i.exec(received)?.[1] ?? '';
}

/** Marks a server as taken back, as its own entry does. */
async function startReclaim({ store }: RunningCase, serverId: string, leavesInMs: number) {
  const { object } = await store.readObject('servers', serverId);
  store.put('servers', serverId, { ...(object?.spec as object), state: 'draining', leavesInMs });
}

// Guards against streams that are noticed only when they have been silent for long, after their server is gone.
test.each([
  { name: 'moves before the server is gone', restAfterMs: 5_000, servers: 3, requests: 2 },
  { name: 'ends at its server in time', restAfterMs: 100, servers: 3, requests: 1, inMs: 2_000 },
  { name: 'stays if no other server is left', restAfterMs: 700, servers: 1, requests: 1 },
])('a resumable stream on a server that is taken back $name', async (streamCase) => {
  const { restAfterMs, servers, requests, inMs = LEAVES_IN_MS } = streamCase;
  let serverId = '';
  const first: RawHandler = (socket, received) => {
    serverId = readServerId(received);
    createSlowStream(restAfterMs)(socket, received);
  };
  await using running = await startCase([first, resumeAll], 3, servers);
  const sent = sendPlan(running.callerPort);
  await waitUntil(() => serverId !== '');
  const toldAtMs = performance.now();
  await startReclaim(running, serverId, inMs);
  const response = await sent;
  expect(response).toMatchObject({ isComplete: true, body: ALL_EVENTS });
  expect(running.countReceived()).toBe(requests);
  expect(performance.now() - toldAtMs).toBeLessThan(SILENCE_MS);
});

// Guards against new work on a server that is gone seconds later.
test('a server that is taken back gets no further requests', async () => {
  const received: string[] = [];
  const handler: RawHandler = (socket, text) => {
    received.push(readServerId(text));
    resumeAll(socket, text);
  };
  await using running = await startCase([handler]);
  await startReclaim(running, 'engine-0', 2_000);
  await waitUntil(() => running.lines.some(({ message }) => message === 'backend server leaves'));
  for (let count = 0; count < 20; count += 1) await sendPlan(running.callerPort);
  expect(received).toHaveLength(20);
  expect(received).not.toContain('engine-0');
});

// Guards against requests that are held back as crashing because their server was taken back.
test.each([
  { leavesInMs: 2_000, isReported: false },
  { leavesInMs: undefined, isReported: true },
])('the end of a server that leaves in $leavesInMs is a crash: $isReported', async (crashCase) => {
  const { leavesInMs, isReported } = crashCase;
  let hasRequest = false;
  await using backend = await startRawBackend(() => (hasRequest = true));
  const server = makeServer('one', 'engines', backend.port);
  await using running = await startTestGateway({ servers: [server] });
  const sent = sendRequest(running.callerPort, '/chat/1');
  await waitUntil(() => hasRequest);
  running.store.put('servers', 'one', { ...server, state: 'draining', leavesInMs });
  await waitUntil(() => running.lines.some(({ message }) => message === 'backend server leaves'));
  await backend.crash();
  await sent;
  await sleep(100);
  const messages = running.lines.map(({ message }) => message);
  expect(messages.includes('backend server ended during a request')).toBe(isReported);
});

test('the earliest stated time counts, and watches end', () => {
  const reclaimed = new ReclaimedServers();
  const times: number[] = [];
  const endWatch = reclaimed.watch('one', (leavesAtMs) => times.push(leavesAtMs));
  reclaimed.record('one', 2_000, 0);
  reclaimed.record('one', 2_500, 100);
  reclaimed.record('one', 1_500, 200);
  reclaimed.record('two', 900, 200);
  expect(times).toEqual([2_000, 1_500]);
  reclaimed.watch('one', (leavesAtMs) => times.push(leavesAtMs))();
  endWatch();
  reclaimed.record('one', 1_000, 300);
  expect(times).toEqual([2_000, 1_500, 1_500]);
  reclaimed.record('three', 70_000, 65_000);
  expect(['one', 'two', 'three'].map((key) => reclaimed.has(key))).toEqual([false, false, true]);
});
