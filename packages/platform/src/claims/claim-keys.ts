import { createHash } from 'node:crypto';

/** Number of key ranges; each is stored as one object `claims/RANGE`. */
export const CLAIM_RANGE_COUNT = 64;
/**
 * Claims are kept for this many milliseconds beyond the retention, so that a UUIDv7 key from a
 * caller whose clock is ahead is refused as expired before its claim is removed.
 */
export const CLAIM_EXPIRY_MARGIN_MS = 300_000;

const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Returns the SHA-256 hash of team, service and idempotency key as 64 hex digits. */
export function hashIdempotencyKey(team: string, service: string, key: string): string {
  return createHash('sha256')
    .update(JSON.stringify([team, service, key]))
    .digest('hex');
}

/** Returns the index of the range that holds a key hash, 0 to 63. */
export function computeRangeIndex(keyHash: string): number {
  const digest = createHash('sha256').update(keyHash).digest();
  return digest.readUInt32BE(0) % CLAIM_RANGE_COUNT;
}

/**
 * Returns the age of a UUIDv7 key in milliseconds, or undefined for any other key. The age is
 * negative if the timestamp in the key is in the future.
 */
export function computeKeyAgeMs(key: string, nowMs: number): number | undefined {
  const match = UUID_V7.exec(key);
  if (match === null) return undefined;
  return nowMs - Number.parseInt(`${match[1] ?? ''}${match[2] ?? ''}`, 16);
}

/** Whether the key is a UUIDv7 that was generated longer ago than claims are retained. */
export function isKeyExpired(key: string, nowMs: number, retentionMs: number): boolean {
  const ageMs = computeKeyAgeMs(key, nowMs);
  return ageMs !== undefined && ageMs > retentionMs;
}
