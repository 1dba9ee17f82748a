import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect, test } from 'vitest';
import { makeBundle, makeServer, sendRequest, startTestGateway } from './gateway-fixture';
import type { CallerResponse, TestGateway } from './gateway-fixture';
import { startRawBackend } from './raw-backend';

/** Grace between SIGTERM and SIGKILL; the load balancer takes an instance out within the first 3 s. */
const GRACE_SECONDS = 5;
const OK_HEAD = 'HTTP/1.1 200 OK\r\ntest-attempt: attempt-1\r\ntest-signature: s\r\n';
const STREAM_HEAD =
  `${OK_HEAD}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n` +
  '12\r\nid: 1\ndata: word\n\n\r\n';

interface StopCase {
  name: string;
  path: string;
  /** Time from the signal until the request is sent, in milliseconds. */
  sentAtMs: number;
  /** Time from the last byte of the head until the body, in milliseconds. */
  bodyAfterMs: number;
  /** Time that the server takes, in milliseconds. */
  answerMs: number;
  /** Time from the first signal until a second one, in milliseconds. */
  secondSignalMs?: number;
  expected: { status: number; reachesServer: boolean };
}

const cases: StopCase[] = [
  {
    ...{ name: 'an order in flight', path: '/orders/1', sentAtMs: -100, bodyAfterMs: 0 },
    ...{ answerMs: 2_000, expected: { status: 200, reachesServer: true } },
  },
  {
    ...{ name: 'an order in flight at a second signal', path: '/orders/1', sentAtMs: -100 },
    ...{ bodyAfterMs: 0, answerMs: 2_000, secondSignalMs: 500 },
    expected: { status: 200, reachesServer: true },
  },
  {
    ...{ name: 'an order sent early in the grace', path: '/orders/1', sentAtMs: 1_000 },
    ...{ bodyAfterMs: 0, answerMs: 1_500, expected: { status: 200, reachesServer: true } },
  },
  {
    ...{ name: 'an order whose body comes late', path: '/orders/1', sentAtMs: 2_500 },
    ...{ bodyAfterMs: 1_500, answerMs: 1_500, expected: { status: 503, reachesServer: false } },
  },
  {
    ...{ name: 'a lookup whose body comes late', path: '/stock/1', sentAtMs: 2_500 },
    ...{ bodyAfterMs: 1_500, answerMs: 1_500, expected: { status: 503, reachesServer: false } },
  },
  {
    ...{ name: 'an order that lasts longer than the grace', path: '/orders/1', sentAtMs: 1_000 },
    ...{ bodyAfterMs: 0, answerMs: 6_000, expected: { status: 502, reachesServer: true } },
  },
];

// Guards against requests that an instance takes late in the grace of a planned stop and cuts at its end, or at a second signal,
// with no answer: such an order may have run, and its caller does not know.
test.each(cases)(
  '$name of a planned stop gets $expected.status',
  async ({ path, sentAtMs, bodyAfterMs, answerMs, secondSignalMs, expected }) => {
    let received = 0;
    await using backend = await startRawBackend((socket) => {
      received += 1;
      setTimeout(() => socket.write(`${OK_HEAD}content-length: 2\r\n\r\nok`), answerMs);
    });
    const running = await startStoppingGateway(backend.port, 'desk');
    if (sentAtMs >= 0) void stopGateway(running, secondSignalMs);
    await sleep(Math.max(0, sentAtMs));
    const response = sendInTwoParts(running.callerPort, path, bodyAfterMs);
    if (sentAtMs < 0) {
      await sleep(-sentAtMs);
      void stopGateway(running, secondSignalMs);
    }
    const { status, isComplete } = await response;
    expect({ status, isComplete, received }).toEqual({
      ...{ status: expected.status, isComplete: true },
      received: expected.reachesServer ? 1 : 0,
    });
  },
);

// Guards against a stream that looks complete although the instance stopped before its end.
test('a stream that lasts longer than the grace of a planned stop is cut off', async () => {
  await using backend = await startRawBackend((socket) => socket.write(STREAM_HEAD));
  const running = await startStoppingGateway(backend.port, 'engines');
  const headers = { 'Test-Remaining': '20000' };
  const response = sendRequest(running.callerPort, '/chat/1', { headers });
  await sleep(500);
  void stopGateway(running, undefined);
  const { status, isComplete } = await response;
  expect({ status, isComplete }).toEqual({ status: 200, isComplete: false });
});

function startStoppingGateway(port: number, service: string): Promise<TestGateway> {
  const bundle = makeBundle();
  const routes = bundle.routes.map((route) => ({ ...route, timeoutMs: 20_000 }));
  return startTestGateway({
    bundle: { ...bundle, routes },
    servers: [makeServer('one', service, port)],
    drainLimitSeconds: GRACE_SECONDS,
  });
}

/** Stops a gateway as the process does at a signal, which ends when any signal has been handled. */
async function stopGateway(
  { gateway }: TestGateway,
  secondSignalMs: number | undefined,
): Promise<void> {
  const second = sleep(secondSignalMs ?? 0).then(() => gateway.drain());
  await (secondSignalMs === undefined ? gateway.drain() : Promise.race([gateway.drain(), second]));
  await gateway[Symbol.asyncDispose]();
}

/** Sends a head, and after a time the body, on a connection that stays open. */
function sendInTwoParts(
  port: number,
  path: string,
  bodyAfterMs: number,
): Promise<Pick<CallerResponse, 'status' | 'isComplete'>> {
  return new Promise((resolve) => {
    const socket = connect(port, '127.0.0.1');
    let received = '';
    const body = 'two mules';
    socket.write(
      `POST ${path} HTTP/1.1\r\nhost: shop.test\r\nauthorization: Bearer key-a\r\ntest-attempt: attempt-1\r\n` +
        `test-remaining: 20000\r\ncontent-length: ${body.length}\r\n\r\n`,
    );
    setTimeout(() => socket.write(body), bodyAfterMs);
    socket.on('data', (chunk) => (received += chunk.toString()));
    socket.on('error', () => undefined);
    socket.on('close', () => {
      const [head = '', content] = received.split('\r\n\r\n');
      const status = /^HTTP\/1.1 (\d+)/.exec(head)?.[1];
      const length = Number(/^content-length: (\d+)/im.exec(head)?.[1] ?? NaN);
      resolve({
        status: status === undefined ? undefined : Number(status),
        isComplete: content?.length === length,
      });
    });
  });
}
