import { expect, test } from 'vitest';
import { computeBusyServers, LoadForecast } from '../../src';
import type { LoadSample } from '../../src';

const IDLE: LoadSample = {
  slotsPerServer: 64,
  ...{ running: 0, waiting: 0, prefillUtilization: 0, queuedPrefillMs: 0 },
};

test.each<{ name: string; load: Partial<LoadSample>; busy: number }>([
  { name: 'nothing', load: {}, busy: 0 },
  { name: 'busy slots', load: { running: 100, waiting: 28, prefillUtilization: 1 }, busy: 2 },
  { name: 'prefill', load: { running: 64, prefillUtilization: 3 }, busy: 3 },
  { name: 'prefill that waits', load: { prefillUtilization: 1, queuedPrefillMs: 500 }, busy: 1.5 },
  { name: 'no slots', load: { slotsPerServer: 0, running: 5 }, busy: 5 },
  // Sums of loads that are added and subtracted can end just below 0.
  { name: 'a negative rest', load: { running: -1e-9, prefillUtilization: -1e-9 }, busy: 0 },
  { name: 'no number', load: { running: NaN }, busy: 0 },
])('the work in busy servers with $name', ({ load, busy }) => {
  expect(computeBusyServers({ ...IDLE, ...load })).toBeCloseTo(busy, 6);
});

/** Busy servers in one sample a second, and the peak that is forecast for 5 s after the last one. */
test.each([
  { name: 'no samples', samples: [], peak: 0 },
  { name: 'a single sample', samples: [4], peak: 4 },
  { name: 'a steady load', samples: Array<number>(10).fill(4), peak: 4 },
  { name: 'slow growth to a new high', samples: [4, 4, 4, 4, 4.1, 4.2, 4.3, 4.4], peak: 4.9 },
  { name: 'a jump, which does not go on', samples: [4, 4, 4, 4, 10], peak: 14 },
  { name: 'growth below the recent peak', samples: [8, 4, 4, 4, 5, 6, 7], peak: 8 },
  { name: 'a fall', samples: [8, 6, 4, 2], peak: 8 },
  { name: 'a peak 20 s ago', samples: [8, ...Array<number>(20).fill(2)], peak: 8 },
  { name: 'a peak 35 s ago', samples: [8, ...Array<number>(35).fill(2)], peak: 8 / Math.E },
  { name: 'a peak long ago', samples: [8, ...Array<number>(90).fill(2)], peak: 2 },
])('the forecast after $name', ({ samples, peak }) => {
  const forecast = new LoadForecast();
  for (const [index, busy] of samples.entries()) forecast.record(busy, index * 1_000);
  expect(forecast.estimatePeak((samples.length - 1) * 1_000, 5_000)).toBeCloseTo(peak, 6);
});
