import { describe, expect, test } from 'vitest';
import {
  computeRangeIndex,
  chooseOwner,
  chooseShards,
  computeShardIndex,
  createRetryBudget,
  resolveShardCount,
} from '../src/index';

const INSTANCES = Array.from({ length: 20 }, (_, index) => `instance-${index}`);
const KEYS = Array.from({ length: 2000 }, (_, index) => `model:m#${index}`);

describe('chooseOwner', () => {
  // Guards against moves of keys whose owner stayed, and against owners that depend on list order.
  test('moves only the keys of an instance that left', () => {
    const rest = INSTANCES.slice(1).reverse();
    for (const key of KEYS) {
      const owner = chooseOwner(key, INSTANCES);
      if (owner !== INSTANCES[0]) expect(chooseOwner(key, rest)).toBe(owner);
    }
    expect(chooseOwner('key', [])).toBeUndefined();
  });

  // Guards against a poor mix that gives one instance most keys; the mean is 100.
  test('spreads keys evenly', () => {
    const counts = INSTANCES.map(
      (id) => KEYS.filter((key) => chooseOwner(key, INSTANCES) === id).length,
    );
    expect(Math.min(...counts)).toBeGreaterThan(65);
    expect(Math.max(...counts)).toBeLessThan(140);
  });
});

describe('shards', () => {
  // Guards against shards of more than 16 servers on average, or counts that are no power of two.
  test.each([
    [0, 1],
    [16, 1],
    [17, 2],
    [33, 4],
    [1250, 128],
  ])('%i servers make %i shards', (servers, expected) => {
    expect(resolveShardCount(servers)).toBe(expected);
  });

  // Guards against indices out of range and empty ranges.
  test('indices cover the range', () => {
    const shards = new Set(KEYS.map((key) => computeShardIndex(key, 8)));
    const ranges = new Set(KEYS.map((key) => computeRangeIndex(key, 64)));
    expect([...shards].sort()).toEqual([0, 1, 2, 3, 4, 5, 6, 7]);
    expect(ranges.size).toBe(64);
  });

  const random = () => 0.3;

  // Guards against unbounded links, lost prefix affinity, and a preferred shard that is overloaded.
  test('prefers the prefix, avoids an overloaded shard and stays in its subset', () => {
    const idle = Array.from({ length: 40 }, (_, shardIndex) => ({ shardIndex, waitMs: 100 }));
    const used = new Set<number>();
    for (let prefixHash = 1; prefixHash < 500; prefixHash += 1) {
      const options = { shards: idle, subsetKey: 'entry-1', prefixHash, random };
      const [first, second] = chooseShards(options);
      expect(chooseShards({ ...options, random: () => 0.9 })[0]).toBe(first);
      expect(second).not.toBe(first);
      used.add(first as number);
      const waitMs = 1000;
      const loaded = idle.map((shard) =>
        shard.shardIndex === first ? { ...shard, waitMs } : shard,
      );
      expect(chooseShards({ ...options, shards: loaded })[0]).not.toBe(first);
    }
    expect(used.size).toBe(8);
  });

  test.each([0, 1])('%i shards', (count) => {
    const shards = [{ shardIndex: 0, waitMs: 0 }].slice(0, count);
    const options = { shards, subsetKey: 'entry-1', prefixHash: 0, random };
    expect(chooseShards(options)).toEqual([0].slice(0, count));
  });
});

describe('retry budget', () => {
  // Guards against retries that amplify a burst, and against quiet classes that may never retry.
  test.each([
    { firstAttempts: 0, percent: 10, expected: 3 },
    { firstAttempts: 200, percent: 10, expected: 20 },
    { firstAttempts: 200, percent: 0, expected: 3 },
  ])('$firstAttempts first attempts at $percent% allow $expected', (row) => {
    const budget = createRetryBudget();
    for (let count = 0; count < row.firstAttempts; count += 1)
      budget.recordFirstAttempt('c', count);
    let taken = 0;
    while (budget.takeRetry('c', 1000, row.percent)) taken += 1;
    expect(taken).toBe(row.expected);
    expect(budget.takeRetry('other', 1000)).toBe(true);
    // The window has passed: only the minimum remains.
    let later = 0;
    while (budget.takeRetry('c', 12_000, row.percent)) later += 1;
    expect(later).toBe(3);
  });
});
