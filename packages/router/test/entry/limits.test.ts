import { connect } from 'node:net';
import { afterAll, beforeAll, expect, test } from 'vitest';
import { FakeEngine } from '../backend/fake-engine';
import { chatBody, createHarness, createServer, TEAM_KEY, settings, waitUntil } from './fakes';
import type { Harness } from './fakes';
import { parseResponse, sendRaw } from './raw-caller';

let engine: FakeEngine;
let harness: Harness;

beforeAll(async () => {
  engine = new FakeEngine();
  const server = createServer('engine-1', await engine.start());
  harness = await createHarness([server], { settings: { ...settings, maxBodyBytes: 400_000 } });
});

afterAll(async () => {
  await harness[Symbol.asyncDispose]();
  engine.stop();
});

const AUTH = `Authorization: Bearer ${TEAM_KEY}\r\n`;
const HOST = 'Host: a\r\n';

function buildChat(body: string, headers = ''): string {
  const length = `Content-Length: ${Buffer.byteLength(body, 'latin1')}\r\n`;
  return `POST /v1/chat/completions HTTP/1.1\r\n${HOST}${AUTH}${length}${headers}\r\n${body}`;
}

function buildHead(method: string, path: string, headers = HOST + AUTH): string {
  return `${method} ${path} HTTP/1.1\r\n${headers}\r\n`;
}

const validBody = JSON.stringify(chatBody);
const deeplyNestedBody = `{"model":"facet","messages":[{"role":"user","content":${'['.repeat(150_000)}${']'.repeat(150_000)}}]}`;
const loneSurrogateBody = '{"model":"facet","messages":[{"role":"user","content":"\\ud800 x"}]}';
const manyHeaders = Array.from({ length: 2_500 }, () => 'a:\r\n').join('');
const longId = `X-Request-Id: ${'i'.repeat(65)}\r\n`;

interface ResponseCase {
  name: string;
  sent: string;
  status: number;
  code?: string;
}

