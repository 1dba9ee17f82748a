import { computeScore, hashToUint32 } from './rendezvous';

/** Maximum number of backend servers per shard on average; a single shard may have more. */
export const MAX_SERVERS_PER_SHARD = 16;
/** Maximum number of a pool's shards that one entry instance uses, which bounds its connections. */
export const MAX_SHARDS_PER_ENTRY = 8;
/** A shard or server preferred by hash is used up to this multiple of the mean load (bounded-load hashing). */
export const LOAD_BOUND = 1.25;

/** Number of shards of a pool: `ceil(servers / 16)` rounded up to a power of two, at least 1. */
export function resolveShardCount(serverCount: number): number {
  let count = 1;
  while (count * MAX_SERVERS_PER_SHARD < serverCount) count *= 2;
  return count;
}

/** Index of a backend server's shard, from 0. */
export function computeShardIndex(serverId: string, shardCount: number): number {
  return hashToUint32(serverId) % shardCount;
}

/**
 * Index, from 0, of the storage range of a claim (an idempotency record), from the hexadecimal hash of its key.
 */
export function computeHashRangeIndex(claimKeyHash: string, rangeCount: number): number {
  return hashToUint32(claimKeyHash) % rangeCount;
}

/** A shard and its load as known to an entry instance. */
export interface ShardCandidate {
  shardIndex: number;
  /** Reported wait in milliseconds; 0 if the shard has not reported its load. */
  waitMs: number;
}

/** Options of `chooseShards`. */
export interface ChooseShardsOptions {
  /** Shards of the pool; only those of the entry instance's region if that region has any. */
  shards: readonly ShardCandidate[];
  /** Key from which the subset is chosen, for example the id of the entry instance. */
  subsetKey: string;
  /** Hash of the prompt prefix; 0 if there is none. */
  prefixHash: number;
  /** Returns a random number, uniform in [0, 1). */
  random: () => number;
}

/**
 * Chooses up to two shards in the order in which to ask them: the request tries the second shard before it
 * is shed. Empty if the pool has no shards.
 */
export function chooseShards(options: ChooseShardsOptions): number[] {
  const subset = selectSubset(options.shards, hashToUint32(options.subsetKey));
  if (subset.length <= 1) return subset.map((shard) => shard.shardIndex);
  const { random, prefixHash } = options;
  const preferred =
    prefixHash === 0 ? chooseLessLoaded(subset, random) : selectHighestScore(subset, prefixHash);
  const others = subset.filter((shard) => shard !== preferred);
  const alternative = chooseLessLoaded(others, random);
  const meanWaitMs = subset.reduce((sum, shard) => sum + shard.waitMs, 0) / subset.length;
  const chosen =
    preferred.waitMs > LOAD_BOUND * meanWaitMs
      ? [alternative, preferred]
      : [preferred, alternative];
  return chosen.map((shard) => shard.shardIndex);
}

/**
 * Deterministic subsetting: selects the 8 shards with the highest scores, which differ between entry instances.
 */
function selectSubset(shards: readonly ShardCandidate[], keyHash: number): ShardCandidate[] {
  if (shards.length <= MAX_SHARDS_PER_ENTRY) return [...shards];
  return shards
    .map((shard) => ({ shard, score: computeScore(keyHash, shard.shardIndex) }))
    .sort((a, b) => b.score - a.score)
    .slice(0, MAX_SHARDS_PER_ENTRY)
    .map(({ shard }) => shard);
}

function selectHighestScore(shards: readonly ShardCandidate[], keyHash: number): ShardCandidate {
  return shards.reduce((best, shard) =>
    computeScore(keyHash, shard.shardIndex) > computeScore(keyHash, best.shardIndex) ? shard : best,
  );
}

/** Power of two random choices: the shard with the shorter wait of two random shards. */
function chooseLessLoaded(shards: ShardCandidate[], random: () => number): ShardCandidate {
  const remaining = [...shards];
  const first = takeRandom(remaining, random);
  if (remaining.length === 0) return first;
  const second = takeRandom(remaining, random);
  return second.waitMs < first.waitMs ? second : first;
}

/** Removes and returns a random element of a non-empty list. */
function takeRandom(remaining: ShardCandidate[], random: () => number): ShardCandidate {
  const index = Math.min(remaining.length - 1, Math.floor(random() * remaining.length));
  return remaining.splice(index, 1)[0] as ShardCandidate;
}
