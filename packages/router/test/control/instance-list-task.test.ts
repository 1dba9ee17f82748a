import { setTimeout as waitFor } from 'node:timers/promises';
import { expect, test } from 'vitest';
import { FakePlatform, waitUntil } from '../../../platform/test/fake-platform';
import { createInstanceListTask } from '../../src/control/index';
import { createTelemetry } from './fake-ports';

function createTask(platform: FakePlatform, pollIntervalMs: number) {
  const versions: number[] = [];
  const task = createInstanceListTask({
    client: platform,
    telemetry: createTelemetry(),
    listener: ({ version }) => versions.push(version),
    pollIntervalMs,
  });
  return { task, versions };
}

// Guards against a change of the list that is missed because the watch lost its event.
test.each([{ isWatchSilent: false }, { isWatchSilent: true }])(
  'hands on each change once, silent watch $isWatchSilent',
  async ({ isWatchSilent }) => {
    const platform = new FakePlatform();
    platform.isWatchSilent = isWatchSilent;
    const { task, versions } = createTask(platform, isWatchSilent ? 10 : 60_000);
    await waitUntil(() => versions.length === 1);
    platform.instances = { version: 2, instances: [] };
    platform.notifyWatches();
    await waitUntil(() => versions.length === 2);
    await waitFor(30);
    expect(versions).toEqual([1, 2]);
    await task[Symbol.asyncDispose]();
  },
);

// Guards against a read of the platform for each request that finds its routing stale.
test('refreshes at once and reads at most once per 200 ms', async () => {
  const platform = new FakePlatform();
  platform.isWatchSilent = true;
  const { task, versions } = createTask(platform, 60_000);
  await waitUntil(() => versions.length === 1);
  const readsBefore = platform.reads;
  const startedAt = performance.now();
  platform.instances = { version: 2, instances: [] };
  await Promise.all(Array.from({ length: 50 }, () => task.refresh()));
  expect(performance.now() - startedAt).toBeLessThan(100);
  expect(versions).toEqual([1, 2]);
  await Promise.all(Array.from({ length: 50 }, () => task.refresh()));
  expect(performance.now() - startedAt).toBeGreaterThanOrEqual(200);
  expect(platform.reads - readsBefore).toBe(2);
  platform.isDown = true;
  await expect(task.refresh()).resolves.toBeUndefined();
  await task[Symbol.asyncDispose]();
});
