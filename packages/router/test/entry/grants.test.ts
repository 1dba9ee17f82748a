import { afterEach, beforeEach, expect, test } from 'vitest';
import type { Cause, ListedInstance } from '@pollendrum/protocol';
import { FakeEngine } from '../backend/fake-engine';
import {
  createGrant,
  createHarness,
  createRoute,
  createServer,
  sendChat,
  waitUntil,
} from './fakes';
import type { Harness } from './fakes';

const POOL = 'model:engines';
let engine: FakeEngine;
let server: ListedInstance;
let harness: Harness;

beforeEach(async () => {
  engine = new FakeEngine();
  server = createServer('engine-1', await engine.start());
  harness = await createHarness([server]);
});

afterEach(async () => {
  await harness[Symbol.asyncDispose]();
  await engine[Symbol.asyncDispose]();
});

/** Instances that the entry sent an enqueue to, in order. */
function listAskedOwners(): string[] {
  return harness.peers.listSent('enqueue').map(({ to }) => to);
}

// Guards against failing a request whose entry still sees an earlier owner of the shard.
test.each([
  {
    name: 'the routing view shows it',
    viewOwner: 'owner-2',
    namedOwner: '',
    askedOwners: ['owner-1', 'owner-2'],
  },
  {
    name: 'the reply names it',
    viewOwner: 'owner-1',
    namedOwner: 'owner-3',
    askedOwners: ['owner-1', 'owner-3'],
  },
])('not-owner: the enqueue is sent to the new owner ($name)', async (row) => {
  harness.peers.handleEnqueue = ({ attemptId }, to) => {
    if (to !== 'owner-1') return createGrant(attemptId, server);
    // The view changes during the delay before the enqueue is retried.
    setTimeout(() => {
      harness.routing.setRoutes(POOL, [createRoute(POOL, row.viewOwner, [server])]);
    }, 50);
    return {
      kind: 'not-owner',
      attemptId,
      ownerInstanceId: row.namedOwner,
      shardCount: 1,
      membershipVersion: 2,
    };
  };
  const response = await sendChat(harness.url);
  expect(response.status).toBe(200);
  expect(listAskedOwners()).toEqual(row.askedOwners);
});

// Guards against endless retries and against a response that shows the internal not-owner reply.
test('not-owner: the request fails after 3 retries with 503 and Retry-After', async () => {
  harness.peers.handleEnqueue = ({ attemptId }) => {
    const ownership = { ownerInstanceId: '', shardCount: 1, membershipVersion: 2 };
    return { kind: 'not-owner', attemptId, ...ownership };
  };
  const response = await sendChat(harness.url);
  expect(response.status).toBe(503);
  expect(response.headers.get('retry-after')).toBe('1');
  expect(listAskedOwners()).toHaveLength(4);
  expect(await response.json()).toMatchObject({
    error: { code: 'dispatcher_moved', not_run: true },
  });
  expect(engine.requests).toHaveLength(0);
});

// Guards against requests that wait forever for a dispatcher that no longer owns the shard or lost them.
test.each(['moved', 'lost', 'view'] as const)(
  '%s: pending requests are enqueued at the current owner with their arrival time',
  async (event) => {
    // After a lost link the owner is the same instance, and only the second enqueue reaches it.
    const nextOwner = event === 'lost' ? 'owner-1' : 'owner-2';
    harness.peers.handleEnqueue = ({ attemptId }, to) =>
      to === nextOwner && listAskedOwners().length > 1 ? createGrant(attemptId, server) : undefined;
    const sent = sendChat(harness.url);
    await waitUntil(() => listAskedOwners().length === 1);
    expect(harness.peers.pingedOwners).toEqual(['owner-1']);
    await new Promise((resolve) => setTimeout(resolve, 60));
    const moveShard = () => {
      harness.routing.setRoutes(POOL, [createRoute(POOL, 'owner-2', [server])]);
    };
    const attemptId = harness.peers.listSent('enqueue')[0]?.message.attemptId ?? '';
    if (event === 'view') moveShard();
    if (event === 'moved') {
      harness.peers.emitMessage('owner-1', { kind: 'moved', attemptId });
      setTimeout(moveShard, 20);
    }
    if (event === 'lost') harness.peers.emitLinkLoss('owner-1');
    expect((await sent).status).toBe(200);
    const last = harness.peers.listSent('enqueue').at(-1);
    expect(last?.to).toBe(nextOwner);
    expect(last?.message.attemptId).toBe(attemptId);
    expect(last?.message.arrivedAgoMs).toBeGreaterThanOrEqual(50);
  },
);

