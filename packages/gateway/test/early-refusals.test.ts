import { connect } from 'node:net';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect, test } from 'vitest';
import { makeServer, startTestGateway, waitUntil } from './gateway-fixture';
import { startRawBackend } from './raw-backend';

const WAIT_MS = 300;

interface HeadCase {
  name: string;
  path?: string;
  key?: string;
  headers: string;
  /** Sent after the head; a body without its end by default. */
  body?: string;
  /** Beginning of what the caller receives before the body ends; empty if it must not receive anything. */
  response: string;
}

const headCases: HeadCase[] = [
  { name: 'no route', path: '/none/', headers: 'Content-Length: 900', response: 'HTTP/1.1 404' },
  { name: 'no key', key: 'key-x', headers: 'Content-Length: 900', response: 'HTTP/1.1 401' },
  { name: 'too long', headers: 'Content-Length: 1001', response: 'HTTP/1.1 413' },
  {
    ...{ name: 'too long, asked before', response: 'HTTP/1.1 413' },
    ...{ headers: 'Content-Length: 1001\r\nExpect: 100-continue', body: '' },
  },
  {
    ...{ name: 'no key, asked before', key: 'key-x', response: 'HTTP/1.1 401' },
    ...{ headers: 'Content-Length: 900\r\nExpect: 100-continue', body: '' },
  },
  {
    ...{ name: 'sound, asked before', response: 'HTTP/1.1 100 Continue\r\n\r\n' },
    ...{ headers: 'Content-Length: 900\r\nExpect: 100-continue', body: '' },
  },
  { name: 'sound', headers: 'Content-Length: 900', response: '' },
];

// Guards against bodies that are read although the head of their request decides that it is refused, and against a 100 for a body
// that is not wanted.
test.each(headCases)(
  'what the head decides is answered before the body ends: $name',
  async ({ path = '/orders/1', key = 'key-a', headers, body = 'abc', response }) => {
    await using running = await startTestGateway({ servers: [makeServer('one', 'desk', 1)] });
    const socket = connect(running.callerPort, '127.0.0.1');
    let received = '';
    socket.on('error', () => undefined).on('data', (chunk) => (received += chunk.toString()));
    socket.write(
      `POST ${path} HTTP/1.1\r\nHost: shop.test\r\nAuthorization: Bearer ${key}\r\n${headers}\r\n\r\n${body}`,
    );
    if (response === '') await sleep(WAIT_MS);
    else await waitUntil(() => received.includes('\r\n\r\n'));
    socket.destroy();
    expect(received.slice(0, response.length || undefined)).toBe(response);
  },
);

test.each([
  { name: 'one length', head: 'Content-Length: 900', parts: ['a'.repeat(900)] },
  {
    ...{ name: 'chunks of one byte', head: 'Transfer-Encoding: chunked' },
    parts: ['1\r\na\r\n'.repeat(900), '0\r\n\r\n'],
  },
  {
    ...{ name: 'chunks that arrive one by one', head: 'Transfer-Encoding: chunked' },
    parts: [...Array<string>(9).fill(`64\r\n${'a'.repeat(100)}\r\n`), '0\r\n\r\n'],
  },
])('a body within the limits reaches the server whole: $name', async ({ head, parts }) => {
  let received = '';
  await using backend = await startRawBackend((socket, request) => {
    received += request;
    socket.write(
      'HTTP/1.1 200 OK\r\ntest-attempt: a-1\r\ntest-signature: s\r\ncontent-length: 2\r\n\r\nok',
    );
  });
  await using running = await startTestGateway({
    servers: [makeServer('one', 'desk', backend.port)],
  });
  const socket = connect(running.callerPort, '127.0.0.1').setNoDelay(true);
  let response = '';
  socket.on('error', () => undefined).on('data', (chunk) => (response += chunk.toString()));
  socket.write(
    `POST /orders/1 HTTP/1.1\r\nHost: shop.test\r\nAuthorization: Bearer key-a\r\n` +
      `Test-Attempt: a-1\r\n${head}\r\n\r\n`,
  );
  for (const part of parts) {
    socket.write(part);
    await sleep(5);
  }
  await waitUntil(() => response.includes('ok'));
  socket.destroy();
  expect(received).toContain(`\r\n\r\n${'a'.repeat(900)}`);
});
