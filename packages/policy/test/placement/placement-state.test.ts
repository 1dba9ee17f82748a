import { expect, test } from 'vitest';
import {
  FailureTracker,
  PromptLengthPartition,
  LoadTable,
  PrefixCacheTracker,
  UtilizationMeter,
  SpeedTracker,
} from '../../src';
import type { PlacedRequest, ServerObservation } from '../../src';
import { makeReportedLoad } from './placement-fixture';

function makePlacedRequest(overrides: Partial<PlacedRequest> = {}): PlacedRequest {
  return {
    serverId: 'a',
    prefillMs: 100,
    heldTokens: 1_000,
    isPauseSensitive: true,
    hasLongPrompt: false,
    expectedFirstByteAtMs: 150,
    isStreaming: false,
    ...overrides,
  };
}

test('a request moves from the queue to the running streams and is then removed', () => {
  const table = new LoadTable();
  const request = makePlacedRequest();
  table.add(request, 0);
  expect(table.getLoad('a', 0)).toMatchObject({ queuedPrefillMs: 100, waiting: 1, streaming: 0 });
  table.markStreaming(request);
  expect(table.getLoad('a', 0)).toMatchObject({ waiting: 0, streaming: 1, pauseSensitive: 1 });
  table.remove(request);
  expect(table.getLoad('a', 0)).toMatchObject({ waiting: 0, streaming: 0, heldTokens: 0 });
});

test('a waiting request past its expected first byte is overdue', () => {
  const table = new LoadTable();
  table.add(makePlacedRequest(), 0);
  expect(table.getLoad('a', 1_150).overdueMs).toBe(1_000);
});

test('the load of peers is added, and expires when they stop reporting', () => {
  const table = new LoadTable();
  table.mergePeerReport(
    'peer',
    new Map([['a', makeReportedLoad({ waiting: 2, queuedPrefillMs: 300 })]]),
    0,
  );
  table.add(makePlacedRequest(), 0);
  expect(table.getLoad('a', 100)).toMatchObject({ waiting: 3, queuedPrefillMs: 400 });
  // Guards against load of a killed instance that is counted forever.
  expect(table.getLoad('a', 5_000).waiting).toBe(1);
});

test("a peer's report replaces its previous one", () => {
  const table = new LoadTable();
  table.mergePeerReport('peer', new Map([['a', makeReportedLoad({ waiting: 2 })]]), 0);
  table.mergePeerReport('peer', new Map([['a', makeReportedLoad({ waiting: 1 })]]), 50);
  expect(table.getLoad('a', 60).waiting).toBe(1);
});

test('the total over many peers is exact after many reports from each peer', () => {
  const table = new LoadTable();
  for (let round = 0; round < 50; round += 1) {
    for (let peer = 0; peer < 20; peer += 1) {
      const load = makeReportedLoad({
        waiting: (round + peer) % 3,
        queuedPrefillMs: 10 * ((round + peer) % 3),
      });
      table.mergePeerReport(`peer-${peer}`, new Map([['a', load]]), round);
    }
  }
  const waiting = Array.from({ length: 20 }, (_, peer) => (49 + peer) % 3).reduce(
    (sum, count) => sum + count,
    0,
  );
  expect(table.getLoad('a', 50)).toMatchObject({ waiting, queuedPrefillMs: 10 * waiting });
  table.removePeer('peer-0', 50);
  expect(table.getLoad('a', 50).waiting).toBe(waiting - (49 % 3));
});

// Guards against a server that stops responding and seems responsive until the peer's next report.
test("a peer's request that is due becomes overdue as time passes", () => {
  const table = new LoadTable();
  table.mergePeerReport(
    'peer',
    new Map([['a', makeReportedLoad({ waiting: 1, dueInMs: 300 })]]),
    0,
  );
  expect(table.getLoad('a', 200).overdueMs).toBe(0);
  expect(table.getLoad('a', 1_000).overdueMs).toBe(700);
});

// Guards against load that is dropped because a report does not repeat it.
test("a peer's report leaves its load on other servers as it was", () => {
  const table = new LoadTable();
  table.mergePeerReport('peer', new Map([['a', makeReportedLoad({ waiting: 2 })]]), 0);
  table.mergePeerReport('peer', new Map([['b', makeReportedLoad({ waiting: 1 })]]), 50);
  table.mergePeerReport('peer', new Map(), 100);
  expect(table.getLoad('a', 100).waiting).toBe(2);
  expect(table.getLoad('b', 100).waiting).toBe(1);
});

// Guards against load that stays forever when the report of its end is lost and the peer goes on reporting.
test('a load that its peer does not repeat expires', () => {
  const table = new LoadTable();
  table.mergePeerReport('peer', new Map([['a', makeReportedLoad({ waiting: 2 })]]), 0);
  for (let nowMs = 500; nowMs <= 6_000; nowMs += 500) {
    table.mergePeerReport('peer', new Map([['b', makeReportedLoad({ waiting: 1 })]]), nowMs);
  }
  expect(table.getLoad('a', 6_000).waiting).toBe(0);
  expect(table.getLoad('b', 6_000).waiting).toBe(1);
});

