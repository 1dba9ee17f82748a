import { expect, test } from 'vitest';
import { StreamPace } from '../src';
import type { StreamPart } from '../src';

interface PaceCase {
  name: string;
  part: StreamPart;
  partsPerSecond: number;
  /** Time after which reading stops for the first time, in ms; undefined if it never does within a minute. */
  stopsAfterMs: [number, number] | undefined;
  /** Parts that are read in a minute, at most. */
  maxParts: number;
}

const MINUTE_MS = 60_000;

const paceCases: PaceCase[] = [
  {
    ...{ name: 'tokens of an engine', part: { bytes: 60, lines: 3 }, partsPerSecond: 200 },
    ...{ stopsAfterMs: undefined, maxParts: 12_000 },
  },
  {
    ...{ name: 'small events without end', part: { bytes: 65_536, lines: 3_000 } },
    ...{ partsPerSecond: 100, stopsAfterMs: [10, 100], maxParts: 30 },
  },
  {
    ...{ name: 'empty lines without end', part: { bytes: 65_536, lines: 65_536 } },
    ...{ partsPerSecond: 100, stopsAfterMs: [0, 10], maxParts: 2 },
  },
  {
    ...{ name: 'large events without end', part: { bytes: 262_144, lines: 3 } },
    ...{ partsPerSecond: 100, stopsAfterMs: [300, 500], maxParts: 520 },
  },
];

// Guards against a stream whose events take the processor of an instance, and against streams of tokens that are slowed down.
test.each(paceCases)('$name', ({ part, partsPerSecond, stopsAfterMs, maxParts }) => {
  const pace = new StreamPace(0);
  let parts = 0;
  let firstStopMs: number | undefined;
  for (let nowMs = 0; nowMs < MINUTE_MS;) {
    parts += 1;
    const delayMs = pace.recordPart(part, nowMs);
    if (delayMs > 0) firstStopMs ??= nowMs;
    nowMs += Math.max(delayMs, 1_000 / partsPerSecond);
  }
  if (stopsAfterMs === undefined) {
    expect(firstStopMs).toBeUndefined();
  } else {
    expect(firstStopMs).toBeGreaterThanOrEqual(stopsAfterMs[0]);
    expect(firstStopMs).toBeLessThanOrEqual(stopsAfterMs[1]);
  }
  expect(parts).toBeLessThanOrEqual(maxParts);
});
