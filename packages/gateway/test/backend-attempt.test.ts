import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect, test } from 'vitest';
import { startAttempt } from '../src/backend-attempt';
import type { AttemptEnd } from '../src/backend-attempt';
import { BackendConnections } from '../src/backend-connections';
import { TrafficMeter } from '../src/traffic-meter';
import { startRawBackend } from './raw-backend';

function createConnections(port: number, traffic = new TrafficMeter()): BackendConnections {
  return new BackendConnections(`http://127.0.0.1:${port}`, () => performance.now(), traffic);
}

interface AttemptCase {
  name: string;
  respond: (socket: Socket) => void;
  end: AttemptEnd['kind'];
  body: string;
}

const RESET_DELAY_MS = 30;
const BLOCK_MS = 50;

/** Blocks the event loop, so that the client in this process does not read before the reset has arrived. */
function waitBlocking(durationMs: number): void {
  const endMs = performance.now() + durationMs;
  while (performance.now() < endMs);
}

async function resetAfterDelay(socket: Socket): Promise<void> {
  await sleep(RESET_DELAY_MS);
  socket.resetAndDestroy();
}

const cases: AttemptCase[] = [
  {
    name: 'a response with a length is complete',
    respond: (socket) => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nabcd'),
    end: 'complete',
    body: 'abcd',
  },
  {
    name: 'a response without a length that ends with its connection is complete',
    respond: (socket) => socket.end('HTTP/1.1 200 OK\r\n\r\nabcd'),
    end: 'complete',
    body: 'abcd',
  },
  {
    // Guards against forwarding a truncated response as complete.
    name: 'a response without a length that is reset is broken',
    respond: (socket) => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nab');
      void resetAfterDelay(socket);
    },
    end: 'broken',
    body: 'ab',
  },
  {
    // libuv reports an orderly end when data and the reset are polled together.
    name: 'a response without a length whose reset arrives with its last bytes is broken',
    respond: (socket) => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nab', () => socket.resetAndDestroy());
      waitBlocking(BLOCK_MS);
    },
    end: 'broken',
    body: 'ab',
  },
  {
    name: 'a response that is shorter than its length is broken',
    respond: (socket) => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nab'),
    end: 'broken',
    body: 'ab',
  },
  {
    name: 'bytes that are not HTTP are a broken response',
    respond: (socket) => socket.end('nonsense\r\n\r\n'),
    end: 'broken',
    body: '',
  },
  {
    name: 'a connection that closes without a response is broken',
    respond: (socket) => socket.end(),
    end: 'broken',
    body: '',
  },
];

function runAttempt(
  connections: BackendConnections,
  checkSend: () => string | undefined = () => undefined,
) {
  const connection = connections.takeConnection(4, true);
  if (connection === undefined) throw new Error('no connection is free');
  return new Promise<{ end: AttemptEnd; body: string }>((resolve) => {
    let body = '';
    startAttempt(
      connection,
      { method: 'GET', path: '/a?b=1', headers: ['Host', 'service.test'], body: undefined },
      {
        checkSend,
        onResponse: () => undefined,
        onData: (chunk) => {
          body += chunk.toString();
          return true;
        },
        onEnd: (end) => {
          resolve({ end, body });
        },
      },
    );
  });
}

test.each(cases)('$name', async ({ respond, end, body }) => {
  await using backend = await startRawBackend(respond);
  await using connections = createConnections(backend.port);
  const result = await runAttempt(connections);
  expect(result.end.kind).toBe(end);
  expect(result.body).toBe(body);
});

test('an attempt at a server that refuses the connection is not sent', async () => {
  const backend = await startRawBackend(() => undefined);
  await backend[Symbol.asyncDispose]();
  await using connections = createConnections(backend.port);
  const { end } = await runAttempt(connections);
  expect(end.kind).toBe('not-sent');
});

// Guards against requests that reach a server which was ruled out between the choice and the first byte.
test.each([
  { name: 'a new connection', usesIdle: false },
  { name: 'an idle connection', usesIdle: true },
])('a withdrawn attempt writes nothing: $name', async ({ usesIdle }) => {
  let received = 0;
  await using backend = await startRawBackend((socket) => {
    received += 1;
    socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok');
  });
  await using connections = createConnections(backend.port);
  if (usesIdle) await runAttempt(connections);
  const receivedBefore = received;
  const { end } = await runAttempt(connections, () => 'the server leaves');
  await sleep(BLOCK_MS);
  expect(end).toEqual({ kind: 'withdrawn', reason: 'the server leaves' });
  expect(received).toBe(receivedBefore);
  expect((await runAttempt(connections)).end.kind).toBe('complete');
});

test('a complete response leaves the connection for the next request', async () => {
  await using backend = await startRawBackend((socket) =>
    socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'),
  );
  await using connections = createConnections(backend.port);
  await runAttempt(connections);
  await runAttempt(connections);
  expect(backend.countAcceptedConnections()).toBe(1);
});

// Guards against traffic figures that omit open connections or count them twice when they close.
test('the bytes of open and closed connections count as traffic', async () => {
  const response = 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok';
  await using backend = await startRawBackend((socket) => socket.write(response));
  const traffic = new TrafficMeter();
  const connections = createConnections(backend.port, traffic);
  await runAttempt(connections);
  await runAttempt(connections);
  const { sent, received } = traffic.readBytes('backend');
  expect(received).toBe(2 * response.length);
  expect(sent).toBeGreaterThan(0);
  await connections[Symbol.asyncDispose]();
  await sleep(BLOCK_MS);
  expect(traffic.readBytes('backend')).toEqual({ sent, received });
  expect(traffic.readBytes('store')).toEqual({ sent: 0, received: 0 });
});