// Guards against utilization that is reported again and again as it decays, or that peers keep too high.
test("a peer's utilization decays between its reports and is replaced by the next", () => {
  const table = new LoadTable();
  const meter = new UtilizationMeter();
  meter.add(600, 0);
  const report = (nowMs: number) =>
    new Map([['a', makeReportedLoad({ waiting: 1, longShare: meter.getUtilization(nowMs) })]]);
  table.mergePeerReport('peer', report(0), 0);
  expect(table.getLoad('a', 900).longShare).toBeCloseTo(meter.getUtilization(900), 6);
  meter.add(300, 1_000);
  table.mergePeerReport('other', report(0), 500);
  table.mergePeerReport('peer', report(1_000), 1_000);
  table.removePeer('other', 1_200);
  expect(table.getLoad('a', 1_400).longShare).toBeCloseTo(meter.getUtilization(1_400), 6);
});

// Guards against an overdue server that seems responsive because another peer reports a shorter overdue time.
test("a peer's overdue time is replaced by the peer's next report, but not by another peer's shorter one", () => {
  const table = new LoadTable();
  table.mergePeerReport(
    'peer',
    new Map([['a', makeReportedLoad({ waiting: 1, dueInMs: -400 })]]),
    0,
  );
  table.mergePeerReport(
    'other',
    new Map([['a', makeReportedLoad({ waiting: 1, dueInMs: -10 })]]),
    50,
  );
  expect(table.getLoad('a', 100).overdueMs).toBe(500);
  table.mergePeerReport('peer', new Map([['a', makeReportedLoad({ waiting: 1 })]]), 150);
  expect(table.getLoad('a', 200).overdueMs).toBe(160);
});

// Guards against a server that counts as busy long after its work has ended.
test('utilization equals the share of time spent on work and decays without work', () => {
  const meter = new UtilizationMeter();
  for (let nowMs = 0; nowMs < 10_000; nowMs += 100) meter.add(50, nowMs);
  expect(meter.getUtilization(10_000)).toBeCloseTo(0.5, 1);
  expect(meter.getUtilization(20_000)).toBeLessThan(0.01);
});

test('parts count as cached only up to the first missing part', () => {
  const tracker = new PrefixCacheTracker();
  const kvCache = { kvTokens: 100_000, heldTokens: 0 };
  tracker.record('a', [{ id: 'x', tokens: 500 }], kvCache, 0);
  const parts = [
    { id: 'x', tokens: 500 },
    { id: 'y', tokens: 4_000 },
  ];
  expect(tracker.countCachedTokens('a', parts, 10)).toBe(500);
  expect(tracker.countCachedTokens('a', [...parts].reverse(), 10)).toBe(0);
  expect(tracker.countCachedTokens('b', parts, 10)).toBe(0);
});

test('least recently used parts are evicted, and earlier if running requests hold KV cache', () => {
  const tracker = new PrefixCacheTracker();
  const kvCache = { kvTokens: 10_000, heldTokens: 6_000 };
  for (const id of ['x', 'y']) tracker.record('a', [{ id, tokens: 3_000 }], kvCache, 0);
  expect(tracker.countCachedTokens('a', [{ id: 'x', tokens: 3_000 }], 10)).toBe(0);
  expect(tracker.countCachedTokens('a', [{ id: 'y', tokens: 3_000 }], 10)).toBe(3_000);
});

test('a part that has not been used for a long time counts as evicted', () => {
  const tracker = new PrefixCacheTracker();
  tracker.record('a', [{ id: 'x', tokens: 500 }], { kvTokens: 100_000, heldTokens: 0 }, 0);
  expect(tracker.countCachedTokens('a', [{ id: 'x', tokens: 500 }], 60_000)).toBe(0);
});

test.each([
  { name: 'sent a moment ago', sentAtMs: [900], expected: 0 },
  { name: 'sent long enough ago to be prefilled', sentAtMs: [0], expected: 500 },
  // Guards against a frequently used prompt that is never fetched because its last use is always recent.
  { name: 'sent long ago and used a moment ago', sentAtMs: [0, 990], expected: 500 },
  { name: 'evicted between two uses', sentAtMs: [-60_000, 900], expected: 0 },
])('of a part $name, $expected tokens can be fetched', ({ sentAtMs, expected }) => {
  const tracker = new PrefixCacheTracker();
  const parts = [{ id: 'x', tokens: 500 }];
  const kvCache = { kvTokens: 100_000, heldTokens: 0 };
  for (const atMs of sentAtMs) tracker.record('a', parts, kvCache, atMs);
  expect(tracker.countFetchableTokens('a', parts, 1_000)).toBe(expected);
});