// Guards against error responses without the JSON error body, which callers cannot handle, and against requests
// that end with an internal error.
test.each<ResponseCase>([
  {
    name: 'a header over the limit',
    sent: buildChat(validBody, `x: ${'x'.repeat(20_000)}\r\n`),
    status: 431,
    code: 'bad_request',
  },
  { name: 'garbage', sent: '\x00\x01garbage\r\n\r\n', status: 400, code: 'bad_request' },
  {
    name: 'no Host',
    sent: buildHead('GET', '/v1/none', AUTH),
    status: 404,
    code: 'unknown_service',
  },
  {
    name: 'two lengths',
    sent: buildChat(validBody, 'Content-Length: 1\r\n'),
    status: 400,
    code: 'bad_request',
  },
  {
    name: 'length and chunks',
    sent: buildChat(validBody, 'Transfer-Encoding: chunked\r\n'),
    status: 400,
    code: 'bad_request',
  },
  {
    name: 'bad chunk',
    sent: `POST /v1/chat/completions HTTP/1.1\r\n${HOST}${AUTH}Transfer-Encoding: chunked\r\n\r\nzz\r\n`,
    status: 400,
    code: 'bad_request',
  },
  { name: 'an array', sent: buildChat('[1]'), status: 400, code: 'bad_request' },
  { name: 'a number', sent: buildChat('7'), status: 400, code: 'bad_request' },
  { name: 'null', sent: buildChat('null'), status: 400, code: 'bad_request' },
  { name: 'deep nesting', sent: buildChat(deeplyNestedBody), status: 400, code: 'bad_request' },
  {
    name: 'deep nesting without end',
    sent: buildChat('['.repeat(300_000)),
    status: 400,
    code: 'bad_request',
  },
  { name: 'a lone surrogate', sent: buildChat(loneSurrogateBody), status: 200 },
  {
    name: 'a surrogate in UTF-8',
    sent: buildChat('{"model":"\xed\xa0\x80"}'),
    status: 400,
    code: 'bad_request',
  },
  { name: 'a long request id', sent: buildChat(validBody, longId), status: 200 },
  {
    name: 'many headers before the key',
    sent: `POST /v1/chat/completions HTTP/1.1\r\n${HOST}${manyHeaders}${AUTH}Content-Length: ${validBody.length}\r\n\r\n${validBody}`,
    status: 200,
  },
  {
    name: 'two request ids',
    sent: buildChat(validBody, 'X-Request-Id: a\r\nX-Request-Id: b\r\n'),
    status: 200,
  },
  {
    name: 'two classes',
    sent: buildChat(validBody, 'X-Service-Class: quick\r\nX-Service-Class: short\r\n'),
    status: 403,
    code: 'forbidden_class',
  },
  {
    name: 'two idempotency keys',
    sent: buildHead(
      'POST',
      '/services/orders/place',
      `${HOST}${AUTH}Idempotency-Key: a\r\nIdempotency-Key: b\r\nContent-Length: 0\r\n`,
    ),
    status: 400,
    code: 'missing_key',
  },
  {
    name: 'an upgrade',
    sent: buildChat(validBody, 'Connection: Upgrade\r\nUpgrade: websocket\r\n'),
    status: 200,
  },
  { name: 'an unknown expectation', sent: buildChat(validBody, 'Expect: cake\r\n'), status: 200 },
  { name: 'OPTIONS', sent: buildHead('OPTIONS', '*'), status: 404, code: 'unknown_service' },
  {
    name: 'OPTIONS of a service',
    sent: buildHead('OPTIONS', '/services/orders/a'),
    status: 404,
    code: 'unknown_service',
  },
  {
    name: 'dots',
    sent: buildHead('GET', '/services/orders/a/../place'),
    status: 400,
    code: 'bad_request',
  },
  {
    name: 'encoded dots',
    sent: buildHead('GET', '/services/orders/%2e%2e/x'),
    status: 400,
    code: 'bad_request',
  },
  {
    name: 'a backslash',
    sent: buildHead('GET', '/services/orders/a%5c..%5cb'),
    status: 400,
    code: 'bad_request',
  },
])('$name gets status $status', async ({ sent, status, code }) => {
  const recordsBefore = harness.outcomes.records.length;
  const response = parseResponse(await sendRaw(harness.entry.port, [sent]));
  expect(response.status).toBe(status);
  if (code !== undefined) {
    const { error } = JSON.parse(response.body) as { error: Record<string, unknown> };
    expect(error).toMatchObject({ code, not_run: true, cause: { kind: expect.any(String) } });
    expect(error['request_id']).toMatch(/^[A-Za-z0-9._-]{1,64}$/);
  }
  // When a connection is closed early, the outcome of its request is recorded after the close.
  await waitUntil(() => harness.entry.countInFlight() === 0);
  const added = harness.outcomes.records.slice(recordsBefore);
  expect(added.length).toBeLessThanOrEqual(1);
  expect(added.filter(({ outcome }) => outcome === 'failed')).toEqual([]);
});

// Guards against a body in the response to HEAD, which breaks the framing of the connection.
test('HEAD gets the status and no body', async () => {
  const text = await sendRaw(harness.entry.port, [buildHead('HEAD', '/v1/none')]);
  expect(text).toMatch(/^HTTP\/1.1 404 /);
  expect(text.endsWith('\r\n\r\n')).toBe(true);
});

// Guards against sending 100 Continue for a body that is then rejected.
test.each([
  { name: 'accepted', authorization: AUTH, status: 200, isContinueSent: true },
  { name: 'rejected', authorization: '', status: 401, isContinueSent: false },
])(
  'Expect: 100-continue with a body that is $name',
  async ({ authorization, status, isContinueSent }) => {
    const head = `POST /v1/chat/completions HTTP/1.1\r\n${HOST}${authorization}Expect: 100-continue\r\n`;
    const text = await sendRaw(harness.entry.port, [
      `${head}Content-Length: ${validBody.length}\r\n\r\n`,
      ...(isContinueSent ? [validBody] : []),
    ]);
    expect(text.startsWith('HTTP/1.1 100 Continue')).toBe(isContinueSent);
    expect(parseResponse(text).status).toBe(status);
  },
);