// Guards against a new owner that grants slots in use to other requests.
test.each(['lost', 'view'] as const)(
  '%s: slots in use are reported to the owner',
  async (event) => {
    engine.behaviour = { gapMs: 60 };
    const sent = sendChat(harness.url);
    await waitUntil(() => engine.requests.length === 1);
    if (event === 'lost') harness.peers.emitLinkLoss('owner-1');
    else harness.routing.setRoutes(POOL, [createRoute(POOL, 'owner-2', [server])]);
    const owner = event === 'lost' ? 'owner-1' : 'owner-2';
    expect((await sent).status).toBe(200);
    const [adopt] = harness.peers.listSent('adopt');
    expect(adopt).toMatchObject({
      to: owner,
      message: {
        grants: [{ attemptId: engine.requests[0]?.attemptId, serverId: 'engine-1', isSent: true }],
      },
    });
    expect(harness.peers.listSent('finish').at(-1)?.to).toBe(owner);
  },
);

// Guards against sending a request after the dispatcher granted its slot to another request, for example because
// the server is leaving or the entry was paused.
test('an expired grant is returned and replaced', async () => {
  let grants = 0;
  harness.peers.handleEnqueue = ({ attemptId }) => {
    grants += 1;
    const until = performance.now() + 20;
    if (grants === 1) {
      // Blocks the process between the enqueue and the reading of the grant, as a pause would.
      while (performance.now() < until);
      return createGrant(attemptId, server, 5);
    }
    return createGrant(attemptId, server);
  };
  expect((await sendChat(harness.url)).status).toBe(200);
  expect(harness.peers.listFinishResults()).toEqual(['not-sent', 'completed']);
  expect(engine.requests).toHaveLength(1);
});

// Guards against slots that stay in use when two owners grant the same attempt.
test('a second grant for the same attempt is returned', async () => {
  harness.peers.handleEnqueue = ({ attemptId }) => {
    setImmediate(() => {
      harness.peers.emitMessage('owner-9', createGrant(attemptId, createServer('engine-9', 1)));
    });
    return createGrant(attemptId, server);
  };
  expect((await sendChat(harness.url)).status).toBe(200);
  const returned = harness.peers.listSent('finish').find(({ to }) => to === 'owner-9');
  expect(returned?.message).toMatchObject({ serverId: 'engine-9', result: 'not-sent' });
});

const overBudget: Cause = {
  kind: 'queue-wait-over-budget',
  estimatedWaitMs: 5_000,
  budgetMs: 1_000,
  requestsAheadByTier: [9],
  usedSlotsByClass: {},
};
const teamLimit: Cause = { kind: 'team-limit', limit: 'concurrent-requests', limitValue: 2 };
const poison: Cause = { kind: 'poison-request', fingerprint: 'f', crashedServerIds: ['a', 'b'] };

// Guards against wrong statuses of rejections, and against trying a sibling shard for a cause that isn't a
// lack of capacity.
test.each([
  {
    cause: overBudget,
    status: 503,
    code: 'queue_wait_over_budget',
    retryAfter: '3',
    askedOwners: 2,
  },
  { cause: teamLimit, status: 429, code: 'team_limit', retryAfter: '3', askedOwners: 1 },
  { cause: poison, status: 422, code: 'request_crashes_servers', retryAfter: null, askedOwners: 1 },
])('reject with $cause.kind', async ({ cause, status, code, retryAfter, askedOwners }) => {
  harness.routing.setRoutes(POOL, [
    createRoute(POOL, 'owner-1', [server], 0, 2),
    createRoute(POOL, 'owner-2', [server], 1, 2),
  ]);
  harness.peers.handleEnqueue = ({ attemptId }) => {
    return { kind: 'reject', attemptId, cause, retryAfterMs: 2_500 };
  };
  const response = await sendChat(harness.url);
  expect(response.status).toBe(status);
  expect(response.headers.get('retry-after')).toBe(retryAfter);
  expect(await response.json()).toMatchObject({ error: { code, cause, not_run: true } });
  expect(listAskedOwners()).toHaveLength(askedOwners);
  expect(harness.outcomes.records[0]).toMatchObject({ outcome: 'not-run', cause });
});

// Guards against rejecting a request while a sibling shard has free slots.
test('a request rejected by one shard runs in a sibling shard', async () => {
  harness.routing.setRoutes(POOL, [
    createRoute(POOL, 'owner-1', [server], 0, 2),
    createRoute(POOL, 'owner-2', [server], 1, 2),
  ]);
  harness.peers.handleEnqueue = ({ attemptId }, to) => {
    if (to === 'owner-2') return createGrant(attemptId, server);
    return { kind: 'reject', attemptId, cause: overBudget, retryAfterMs: 1_000 };
  };
  expect((await sendChat(harness.url)).status).toBe(200);
});

// Guards against requests that stay queued after their caller disconnected.
test('a queued request is withdrawn when its caller disconnects', async () => {
  harness.peers.handleEnqueue = () => undefined;
  const controller = new AbortController();
  const sent = sendChat(harness.url, undefined, {}, controller.signal).catch(() => undefined);
  await waitUntil(() => listAskedOwners().length === 1);
  controller.abort();
  await sent;
  await waitUntil(() => harness.outcomes.records.length === 1);
  expect(harness.peers.listSent('withdraw')).toHaveLength(1);
  expect(harness.outcomes.records[0]).toMatchObject({ outcome: 'cancelled', status: 0 });
  expect(harness.peers.pingedOwners).toEqual([]);
});
