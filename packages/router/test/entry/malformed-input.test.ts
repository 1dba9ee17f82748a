import { request } from 'node:http';
import { connect } from 'node:net';
import { afterAll, beforeAll, expect, test } from 'vitest';
import { chatBody, createHarness, TEAM_KEY, sendChat, settings } from './fakes';
import type { Harness } from './fakes';

let harness: Harness;

beforeAll(async () => {
  harness = await createHarness([]);
});

afterAll(async () => {
  await harness[Symbol.asyncDispose]();
});

const wrongFields = '{"model": 1,\n "messages": [{"role": "x", "content": 2}],\n "stream": "yes"}';

// Guards against findings without a position and against reporting only the first finding.
test.each([
  { body: '{', findings: [{ line: 1, column: 2 }] },
  { body: '[]', findings: [{ pointer: '' }] },
  { body: '{}', findings: [{ message: 'missing field model' }, {}] },
  {
    body: wrongFields,
    findings: [
      { pointer: '/model', line: 1, column: 11 },
      { pointer: '/messages/0/role', line: 2, column: 24 },
      { pointer: '/messages/0/content', line: 2, column: 40 },
      { pointer: '/stream', line: 3, column: 12 },
    ],
  },
])('body $body is rejected with all findings', async ({ body, findings }) => {
  const response = await sendChat(harness.url, body);
  expect(response.status).toBe(400);
  const { error } = (await response.json()) as { error: Record<string, unknown> };
  expect(error).toMatchObject({ code: 'bad_request', not_run: true, cause: { findings } });
});

const auth = { authorization: `Bearer ${TEAM_KEY}` };
const oversizedBody = JSON.stringify({ ...chatBody, user: 'x'.repeat(5_000) });

interface RejectionCase {
  path: string;
  headers: Record<string, string>;
  body: string;
  status: number;
  code: string;
}

// Guards against wrong statuses, from which callers decide whether to retry.
test.each<RejectionCase>([
  { path: '/v1/chat/completions', headers: {}, body: '{}', status: 401, code: 'unauthorized' },
  {
    path: '/v1/chat/completions',
    headers: { authorization: 'Bearer wrong' },
    body: '{}',
    status: 401,
    code: 'unauthorized',
  },
  {
    path: '/v1/chat/completions',
    headers: { ...auth, 'x-service-class': 'hidden' },
    body: '{}',
    status: 403,
    code: 'forbidden_class',
  },
  {
    path: '/v1/chat/completions',
    headers: auth,
    body: JSON.stringify({ ...chatBody, model: 'none' }),
    status: 404,
    code: 'unknown_model',
  },
  {
    path: '/v1/chat/completions',
    headers: auth,
    body: oversizedBody,
    status: 413,
    code: 'body_too_large',
  },
  { path: '/services/none/a', headers: auth, body: '', status: 404, code: 'unknown_service' },
  { path: '/services/orders/place', headers: auth, body: '', status: 400, code: 'missing_key' },
  { path: '/services/orders/a%2f..', headers: auth, body: '', status: 400, code: 'bad_request' },
  {
    path: '/services/orders/%70lace',
    headers: auth,
    body: '',
    status: 400,
    code: 'missing_key',
  },
  {
    path: '/services/orders/place',
    headers: { ...auth, 'idempotency-key': '01890000-0000-7000-8000-000000000000' },
    body: '',
    status: 409,
    code: 'key_expired',
  },
])('$status $code on $path', async ({ path, headers, body, status, code }) => {
  const response = await fetch(`${harness.url}${path}`, { method: 'POST', headers, body });
  expect(response.status).toBe(status);
  expect(await response.json()).toMatchObject({ error: { code, not_run: true } });
  const requestId = response.headers.get('x-request-id');
  const record = harness.outcomes.records.find((item) => item.requestId === requestId);
  expect(record).toMatchObject({ outcome: 'not-run', status });
});

// Guards against large headers that exhaust memory.
test('headers over the limit are rejected', async () => {
  const status = await new Promise<number | undefined>((resolve, reject) => {
    const headers = { 'x-long': 'x'.repeat(20_000) };
    const clientRequest = request(`${harness.url}/livez`, { headers }, (response) => {
      response.resume();
      resolve(response.statusCode);
    });
    clientRequest.on('error', reject);
    clientRequest.end();
  });
  expect(status).toBe(431);
});

// Guards against callers that hold a connection with a body that never ends.
test('a caller that stops sending is disconnected', async () => {
  const startedAtMs = performance.now();
  await new Promise<void>((resolve) => {
    const socket = connect(harness.entry.port, '127.0.0.1', () => {
      const head = `POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${TEAM_KEY}\r\n`;
      socket.write(`${head}X-Request-Id: slow-1\r\nContent-Length: 100\r\n\r\n{`);
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      resolve();
    });
  });
  const limitMs = settings.callerIdleTimeoutMs ?? 0;
  expect(performance.now() - startedAtMs).toBeGreaterThan(limitMs * 0.9);
  const record = harness.outcomes.records.find(({ requestId }) => requestId === 'slow-1');
  expect(record).toMatchObject({ outcome: 'cancelled', cause: { kind: 'caller-slow' } });
});
