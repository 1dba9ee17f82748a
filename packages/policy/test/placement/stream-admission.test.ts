import { expect, test } from 'vitest';
import { chooseAdmission } from '../../src';
import type { AdmissionRequest } from '../../src';

const plan: AdmissionRequest = {
  firstEventTargetMs: 2_500,
  firstEventTimeoutMs: 10_000,
  remainingMs: 14_500,
  totalTimeoutMs: 15_000,
  isLowestTier: true,
};

interface AdmissionCase {
  name: string;
  request: AdmissionRequest;
  firstEventMs: number;
  completionMs: number;
  prefillMs?: number;
  admitted: boolean;
}

const cases: AdmissionCase[] = [
  {
    name: 'a stream predicted on time is admitted',
    request: plan,
    firstEventMs: 1_500,
    completionMs: 5_000,
    admitted: true,
  },
  {
    // Guards against queues in which every stream of the lowest tier misses its target under sustained overload.
    name: 'a stream of the lowest tier predicted close to its target is refused',
    request: plan,
    firstEventMs: 2_400,
    completionMs: 6_000,
    admitted: false,
  },
  {
    // Guards against a priority inversion: a higher tier is refused while a lower tier is admitted.
    name: 'a stream of a higher tier predicted close to its target is admitted',
    request: { ...plan, isLowestTier: false },
    firstEventMs: 2_400,
    completionMs: 6_000,
    admitted: true,
  },
  {
    // Guards against a caller that is refused on every retry until its time limit.
    name: 'a retry of the lowest tier predicted close to its target is admitted',
    request: { ...plan, remainingMs: 10_000 },
    firstEventMs: 2_400,
    completionMs: 6_000,
    admitted: true,
  },
  {
    // Guards against responses that are cut off at their time limit after seconds of work. This happened to 354
    // responses on one day.
    name: 'a stream predicted to complete after its time limit is refused',
    request: { ...plan, isLowestTier: false },
    firstEventMs: 1_000,
    completionMs: 20_000,
    admitted: false,
  },
  {
    // Guards against refusing the largest prompts on an idle server: a retry would take just as long.
    name: 'a stream predicted to miss its target because of the prefill alone is admitted',
    request: plan,
    firstEventMs: 2_800,
    completionMs: 6_000,
    prefillMs: 2_600,
    admitted: true,
  },
  {
    name: "a stream with a first event predicted too close to the caller's timeout is refused",
    request: { ...plan, isLowestTier: false, firstEventTimeoutMs: 2_400 },
    firstEventMs: 2_300,
    completionMs: 5_000,
    admitted: false,
  },
];

test.each(cases)('$name', ({ request, firstEventMs, completionMs, prefillMs = 100, admitted }) => {
  const placement = { serverId: 'a', prefillMs, firstEventMs, completionMs };
  const admission = chooseAdmission(request, placement, 0.5);
  expect(admission.kind).toBe(admitted ? 'admit' : 'refuse');
});

test.each([0, 0.5, 1])(
  'the retry delay is at most a third of the remaining time, random %d',
  (random) => {
    const placement = { serverId: 'a', prefillMs: 100, firstEventMs: 60_000, completionMs: 90_000 };
    const admission = chooseAdmission(plan, placement, random);
    if (admission.kind !== 'refuse') throw new Error('expected a refusal');
    expect(admission.retryAfterMs).toBeLessThanOrEqual(plan.remainingMs / 3);
    expect(admission.retryAfterMs).toBeGreaterThan(0);
  },
);

test('refused callers do not all retry at once', () => {
  const placement = { serverId: 'a', prefillMs: 100, firstEventMs: 4_000, completionMs: 9_000 };
  const delays = [0, 0.25, 0.5, 0.75, 1].map((random) => {
    const admission = chooseAdmission(plan, placement, random);
    return admission.kind === 'refuse' ? admission.retryAfterMs : 0;
  });
  expect(Math.max(...delays) - Math.min(...delays)).toBeGreaterThan(1_000);
});
