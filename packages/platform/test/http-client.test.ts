import { once } from 'node:events';
import { createServer } from 'node:http';
import { connect } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';
import { Worker } from 'node:worker_threads';
import { expect, test } from 'vitest';
import { HttpClient } from '../src/index';

const TIMEOUT_MS = 300;
/** Time after its timeout within which a call must have ended, in milliseconds. */
const TOLERANCE_MS = 700;
/** Connections after which the queue of a listener with a backlog of 1 is full, so that opening packets are dropped. */
const QUEUED_CONNECTIONS = 4;

/** Listens on a loopback port and blocks its thread, so that no connection is accepted. */
const LISTENER = `
  const { parentPort } = require('node:worker_threads');
  const server = require('node:net').createServer();
  server.listen({ host: '127.0.0.1', port: 0, backlog: 1 }, () => {
    parentPort.postMessage(server.address().port);
    Atomics.wait(new Int32Array(new SharedArrayBuffer(4)), 0, 0);
  });
`;

/** Starts a listener whose queue is full: a new connection is opened only when its packets are sent again after seconds. */
async function startFullListener() {
  const worker = new Worker(LISTENER, { eval: true });
  const [port] = (await once(worker, 'message')) as [number];
  const sockets: Socket[] = [];
  for (let index = 0; index < QUEUED_CONNECTIONS; index += 1) {
    sockets.push(connect({ host: '127.0.0.1', port }).on('error', () => undefined));
  }
  await Promise.all(sockets.slice(0, 2).map((socket) => once(socket, 'connect')));
  return {
    url: `http://127.0.0.1:${port}`,
    async [Symbol.asyncDispose]() {
      for (const socket of sockets) socket.destroy();
      await worker.terminate();
    },
  };
}

// Guards against an instance that notices seconds after an outage that the store is back, since its call waits for a connection
// beyond its timeout.
test.each([
  { name: 'times out', timeoutMs: TIMEOUT_MS, abortAfterMs: undefined },
  { name: 'is aborted', timeoutMs: 10_000, abortAfterMs: TIMEOUT_MS },
])('a call that $name ends while its connection is being opened', async (options) => {
  const { timeoutMs, abortAfterMs } = options;
  await using listener = await startFullListener();
  await using client = new HttpClient(listener.url);
  const signal = abortAfterMs === undefined ? undefined : AbortSignal.timeout(abortAfterMs);
  const startedAtMs = performance.now();
  const call = client.sendRequest({
    ...{ method: 'GET', path: '/objects/servers', operation: 'list servers', timeoutMs },
    ...(signal === undefined ? {} : { signal }),
  });
  await expect(call).rejects.toThrow('list servers');
  expect(performance.now() - startedAtMs).toBeLessThan(TIMEOUT_MS + TOLERANCE_MS);
});

/** More than the largest response that is read, in bytes. */
const MIN_ENDLESS_BYTES = 16 * 2 ** 20;
const PART = Buffer.alloc(2 ** 20, ' ');

// Guards against a response without end that is kept until the memory is used up.
test.each([
  { name: 'in chunks', headers: {} },
  { name: 'of a length', headers: { 'content-length': '1000000000000' } },
])('a response without end $name is broken off', async ({ headers }) => {
  let sentBytes = 0;
  const server = createServer((_, response) => {
    response.writeHead(200, headers);
    const send = () => {
      sentBytes += PART.length;
      if (!response.destroyed && sentBytes < 20 * MIN_ENDLESS_BYTES) response.write(PART, send);
    };
    send();
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  await using client = new HttpClient(`http://127.0.0.1:${(server.address() as AddressInfo).port}`);
  const call = client.sendRequest({
    ...{ method: 'GET', path: '/objects/servers', operation: 'list servers', timeoutMs: 20_000 },
  });
  await expect(call).rejects.toThrow('list servers');
  server.closeAllConnections();
  await new Promise<void>((resolve) => server.close(() => resolve()));
  expect(sentBytes).toBeLessThan(2 * MIN_ENDLESS_BYTES);
});
