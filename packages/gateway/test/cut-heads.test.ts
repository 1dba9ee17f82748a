import type { Socket } from 'node:net';
import { expect, test } from 'vitest';
import { makeBundle, makeServer, sendRequest, startTestGateway } from './gateway-fixture';
import { startRawBackend } from './raw-backend';

const PROOF = 'test-attempt: attempt-1\r\ntest-signature: s\r\n';

interface CutHead {
  name: string;
  /** Bytes that the server writes before it closes the connection. */
  bytes: string;
}

const cutHeads: CutHead[] = [
  { name: 'before the first byte', bytes: '' },
  { name: 'in the status line', bytes: 'HTTP/1.1 20' },
  { name: 'in the reason of the status line', bytes: 'HTTP/1.1 200 O' },
  { name: 'after the status line', bytes: 'HTTP/1.1 200 OK\r\n' },
  { name: 'in the name of a header', bytes: `HTTP/1.1 200 OK\r\n${PROOF}content-le` },
  { name: 'in the value of a header', bytes: `HTTP/1.1 200 OK\r\n${PROOF}content-length: 1` },
  { name: 'after a length of 0', bytes: `HTTP/1.1 200 OK\r\n${PROOF}content-length: 0\r\n` },
  { name: 'after a length', bytes: `HTTP/1.1 200 OK\r\n${PROOF}content-length: 2\r\n` },
  { name: 'after whole lines', bytes: `HTTP/1.1 200 OK\r\n${PROOF}` },
  { name: 'in the empty line', bytes: `HTTP/1.1 200 OK\r\n${PROOF}content-length: 2\r\n\r` },
  {
    name: 'after chunks were named',
    bytes: `HTTP/1.1 200 OK\r\n${PROOF}transfer-encoding: chunked\r\n`,
  },
  {
    name: 'of an event stream',
    bytes: `HTTP/1.1 200 OK\r\n${PROOF}content-type: text/event-stream\r\ntransfer-encoding: chun`,
  },
  { name: 'with its body missing', bytes: `HTTP/1.1 200 OK\r\n${PROOF}content-length: 2\r\n\r\n` },
  { name: 'with half of its body', bytes: `HTTP/1.1 200 OK\r\n${PROOF}content-length: 2\r\n\r\no` },
  {
    name: 'of a refusal',
    bytes: 'HTTP/1.1 503 Full\r\ntest-attempt: attempt-1\r\ntest-not-run: 1\r\n',
  },
  {
    name: 'after the connection is announced to close',
    bytes: `HTTP/1.1 200 OK\r\n${PROOF}connection: close\r\n`,
  },
  {
    name: 'after an interim answer',
    bytes: `HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n${PROOF}content-length: 0\r\n`,
  },
  {
    name: 'after an interim answer that closes',
    bytes: `HTTP/1.1 103 Early Hints\r\nconnection: close\r\n\r\nHTTP/1.1 200 OK\r\n${PROOF}`,
  },
  { name: 'of version 1.0', bytes: `HTTP/1.0 200 OK\r\n${PROOF}content-length: 0\r\n` },
];

interface CutRoute {
  path: string;
  service: string;
  /** Requests that may reach servers: more than one if the request may be repeated. */
  maxSends: number;
  headers?: Record<string, string>;
}

const routes: CutRoute[] = [
  { path: '/orders/1', service: 'desk', maxSends: 1 },
  { path: '/stock/1', service: 'desk', maxSends: 2 },
  { path: '/chat/1', service: 'engines', maxSends: 1 },
  { path: '/plan/1', service: 'engines', maxSends: 2 },
  { path: '/plan/2', service: 'engines', maxSends: 2, headers: { 'Last-Event-Id': '2' } },
];
const ends = ['closes', 'resets'] as const;
const connections = ['a new', 'a kept'] as const;
const cases = cutHeads.flatMap((head) =>
  routes.flatMap((route) =>
    ends.flatMap((end) =>
      connections.map((connection) => ({
        ...{ connection, end, head: head.name },
        ...head,
        ...route,
      })),
    ),
  ),
);

function writeWhole(socket: Socket, service: string): void {
  if (service === 'desk') {
    socket.write(`HTTP/1.1 200 OK\r\n${PROOF}content-length: 2\r\n\r\nok`);
    return;
  }
  const event = 'id: 3\ndata: word\n\n';
  socket.write(
    `HTTP/1.1 200 OK\r\n${PROOF}content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n` +
      `${event.length.toString(16)}\r\n${event}\r\n0\r\n\r\n`,
  );
}

// Guards against a 200 with an empty or short body that looks complete, and against an order that is run twice, or refused as not
// run, after a server has stopped in the middle of its answer's head.
test.each(cases)(
  '$path: a server $end $connection connection, head cut $head',
  async ({ bytes, path, service, maxSends, headers, end, connection }) => {
    let isCutting = connection === 'a new';
    let received = 0;
    await using backend = await startRawBackend((socket) => {
      if (!isCutting) {
        writeWhole(socket, service);
        return;
      }
      received += 1;
      socket.write(bytes, () => {
        if (end === 'closes') socket.end();
        else socket.resetAndDestroy();
      });
    });
    await using running = await startTestGateway({
      bundle: makeBundle(),
      servers: ['one', 'two'].map((serverId) => makeServer(serverId, service, backend.port)),
    });
    if (connection === 'a kept') {
      for (let index = 0; index < 2; index += 1) {
        const first = await sendRequest(running.callerPort, path, { headers: headers ?? {} });
        expect(first.status).toBe(200);
      }
      isCutting = true;
    }
    const response = await sendRequest(running.callerPort, path, { headers: headers ?? {} });
    expect({ status: response.status, isComplete: response.isComplete }).toEqual({
      status: 502,
      isComplete: true,
    });
    expect(received).toBeGreaterThan(0);
    expect(received).toBeLessThanOrEqual(maxSends);
  },
);
