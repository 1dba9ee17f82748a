import { afterEach, beforeEach, describe, expect, test } from 'vitest';
import { ClaimRangeWriter, MAX_CLAIM_RANGE_BYTES } from '../src/index';
import type { ClaimRequest } from '../src/index';
import { FakePlatform, waitUntil } from './fake-platform';
import type { PutFault } from './fake-platform';

const RETENTION_MS = 86_400_000;

describe('ClaimRangeWriter', () => {
  let platform: FakePlatform;
  let nowMs: number;
  let writers: ClaimRangeWriter[];

  beforeEach(() => {
    platform = new FakePlatform();
    nowMs = 1_000_000;
    writers = [];
  });

  afterEach(async () => {
    for (const writer of writers) await writer[Symbol.asyncDispose]();
  });

  function createWriter(): ClaimRangeWriter {
    const writer = new ClaimRangeWriter({
      client: platform,
      rangeIndex: 3,
      retentionMs: RETENTION_MS,
      claimTimeoutMs: 60,
      retryDelayMs: 2,
      now: () => nowMs,
    });
    writers.push(writer);
    return writer;
  }

  // Guards against one write for each claim, which would exceed the platform's rate limit.
  test('writes pending claims in one update', async () => {
    const writer = createWriter();
    const claims = Array.from({ length: 50 }, (_, i) =>
      writer.claimKey(createRequest(`k${i}`, 'n')),
    );
    const outcomes = await Promise.all(claims);
    expect(new Set(outcomes.map(({ result }) => result))).toEqual(new Set(['claimed']));
    expect(platform.objects.get('claims/3')?.version).toBe(1);
  });

  // Guards against losing a claim or granting it twice when the confirmation of the update is lost.
  test.each<{ faults: PutFault[] }>([
    { faults: ['unconfirmed'] },
    { faults: ['lost'] },
    { faults: ['lost', 'unconfirmed'] },
    { faults: ['late'] },
  ])('grants a claim to one nonce after the write faults $faults', async ({ faults }) => {
    platform.putFaults = faults;
    const writer = createWriter();
    expect(await writer.claimKey(createRequest('k', 'n1'))).toEqual({ result: 'claimed' });
    platform.applyLateWrites();
    expect(await writer.claimKey(createRequest('k', 'n2'))).toMatchObject({ result: 'duplicate' });
    expect(await createWriter().claimKey(createRequest('k', 'n1'))).toEqual({ result: 'claimed' });
  });

  // Guards against a paused owner that overwrites the claims of its successor when it resumes.
  test('is fenced by the object version when another owner has written', async () => {
    const paused = createWriter();
    await paused.claimKey(createRequest('other', 'n0'));
    expect(await createWriter().claimKey(createRequest('k', 'n1'))).toEqual({ result: 'claimed' });
    const late = await paused.claimKey(createRequest('k', 'n2'));
    expect(late).toMatchObject({ result: 'duplicate', firstRequestId: 'request-n1' });
  });

  // Guards against running a duplicate request again, and against refusing it when the first request
  // did not run.
  test.each([
    {
      state: 'done' as const,
      expected: { result: 'duplicate', state: 'done', status: 201, body: 'b' },
    },
    { state: 'unknown' as const, expected: { result: 'duplicate', state: 'unknown' } },
    { state: 'not-run' as const, expected: { result: 'claimed' } },
    { state: undefined, expected: { result: 'duplicate', state: 'in-progress' } },
  ])('decides a claim with another nonce after settlement $state', async ({ state, expected }) => {
    const writer = createWriter();
    await writer.claimKey(createRequest('k', 'n1'));
    if (state !== undefined) {
      writer.recordSettlement({ keyHash: 'k', nonce: 'wrong', state: 'not-run' });
      writer.recordSettlement({ keyHash: 'k', nonce: 'n1', state, status: 201, body: 'b' });
      await writer.flush();
    }
    expect(await createWriter().claimKey(createRequest('k', 'n2'))).toMatchObject(expected);
  });

  // Guards against a key that stays claimed because the write of a claim takes effect after its entry
  // instance gave the claim up.
  test('refuses a nonce that was given up, even if its write takes effect later', async () => {
    platform.putFaults = ['late'];
    const owner = createWriter();
    const first = owner.claimKey(createRequest('k', 'n1'));
    await waitUntil(() => platform.putFaults.length === 0);
    platform.isDown = true;
    expect(await first).toMatchObject({ result: 'unavailable' });
    platform.isDown = false;
    const successor = createWriter();
    successor.recordSettlement({ keyHash: 'k', nonce: 'n1', state: 'not-run' });
    await successor.flush();
    platform.applyLateWrites();
    expect(await owner.claimKey(createRequest('k', 'n1'))).toMatchObject({ result: 'unavailable' });
    expect(await owner.claimKey(createRequest('k', 'n2'))).toEqual({ result: 'claimed' });
  });

  // Guards against granting a claim in the same update that records it as given up.
  test('applies a settlement before a pending claim with the same nonce', async () => {
    const writer = createWriter();
    const late = writer.claimKey(createRequest('k', 'n1'));
    writer.recordSettlement({ keyHash: 'k', nonce: 'n1', state: 'not-run' });
    expect(await late).toEqual({ result: 'unavailable', reason: 'given-up' });
    expect(await writer.claimKey(createRequest('k', 'n2'))).toEqual({ result: 'claimed' });
  });

  // Guards against refusing a key, or granting a nonce again, based on a cached range that is out of
  // date.
  test('reads the object again before deciding a claim without an update', async () => {
    const writer = createWriter();
    await writer.claimKey(createRequest('k', 'n1'));
    const successor = createWriter();
    successor.recordSettlement({ keyHash: 'k', nonce: 'n1', state: 'not-run' });
    await successor.flush();
    expect(await writer.claimKey(createRequest('k', 'n1'))).toMatchObject({
      result: 'unavailable',
    });
    expect(await writer.claimKey(createRequest('k', 'n2'))).toEqual({ result: 'claimed' });
  });

  test.each([
    { ageMs: RETENTION_MS, result: 'duplicate' },
    { ageMs: RETENTION_MS + 300_001, result: 'claimed' },
  ])('returns $result for a claim of age $ageMs', async ({ ageMs, result }) => {
    const writer = createWriter();
    await writer.claimKey(createRequest('k', 'n1'));
    nowMs += ageMs;
    expect(await writer.claimKey(createRequest('k', 'n2'))).toMatchObject({ result });
  });

  // Guards against evicting unexpired claims to store new ones, and against objects over 1 MB.
  test('refuses claims over the size limit and keeps the existing ones', async () => {
    const writer = createWriter();
    const requestId = 'r'.repeat(1_000);
    const keys = Array.from({ length: 1_000 }, (_, index) => `k${index}`);
    const claims = keys.map((keyHash) => writer.claimKey({ keyHash, nonce: 'n', requestId }));
    const results = (await Promise.all(claims)).map(({ result }) => result);
    const claimed = results.filter((result) => result === 'claimed').length;
    expect(results.filter((result) => result === 'unavailable')).toHaveLength(1_000 - claimed);
    expect(claimed).toBeGreaterThan(700);
    writer.recordSettlement({ keyHash: 'k0', nonce: 'n', state: 'done', body: 'b'.repeat(1_000) });
    await writer.flush();
    const text = platform.objects.get('claims/3')?.text ?? '';
    expect(text.length).toBeLessThanOrEqual(MAX_CLAIM_RANGE_BYTES);
    expect(await writer.claimKey(createRequest('k0', 'n2'))).toMatchObject({ state: 'done' });
  });

  test('returns unavailable while the platform is down', async () => {
    platform.isDown = true;
    const outcome = await createWriter().claimKey(createRequest('k', 'n'));
    expect(outcome).toEqual({ result: 'unavailable', reason: 'platform' });
  });
});

function createRequest(keyHash: string, nonce: string): ClaimRequest {
  return { keyHash, nonce, requestId: `request-${nonce}` };
}
