import { setTimeout as waitFor } from 'node:timers/promises';
import fc from 'fast-check';
import { expect, test } from 'vitest';
import { ClaimRangeWriter } from '../src/index';
import type { PlatformClient } from '../src/index';
import { FakePlatform } from './fake-platform';

const SEED = 20_261_204;
const RUNS = 150;
const CLAIM_TIMEOUT_MS = 15;

/**
 * An entry instance that sends a claim to one owner of the range, then to the other owner with the
 * same nonce, and then gives the claim up.
 */
const entryArbitrary = fc.record({
  keyHash: fc.constantFrom('k1', 'k2'),
  startMs: fc.nat(20),
  firstOwner: fc.nat(1),
});
const faultArbitrary = fc.constantFrom('none', 'lost', 'unconfirmed', 'late');
/** Pauses in milliseconds of an owner before and after its platform calls. */
const pausesArbitrary = fc.array(fc.constantFrom(0, 0, 0, 2, 8, 20), { maxLength: 24 });

// Guards against granting a key twice when write confirmations are lost, writes are delayed, two
// instances own the range or an owner is paused.
test('at most one nonce claims a key', async () => {
  const property = fc.asyncProperty(
    fc.array(entryArbitrary, { minLength: 2, maxLength: 6 }),
    fc.array(faultArbitrary, { maxLength: 12 }),
    fc.tuple(pausesArbitrary, pausesArbitrary),
    async (entries, faults, pauses) => {
      const platform = new FakePlatform();
      platform.putFaults = faults;
      const owners = pauses.map((list) => createOwner(platform, list));
      const lateWrites = setInterval(() => {
        platform.applyLateWrites();
      }, 7);
      const claimed = await Promise.all(
        entries.map((entry, index) => runEntry(entry, `n${index}`, owners)),
      );
      clearInterval(lateWrites);
      for (const owner of owners) await owner[Symbol.asyncDispose]();
      for (const key of ['k1', 'k2']) {
        const winners = claimed.filter((entry) => entry.isClaimed && entry.keyHash === key);
        expect(winners.length).toBeLessThanOrEqual(1);
      }
    },
  );
  await fc.assert(property, { seed: SEED, numRuns: RUNS, endOnFailure: true });
});

function createOwner(platform: FakePlatform, pauses: number[]): ClaimRangeWriter {
  const runWithPauses = async <T>(runCall: () => Promise<T>): Promise<T> => {
    await waitFor(pauses.shift() ?? 0);
    const result = await runCall();
    await waitFor(pauses.shift() ?? 0);
    return result;
  };
  const client: Pick<PlatformClient, 'getObject' | 'putObject'> = {
    getObject: (key) => runWithPauses(() => platform.getObject(key)),
    putObject: (key, text, condition) =>
      runWithPauses(() => platform.putObject(key, text, condition)),
  };
  return new ClaimRangeWriter({
    client,
    rangeIndex: 0,
    retentionMs: 86_400_000,
    claimTimeoutMs: CLAIM_TIMEOUT_MS,
    retryDelayMs: 1,
  });
}

async function runEntry(
  entry: { keyHash: string; startMs: number; firstOwner: number },
  nonce: string,
  owners: readonly ClaimRangeWriter[],
) {
  const { keyHash, startMs, firstOwner } = entry;
  await waitFor(startMs);
  for (const index of [firstOwner, 1 - firstOwner]) {
    const outcome = await owners[index]?.claimKey({ keyHash, nonce, requestId: nonce });
    if (outcome?.result === 'claimed') return { keyHash, isClaimed: true };
    if (outcome?.result === 'duplicate') return { keyHash, isClaimed: false };
  }
  for (const owner of owners) owner.recordSettlement({ keyHash, nonce, state: 'not-run' });
  return { keyHash, isClaimed: false };
}
