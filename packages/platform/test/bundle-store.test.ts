import { beforeEach, describe, expect, test } from 'vitest';
import { BUNDLE_HEAD_KEY, BundleStore, createBundleEnvelope } from '../src/index';
import { FakePlatform } from './fake-platform';
import type { PutFault } from './fake-platform';
import { buildBundleText, buildEnvelope, signText, trustedOperators } from './operators';

const DIGEST = 'f'.repeat(64);
const OTHER_HEAD = { number: 1, digest: DIGEST, acceptedBy: 'b', acceptedAtMs: 1, signers: [] };

describe('BundleStore', () => {
  let platform: FakePlatform;
  let store: BundleStore;

  beforeEach(() => {
    platform = new FakePlatform();
    store = createStore();
  });

  function createStore(): BundleStore {
    return new BundleStore({
      client: platform,
      trustedOperators,
      requiredSignatures: 2,
      acceptTimeoutMs: 60,
      retryDelayMs: 2,
    });
  }

  // Guards against reporting an accepted bundle as failed, or the reverse, when write confirmations
  // are lost.
  test.each<{ faults: PutFault[] }>([
    { faults: [] },
    { faults: ['lost'] },
    { faults: ['unconfirmed'] },
    { faults: ['none', 'lost'] },
    { faults: ['none', 'unconfirmed'] },
    { faults: ['late', 'none', 'late'] },
  ])('accepts a bundle after the write faults $faults', async ({ faults }) => {
    platform.putFaults = faults;
    const envelope = buildEnvelope(1, ['ana', 'bongi']);
    const result = await store.acceptBundle(envelope, 'ana');
    expect(result).toMatchObject({ kind: 'accepted', head: { number: 1, acceptedBy: 'ana' } });
    platform.applyLateWrites();
    const stored = await store.readHead();
    expect(stored?.head.signers).toEqual(['ana', 'bongi']);
    await expect(store.readBundle(1, stored?.head.digest ?? '')).resolves.toEqual(envelope);
    await expect(store.acceptBundle(envelope, 'ana')).resolves.toMatchObject({ kind: 'accepted' });
  });

  // Guards against two operators who each get `accepted` for different bundles with the same number.
  test('accepts one of two concurrent bundles and reports the accepted one to the other operator', async () => {
    await store.acceptBundle(buildEnvelope(1, ['ana', 'bongi']), 'ana');
    const results = await Promise.all(
      ['ana', 'bongi'].map((operator) => {
        const content = buildBundleText(2, `by ${operator}`);
        return createStore().acceptBundle(
          buildEnvelope(2, [operator, 'carlos'], content),
          operator,
        );
      }),
    );
    const winner = results.find(({ kind }) => kind === 'accepted');
    const loser = results.find(({ kind }) => kind === 'conflict');
    const head = (await store.readHead())?.head;
    expect(winner).toEqual({ kind: 'accepted', head });
    expect(loser).toEqual({ kind: 'conflict', winner: head });
  });

  // Guards against overwriting a head that another operator wrote after this operator read the head.
  test('reports the bundle that was accepted while the envelope was being stored', async () => {
    const winner = OTHER_HEAD;
    platform.beforePut = (key) => {
      if (key === BUNDLE_HEAD_KEY) return;
      platform.applyPut(BUNDLE_HEAD_KEY, JSON.stringify(winner), { kind: 'absent' });
    };
    const result = await store.acceptBundle(buildEnvelope(1, ['ana', 'bongi']), 'ana');
    expect(result).toEqual({ kind: 'conflict', winner });
  });

  // Guards against reporting an unconfirmed update of the head as a conflict when a later bundle has
  // already replaced it, because the update may have taken effect before that.
  test('reports unknown when a later bundle replaced the head before it was read back', async () => {
    let isUpdated = false;
    platform.beforePut = (key) => {
      if (key !== BUNDLE_HEAD_KEY || isUpdated) return;
      isUpdated = true;
      platform.putFaults = ['lost'];
      const head = { ...OTHER_HEAD, number: 2 };
      platform.applyPut(BUNDLE_HEAD_KEY, JSON.stringify(head), { kind: 'absent' });
    };
    const result = await store.acceptBundle(buildEnvelope(1, ['ana', 'bongi']), 'ana');
    expect(result).toMatchObject({ kind: 'unknown', head: { number: 2 } });
  });

  test('reports unknown when the platform is unavailable until the time limit', async () => {
    platform.isDown = true;
    const result = await store.acceptBundle(buildEnvelope(1, ['ana', 'bongi']), 'ana');
    expect(result).toMatchObject({ kind: 'unknown', operation: `get ${BUNDLE_HEAD_KEY}` });
  });

  // Guards against accepting bundles that are malformed, lack signatures or skip a number. Nothing may
  // be written for them.
  test.each([
    {
      name: 'a bundle with one signature',
      envelope: buildEnvelope(1, ['ana']),
      pointers: ['/signatures'],
    },
    {
      name: 'a bundle that skips a number',
      envelope: buildEnvelope(3, ['ana', 'bongi']),
      pointers: ['/number'],
    },
    {
      name: 'an empty bundle with one signature',
      envelope: createBundleEnvelope('{}', [signText('{}', 'ana')]),
      pointers: ['', '', '', '', '', '', '', '/signatures'],
    },
  ])('refuses $name', async ({ envelope, pointers }) => {
    const result = await store.acceptBundle(envelope, 'ana');
    const findings = result.kind === 'invalid' ? result.findings : [];
    expect(findings.map(({ pointer }) => pointer)).toEqual(pointers);
    expect(platform.objects.size).toBe(0);
  });
});
