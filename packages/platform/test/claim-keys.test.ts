import { expect, test } from 'vitest';
import { isKeyExpired } from '../src/index';

const DAY_MS = 86_400_000;
const MADE_AT_MS = 0x018f00000000;
const KEY = '018f0000-0000-7abc-8def-0123456789ab';

// Guards against running a request again after the claim of its key has been removed.
test.each([
  { key: KEY, ageMs: DAY_MS, isExpired: false },
  { key: KEY, ageMs: DAY_MS + 1, isExpired: true },
  { key: KEY.toUpperCase(), ageMs: DAY_MS + 1, isExpired: true },
  { key: KEY.replace('-7', '-4'), ageMs: DAY_MS + 1, isExpired: false },
  { key: 'order-17', ageMs: DAY_MS + 1, isExpired: false },
])('isKeyExpired($key) at age $ageMs is $isExpired', ({ key, ageMs, isExpired }) => {
  expect(isKeyExpired(key, MADE_AT_MS + ageMs, DAY_MS)).toBe(isExpired);
});
