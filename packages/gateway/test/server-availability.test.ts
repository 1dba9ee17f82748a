import { expect, test } from 'vitest';
import type { BackendServer } from '../src';
import { ServerAvailability } from '../src/server-availability';
import { ServerRegistry } from '../src/server-registry';
import { makeServer } from './gateway-fixture';

type Step =
  | { kind: 'put'; entry: Partial<BackendServer> }
  | { kind: 'removed' }
  | { kind: 'leaving-answer'; startedAtUnixMs: number | undefined };

interface StepCase {
  name: string;
  steps: readonly Step[];
  /** What holds for the entry that was put last. */
  expected: 'available' | 'leaving';
}

const UNNAMED = { startedAtUnixMs: undefined };
const leavingAnswer: Step = { kind: 'leaving-answer', startedAtUnixMs: 1 };
const leavingUnnamed: Step = { kind: 'leaving-answer', ...UNNAMED };
const put = (entry: Partial<BackendServer> = {}): Step => ({ kind: 'put', entry });
const removed: Step = { kind: 'removed' };

const cases: StepCase[] = [
  { name: 'ready', steps: [put()], expected: 'available' },
  {
    name: 'an answer that says so, then the entry again',
    steps: [put(), leavingAnswer, put({ slots: 4 })],
    expected: 'leaving',
  },
  {
    name: 'an entry that is read as ready after it was draining',
    steps: [put(), put({ state: 'draining' }), put()],
    expected: 'leaving',
  },
  {
    name: 'an entry that was away, after an answer',
    steps: [put(), leavingAnswer, removed, put()],
    expected: 'leaving',
  },
  {
    name: 'an entry that was away, after it was draining',
    steps: [put({ state: 'draining' }), removed, put()],
    expected: 'leaving',
  },
  {
    name: 'an answer while the entry is away',
    steps: [put(), removed, leavingAnswer, put()],
    expected: 'leaving',
  },
  { name: 'an entry that was away', steps: [put(), removed, put()], expected: 'available' },
  {
    name: 'another start',
    steps: [put(), leavingAnswer, put({ startedAtUnixMs: 2 })],
    expected: 'available',
  },
  {
    name: 'a late entry of the start before',
    steps: [put(), leavingAnswer, put({ startedAtUnixMs: 2 }), put()],
    expected: 'leaving',
  },
  {
    name: 'a late answer of the start before',
    steps: [put(), put({ startedAtUnixMs: 2 }), leavingAnswer],
    expected: 'available',
  },
  {
    name: 'an entry of another writer that lacks the start time',
    steps: [put({ heartbeats: 5 }), leavingAnswer, put({ ...UNNAMED, heartbeats: 6 })],
    expected: 'leaving',
  },
  {
    name: 'a start without a start time after one with it',
    steps: [put({ heartbeats: 5 }), leavingAnswer, put({ ...UNNAMED, heartbeats: 1 })],
    expected: 'available',
  },
  {
    name: 'no start time, the same entry again',
    steps: [put(UNNAMED), leavingUnnamed, put({ ...UNNAMED, heartbeats: 9 })],
    expected: 'leaving',
  },
  {
    name: 'no start time, heartbeats that begin anew',
    steps: [
      ...[put({ ...UNNAMED, heartbeats: 9 }), leavingUnnamed],
      put({ ...UNNAMED, heartbeats: 1 }),
    ],
    expected: 'available',
  },
  {
    name: 'no start time, another address',
    steps: [put(UNNAMED), leavingUnnamed, put({ ...UNNAMED, port: 2 })],
    expected: 'available',
  },
  {
    name: 'no start time, an entry that was away',
    steps: [put(UNNAMED), leavingUnnamed, removed, put(UNNAMED)],
    expected: 'available',
  },
];

// Guards against a server that gets requests again because an older fact undoes a newer one, and against one that gets none after
// it has started again.
test.each(cases)('a server is $expected after: $name', ({ steps, expected }) => {
  const availability: ServerAvailability = new ServerAvailability({
    ...{
      clock: () => 0,
      publish: () => undefined,
      onLeaving: () => undefined,
      countInstances: () => 1,
    },
    getServer: (serverId) => registry.get(serverId),
  });
  const registry = new ServerRegistry((change) => {
    availability.handleServerChange(change);
  });
  let latest = makeServer('a', 'desk', 1);
  for (const step of steps) {
    switch (step.kind) {
      case 'put':
        latest = { ...makeServer('a', 'desk', 1), ...step.entry };
        registry.put(latest);
        break;
      case 'removed':
        registry.remove('a', 0);
        break;
      case 'leaving-answer':
        availability.recordLeaving(
          { ...latest, startedAtUnixMs: step.startedAtUnixMs },
          { kind: 'answer', status: 200 },
        );
        break;
    }
  }
  expect(availability.judge(registry.get('a') ?? latest, 0).kind).toBe(expected);
});
