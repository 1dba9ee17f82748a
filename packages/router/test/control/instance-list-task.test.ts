import { setTimeout as sleep } from 'node:timers/promises';
import { expect, test } from 'vitest';
import { FakePlatform, waitUntil } from '../../../platform/test/fake-platform';
import { createInstanceListTask } from '../../src/control/index';
import { createFakeTelemetry } from './fake-ports';

function createTask(platform: FakePlatform, pollIntervalMs: number) {
  const versions: number[] = [];
  const task = createInstanceListTask({
    client: platform,
    telemetry: createFakeTelemetry(),
    handleChange: ({ version }) => versions.push(version),
    pollIntervalMs,
  });
  return { task, versions };
}

// Guards against a change of the list that is missed because its watch event was lost; polling must
// find it.
test.each([{ isWatchSilent: false }, { isWatchSilent: true }])(
  'reports each change of the list once (watch events lost: $isWatchSilent)',
  async ({ isWatchSilent }) => {
    const platform = new FakePlatform();
    platform.isWatchSilent = isWatchSilent;
    const { task, versions } = createTask(platform, isWatchSilent ? 10 : 60_000);
    await waitUntil(() => versions.length === 1);
    platform.instances = { version: 2, instances: [] };
    platform.notifyWatches();
    await waitUntil(() => versions.length === 2);
    await sleep(30);
    expect(versions).toEqual([1, 2]);
    await task[Symbol.asyncDispose]();
  },
);
