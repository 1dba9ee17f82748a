import { expect, test } from 'vitest';
import { formatRetryAfter } from '../src/error-response';

// Guards against callers that return a few milliseconds before the end of a pause, since the time was rounded down.
test.each([
  { durationMs: 0, expected: '0.00' },
  { durationMs: 150, expected: '0.15' },
  { durationMs: 1_990, expected: '1.99' },
  { durationMs: 1_990.4, expected: '2.00' },
  { durationMs: 1_994, expected: '2.00' },
])('$durationMs ms are told as $expected s', ({ durationMs, expected }) => {
  expect(formatRetryAfter(durationMs)).toBe(expected);
});
