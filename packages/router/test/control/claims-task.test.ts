import { afterEach, beforeEach, describe, expect, test } from 'vitest';
import type { PeerMessage } from '@pollendrum/protocol';
import { FakePlatform, waitUntil } from '../../../platform/test/fake-platform';
import { createClaimsTask } from '../../src/control/index';
import type { ClaimsTask } from '../../src/control/index';
import { FakeMembership, FakeNetwork, chooseFirst, createFakeTelemetry } from './fake-ports';

const INSTANCE_IDS = ['a', 'b', 'c', 'd'];

describe('createClaimsTask', () => {
  let platform: FakePlatform;
  let network: FakeNetwork;
  let memberships: Map<string, FakeMembership>;
  let tasks: Map<string, ClaimsTask>;
  let claims: [string, PeerMessage & { kind: 'claim' }][];

  beforeEach(() => {
    platform = new FakePlatform();
    network = new FakeNetwork();
    claims = [];
    network.observeMessage = (to, message) => {
      if (message.kind === 'claim') claims.push([to, message]);
    };
    memberships = new Map(INSTANCE_IDS.map((id) => [id, new FakeMembership(INSTANCE_IDS)]));
    tasks = new Map(INSTANCE_IDS.map((id) => [id, createTask(id)]));
  });

  afterEach(async () => {
    for (const task of tasks.values()) await task[Symbol.asyncDispose]();
  });

  function createTask(instanceId: string): ClaimsTask {
    return createClaimsTask({
      client: platform,
      membership: memberships.get(instanceId) ?? new FakeMembership([]),
      peers: network.createPeer(instanceId),
      telemetry: createFakeTelemetry(),
      chooseOwner: chooseFirst,
      retentionMs: 86_400_000,
      claimTimeoutMs: 400,
    });
  }

  function getTask(instanceId: string): ClaimsTask {
    const task = tasks.get(instanceId);
    if (task === undefined) throw new Error(`no task ${instanceId}`);
    return task;
  }

  // Guards against two entries that both run the request of the same idempotency key.
  test('grants a key to only one of two entries, through the owner of its range', async () => {
    const replies = await Promise.all([
      getTask('c').claimKey('k', 'n1', 'r1'),
      getTask('d').claimKey('k', 'n2', 'r2'),
    ]);
    expect(replies.map(({ result }) => result).sort()).toEqual(['claimed', 'duplicate']);
    expect(new Set(claims.map(([to]) => to))).toEqual(new Set(['a']));
  });

  // Guards against a claim that fails, or is retried with another nonce, because the owner of the
  // range was lost or has changed.
  test.each([
    { name: 'is lost', owners: ['a', 'b'], prepare: () => network.stopInstance('a'), isLost: true },
    { name: 'does not own the range', owners: ['c', 'a'], prepare: () => undefined, isLost: false },
  ])('claims from the next owner with the same nonce when an owner $name', async (testCase) => {
    const membership = memberships.get('d');
    if (membership !== undefined && !testCase.isLost) {
      // The view of d is stale: it chooses c, which is neither first nor second choice in the views of
      // the others and therefore rejects the claim.
      membership.members = membership.members.filter(({ instanceId }) => instanceId >= 'c');
    }
    const reply = getTask('d').claimKey('k', 'n1', 'r1');
    testCase.prepare();
    if (membership !== undefined && !testCase.isLost) {
      membership.members = new FakeMembership(INSTANCE_IDS).members;
    }
    await expect(reply).resolves.toMatchObject({ result: 'claimed' });
    expect(claims.map(([to]) => to)).toEqual(testCase.owners);
    expect(new Set(claims.map(([, { nonce }]) => nonce))).toEqual(new Set(['n1']));
  });

  // Guards against a claim that waits longer than its time limit (claimTimeoutMs) for the platform or a
  // silent owner, and against a key that stays claimed by a request that was rejected.
  test.each([
    { name: 'the platform is down', isDown: true },
    { name: 'the owner is silent', isDown: false },
  ])('resolves to unavailable while $name and releases the key', async ({ isDown }) => {
    platform.isDown = isDown;
    if (!isDown) network.markSilent('a');
    const startedAt = performance.now();
    const reply = await getTask('d').claimKey('k', 'n1', 'r1');
    expect(reply.result).toBe('unavailable');
    expect(performance.now() - startedAt).toBeLessThan(700);
    platform.isDown = false;
    if (!isDown) network.stopInstance('a');
    await waitUntil(() => [...platform.objects.values()].some(({ text }) => text.includes('n1')));
    for (const membership of memberships.values()) membership.members.shift();
    await expect(getTask('c').claimKey('k', 'n2', 'r2')).resolves.toMatchObject({
      result: 'claimed',
    });
  });

  // Guards against a stored response that is lost because the owner stopped before writing it.
  test('resends settlements when the link to their owner is lost', async () => {
    await getTask('d').claimKey('k', 'n1', 'r1');
    network.markSilent('a');
    getTask('d').recordSettlement({ keyHash: 'k', nonce: 'n1', state: 'done', status: 201 });
    network.stopInstance('a');
    await waitUntil(() => [...platform.objects.values()].some(({ text }) => text.includes('done')));
    for (const membership of memberships.values()) membership.members.shift();
    const duplicate = await getTask('c').claimKey('k', 'n2', 'r2');
    expect(duplicate).toMatchObject({ result: 'duplicate', state: 'done', status: 201 });
  });
});
