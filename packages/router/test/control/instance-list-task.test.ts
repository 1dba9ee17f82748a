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
    handleChange: ({ version }) => versions.push(version),
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
