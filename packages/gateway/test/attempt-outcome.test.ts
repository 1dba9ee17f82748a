import { expect, test } from 'vitest';
import type { AttemptEnd } from '../src/backend-attempt';
import type { DecodedResponse } from '../src/header-codec';
import { resolveAttemptOutcome } from '../src/attempt-outcome';
import type { AttemptOutcome } from '../src/attempt-outcome';

interface EndCase {
  name: string;
  end?: AttemptEnd;
  head?: DecodedResponse;
  expected: AttemptOutcome['kind'];
}

// Guards against a request that is said not to have run, or is sent again, although a server may have run it.
test.each<EndCase>([
  { name: 'never sent', end: { kind: 'not-sent', reason: 'refused' }, expected: 'not-run' },
  { name: 'broken off', end: { kind: 'broken', reason: 'reset' }, expected: 'may-have-run' },
  { name: 'without a head', expected: 'may-have-run' },
  { name: 'marked as not run', head: { kind: 'not-run', status: 503 }, expected: 'not-run' },
  { name: 'to another request', head: { kind: 'foreign', reason: 'id' }, expected: 'may-have-run' },
  {
    name: 'without a signature',
    head: { kind: 'answer', status: 200, isSigned: false },
    expected: 'unproven',
  },
  {
    name: 'a signed refusal without its mark',
    head: { kind: 'answer', status: 503, isSigned: true },
    expected: 'unproven',
  },
  {
    name: 'a signed success',
    head: { kind: 'answer', status: 200, isSigned: true },
    expected: 'proven',
  },
  {
    name: 'a signed error',
    head: { kind: 'answer', status: 500, isSigned: true },
    expected: 'proven',
  },
])('an answer $name is judged $expected', ({ end = { kind: 'complete' }, head, expected }) => {
  const answer = { status: 200, headers: {}, rawHeaders: [] };
  expect(resolveAttemptOutcome(end, answer, head).kind).toBe(expected);
});
