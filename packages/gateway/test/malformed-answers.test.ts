import type { Socket } from 'node:net';
import { expect, test } from 'vitest';
import { makeBundle, makeServer, sendRequest, startTestGateway } from './gateway-fixture';
import { startRawBackend } from './raw-backend';

const PROOF = 'test-attempt: attempt-1\r\ntest-signature: s\r\n';
const CHUNKED = 'transfer-encoding: chunked\r\n';
const STREAM = 'content-type: text/event-stream\r\n';
const UPLOAD = 'u'.repeat(3_000_000);

type End = 'closes' | 'resets' | 'stays';

interface AnswerCase {
  name: string;
  /** Bytes that the server writes as soon as it has the head of the request. */
  bytes: string;
  /** What the caller may get, by the end of the connection: an error or a cut connection, or else this complete response. */
  allowed: Partial<Record<End, 'error' | { status: number; body: string }>>;
  path?: '/orders/1' | '/stock/1' | '/chat/1';
}

const statusCases: AnswerCase[] = ['000', '0', '099', '1000', '-1', '2x0', 'OK', ''].map(
  (status) => ({
    ...{ name: `status '${status}'`, bytes: `HTTP/1.1 ${status} OK\r\n${PROOF}\r\npart` },
    allowed: { closes: 'error', resets: 'error' },
  }),
);

const answerCases: AnswerCase[] = [
  ...statusCases,
  {
    ...{ name: 'a status of 000 with a length', allowed: { closes: 'error', stays: 'error' } },
    bytes: `HTTP/1.1 000 OK\r\n${PROOF}content-length: 4\r\n\r\npart`,
  },
  {
    ...{ name: 'a response without a length', bytes: `HTTP/1.1 200 OK\r\n${PROOF}\r\npart` },
    allowed: { closes: { status: 200, body: 'part' }, resets: 'error' },
  },
  {
    ...{ name: 'part of a chunk', bytes: `HTTP/1.1 200 OK\r\n${PROOF}${CHUNKED}\r\n8\r\npart` },
    allowed: { closes: 'error', resets: 'error' },
  },
  {
    ...{ name: 'no last chunk', bytes: `HTTP/1.1 200 OK\r\n${PROOF}${CHUNKED}\r\n4\r\npart\r\n` },
    allowed: { closes: 'error', resets: 'error' },
  },
  {
    name: 'a length over what came',
    bytes: `HTTP/1.1 200 OK\r\n${PROOF}content-length: 9\r\n\r\npart`,
    allowed: { closes: 'error', resets: 'error' },
  },
  {
    name: 'two lengths',
    bytes: `HTTP/1.1 200 OK\r\n${PROOF}content-length: 2\r\ncontent-length: 4\r\n\r\npart`,
    allowed: { closes: 'error', resets: 'error', stays: 'error' },
  },
  {
    name: 'a length and chunks',
    bytes: `HTTP/1.1 200 OK\r\n${PROOF}content-length: 2\r\n${CHUNKED}\r\n4\r\npart\r\n0\r\n\r\n`,
    allowed: { closes: 'error', stays: 'error' },
  },
  {
    name: 'a length that is negative',
    bytes: `HTTP/1.1 200 OK\r\n${PROOF}content-length: -4\r\n\r\npart`,
    allowed: { closes: 'error', stays: 'error' },
  },
  {
    name: '101',
    bytes: `HTTP/1.1 101 Switching Protocols\r\n${PROOF}connection: upgrade\r\nupgrade: x\r\n\r\npart`,
    allowed: { closes: 'error', resets: 'error', stays: 'error' },
  },
  {
    name: '101 without an upgrade',
    bytes: `HTTP/1.1 101 Switching Protocols\r\n${PROOF}\r\npart`,
    allowed: { closes: 'error', resets: 'error', stays: 'error' },
  },
  ...[204, 304].map((status): AnswerCase => ({
    name: `${status} with bytes`,
    bytes: `HTTP/1.1 ${status} None\r\n${PROOF}\r\nHTTP/1.1 200 OK\r\n${PROOF}content-length: 4\r\n\r\npart`,
    allowed: { closes: { status, body: '' }, stays: { status, body: '' } },
  })),
  ...[204, 304].map((status): AnswerCase => ({
    name: `${status} with a length and bytes`,
    bytes: `HTTP/1.1 ${status} None\r\n${PROOF}content-length: 4\r\n\r\npart`,
    allowed: { closes: 'error', stays: 'error' },
  })),
  {
    name: 'a complete response',
    bytes: `HTTP/1.1 200 OK\r\n${PROOF}content-length: 4\r\n\r\npart`,
    allowed: { closes: { status: 200, body: 'part' }, stays: { status: 200, body: 'part' } },
  },
  {
    ...{ name: 'part of an event', path: '/chat/1' },
    bytes: `HTTP/1.1 200 OK\r\n${PROOF}${STREAM}\r\nid: 1\ndata: word\n\nid: 2\nda`,
    allowed: { closes: 'error', resets: 'error' },
  },
  {
    ...{ name: 'part of an event in a chunk', path: '/chat/1' },
    bytes: `HTTP/1.1 200 OK\r\n${PROOF}${STREAM}${CHUNKED}\r\n20\r\nid: 1\ndata: word\n\nid: 2\nda`,
    allowed: { closes: 'error', resets: 'error' },
  },
];

