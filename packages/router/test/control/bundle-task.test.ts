import { afterEach, beforeEach, describe, expect, test } from 'vitest';
import { BundleStore } from '@pollendrum/platform';
import { FakePlatform, waitUntil } from '../../../platform/test/fake-platform';
import { buildEnvelope, trustedOperators } from '../../../platform/test/operators';
import { createBundleTask } from '../../src/control/index';
import type { BundleTask } from '../../src/control/index';
import { FakeMembership, FakeNetwork, createTelemetry } from './fake-ports';
import type { FakePeer } from './fake-ports';

const IDS = ['a', 'b', 'c'];
const SIGNERS = ['ana', 'bongi'];

describe('createBundleTask', () => {
  let platform: FakePlatform;
  let network: FakeNetwork;
  let membership: FakeMembership;
  let tasks: BundleTask[];

  beforeEach(() => {
    platform = new FakePlatform();
    network = new FakeNetwork();
    membership = new FakeMembership(IDS);
    tasks = [];
  });

  afterEach(async () => {
    for (const task of tasks) await task[Symbol.asyncDispose]();
  });

  function createTask(instanceId: string, client = platform): BundleTask {
    const task = createBundleTask({
      client,
      membership,
      peer: network.createPeer(instanceId),
      telemetry: createTelemetry(),
      trustedOperators,
      requiredSignatures: 2,
      pollIntervalMs: 20,
      retryDelayMs: 10,
    });
    tasks.push(task);
    return task;
  }

  /** A peer that answers fetch-bundle with a fixed envelope. */
  function createAnsweringPeer(instanceId: string, envelope: object | undefined): FakePeer {
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

  // Guards against a change that is missed because the watch lost its event.
  test.each([{ isWatchSilent: false }, { isWatchSilent: true }])(
    'follows the head, silent watch $isWatchSilent',
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

  // Guards against a return to an older bundle, from the head, from gossip or from a peer.
  test('only moves to a higher number', async () => {
    await acceptBundles(1, 2, 3);
    const task = createTask('a');
    await waitUntil(() => task.getActive()?.bundle.number === 3);
    const head = JSON.parse(platform.objects.get('bundles/head')?.text ?? '') as object;
    const stored = [...platform.objects.keys()].find((key) => key.startsWith('bundles/2-')) ?? '';
    const older = { ...head, number: 2, digest: stored.slice('bundles/2-'.length) };
    platform.objects.set('bundles/head', { version: 99, text: JSON.stringify(older) });
    createAnsweringPeer('b', buildEnvelope(2, SIGNERS));
    membership.notifyBundleNumber(4, 'b');
    const reads = platform.readCount;
    await waitUntil(() => platform.readCount > reads + 6);
    expect(task.getActive()?.bundle.number).toBe(3);
  });

  // Guards against a fresh instance that stays without a bundle during an outage, or takes an
  // older, unsigned or malformed one.
  test('takes the highest verified bundle of its peers while the platform is down', async () => {
    const platformOfA = new FakePlatform();
    platformOfA.isDown = true;
    createAnsweringPeer('b', buildEnvelope(2, SIGNERS));
    createAnsweringPeer('c', buildEnvelope(9, ['ana']));
    createAnsweringPeer('d', buildEnvelope(3, SIGNERS));
    createAnsweringPeer('e', undefined);
    createAnsweringPeer('f', buildEnvelope(8, SIGNERS, '{}'));
    membership.members = new FakeMembership(['a', 'b', 'c', 'd', 'e', 'f']).members;
    const task = createTask('a', platformOfA);
    await waitUntil(() => task.getActive()?.bundle.number === 3);
    expect(task.getActive()?.confirmedByPlatform).toBe(false);
    await acceptBundles(1, 2, 3);
    for (const [key, object] of platform.objects) platformOfA.objects.set(key, object);
    platformOfA.isDown = false;
    await waitUntil(() => task.getActive()?.confirmedByPlatform === true);
  });

  // Guards against a region without the platform that never learns of a newer bundle.
  test('follows a higher number from gossip by way of the peer', async () => {
    await acceptBundles(1);
    const task = createTask('a');
    await waitUntil(() => task.getActive()?.bundle.number === 1);
    platform.isDown = true;
    createAnsweringPeer('b', buildEnvelope(2, SIGNERS));
    membership.notifyBundleNumber(2, 'b');
    await waitUntil(() => task.getActive()?.bundle.number === 2);
    expect(task.getActive()?.confirmedByPlatform).toBe(false);
  });

  // Guards against an instance that reports itself confirmed while it cannot fetch the newest body.
  test('keeps its bundle when the accepted body is missing, unconfirmed', async () => {
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
