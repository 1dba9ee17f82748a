import type { OutcomeRecord, ServiceClass } from '@pollendrum/protocol';
import { describe, expect, test } from 'vitest';
import { PauseDetector } from '../../src/entry/pause-detector';
import { RequestLifecycle } from '../../src/entry/request-state';

const SERVICE_CLASS: ServiceClass = {
  ...{ name: 'order', tier: 1, floorPercent: 0, preference: 'goodput' },
  ...{ targetFirstByteMs: 1000, maxQueueMs: 1000, maxTotalMs: 5000 },
};

function wait(ms: number): Promise<void> {
  return new Promise((resolve) => setTimeout(resolve, ms));
}

function runBusy(ms: number): void {
  const endMs = performance.now() + ms;
  while (performance.now() < endMs);
}

// Guards against requests that count as on time although they waited unread while the process was paused.
describe('a pause of the process', () => {
  test('counts for requests read right after it, not before and not later', async () => {
    using detector = new PauseDetector();
    await wait(120);
    expect(detector.getPausedMs()).toBe(0);
    runBusy(600);
    expect(detector.getPausedMs()).toBeGreaterThanOrEqual(600);
    await wait(100);
    expect(detector.getPausedMs()).toBeGreaterThanOrEqual(600);
    await wait(500);
    expect(detector.getPausedMs()).toBe(0);
  });

  test.each([
    [0, true, undefined],
    [900, true, undefined],
    [1500, false, 'instance-paused'],
  ])('of %i ms before a fast response (on time: %s)', (pausedMs, onTime, kind) => {
    const records: OutcomeRecord[] = [];
    const lifecycle = new RequestLifecycle({
      ...{ requestId: 'r', instanceId: 'i1', bundleNumber: 1, pausedMs },
      outcomes: { recordOutcome: (record) => records.push(record) },
    });
    lifecycle.setAttributes({
      ...{ serviceClass: SERVICE_CLASS, team: 't', target: 'orders', isModel: false },
    });
    lifecycle.endRequest({ outcome: 'answered', status: 200 });
    expect(records.map((record) => [record.onTime, record.cause?.kind])).toEqual([[onTime, kind]]);
  });
});
