import murmurhash from 'murmurhash';

const MAX_CACHED_NAMES = 65_536;
const nameHashes = new Map<string, number>();

/** Hash of a text as an unsigned 32-bit integer (MurmurHash3). */
export function hashToUint32(text: string, seed = 0): number {
  return murmurhash.v3(text, seed);
}

/** Hash of a name that is used repeatedly. Hashes are cached, and the cache is cleared when it is full. */
export function hashName(name: string): number {
  const known = nameHashes.get(name);
  if (known !== undefined) return known;
  if (nameHashes.size >= MAX_CACHED_NAMES) nameHashes.clear();
  const hash = hashToUint32(name);
  nameHashes.set(name, hash);
  return hash;
}

/**
 * Rendezvous score of a pair of 32-bit hashes, mixed with the MurmurHash3 finalizer; an unsigned 32-bit
 * integer.
 */
export function computeScore(keyHash: number, nameHash: number): number {
  let mixed = Math.imul(keyHash ^ Math.imul(nameHash, 0x9e3779b1), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 16), 0x85ebca6b);
  mixed = Math.imul(mixed ^ (mixed >>> 13), 0xc2b2ae35);
  return (mixed ^ (mixed >>> 16)) >>> 0;
}

/** Owner of a key hash. Ties go to the lower id, so the result does not depend on the order of the ids. */
export function chooseOwnerByHash(
  keyHash: number,
  instanceIds: readonly string[],
): string | undefined {
  let owner: string | undefined;
  let bestScore = -1;
  for (const instanceId of instanceIds) {
    const score = computeScore(keyHash, hashName(instanceId));
    if (score < bestScore) continue;
    if (score === bestScore && owner !== undefined && instanceId > owner) continue;
    owner = instanceId;
    bestScore = score;
  }
  return owner;
}

/**
 * Owner of a key by rendezvous hashing: when an instance leaves, only the keys that it owned move.
 * Undefined if there are no instances.
 */
export function chooseOwner(key: string, instanceIds: readonly string[]): string | undefined {
  return chooseOwnerByHash(hashName(key), instanceIds);
}

/** Gives the servers the same order on every instance, regardless of the order in which they are listed. */
export function compareByHash(a: string, b: string): number {
  return hashName(a) - hashName(b) || (a < b ? -1 : 1);
}
