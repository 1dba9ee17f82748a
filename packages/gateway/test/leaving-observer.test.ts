import { expect, test } from 'vitest';
import { makeServer, sendRequest, startTestGateway } from './gateway-fixture';
import { startRawBackend } from './raw-backend';

interface NoticeCase {
  name: string;
  fields: string;
  status?: string;
  message?: string;
  /** Requests that reach the server, of two. */
  received: number;
}

const LEAVES = 'backend server leaves';
const INVALID = 'backend server sent an invalid notice that it leaves; it is ignored';
const SIGNED = 'test-signature: s\r\ntest-attempt: attempt-1\r\n';

const cases: NoticeCase[] = [
  { name: 'a plain answer', fields: `${SIGNED}test-leaving: 1\r\n`, message: LEAVES, received: 1 },
  {
    ...{ name: 'a refusal', fields: 'test-leaving: 1\r\ntest-not-run: 1\r\n', message: LEAVES },
    ...{ status: '503 Full', received: 1 },
  },
  {
    ...{ name: 'a status of 500', fields: `${SIGNED}test-leaving: 1\r\n`, message: LEAVES },
    ...{ status: '500 Failed', received: 1 },
  },
  { name: 'an unsigned answer', fields: 'test-leaving: 1\r\n', message: LEAVES, received: 1 },
  {
    ...{ name: 'an answer to another request', message: LEAVES, received: 1 },
    fields: 'test-signature: s\r\ntest-attempt: another\r\ntest-leaving: 1\r\n',
  },
  {
    ...{ name: 'several values, one of them valid', message: LEAVES, received: 1 },
    fields: `${SIGNED}test-leaving: 0\r\ntest-leaving: 1\r\n`,
  },
  { name: 'no notice', fields: SIGNED, received: 2 },
  {
    ...{ name: 'an answer of another server under the address', received: 2 },
    ...{ fields: 'test-leaving: 1\r\ntest-not-run: 1\r\n', status: '421 Misdirected' },
  },
  ...['0', 'true', '1.0', '11', ''].map((text) => ({
    ...{ name: `an invalid value: ${text}`, message: INVALID, received: 2 },
    fields: `${SIGNED}test-leaving: ${text}\r\n`,
  })),
];

// Guards against notices that pass unseen by logs and metrics, and against values and answers that say nothing of the server.
test.each(cases)('$name', async ({ fields, status = '200 OK', message, received }) => {
  let receivedCount = 0;
  await using backend = await startRawBackend((socket) => {
    receivedCount += 1;
    socket.write(`HTTP/1.1 ${status}\r\n${fields}content-length: 0\r\n\r\n`);
  });
  await using running = await startTestGateway({
    servers: [makeServer('one', 'desk', backend.port)],
  });
  await sendRequest(running.callerPort, '/orders/1');
  await sendRequest(running.callerPort, '/orders/1');
  const messages = running.lines
    .map((line) => line.message)
    .filter((text) => text.includes('leaves'));
  expect(messages).toEqual(message === undefined ? [] : [message]);
  const metrics = await sendRequest(running.metricsPort, '/', { method: 'GET' });
  const counted = 'pollendrum_leaving_servers_total{service="desk",source="answer"} 1';
  expect(receivedCount).toBe(received);
  if (message === LEAVES) expect(metrics.body).toContain(counted);
  else expect(metrics.body).not.toContain('pollendrum_leaving_servers_total{');
});
