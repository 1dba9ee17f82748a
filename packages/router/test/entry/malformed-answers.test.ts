import { createServer as createTcpServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import { expect, test } from 'vitest';
import { createHarness, createServer, sendServiceCall, settings } from './fakes';

const UPLOAD = 'u'.repeat(1_500_000);
type End = 'closes' | 'resets';

interface AnswerCase {
  name: string;
  bytes: string;
  end: End;
  /** The complete response that the caller may get; an error or a cut connection by default. */
  status?: number;
}

const cases: AnswerCase[] = [
  ...['000', '0', '099', '1000', '-1', '2x0', 'OK', '700'].map((status): AnswerCase => ({
    ...{ name: `status '${status}'`, end: 'closes' },
    bytes: `HTTP/1.1 ${status} OK\r\ncontent-length: 4\r\n\r\npart`,
  })),
  { name: 'no length', bytes: 'HTTP/1.1 200 OK\r\n\r\npart', end: 'resets' },
  { name: 'no length', bytes: 'HTTP/1.1 200 OK\r\n\r\npart', end: 'closes', status: 200 },
  {
    ...{ name: 'part of a chunk', end: 'closes' },
    bytes: 'HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n8\r\npart',
  },
  {
    ...{ name: 'a length over what came', end: 'closes' },
    bytes: 'HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\npart',
  },
  {
    ...{ name: 'two lengths', end: 'closes' },
    bytes: 'HTTP/1.1 200 OK\r\ncontent-length: 2\r\ncontent-length: 4\r\n\r\npart',
  },
  {
    ...{ name: '101', end: 'closes' },
    bytes: 'HTTP/1.1 101 Switching\r\nconnection: upgrade\r\nupgrade: x\r\n\r\npart',
  },
  { name: '204', bytes: 'HTTP/1.1 204 None\r\n\r\npart', end: 'closes', status: 204 },
  { name: '304', bytes: 'HTTP/1.1 304 None\r\n\r\npart', end: 'closes', status: 304 },
];

// Guards against part of a service's response, or one that is no response, that reaches the caller as a complete one.
test.each(
  cases.flatMap((row) => ['', UPLOAD].map((body) => ({ ...row, body, bodyBytes: body.length }))),
)('$name, the service $end, upload of $bodyBytes', async ({ bytes, end, status, body }) => {
  const service = createTcpServer((socket) => {
    socket.on('error', () => undefined);
    socket.once('data', () => {
      socket.pause();
      socket.write(bytes, 'latin1', () => {
        if (end === 'closes') socket.end();
        else setTimeout(() => socket.resetAndDestroy(), 50);
      });
    });
  });
  await new Promise<void>((resolve) => service.listen(0, '127.0.0.1', resolve));
  const { port } = service.address() as AddressInfo;
  await using harness = await createHarness([createServer('s-1', port)], {
    settings: { ...settings, maxBodyBytes: 2_000_000 },
  });
  const headers = { 'idempotency-key': 'order-1' };
  const read = async () => {
    const response = await sendServiceCall(harness.url, 'POST', '/place', headers, body);
    return { status: response.status, body: await response.text() };
  };
  const result = await read().catch(() => ({ status: 502, body: '' }));
  service.close();
  if (result.status >= 500 && result.status < 600) {
    expect(status === undefined || body === UPLOAD).toBe(true);
  } else {
    expect(result.status, result.body).toBe(status);
  }
});
