import { computeScore, hashToUint32 } from './rendezvous';

/** Most backend servers in a shard before the count is rounded up. */
export const MAX_SERVERS_PER_SHARD = 16;
/** Most shards of a pool that one entry uses, which bounds its links. */
export const MAX_SHARDS_PER_ENTRY = 8;
/** A preferred shard or server is used up to this multiple of the mean load. */
export const LOAD_BOUND = 1.25;

/** Number of shards of a pool: `ceil(servers / 16)` rounded up to a power of two, at least 1. */
export function resolveShardCount(serverCount: number): number {
  let count = 1;
  while (count * MAX_SERVERS_PER_SHARD < serverCount) count *= 2;
  return count;
}

/** Shard of a backend server, from 0. */
export function computeShardIndex(serverId: string, shardCount: number): number {
  return hashToUint32(serverId) % shardCount;
}

/** Range of a claim's key, from 0. The key hash is text, for example hex. */
export function computeRangeIndex(keyHash: string, rangeCount: number): number {
  return hashToUint32(keyHash) % rangeCount;
}

/** A shard as an entry knows it. */
export interface ShardCandidate {
  shardIndex: number;
  /** Reported wait in milliseconds; 0 when nothing was reported. */
  waitMs: number;
}

/** Options of `chooseShards`. */
export interface ChooseShardsOptions {
  /** Shards of the pool, the entry's own region only where it has any. */
  shards: readonly ShardCandidate[];
  /** Seed of the subset, for example the entry's instance id. */
  subsetKey: string;
  /** Hash of the prompt prefix; 0 when there is none. */
  prefixHash: number;
  /** Uniform in [0, 1). */
  random: () => number;
}

/**
 * Shards to ask, the first one first: the request tries one sibling before it is shed. Empty when the
 * pool has no shard.
 */
export function chooseShards(options: ChooseShardsOptions): number[] {
  const subset = selectSubset(options.shards, hashToUint32(options.subsetKey));
  if (subset.length <= 1) return subset.map((shard) => shard.shardIndex);
  const { random, prefixHash } = options;
  const preferred =
    prefixHash === 0 ? chooseLessLoaded(subset, random) : selectBest(subset, prefixHash);
  const others = subset.filter((shard) => shard !== preferred);
  const sibling = chooseLessLoaded(others, random);
  const meanWaitMs = subset.reduce((sum, shard) => sum + shard.waitMs, 0) / subset.length;
  const chosen =
    preferred.waitMs > LOAD_BOUND * meanWaitMs ? [sibling, preferred] : [preferred, sibling];
  return chosen.map((shard) => shard.shardIndex);
}

/** The entry's shards: the 8 with the highest scores, which differ from entry to entry. */
function selectSubset(shards: readonly ShardCandidate[], keyHash: number): ShardCandidate[] {
  if (shards.length <= MAX_SHARDS_PER_ENTRY) return [...shards];
  return shards
    .map((shard) => ({ shard, score: computeScore(keyHash, shard.shardIndex) }))
    .sort((a, b) => b.score - a.score)
    .slice(0, MAX_SHARDS_PER_ENTRY)
    .map(({ shard }) => shard);
}

function selectBest(shards: readonly ShardCandidate[], keyHash: number): ShardCandidate {
  return shards.reduce((best, shard) =>
    computeScore(keyHash, shard.shardIndex) > computeScore(keyHash, best.shardIndex) ? shard : best,
  );
}

/** Power of two choices. */
function chooseLessLoaded(shards: ShardCandidate[], random: () => number): ShardCandidate {
  const rest = [...shards];
  const first = takeRandom(rest, random);
  if (rest.length === 0) return first;
  const second = takeRandom(rest, random);
  return second.waitMs < first.waitMs ? second : first;
}

/** Removes and returns a random element of a list that is not empty. */
function takeRandom(rest: ShardCandidate[], random: () => number): ShardCandidate {
  const index = Math.min(rest.length - 1, Math.floor(random() * rest.length));
  return rest.splice(index, 1)[0] as ShardCandidate;
}
