import { afterEach, beforeEach, describe, expect, test } from 'vitest';
import { BundleStore } from '@pollendrum/platform';
import { FakePlatform, waitUntil } from '../../../platform/test/fake-platform';
import { buildEnvelope, trustedOperators } from '../../../platform/test/operators';
import { createBundleTask } from '../../src/control/index';
import type { BundleTask } from '../../src/control/index';
import { FakeMembership, FakeNetwork, createFakeTelemetry } from './fake-ports';
import type { FakePeer } from './fake-ports';

const INSTANCE_IDS = ['a', 'b', 'c'];
const SIGNERS = ['ana', 'bongi'];

describe('createBundleTask', () => {
  let platform: FakePlatform;
  let network: FakeNetwork;
  let membership: FakeMembership;
  let tasks: BundleTask[];

  beforeEach(() => {
    platform = new FakePlatform();
    network = new FakeNetwork();
    membership = new FakeMembership(INSTANCE_IDS);
    tasks = [];
  });

  afterEach(async () => {
    for (const task of tasks) await task[Symbol.asyncDispose]();
  });

  function createTask(instanceId: string, client = platform): BundleTask {
    const task = createBundleTask({
      client,
      membership,
      peers: network.createPeer(instanceId),
      telemetry: createFakeTelemetry(),
      trustedOperators,
      requiredSignatures: 2,
      pollIntervalMs: 20,
      retryDelayMs: 10,
    });
    tasks.push(task);
    return task;
  }

  /** Creates a peer that replies to `fetch-bundle` with the given envelope, or with an empty one. */
  function createReplyingPeer(instanceId: string, envelope: object | undefined): FakePeer {
    const peer = network.createPeer(instanceId);
    peer.watchMessages((from, message) => {
      if (message.kind !== 'fetch-bundle') return;
      const text = envelope === undefined ? '' : JSON.stringify(envelope);
      peer.sendMessage(from, {
        kind: 'bundle-reply',
        queryId: message.queryId,
        envelope: text,
      });
    });
    return peer;
  }

  async function acceptBundles(...numbers: number[]): Promise<void> {
    const store = new BundleStore({ client: platform, trustedOperators, requiredSignatures: 2 });
    for (const number of numbers) await store.acceptBundle(buildEnvelope(number, SIGNERS), 'ana');
  }

  // Guards against a bundle change that is missed because its watch event was lost; polling must
  // find it.
  test.each([{ isWatchSilent: false }, { isWatchSilent: true }])(
    'activates each accepted bundle (watch events lost: $isWatchSilent)',
    async ({ isWatchSilent }) => {
      platform.isWatchSilent = isWatchSilent;
      const task = createTask('a');
      const numbers: number[] = [];
      task.watchActive(({ bundle }) => numbers.push(bundle.number));
      expect(task.getActive()).toBeUndefined();
      await acceptBundles(1);
      await waitUntil(() => task.getActive()?.bundle.number === 1);
      await acceptBundles(2);
      await waitUntil(() => task.getActive()?.bundle.number === 2);
      expect(task.getActive()).toMatchObject({ confirmedByPlatform: true });
      expect(numbers).toEqual([1, 2]);
      expect(membership.bundleNumber).toBe(2);
    },
  );

  // Guards against activating an older bundle that the head, gossip or a peer names.
  test('never activates a bundle with a lower number', async () => {
    await acceptBundles(1, 2, 3);
    const task = createTask('a');
    await waitUntil(() => task.getActive()?.bundle.number === 3);
    const head = JSON.parse(platform.objects.get('bundles/head')?.text ?? '') as object;
    const storedKey =
      [...platform.objects.keys()].find((key) => key.startsWith('bundles/2-')) ?? '';
    const olderHead = { ...head, number: 2, digest: storedKey.slice('bundles/2-'.length) };
    platform.objects.set('bundles/head', { version: 99, text: JSON.stringify(olderHead) });
    createReplyingPeer('b', buildEnvelope(2, SIGNERS));
    membership.notifyBundleNumber(4, 'b');
    const reads = platform.readCount;
    await waitUntil(() => platform.readCount > reads + 6);
    expect(task.getActive()?.bundle.number).toBe(3);
  });

  // Guards against a new instance that has no bundle during a platform outage, or that activates a
  // bundle of its peers that is older, has too few signatures or does not match the schema.
  test('activates the highest verified bundle of the peers while the platform is down', async () => {
    const platformOfA = new FakePlatform();
    platformOfA.isDown = true;
    createReplyingPeer('b', buildEnvelope(2, SIGNERS));
    createReplyingPeer('c', buildEnvelope(9, ['ana']));
    createReplyingPeer('d', buildEnvelope(3, SIGNERS));
    createReplyingPeer('e', undefined);
    createReplyingPeer('f', buildEnvelope(8, SIGNERS, '{}'));
    membership.members = new FakeMembership(['a', 'b', 'c', 'd', 'e', 'f']).members;
    const task = createTask('a', platformOfA);
    await waitUntil(() => task.getActive()?.bundle.number === 3);
    expect(task.getActive()?.confirmedByPlatform).toBe(false);
    await acceptBundles(1, 2, 3);
    for (const [key, object] of platform.objects) platformOfA.objects.set(key, object);
    platformOfA.isDown = false;
    await waitUntil(() => task.getActive()?.confirmedByPlatform === true);
  });

  // Guards against a region that cannot reach the platform and never gets a newer bundle: its number
  // arrives by gossip, the bundle from the peer.
  test('fetches a bundle with a higher number announced by gossip from the peer', async () => {
    await acceptBundles(1);
    const task = createTask('a');
    await waitUntil(() => task.getActive()?.bundle.number === 1);
    platform.isDown = true;
    createReplyingPeer('b', buildEnvelope(2, SIGNERS));
    membership.notifyBundleNumber(2, 'b');
    await waitUntil(() => task.getActive()?.bundle.number === 2);
    expect(task.getActive()?.confirmedByPlatform).toBe(false);
  });

  // Guards against an instance that reports its bundle as confirmed although the head names a newer
  // bundle that it cannot fetch.
  test('keeps its bundle as unconfirmed when the accepted bundle cannot be fetched', async () => {
    await acceptBundles(1);
    const task = createTask('a');
    await waitUntil(() => task.getActive()?.bundle.number === 1);
    membership.members = [];
    const head = JSON.parse(platform.objects.get('bundles/head')?.text ?? '') as object;
    const text = JSON.stringify({ ...head, number: 2 });
    platform.objects.set('bundles/head', { version: 50, text });
    await waitUntil(() => task.getActive()?.confirmedByPlatform === false);
    expect(task.getActive()?.bundle.number).toBe(1);
  });
});
