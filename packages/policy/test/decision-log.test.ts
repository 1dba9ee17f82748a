import { expect, test } from 'vitest';
import { checkNoStarvation, checkTierOrder, type SchedulerEvent } from '../src/index';
import { makeClass } from './fixtures';

type Shed = Extract<SchedulerEvent, { kind: 'shed' }>;

const TIER_BY_CLASS = { quick: 0, bulk: 2 } as const;
type ClassName = keyof typeof TIER_BY_CLASS;

function makeEnqueue(
  attemptId: string,
  className: ClassName,
  excluded: string[] = [],
): SchedulerEvent {
  const fields = { atMs: 0, fingerprint: attemptId, excludedServerIds: excluded };
  return { kind: 'enqueue', attemptId, className, tier: TIER_BY_CLASS[className], ...fields };
}

function makeStart(
  attemptId: string,
  className: ClassName,
  reason: 'tier' | 'floor' | 'probe' = 'tier',
): SchedulerEvent {
  const fields = { atMs: 1, serverId: 's1', reason };
  return { kind: 'start', attemptId, className, tier: TIER_BY_CLASS[className], ...fields };
}

const timeout: Shed['cause'] = { kind: 'queue-timeout', waitedMs: 1, usedSlotsByClass: {} };
const full: Shed['cause'] = {
  kind: 'queue-full',
  queueLength: 2,
  queueLimit: 1,
  usedSlotsByClass: {},
};
const limit: Shed['cause'] = { kind: 'team-limit', limit: 'concurrent-requests', limitValue: 1 };

function makeShed(attemptId: string, cause: Shed['cause'] = timeout): SchedulerEvent {
  return { kind: 'shed', atMs: 2, attemptId, cause };
}

const suspectQ: SchedulerEvent = { kind: 'suspect', atMs: 0, fingerprint: 'q', isSuspect: true };
const enqueueBoth = [makeEnqueue('q', 'quick'), makeEnqueue('b', 'bulk')];

// Guards against a check that misses a violation of P1 or reports a start that P1 allows.
test.each<[string, SchedulerEvent[], number]>([
  ['start of a lower tier', [...enqueueBoth, makeStart('b', 'bulk'), makeShed('q')], 1],
  ['floor start', [...enqueueBoth, makeStart('b', 'bulk', 'floor'), makeShed('q')], 0],
  [
    'probe of an unhealthy server',
    [...enqueueBoth, makeStart('b', 'bulk', 'probe'), makeShed('q')],
    0,
  ],
  [
    'start before the request was enqueued',
    [makeStart('b', 'bulk'), makeEnqueue('q', 'quick'), makeShed('q')],
    0,
  ],
  [
    'start on an excluded server',
    [makeEnqueue('q', 'quick', ['s1']), makeStart('b', 'bulk'), makeShed('q')],
    0,
  ],
  [
    'start while the request is a crash suspect',
    [...enqueueBoth, suspectQ, makeStart('b', 'bulk'), makeShed('q')],
    0,
  ],
  [
    'start of a lower tier, shed by a team limit',
    [...enqueueBoth, makeStart('b', 'bulk'), makeShed('q', limit)],
    0,
  ],
  ['queue full while a lower tier waits', [...enqueueBoth, makeShed('q', full)], 1],
  ['queue full while a higher tier waits', [...enqueueBoth, makeShed('b', full)], 0],
])('P1: %s', (_, events, expected) => {
  expect(checkTierOrder(events)).toHaveLength(expected);
});

// Guards against a check that misses a starved class or reports a class that is not backlogged. With a floor of
// 25% and 2 classes, the bound is 6 starts. In the last two rows the class is not backlogged: it has no waiting
// request, or only a request that excludes a server.
test.each([
  { starts: 5, events: [makeEnqueue('b', 'bulk')], expected: 0 },
  { starts: 6, events: [makeEnqueue('b', 'bulk')], expected: 1 },
  { starts: 6, events: [], expected: 0 },
  { starts: 6, events: [makeEnqueue('b', 'bulk', ['s1'])], expected: 0 },
])(
  'P2: $starts starts of another class, expected violations: $expected',
  ({ starts, events, expected }) => {
    const classes = [makeClass('quick'), makeClass('bulk', { floorPercent: 25 })];
    const others = Array.from({ length: starts }, (_, index) => makeStart(`q${index}`, 'quick'));
    expect(checkNoStarvation([...events, ...others], classes)).toHaveLength(expected);
  },
);
