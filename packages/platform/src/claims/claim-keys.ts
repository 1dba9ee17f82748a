import { createHash } from 'node:crypto';

/** Number of key ranges; each is one object `claims/RANGE`. */
export const CLAIM_RANGE_COUNT = 64;
/**
 * Claims outlive the retention by this time in milliseconds, so that a UUIDv7 key from a caller
 * whose clock is ahead is refused as expired before its claim is dropped.
 */
export const CLAIM_EXPIRY_MARGIN_MS = 300_000;

const UUID_V7 = /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

/** Hashes team, service and idempotency key to 64 hex digits. */
export function hashIdempotencyKey(team: string, service: string, key: string): string {
  return createHash('sha256')
    .update(JSON.stringify([team, service, key]))
    .digest('hex');
}

/** Computes the range of a key hash, 0 to 63. */
export function computeRangeIndex(keyHash: string): number {
  const digest = createHash('sha256').update(keyHash).digest();
  return digest.readUInt32BE(0) % CLAIM_RANGE_COUNT;
}

/** Age of a UUIDv7 key in milliseconds; undefined for any other key. Negative when from the future. */
export function computeKeyAgeMs(key: string, nowMs: number): number | undefined {
  const match = UUID_V7.exec(key);
  if (match === null) return undefined;
  return nowMs - Number.parseInt(`${match[1] ?? ''}${match[2] ?? ''}`, 16);
}

/** Whether the key is a UUIDv7 made longer ago than claims are retained. */
export function isKeyExpired(key: string, nowMs: number, retentionMs: number): boolean {
  const ageMs = computeKeyAgeMs(key, nowMs);
  return ageMs !== undefined && ageMs > retentionMs;
}
