import type { Socket } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect, test } from 'vitest';
import { startAttempt } from '../src/backend-attempt';
import type { AttemptEnd } from '../src/backend-attempt';
import { BackendConnections } from '../src/backend-connections';
import { startRawBackend } from './raw-backend';

interface AttemptCase {
  name: string;
  answer: (socket: Socket) => void;
  end: AttemptEnd['kind'];
  body: string;
}

const RESET_DELAY_MS = 30;
const BLOCK_MS = 50;

/** Keeps the client, which runs in the same process, from reading before the reset has arrived. */
function waitBusily(forMs: number): void {
  const untilMs = performance.now() + forMs;
  while (performance.now() < untilMs);
}

async function resetLater(socket: Socket): Promise<void> {
  await sleep(RESET_DELAY_MS);
  socket.resetAndDestroy();
}

const cases: AttemptCase[] = [
  {
    name: 'an answer with a length is complete',
    answer: (socket) => socket.write('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nabcd'),
    end: 'complete',
    body: 'abcd',
  },
  {
    name: 'an answer without a length that ends with its connection is complete',
    answer: (socket) => socket.end('HTTP/1.1 200 OK\r\n\r\nabcd'),
    end: 'complete',
    body: 'abcd',
  },
  {
    // Guards against passing on a truncated answer as a whole one.
    name: 'an answer without a length that is reset is broken',
    answer: (socket) => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nab');
      void resetLater(socket);
    },
    end: 'broken',
    body: 'ab',
  },
  {
    // libuv reports an orderly end when data and the reset are polled together.
    name: 'an answer without a length whose reset arrives with its last bytes is broken',
    answer: (socket) => {
      socket.write('HTTP/1.1 200 OK\r\n\r\nab', () => socket.resetAndDestroy());
      waitBusily(BLOCK_MS);
    },
    end: 'broken',
    body: 'ab',
  },
  {
    name: 'an answer that is shorter than its length is broken',
    answer: (socket) => socket.end('HTTP/1.1 200 OK\r\ncontent-length: 4\r\n\r\nab'),
    end: 'broken',
    body: 'ab',
  },
  {
    name: 'bytes that are no answer are a broken one',
    answer: (socket) => socket.end('nonsense\r\n\r\n'),
    end: 'broken',
    body: '',
  },
  {
    name: 'a connection that closes without an answer is a broken one',
    answer: (socket) => socket.end(),
    end: 'broken',
    body: '',
  },
];

function runAttempt(connections: BackendConnections) {
  const connection = connections.takeConnection(4, true);
  if (connection === undefined) throw new Error('no connection is free');
  return new Promise<{ end: AttemptEnd; body: string }>((resolve) => {
    let body = '';
    startAttempt(
      connection,
      { method: 'GET', path: '/a?b=1', headers: ['Host', 'service.test'], body: undefined },
      {
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

test.each(cases)('$name', async ({ answer, end, body }) => {
  await using backend = await startRawBackend(answer);
  await using connections = new BackendConnections(`http://127.0.0.1:${backend.port}`, () =>
    performance.now(),
  );
  const result = await runAttempt(connections);
  expect(result.end.kind).toBe(end);
  expect(result.body).toBe(body);
});

test('a server that refuses the connection has not been sent anything', async () => {
  const backend = await startRawBackend(() => undefined);
  await backend[Symbol.asyncDispose]();
  await using connections = new BackendConnections(`http://127.0.0.1:${backend.port}`, () =>
    performance.now(),
  );
  const { end } = await runAttempt(connections);
  expect(end.kind).toBe('not-sent');
});

test('a complete answer leaves its connection for the next request', async () => {
  await using backend = await startRawBackend((socket) =>
    socket.write('HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok'),
  );
  await using connections = new BackendConnections(`http://127.0.0.1:${backend.port}`, () =>
    performance.now(),
  );
  await runAttempt(connections);
  await runAttempt(connections);
  expect(backend.countConnections()).toBe(1);
});
