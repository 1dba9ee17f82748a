import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect, test } from 'vitest';
import { FakeStore } from './fake-store';
import {
  makeBundle,
  makeServer,
  sendRequest,
  startTestGateway,
  startTwoServerGateway,
} from './gateway-fixture';
import { startGatewayFleet } from './gateway-fleet';
import { startRawBackend } from './raw-backend';
import type { RawHandler } from './raw-backend';

const PART_DELAY_MS = 20;
const REFUSAL = 'HTTP/1.1 503 Full\r\ntest-not-run: 1\r\n';
const OWN_ID = 'test-attempt: attempt-1\r\n';
const SIGNATURE = 'test-signature: s1\r\n';

function makeAnswer(headers: string, body: string): string {
  return `HTTP/1.1 200 OK\r\n${headers}content-length: ${body.length}\r\n\r\n${body}`;
}

function writeText(text: string): RawHandler {
  return (socket) => socket.write(text);
}

const answerOrder = writeText(makeAnswer(SIGNATURE + OWN_ID, 'own'));

async function writeParts(socket: Socket, parts: readonly string[]): Promise<void> {
  for (const part of parts) {
    socket.write(part);
    await sleep(PART_DELAY_MS);
  }
}

interface AnswerCase {
  name: string;
  path: string;
  /** Answers the first request that a server receives; later requests get their own answer. */
  first: RawHandler;
  status: number;
  sendCount: number;
}

const unidentifiedCases: AnswerCase[] = [
  {
    name: 'an order, a refusal',
    path: '/orders/1',
    first: writeText(`${REFUSAL}content-length: 0\r\n\r\n`),
    status: 502,
    sendCount: 1,
  },
  {
    name: 'an order, a 421',
    path: '/orders/1',
    first: writeText('HTTP/1.1 421 Misdirected\r\ncontent-length: 0\r\n\r\n'),
    status: 502,
    sendCount: 1,
  },
  {
    name: 'an order, a refusal in chunks',
    path: '/orders/1',
    first: writeText(`${REFUSAL}transfer-encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n`),
    status: 502,
    sendCount: 1,
  },
  {
    name: 'an order, a refusal in two halves',
    path: '/orders/1',
    first: (socket) => {
      void writeParts(socket, [REFUSAL, 'content-length: 0\r\n\r\n']);
    },
    status: 502,
    sendCount: 1,
  },
  {
    name: 'an order, a refusal after a 103 head with the id',
    path: '/orders/1',
    first: writeText(
      `HTTP/1.1 103 Early Hints\r\n${OWN_ID}\r\n${REFUSAL}content-length: 0\r\n\r\n`,
    ),
    status: 502,
    sendCount: 1,
  },
  {
    name: 'an order, two refusals at once',
    path: '/orders/1',
    first: writeText(`${REFUSAL}content-length: 0\r\n\r\n`.repeat(2)),
    status: 502,
    sendCount: 1,
  },
  {
    name: 'an order, a success',
    path: '/orders/1',
    first: writeText(makeAnswer(SIGNATURE, 'theirs')),
    status: 502,
    sendCount: 1,
  },
  {
    name: 'a stream, a refusal',
    path: '/chat/1',
    first: writeText(`${REFUSAL}content-length: 0\r\n\r\n`),
    status: 502,
    sendCount: 1,
  },
  {
    name: 'a stream, a success',
    path: '/chat/1',
    first: writeText(makeAnswer(SIGNATURE, 'data: theirs\n\n')),
    status: 502,
    sendCount: 1,
  },
  {
    name: 'a lookup, a success',
    path: '/stock/1',
    first: writeText(makeAnswer(SIGNATURE, 'theirs')),
    status: 200,
    sendCount: 2,
  },
];

// Guards against an answer of another request that makes an order run twice, or be refused though it has run, or that
// reaches the wrong caller.
test.each(unidentifiedCases)(
  '$name: answered without its request id',
  async ({ path, first, status, sendCount }) => {
    const service = path.startsWith('/chat/') ? 'engines' : 'desk';
    await using running = await startTwoServerGateway(service, first, answerOrder);
    const response = await sendRequest(running.callerPort, path, { body: 'two mules' });
    expect(response.status).toBe(status);
    expect(response.body).not.toContain('theirs');
    expect(running.countReceived()).toBe(sendCount);
  },
);

