import { expect, test } from 'vitest';
import { decodeRetryAfter } from '../src/retry-after';
import type { RetryAfter } from '../src/retry-after';

const NOW = Date.UTC(2026, 11, 5, 8, 0, 0, 250);
const DAY_MS = 86_400_000;
const pause = (durationMs: number): RetryAfter => ({ kind: 'pause', durationMs });
const invalid = (text: string): RetryAfter => ({ kind: 'invalid', text });

// Guards against servers that get requests in a pause that they have asked for in a form which is not read, and against texts
// that are taken for a time.
test.each<{ name: string; value: string | string[] | undefined; expected: RetryAfter }>([
  { name: 'no header', value: undefined, expected: { kind: 'none' } },
  { name: 'whole seconds', value: '3', expected: pause(3_000) },
  { name: 'decimals', value: '1.25', expected: pause(1_250) },
  { name: 'spaces around', value: ' 2\t', expected: pause(2_000) },
  { name: 'zero', value: '0', expected: pause(0) },
  { name: 'zero with decimals', value: '0.0', expected: pause(0) },
  { name: 'leading zeros', value: '0002', expected: pause(2_000) },
  { name: 'two days', value: '172800', expected: pause(DAY_MS) },
  { name: 'beyond all numbers', value: '9'.repeat(400), expected: pause(DAY_MS) },
  { name: 'a date', value: 'Sat, 05 Dec 2026 08:00:04 GMT', expected: pause(3_750) },
  { name: 'a date with dashes', value: 'Saturday, 05-Dec-26 08:00:04 GMT', expected: pause(3_750) },
  { name: 'a date of asctime', value: 'Sat Dec  5 08:00:04 2026', expected: pause(3_750) },
  { name: 'a date in the past', value: 'Sat, 05 Dec 2026 07:59:59 GMT', expected: pause(0) },
  { name: 'a date far away', value: 'Fri, 31 Dec 9999 23:59:59 GMT', expected: pause(DAY_MS) },
  { name: 'several headers', value: ['1', '4', '2'], expected: pause(4_000) },
  { name: 'several headers in one', value: '1, 4,2', expected: pause(4_000) },
  { name: 'text beside a number', value: ['soon', '2', '-9'], expected: pause(2_000) },
  {
    ...{ name: 'a date beside a number', expected: pause(3_750) },
    value: ['1', 'Sat, 05 Dec 2026 08:00:04 GMT'],
  },
  { name: 'negative', value: '-5', expected: invalid('-5') },
  { name: 'empty', value: '', expected: invalid('') },
  { name: 'text', value: 'soon', expected: invalid('soon') },
  { name: 'several texts', value: ['soon', 'later'], expected: invalid('soon, later') },
  { name: 'an exponent', value: '1e3', expected: invalid('1e3') },
  { name: 'hexadecimal', value: '0x10', expected: invalid('0x10') },
  { name: 'two points', value: '1.2.3', expected: invalid('1.2.3') },
  { name: 'infinity', value: 'Infinity', expected: invalid('Infinity') },
  { name: 'a unit', value: '3s', expected: invalid('3s') },
  { name: 'a year only', value: '2026-12-05', expected: invalid('2026-12-05') },
  {
    ...{ name: 'a date with a month that does not exist', value: 'Sat, 05 Dez 2026 08:00:04 GMT' },
    expected: invalid('Sat, 05 Dez 2026 08:00:04 GMT'),
  },
  {
    ...{ name: 'a date with an hour that does not exist', value: 'Sat, 05 Dec 2026 48:00:04 GMT' },
    expected: invalid('Sat, 05 Dec 2026 48:00:04 GMT'),
  },
])('decodes retry-after: $name', ({ value, expected }) => {
  expect(decodeRetryAfter({ 'retry-after': value }, NOW)).toEqual(expected);
});
