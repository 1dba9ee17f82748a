import { expect, test } from 'vitest';
import type { AttemptEnd } from '../src/backend-attempt';
import type { DecodedResponse } from '../src/header-codec';
import { resolveAttemptOutcome } from '../src/attempt-outcome';
import type { AttemptOutcome } from '../src/attempt-outcome';

interface OutcomeCase {
  name: string;
  end?: AttemptEnd;
  decoded?: DecodedResponse;
  expected: AttemptOutcome['kind'];
}

// Guards against a request that is said not to have run, or is retried, although a server may have run it.
test.each<OutcomeCase>([
  {
    name: 'an attempt that was not sent',
    end: { kind: 'not-sent', reason: 'refused' },
    expected: 'not-run',
  },
  {
    name: 'an attempt that was withdrawn',
    end: { kind: 'withdrawn', reason: 'the server leaves' },
    expected: 'not-run',
  },
  { name: 'a broken attempt', end: { kind: 'broken', reason: 'reset' }, expected: 'may-have-run' },
  { name: 'a response without a head', expected: 'may-have-run' },
  {
    name: 'a response marked as not run',
    decoded: { kind: 'not-run', status: 503 },
    expected: 'not-run',
  },
  {
    name: 'a response to another request',
    decoded: { kind: 'foreign', reason: 'id' },
    expected: 'may-have-run',
  },
  {
    name: 'a response without a signature',
    decoded: { kind: 'answer', status: 200, isSigned: false },
    expected: 'unproven',
  },
  {
    name: 'a signed refusal without the not-run header',
    decoded: { kind: 'answer', status: 503, isSigned: true },
    expected: 'unproven',
  },
  {
    name: 'a signed success',
    decoded: { kind: 'answer', status: 200, isSigned: true },
    expected: 'proven',
  },
  {
    name: 'a signed error',
    decoded: { kind: 'answer', status: 500, isSigned: true },
    expected: 'proven',
  },
])('the outcome of $name is $expected', ({ end = { kind: 'complete' }, decoded, expected }) => {
  const head = { status: 200, headers: {}, rawHeaders: [] };
  expect(resolveAttemptOutcome(end, head, decoded).kind).toBe(expected);
});
