import { expect, test } from 'vitest';
import { makeServer, sendRequest, startTestGateway } from './gateway-fixture';
import { startRawBackend } from './raw-backend';

interface NoticeCase {
  name: string;
  fields: string;
  status?: string;
  message?: string;
  /** Requests that are counted as sent after the notice, of two. */
  lateSends: number;
}

const LEAVES = 'backend server leaves';
const INVALID = 'backend server sent an invalid notice that it leaves; it is ignored';
const SIGNED = 'test-signature: s\r\ntest-attempt: attempt-1\r\n';

const cases: NoticeCase[] = [
  { name: 'a plain answer', fields: `${SIGNED}test-leaving: 1\r\n`, message: LEAVES, lateSends: 1 },
  {
    ...{ name: 'a refusal', fields: 'test-leaving: 1\r\ntest-not-run: 1\r\n', message: LEAVES },
    ...{ status: '503 Full', lateSends: 1 },
  },
  {
    ...{ name: 'a status of 500', fields: `${SIGNED}test-leaving: 1\r\n`, message: LEAVES },
    ...{ status: '500 Failed', lateSends: 1 },
  },
  { name: 'an unsigned answer', fields: 'test-leaving: 1\r\n', message: LEAVES, lateSends: 1 },
  {
    ...{ name: 'an answer to another request', message: LEAVES, lateSends: 1 },
    fields: 'test-signature: s\r\ntest-attempt: another\r\ntest-leaving: 1\r\n',
  },
  {
    ...{ name: 'several values, one of them valid', message: LEAVES, lateSends: 1 },
    fields: `${SIGNED}test-leaving: 0\r\ntest-leaving: 1\r\n`,
  },
  { name: 'no notice', fields: SIGNED, lateSends: 0 },
  {
    ...{ name: 'an answer of another server under the address', lateSends: 0 },
    ...{ fields: 'test-leaving: 1\r\ntest-not-run: 1\r\n', status: '421 Misdirected' },
  },
  ...['0', 'true', '1.0', '11', ''].map((text) => ({
    ...{ name: `an invalid value: ${text}`, message: INVALID, lateSends: 0 },
    fields: `${SIGNED}test-leaving: ${text}\r\n`,
  })),
];

// Guards against notices that pass unseen by logs and metrics, and against values and answers that say nothing of the server.
test.each(cases)('$name', async ({ fields, status = '200 OK', message, lateSends }) => {
  await using backend = await startRawBackend((socket) => {
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
  const counted = 'pollendrum_sends_to_leaving_servers_total{service="desk"}';
  if (lateSends > 0) expect(metrics.body).toContain(`${counted} ${lateSends}`);
  else expect(metrics.body).not.toContain(counted);
});