const uploads = [
  { upload: 'a short upload', body: 'abc' },
  { upload: 'an unfinished upload', body: UPLOAD },
];
const cases = answerCases.flatMap(({ allowed, path = '/orders/1', ...rest }) =>
  (Object.keys(allowed) as End[]).flatMap((end) =>
    uploads.map((upload) => ({ ...rest, path, end, expected: allowed[end], ...upload })),
  ),
);

function sendWhole(socket: Socket, path: string): void {
  const isStream = path === '/chat/1';
  const body = isStream ? 'id: 1\ndata: next\n\n' : 'next';
  socket.write(
    `HTTP/1.1 200 OK\r\n${PROOF}${isStream ? STREAM : ''}content-length: ${body.length}\r\n\r\n${body}`,
  );
}

// Guards against part of a response, or one that is no response at all, that reaches the caller as a complete one, also while the
// server has not read the request; and against bytes that are left on a connection and become the answer to the next request.
test.each(cases)(
  '$path: $name to $upload, the server $end',
  async ({ bytes, path, end, body, expected }) => {
    let requests = 0;
    await using backend = await startRawBackend((socket, request) => {
      if (!request.includes(' /')) return;
      requests += 1;
      if (requests > 1) {
        sendWhole(socket, path);
        return;
      }
      // What follows the head of the upload stays unread.
      if (body === UPLOAD) socket.pause();
      socket.write(bytes, 'latin1', () => {
        if (end === 'closes') socket.end();
        if (end === 'stays') socket.resume();
        if (end === 'resets') setTimeout(() => socket.resetAndDestroy(), 50);
      });
    });
    const bundle = makeBundle();
    await using running = await startTestGateway({
      bundle: { ...bundle, limits: { ...bundle.limits, maxBodyBytes: 4_000_000 } },
      servers: [makeServer('one', path === '/chat/1' ? 'engines' : 'desk', backend.port)],
    });
    const options = { body, headers: { 'Test-Remaining': '1000' } };
    const first = await sendRequest(running.callerPort, path, options);
    const isError = !first.isComplete || (first.status ?? 0) >= 500;
    if (expected === 'error') {
      expect({ isError, status: first.status, body: first.body }).toMatchObject({ isError: true });
      expect(first.status ?? 502).not.toBe(503);
    } else if (!isError) {
      expect(first).toMatchObject({ ...expected, isComplete: true });
    } else {
      // A server that ends its connection before it has read the upload may have lost its answer on the way.
      expect(body).toBe(UPLOAD);
    }
    const second = await sendRequest(running.callerPort, path);
    expect(second).toMatchObject({ status: 200, isComplete: true });
    expect(second.body).toContain('next');
  },
);

// Guards against a request that waits behind the rest of an upload which the server answered and does not read.
test('a connection with an unread upload is not used again', async () => {
  let requests = 0;
  await using backend = await startRawBackend((socket) => {
    requests += 1;
    sendWhole(socket, '/orders/1');
    socket.pause();
  });
  const bundle = makeBundle();
  await using running = await startTestGateway({
    bundle: { ...bundle, limits: { ...bundle.limits, maxBodyBytes: 20_000_000 } },
    servers: [makeServer('one', 'desk', backend.port)],
  });
  const body = 'u'.repeat(16_000_000);
  expect(await sendRequest(running.callerPort, '/orders/1', { body })).toMatchObject({
    ...{ status: 200, body: 'next' },
  });
  expect((await sendRequest(running.callerPort, '/orders/1')).status).toBe(200);
  expect(requests).toBe(2);
});
