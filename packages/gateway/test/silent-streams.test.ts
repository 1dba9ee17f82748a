import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect, test } from 'vitest';
import { makeBundle, makeServer, sendRequest, startTestGateway } from './gateway-fixture';
import { startRawBackend } from './raw-backend';

const HEAD =
  'HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\ntransfer-encoding: chunked\r\n' +
  'test-attempt: attempt-1\r\ntest-signature: s\r\n\r\n';
const EVENTS = 3;

interface SilenceCase {
  name: string;
  /** Silence before the first event and before the last one, in milliseconds. */
  silenceMs: readonly [number, number];
  servers: number;
  maxAttempts: number;
  hasRetryBudget: boolean;
}

const cases: SilenceCase[] = [
  {
    ...{ name: 'no budget, before the first event', silenceMs: [2_500, 0], servers: 3 },
    ...{ maxAttempts: 3, hasRetryBudget: false },
  },
  {
    ...{ name: 'no budget, between events', silenceMs: [0, 2_500], servers: 3 },
    ...{ maxAttempts: 3, hasRetryBudget: false },
  },
  {
    ...{ name: 'no other server', silenceMs: [2_500, 0], servers: 1 },
    ...{ maxAttempts: 3, hasRetryBudget: true },
  },
  {
    ...{ name: 'no attempt left', silenceMs: [2_500, 2_500], servers: 3 },
    ...{ maxAttempts: 1, hasRetryBudget: true },
  },
];

// Guards against a stream that is ended as silent although no other server may get it: its caller, who would have waited,
// gets 502 or a broken stream in place of the events that its server sends later.
test.each(cases)(
  'a silent stream that cannot be repeated is waited for: $name',
  async ({ silenceMs, servers, maxAttempts, hasRetryBudget }) => {
    let received = 0;
    const handle = async (socket: Socket) => {
      received += 1;
      await sleep(silenceMs[0]);
      socket.write(HEAD);
      for (let id = 1; id <= EVENTS; id += 1) {
        if (id === EVENTS) await sleep(silenceMs[1]);
        const event = `id: ${id}\ndata: word\n\n`;
        socket.write(`${event.length.toString(16)}\r\n${event}\r\n`);
      }
      socket.write('0\r\n\r\n');
    };
    await using backend = await startRawBackend((socket) => void handle(socket));
    const bundle = makeBundle();
    const routes = bundle.routes.map((route) => ({ ...route, maxAttempts, timeoutMs: 12_000 }));
    await using running = await startTestGateway({
      bundle: { ...bundle, routes },
      servers: Array.from({ length: servers }, (_, index) =>
        makeServer(`engine-${index}`, 'engines', backend.port),
      ),
    });
    if (!hasRetryBudget) Object.assign(running.settings, { retryRatio: 0, retrySlack: 0 });
    const headers = { 'Test-Remaining': '12000' };
    const { status, isComplete, body } = await sendRequest(running.callerPort, '/plan/1', {
      headers,
    });
    expect({ status, isComplete, received }).toEqual({
      status: 200,
      isComplete: true,
      received: 1,
    });
    expect(body.match(/^id: /gm)).toHaveLength(EVENTS);
  },
);