const identifiedCases: AnswerCase[] = [
  {
    name: 'a refusal in two halves is retried',
    path: '/orders/1',
    first: (socket) => {
      void writeParts(socket, [REFUSAL, `${OWN_ID}content-length: 0\r\n\r\n`]);
    },
    status: 200,
    sendCount: 2,
  },
  {
    name: 'a refusal in chunks is retried',
    path: '/orders/1',
    first: writeText(`${REFUSAL}${OWN_ID}transfer-encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n`),
    status: 200,
    sendCount: 2,
  },
  {
    name: 'a refusal that breaks off in its body proves nothing',
    path: '/orders/1',
    first: (socket) => socket.end(`${REFUSAL}${OWN_ID}content-length: 4\r\n\r\nfu`),
    status: 502,
    sendCount: 1,
  },
  {
    name: 'a 103 head with the not-run header proves nothing',
    path: '/orders/1',
    first: writeText(
      `HTTP/1.1 103 Early Hints\r\ntest-not-run: 1\r\n\r\n${makeAnswer(SIGNATURE + OWN_ID, 'own')}`,
    ),
    status: 200,
    sendCount: 1,
  },
];

// Guards against a refusal that is taken in before it is whole, and against a true one that is not believed.
test.each(identifiedCases)(
  'answered with its request id: $name',
  async ({ path, first, status, sendCount }) => {
    await using running = await startTwoServerGateway('desk', first, answerOrder);
    expect((await sendRequest(running.callerPort, path)).status).toBe(status);
    expect(running.countReceived()).toBe(sendCount);
  },
);

test('a caller without a request id gets an answer without one', async () => {
  const answer = writeText(makeAnswer(SIGNATURE, 'own'));
  await using running = await startTwoServerGateway(
    'desk',
    writeText(`${REFUSAL}content-length: 0\r\n\r\n`),
    answer,
  );
  const response = await sendRequest(running.callerPort, '/orders/1', { omitsRequestId: true });
  expect(response).toMatchObject({ status: 200, body: 'own' });
  expect(running.countReceived()).toBe(2);
});

const LATE_MS = 100;

interface OutOfStepCase {
  name: string;
  /** Written in place of the answer to the first order, whose own answer follows. */
  foreign: string;
  omitsRequestId: boolean;
}

// Guards against the late answer of one request that the next request on the connection gets.
test.each<OutOfStepCase>([
  {
    name: 'a refusal of another order, then an order',
    foreign: `${REFUSAL}test-attempt: other\r\ncontent-length: 0\r\n\r\n`,
    omitsRequestId: false,
  },
  {
    name: 'a refusal of another order, then an order without an id',
    foreign: `${REFUSAL}test-attempt: other\r\ncontent-length: 0\r\n\r\n`,
    omitsRequestId: true,
  },
  {
    name: 'a refusal without an id, then an order',
    foreign: `${REFUSAL}content-length: 0\r\n\r\n`,
    omitsRequestId: false,
  },
  {
    name: 'a success of another order whose body does not end, then an order',
    foreign: `HTTP/1.1 200 OK\r\n${SIGNATURE}test-attempt: other\r\ncontent-length: 9\r\n\r\nth`,
    omitsRequestId: false,
  },
])('a connection out of step is closed: $name', async ({ foreign, omitsRequestId }) => {
  await using backend = await startRawBackend((socket, request) => {
    const id = /test-attempt: (\S+)/i.exec(request)?.[1];
    const idHeader = id === undefined ? '' : `test-attempt: ${id}\r\n`;
    const answer = makeAnswer(SIGNATURE + idHeader, id ?? 'none');
    if (id === 'first') socket.write(foreign);
    void sleep(LATE_MS).then(() => socket.write(answer));
  });
  await using running = await startTestGateway({
    servers: [makeServer('one', 'desk', backend.port)],
  });
  const first = await sendRequest(running.callerPort, '/orders/1', {
    headers: { 'Test-Attempt': 'first' },
  });
  expect(first.status).toBe(502);
  const second = await sendRequest(running.callerPort, '/orders/2', { omitsRequestId });
  expect(second).toMatchObject({ status: 200, body: omitsRequestId ? 'none' : 'attempt-1' });
  expect(backend.countAcceptedConnections()).toBe(2);
});

// Guards against a refusal with the right id that is repeated to the second attempt of the request.
test('an order that is sent again takes a connection of another server, also at the same address', async () => {
  const sockets = new Set<Socket>();
  await using backend = await startRawBackend((socket) => {
    const isFirst = sockets.size === 0;
    sockets.add(socket);
    const refusal = `${REFUSAL}${OWN_ID}content-length: 0\r\n\r\n`;
    socket.write(isFirst ? refusal.repeat(2) : makeAnswer(SIGNATURE + OWN_ID, 'own'));
  });
  await using running = await startTestGateway({
    servers: [makeServer('one', 'desk', backend.port), makeServer('two', 'desk', backend.port)],
  });
  expect((await sendRequest(running.callerPort, '/orders/1')).status).toBe(200);
  expect(backend.countAcceptedConnections()).toBe(2);
});