// Guards against an error response written into the response to an earlier request on the connection.
test.each([true, false])(
  'garbage after a request closes the connection (streamed: %s)',
  async (stream) => {
    engine.behaviour = { words: Array<string>(20).fill('w'), gapMs: 10 };
    const id = `garbage-${String(stream)}`;
    const body = JSON.stringify({ ...chatBody, stream });
    const sent = buildChat(body, `X-Request-Id: ${id}\r\n`);
    const text = await sendRaw(harness.entry.port, [sent, '\x00\x01 garbage\r\n\r\n']);
    engine.behaviour = {};
    expect(text).not.toContain('bad_request');
    const listRecords = () => harness.outcomes.records.filter(({ requestId }) => requestId === id);
    await waitUntil(() => listRecords().length > 0);
    expect(listRecords().map(({ outcome }) => outcome)).toEqual(['cancelled']);
  },
);

// Guards against callers that hold connections without sending a request.
test('an idle caller gets status 408 and is disconnected', async () => {
  const limits = { ...settings, callerIdleTimeoutMs: 300 };
  await using idle = await createHarness([], { settings: limits });
  const response = parseResponse(await sendRaw(idle.entry.port, ['GET /v1/models HT'], 5_000));
  expect(response.status).toBe(408);
  expect(JSON.parse(response.body)).toMatchObject({
    error: { code: 'bad_request', not_run: true },
  });
});

// Guards against unlimited connections, and against closed connections that still count towards the limit.
test('connections over the limit are closed until others end', async () => {
  await using small = await createHarness([], { settings: { ...settings, maxConnections: 2 } });
  const { port } = small.entry;
  const held = [connect(port, '127.0.0.1'), connect(port, '127.0.0.1')];
  await Promise.all(
    held.map((socket) => new Promise((resolve) => socket.once('connect', resolve))),
  );
  expect(await sendRaw(port, [buildHead('GET', '/livez')])).toBe('');
  for (const socket of held) socket.destroy();
  await expect
    .poll(async () => await sendRaw(port, [buildHead('GET', '/livez')]))
    .toContain('200 OK');
});

// Guards against bodies that stay unfinished and take the memory of all other requests.
test('bodies over the memory of all are refused as not run, those of others are read', async () => {
  const limits = { ...settings, maxBodyBytes: 65_536, maxHeldBodyBytes: 196_608 };
  await using small = await createHarness([], { settings: limits });
  const head = buildHead('POST', '/v1/chat/completions', `${HOST}${AUTH}Content-Length: 60000\r\n`);
  const open = (localAddress: string) => {
    let text = '';
    const socket = connect({ host: '127.0.0.1', port: small.entry.port, localAddress });
    socket.on('error', () => undefined).on('data', (chunk) => (text += chunk.toString()));
    socket.write(head);
    return { socket, readText: () => text };
  };
  const held = [open('127.0.0.2'), open('127.0.0.2'), open('127.0.0.2')];
  await expect.poll(() => held.map(({ readText }) => readText()).join('')).toContain('503');
  const texts = held.map(({ readText }) => readText()).filter((text) => text !== '');
  expect(texts).toHaveLength(1);
  expect(parseResponse(texts[0] ?? '')).toMatchObject({ status: 503 });
  expect(JSON.parse(parseResponse(texts[0] ?? '').body)).toMatchObject({
    error: { code: 'body_memory_full', not_run: true },
  });
  for (const { socket } of held) socket.destroy();
  const later = open('127.0.0.3');
  later.socket.write('x'.repeat(60_000));
  await expect.poll(() => later.readText()).toContain('400');
  later.socket.destroy();
});

// Guards against recording a body that the parser rejects as a disconnect of the caller.
test('a body that the parser rejects is recorded as a bad request', async () => {
  const count = harness.outcomes.records.length;
  const head = `POST /v1/chat/completions HTTP/1.1\r\n${HOST}${AUTH}`;
  await sendRaw(harness.entry.port, [
    `${head}X-Request-Id: refused-1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n`,
  ]);
  await waitUntil(() => harness.outcomes.records.length > count);
  const record = harness.outcomes.records.find(({ requestId }) => requestId === 'refused-1');
  expect(record).toMatchObject({ outcome: 'not-run', status: 400, cause: { kind: 'bad-request' } });
});
