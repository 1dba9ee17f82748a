import { createServer as createHttpServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { afterEach, beforeEach, expect, test } from 'vitest';
import type { ClaimReply } from '../../src/ports';
import { createGrant, createHarness, createServer, sendServiceCall, waitUntil } from './fakes';
import type { Harness } from './fakes';

type Handler = (request: IncomingMessage, response: ServerResponse) => void;

const KEY_HEADER = { 'idempotency-key': 'order-1' };
const sendPlaced: Handler = (_request, response) => {
  response.writeHead(201, { 'content-type': 'text/plain', connection: 'x-hop', 'x-hop': '1' });
  response.end('placed');
};
const breakConnection: Handler = (_request, response) => {
  response.destroy();
};
const rejectNotRun: Handler = (_request, response) => {
  response.writeHead(503, { 'x-not-run': 'true' }).end();
};

let service: Server;
let harness: Harness;
let handler: Handler;
let calls: IncomingMessage[];

beforeEach(async () => {
  calls = [];
  handler = sendPlaced;
  service = createHttpServer((request, response) => {
    calls.push(request);
    handler(request, response);
  });
  await new Promise<void>((resolve) => service.listen(0, '127.0.0.1', resolve));
  const { port } = service.address() as AddressInfo;
  harness = await createHarness([createServer('s-1', port), createServer('s-2', port)]);
});

afterEach(async () => {
  await harness[Symbol.asyncDispose]();
  service.close();
  service.closeAllConnections();
});

// Guards against settlements that let a call run twice, and against settlements that block a call with the
// same key although the first one did not run.
test.each([
  {
    name: 'answered',
    handler: sendPlaced,
    status: 201,
    notRun: undefined,
    outcome: 'answered',
    settlement: { state: 'done', status: 201, contentType: 'text/plain', body: 'placed' },
  },
  {
    name: 'connection lost after sending',
    handler: breakConnection,
    status: 504,
    notRun: null,
    outcome: 'unknown',
    settlement: { state: 'unknown' },
  },
  {
    name: 'refused as not run',
    handler: rejectNotRun,
    status: 503,
    notRun: true,
    outcome: 'not-run',
    settlement: { state: 'not-run' },
  },
])('non-idempotent call: $name', async (row) => {
  handler = row.handler;
  const response = await sendServiceCall(harness.url, 'POST', '/place', KEY_HEADER);
  expect(response.status).toBe(row.status);
  if (row.notRun !== undefined) {
    expect(await response.json()).toMatchObject({ error: { not_run: row.notRun } });
  }
  expect(calls).toHaveLength(1);
  await waitUntil(
    () => harness.claims.settlements.length > 0 && harness.outcomes.records.length > 0,
  );
  expect(harness.claims.settlements).toHaveLength(1);
  expect(harness.claims.settlements[0]).toMatchObject(row.settlement);
  expect(harness.outcomes.records.map(({ outcome }) => outcome)).toEqual([row.outcome]);
});

// Guards against sending a key that is already claimed.
test.each<{ reply: ClaimReply; status: number; text: string; outcome: string }>([
  {
    reply: { result: 'duplicate', state: 'done', status: 201, body: 'placed', elapsedMs: 1 },
    status: 201,
    text: 'placed',
    outcome: 'answered',
  },
  {
    reply: { result: 'duplicate', state: 'done', status: 201, elapsedMs: 1 },
    status: 409,
    text: '"code":"already_done"',
    outcome: 'not-run',
  },
  {
    reply: { result: 'duplicate', state: 'in-progress', elapsedMs: 1 },
    status: 409,
    text: '"code":"in_progress"',
    outcome: 'not-run',
  },
  {
    reply: { result: 'duplicate', state: 'unknown', elapsedMs: 1 },
    status: 409,
    text: '"code":"outcome_unknown"',
    outcome: 'not-run',
  },
  {
    reply: { result: 'unavailable', elapsedMs: 5 },
    status: 503,
    text: '"code":"platform_unavailable"',
    outcome: 'not-run',
  },
])('claim $reply.result $reply.state is not sent', async ({ reply, status, text, outcome }) => {
  harness.claims.reply = reply;
  const response = await sendServiceCall(harness.url, 'POST', '/place', KEY_HEADER);
  expect(response.status).toBe(status);
  expect(await response.text()).toContain(text);
  expect(calls).toHaveLength(0);
  expect(harness.peers.listFinishResults()).toEqual(['not-sent']);
  expect(harness.outcomes.records[0]).toMatchObject({ outcome });
});

// Guards against a claim, and thus a platform write, for each rejected call.
test('a call that gets no grant is not claimed', async () => {
  harness.peers.handleEnqueue = ({ attemptId }) => {
    const cause = {
      kind: 'queue-full' as const,
      queueLength: 1,
      queueLimit: 1,
      usedSlotsByClass: {},
    };
    return { kind: 'reject', attemptId, cause, retryAfterMs: 1_000 };
  };
  expect((await sendServiceCall(harness.url, 'POST', '/place', KEY_HEADER)).status).toBe(503);
  expect(harness.claims.claimed).toEqual([]);
});

// Guards against a call that is sent after its grant expired during a slow claim, or is claimed twice.
test('a call whose grant expires during the claim gets another grant for the same claim', async () => {
  harness.claims.delayMs = 60;
  const grant = harness.peers.handleEnqueue;
  harness.peers.handleEnqueue = (message, to) => {
    const reply = grant(message, to);
    return reply?.kind === 'grant'
      ? createGrant(reply.attemptId, createServer('s-1', reply.port), 30)
      : reply;
  };
  expect((await sendServiceCall(harness.url, 'POST', '/place', KEY_HEADER)).status).toBe(201);
  expect(harness.claims.claimed).toHaveLength(1);
  expect(calls).toHaveLength(1);
  expect(harness.peers.listFinishResults()).toEqual(['not-sent', 'completed']);
});

// Guards against aborting a non-idempotent call because its caller disconnected.
test('a non-idempotent call is completed when its caller disconnects', async () => {
  handler = (_request, response) => {
    setTimeout(() => response.end('late'), 100);
  };
  const controller = new AbortController();
  const headers = { authorization: 'Bearer team-key', ...KEY_HEADER };
  const sent = fetch(`${harness.url}/services/orders/place`, {
    method: 'POST',
    headers,
    signal: controller.signal,
  }).catch(() => undefined);
  await waitUntil(() => calls.length === 1);
  controller.abort();
  await sent;
  await waitUntil(() => harness.claims.settlements.length === 1);
  expect(harness.claims.settlements[0]).toMatchObject({ state: 'done', body: 'late' });
  expect(harness.outcomes.records.map(({ outcome }) => outcome)).toEqual(['cancelled']);
});

// Guards against a caller that declares a non-idempotent call idempotent; only the opposite is allowed.
test.each([
  { path: '/place', headers: { 'x-idempotent': 'true' }, claims: 0, status: 400 },
  { path: '/place/x', headers: {}, claims: 0, status: 400 },
  { path: '/other', headers: {}, claims: 0, status: 201 },
  { path: '/other', headers: { 'x-idempotent': 'false', ...KEY_HEADER }, claims: 1, status: 201 },
])('$path with $headers', async ({ path, headers, claims, status }) => {
  const response = await sendServiceCall(
    harness.url,
    'POST',
    path,
    headers as Record<string, string>,
  );
  expect(response.status).toBe(status);
  expect(harness.claims.claimed).toHaveLength(claims);
});

// Guards against failing an idempotent call after one broken connection, and against a third attempt.
test.each([
  { failures: 1, allow: true, status: 201, calls: 2 },
  { failures: 2, allow: true, status: 502, calls: 2 },
  { failures: 1, allow: false, status: 502, calls: 1 },
])('idempotent call: $failures failures, retry $allow', async (row) => {
  harness.retries.allow = row.allow;
  handler = (request, response) => {
    if (calls.length <= row.failures) breakConnection(request, response);
    else sendPlaced(request, response);
  };
  expect((await sendServiceCall(harness.url, 'POST', '/other')).status).toBe(row.status);
  expect(calls).toHaveLength(row.calls);
});

// Guards against forwarding hop-by-hop headers or the team's API key.
test('hop-by-hop headers and the API key are not forwarded', async () => {
  const response = await sendServiceCall(harness.url, 'POST', '/place?x=1', {
    ...KEY_HEADER,
    te: 'trailers',
    'x-request-id': 'r-9',
  });
  expect(response.headers.get('x-hop')).toBeNull();
  expect(calls[0]?.url).toBe('/place?x=1');
  expect(calls[0]?.headers).toMatchObject({ 'x-request-id': 'r-9', ...KEY_HEADER });
  expect(calls[0]?.headers).not.toHaveProperty('authorization');
  expect(calls[0]?.headers).not.toHaveProperty('te');
});
