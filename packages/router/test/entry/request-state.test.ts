import fc from 'fast-check';
import { expect, test } from 'vitest';
import type { Cause } from '@pollendrum/protocol';
import { getErrorStatus } from '../../src/entry/error-responses';
import { RequestLifecycle, StateError } from '../../src/entry/request-state';
import { FakeOutcomes } from './fakes';

function createLifecycle(outcomes: FakeOutcomes): RequestLifecycle {
  return new RequestLifecycle({ requestId: 'r', instanceId: 'i', bundleNumber: 1, outcomes });
}

const serverId = 's';
const states = fc.constantFrom(
  { kind: 'received' as const },
  { kind: 'queued' as const },
  { kind: 'granted' as const, serverId },
  { kind: 'claimed' as const, serverId },
  { kind: 'sent' as const, serverId },
  { kind: 'streaming' as const, serverId },
);

// Guards against a second record or a state change after the end, for any order of events.
test('a request has exactly one outcome', () => {
  fc.assert(
    fc.property(fc.array(states), fc.nat(), (steps, endAt) => {
      const outcomes = new FakeOutcomes();
      const lifecycle = createLifecycle(outcomes);
      steps.forEach((step, index) => {
        if (index === endAt) lifecycle.endRequest({ outcome: 'answered', status: 200 });
        try {
          lifecycle.setState(step);
        } catch (error) {
          expect(error).toBeInstanceOf(StateError);
        }
      });
      lifecycle.endRequest({ outcome: 'failed', status: 502 });
      expect(outcomes.records).toHaveLength(1);
      expect(lifecycle.getState().kind).toBe('ended');
    }),
  );
});

// Guards against sending without a grant.
test.each(['received', 'queued'] as const)('%s cannot become sent', (from) => {
  const lifecycle = createLifecycle(new FakeOutcomes());
  if (from === 'queued') lifecycle.setState({ kind: 'queued' });
  expect(() => {
    lifecycle.setState({ kind: 'sent', serverId });
  }).toThrow(StateError);
});

// Guards against statuses that misreport to the caller whether the request ran.
test.each<{ cause: Cause; notRun: number; failed: number; unknown: number }>([
  {
    cause: { kind: 'server-refused', serverId, attemptId: 'a', status: 503 },
    notRun: 503,
    failed: 502,
    unknown: 504,
  },
  {
    cause: { kind: 'server-silent', serverId, attemptId: 'a', silentMs: 1, deliveredTokens: 0 },
    notRun: 504,
    failed: 504,
    unknown: 504,
  },
])('status of $cause.kind', ({ cause, notRun, failed, unknown }) => {
  expect(getErrorStatus('not-run', cause)).toBe(notRun);
  expect(getErrorStatus('failed', cause)).toBe(failed);
  expect(getErrorStatus('unknown', cause)).toBe(unknown);
});

// Guards against late responses without a cause, or with the cause of another hop.
test('the cause of a late first byte is the hop that took longest', async () => {
  const outcomes = new FakeOutcomes();
  const lifecycle = createLifecycle(outcomes);
  const serviceClass = {
    name: 'c',
    tier: 0,
    floorPercent: 0,
    preference: 'attainment' as const,
    targetFirstByteMs: 5,
    maxQueueMs: 1,
    maxTotalMs: 1_000,
  };
  lifecycle.setAttributes({ serviceClass, team: 't', target: 'm', isModel: true });
  await new Promise((resolve) => setTimeout(resolve, 20));
  lifecycle.recordHop('queue', lifecycle.startedAtMs);
  lifecycle.meter.observeToken(performance.now());
  lifecycle.endRequest({ outcome: 'answered', status: 200 });
  expect(outcomes.records[0]).toMatchObject({ onTime: false, cause: { kind: 'queue-timeout' } });
});