interface FailureCase {
  observations: ServerObservation[];
  afterMs: number;
  avoided: boolean;
}

const failureCases: FailureCase[] = [
  { observations: ['success'], afterMs: 1, avoided: false },
  { observations: ['unreachable'], afterMs: 500, avoided: true },
  { observations: ['unreachable'], afterMs: 1_500, avoided: false },
  { observations: ['unreachable', 'unreachable'], afterMs: 1_500, avoided: true },
  { observations: ['unreachable', 'success'], afterMs: 1, avoided: false },
  { observations: ['full'], afterMs: 100, avoided: true },
  { observations: ['full'], afterMs: 300, avoided: false },
  { observations: ['error', 'error'], afterMs: 1, avoided: false },
];

// Guards against requests to a server that is unreachable or full, and against never trying the server again.
test.each(failureCases)(
  '$afterMs ms after $observations, the server is avoided: $avoided',
  (failure) => {
    const tracker = new FailureTracker();
    for (const observation of failure.observations) tracker.observe('a', observation, 0);
    expect(tracker.isAvoided('a', failure.afterMs)).toBe(failure.avoided);
  },
);

test('the failure rate rises with errors and decays, so that a server is tried again', () => {
  const tracker = new FailureTracker();
  for (let index = 0; index < 5; index += 1) tracker.observe('a', 'broken-answer', 0);
  expect(tracker.getFailureRate('a', 0)).toBeGreaterThan(0.6);
  expect(tracker.getFailureRate('a', 10_000)).toBeLessThan(0.05);
});

test('a server that decodes slower than the fastest server has a higher slowness', () => {
  const tracker = new SpeedTracker();
  for (let index = 0; index < 400; index += 1) {
    tracker.recordPause('fast', 21, index);
    // Every third pause includes a prefill, so it says nothing about the server's decode speed.
    tracker.recordPause('slow', index % 3 === 0 ? 180 : 42, index);
  }
  const slowness = tracker.computeSlownessByServer(['fast', 'slow', 'unseen'], 400);
  expect(slowness.get('fast')).toBeCloseTo(1, 1);
  expect(slowness.get('slow')).toBeGreaterThan(1.7);
  expect(slowness.get('slow')).toBeLessThan(2.6);
  expect(slowness.get('unseen')).toBe(1);
});

test('the fixed overhead of a first event is not attributed to slow prefills', () => {
  const tracker = new SpeedTracker();
  for (let index = 0; index < 100; index += 1) {
    const overheadMs = tracker.getFirstEventOverheadMs();
    tracker.recordFirstEvent(12 + 21 + 36, { prefillMs: 12, firstEventMs: 33 + overheadMs });
  }
  expect(tracker.getFirstEventOverheadMs()).toBeCloseTo(36, 0);
  expect(tracker.computeSlownessByServer(['a'], 0).get('a')).toBe(1);
});

// Guards against predictions that stay too low on engines slower than the profile.
test('a slowness of 2 is measured if long prefills take twice as long as in the profile', () => {
  const tracker = new SpeedTracker();
  for (let index = 0; index < 100; index += 1) {
    const prefillMs = 200 * (tracker.computeSlownessByServer(['a'], 0).get('a') ?? 1);
    tracker.recordFirstEvent(400 + 21, { prefillMs, firstEventMs: prefillMs + 21 });
  }
  expect(tracker.computeSlownessByServer(['a'], 0).get('a')).toBeCloseTo(2, 1);
});

// Guards against a partition that does not follow the load, and against a kind of prompt without servers.
test.each([
  { name: 'only short prompts', shortShare: 0.3, longShare: 0, least: 5, most: 6 },
  { name: 'only long prompts', shortShare: 0, longShare: 0.7, least: 2, most: 2 },
  { name: 'both kinds of prompts', shortShare: 0.15, longShare: 0.25, least: 3, most: 5 },
  { name: 'no load', shortShare: 0, longShare: 0, least: 4, most: 4 },
])(
  'with $name, $least to $most of 8 servers are for short prompts',
  ({ shortShare, longShare, least, most }) => {
    const loads = Array.from({ length: 8 }, () => ({ shortShare, longShare }));
    const count = new PromptLengthPartition().updateShortServerCount(loads);
    expect(count).toBeGreaterThanOrEqual(least);
    expect(count).toBeLessThanOrEqual(most);
  },
);

// Guards against engines that prefill shared parts again because of a needless change of the partition.
test('the partition does not change with small changes in load', () => {
  const partition = new PromptLengthPartition();
  const counts = new Set<number>();
  for (let index = 0; index < 20; index += 1) {
    const longShare = 0.25 + (index % 2) * 0.02;
    counts.add(
      partition.updateShortServerCount(
        Array.from({ length: 8 }, () => ({ shortShare: 0.15, longShare })),
      ),
    );
  }
  expect(counts.size).toBe(1);
});
