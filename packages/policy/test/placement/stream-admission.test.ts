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
  { name: 'on time', request: plan, firstEventMs: 1_500, completionMs: 5_000, admitted: true },
  {
    // Guards against queues in which every stream of the lowest tier is late in lasting overload.
    name: 'late in the lowest tier',
    request: plan,
    firstEventMs: 2_400,
    completionMs: 6_000,
    admitted: false,
  },
  {
    // Guards against TIER: a more urgent kind is refused while a less urgent one starts.
    name: 'late in a higher tier',
    request: { ...plan, isLowestTier: false },
    firstEventMs: 2_400,
    completionMs: 6_000,
    admitted: true,
  },
  {
    name: 'late after it was refused before',
    request: { ...plan, remainingMs: 10_000 },
    firstEventMs: 2_400,
    completionMs: 6_000,
    admitted: true,
  },
  {
    // Guards against 354 answers on one day that were cut off at their time limit after seconds of work.
    name: 'not complete within the time limit',
    request: { ...plan, isLowestTier: false },
    firstEventMs: 1_000,
    completionMs: 20_000,
    admitted: false,
  },
  {
    // Guards against refusing the largest prompts while nothing waits: they take as long at any time.
    name: 'late by its own prefill alone',
    request: plan,
    firstEventMs: 2_800,
    completionMs: 6_000,
    prefillMs: 2_600,
    admitted: true,
  },
  {
    name: 'after the caller has left',
    request: { ...plan, isLowestTier: false, firstEventTimeoutMs: 2_400 },
    firstEventMs: 2_300,
    completionMs: 5_000,
    admitted: false,
  },
];

test.each(cases)(
  '$name: admitted $admitted',
  ({ request, firstEventMs, completionMs, prefillMs = 100, admitted }) => {
    const placement = { serverId: 'a', prefillMs, firstEventMs, completionMs };
    const admission = chooseAdmission(request, placement, 0.5);
    expect(admission.kind).toBe(admitted ? 'admit' : 'refuse');
  },
);

test.each([0, 0.5, 1])('the delay is within what callers honour, random %d', (random) => {
  const placement = { serverId: 'a', prefillMs: 100, firstEventMs: 60_000, completionMs: 90_000 };
  const admission = chooseAdmission(plan, placement, random);
  if (admission.kind !== 'refuse') throw new Error('expected a refusal');
  expect(admission.retryAfterMs).toBeLessThanOrEqual(plan.remainingMs / 3);
  expect(admission.retryAfterMs).toBeGreaterThan(0);
});

test('refused callers do not return as one wave', () => {
  const placement = { serverId: 'a', prefillMs: 100, firstEventMs: 4_000, completionMs: 9_000 };
  const delays = [0, 0.25, 0.5, 0.75, 1].map((random) => {
    const admission = chooseAdmission(plan, placement, random);
    return admission.kind === 'refuse' ? admission.retryAfterMs : 0;
  });
  expect(Math.max(...delays) - Math.min(...delays)).toBeGreaterThan(1_000);
});