// Guards against a refusal that was written before the request and is taken for its answer.
test('a refusal that a server writes when a connection opens proves nothing', async () => {
  let received = 0;
  await using backend = await startRawBackend(
    () => {
      received += 1;
    },
    (socket) => {
      socket.write(`${REFUSAL}content-length: 0\r\n\r\n`);
    },
  );
  await using running = await startTestGateway({
    servers: [makeServer('one', 'desk', backend.port)],
  });
  const response = await sendRequest(running.callerPort, '/orders/1');
  expect(response.status).toBe(502);
  expect(received).toBeLessThanOrEqual(1);
});

const LOAD_DURATION_MS = 4_000;
const ORDER_INTERVAL_MS = 33;
const RUN_MS = 60;
/** Each server refuses every third order and repeats the refusal in front of a later answer of the connection. */
const REFUSAL_PERIOD = 3;

/** Counts the runs of each order. */
function createReplayingHandler(runs: Map<string, number>, repeatsId: boolean): RawHandler {
  const oldRefusals = new WeakMap<Socket, string>();
  let received = 0;
  return (socket, request) => {
    received += 1;
    const id = /test-attempt: (\S+)/i.exec(request)?.[1] ?? '';
    const oldRefusal = oldRefusals.get(socket);
    if (oldRefusal === undefined && received % REFUSAL_PERIOD === 0) {
      const idHeader = `test-attempt: ${id}\r\n`;
      oldRefusals.set(socket, `${REFUSAL}${repeatsId ? idHeader : ''}content-length: 0\r\n\r\n`);
      socket.write(`${REFUSAL}${idHeader}content-length: 0\r\n\r\n`);
      return;
    }
    runs.set(id, (runs.get(id) ?? 0) + 1);
    if (oldRefusal !== undefined) socket.write(oldRefusal);
    oldRefusals.delete(socket);
    void sleep(RUN_MS).then(() => {
      socket.write(makeAnswer(`${SIGNATURE}test-attempt: ${id}\r\n`, id));
    });
  };
}

// Guards against orders that run twice, or are refused though they run, while servers repeat refusals on kept connections.
test.each([
  { name: 'with their old id', repeatsId: true },
  { name: 'without an id', repeatsId: false },
])('refusals that are repeated under load, $name', async ({ name, repeatsId }) => {
  const store = new FakeStore();
  const runs = new Map<string, number>();
  const handler = createReplayingHandler(runs, repeatsId);
  await using one = await startRawBackend(handler);
  await using two = await startRawBackend(handler);
  store.put('servers', 'one', makeServer('one', 'desk', one.port));
  store.put('servers', 'two', makeServer('two', 'desk', two.port));
  await using fleet = await startGatewayFleet(store, 3, makeBundle());
  const sent: Promise<{ id: string; status: number | undefined; body: string }>[] = [];
  const startedAtMs = performance.now();
  for (let index = 0; performance.now() < startedAtMs + LOAD_DURATION_MS; index += 1) {
    const id = `order-${index}`;
    const port = fleet.gateways[index % fleet.gateways.length]?.callerPort ?? 0;
    const response = sendRequest(port, '/orders/1', { headers: { 'Test-Attempt': id } });
    sent.push(response.then(({ status, body }) => ({ id, status, body })));
    await sleep(ORDER_INTERVAL_MS);
  }
  const orders = await Promise.all(sent);
  const served = orders.filter(({ status }) => status === 200);
  const isRefused = (status: number | undefined) => status === 503 || status === 429;
  const runTwice = orders.filter(({ id }) => (runs.get(id) ?? 0) > 1);
  const refusedThoughRun = orders.filter(({ id, status }) => isRefused(status) && runs.has(id));
  const misdirected = served.filter(({ id, body }) => id !== body);
  console.log(
    `repeated ${name}: ${orders.length} orders, ${served.length} served, ${runTwice.length} run twice, ` +
      `${refusedThoughRun.length} refused though run, ${misdirected.length} with another answer`,
  );
  expect(served.length).toBeGreaterThan(0);
  expect([runTwice.length, refusedThoughRun.length, misdirected.length]).toEqual([0, 0, 0]);
});
