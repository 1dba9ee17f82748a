import { expect, test } from 'vitest';
import { choosePlacement, SpeedTracker } from '../../src';
import { CHAT, makeCandidate, makeOptions } from './placement-fixture';

const PAUSE_MS = 21;
const NOISE = { slowness: 2.5, fromMs: 6_000, toMs: 6_600 };

/** Records the pauses of a fast and a slow server, and of one that noise slows down for 0.6 s. */
function recordPauses(
  tracker: SpeedTracker,
  perSecond: number,
  fromMs: number,
  toMs: number,
): void {
  const intervalMs = 1_000 / perSecond;
  for (let nowMs = fromMs; nowMs < toMs; nowMs += intervalMs) {
    const isNoisy = nowMs >= NOISE.fromMs && nowMs < NOISE.toMs;
    tracker.recordPause('fast', PAUSE_MS * 0.7, nowMs);
    tracker.recordPause('slow', PAUSE_MS * 1.7, nowMs);
    tracker.recordPause('noisy', PAUSE_MS * 0.7 * (isNoisy ? NOISE.slowness : 1), nowMs);
  }
}

const IDS = ['fast', 'slow', 'noisy'];

// Guards against a slow server that is learned too late, and noise that is taken for a slow server. The rates are those
// of one of 74 instances and of one of 6.
test.each([{ perSecond: 4 }, { perSecond: 40 }, { perSecond: 400 }])(
  'with $perSecond pauses a second, speeds are learned within 3 s, and noise for 0.6 s is no speed',
  ({ perSecond }) => {
    const tracker = new SpeedTracker();
    recordPauses(tracker, perSecond, 0, 3_000);
    const learned = tracker.computeSlownessByServer(IDS, 3_000);
    expect(learned.get('slow')).toBeGreaterThan(2.2);
    expect(learned.get('fast')).toBeCloseTo(1, 1);
    for (let nowMs = 3_000; nowMs < 9_000; nowMs += 100) {
      recordPauses(tracker, perSecond, nowMs, nowMs + 100);
      const slowness = tracker.computeSlownessByServer(IDS, nowMs + 100);
      expect(slowness.get('noisy'), `at ${nowMs} ms`).toBeLessThan(1.25);
      expect(slowness.get('slow')).toBeGreaterThan(2.2);
    }
  },
);

// Guards against a server that is avoided after it has started again with another speed.
test('the speed of a server is forgotten at its next start', () => {
  const tracker = new SpeedTracker();
  recordPauses(tracker, 40, 0, 3_000);
  tracker.removeServer('slow');
  expect(tracker.computeSlownessByServer(IDS, 3_000).get('slow')).toBe(1);
  for (let nowMs = 3_000; nowMs < 5_000; nowMs += 25) {
    tracker.recordPause('slow', PAUSE_MS * 0.7, nowMs);
  }
  expect(tracker.computeSlownessByServer(IDS, 5_000).get('slow')).toBeCloseTo(1, 1);
});

// Guards against prefill predictions that are the same for servers of different speeds.
test('the predicted prefill time follows the speed of the server', () => {
  const tracker = new SpeedTracker();
  recordPauses(tracker, 40, 0, 3_000);
  const slowness = tracker.computeSlownessByServer(IDS, 3_000);
  const [fastMs = 0, slowMs = 0] = ['fast', 'slow'].map((serverId) => {
    const candidate = makeCandidate(serverId, {}, { slowness: slowness.get(serverId) ?? 1 });
    return choosePlacement(CHAT, [candidate], makeOptions())?.prefillMs;
  });
  expect(slowMs / fastMs).toBeCloseTo(1.7 / 0.7, 1);
});
