import { afterEach, beforeEach, describe, expect, test } from 'vitest';
import type { OutcomeRecord } from '@pollendrum/protocol';
import { FakePlatform, waitUntil } from '../../../platform/test/fake-platform';
import type { PutFault } from '../../../platform/test/fake-platform';
import { createOutcomeTask } from '../../src/control/index';
import type { OutcomeTask } from '../../src/control/index';
import { FakeMembership, FakeNetwork, createFakeTelemetry } from './fake-ports';

const NOW_MS = 600_000_000;

describe('createOutcomeTask', () => {
  let platform: FakePlatform;
  let network: FakeNetwork;
  let counts: Map<string, number>;
  let tasks: OutcomeTask[];

  beforeEach(() => {
    platform = new FakePlatform();
    network = new FakeNetwork();
    counts = new Map();
    tasks = [];
  });

  afterEach(async () => {
    for (const task of tasks) await task[Symbol.asyncDispose]();
  });

  function createTask(instanceId: string, nowMs = NOW_MS, writeIntervalMs = 60_000): OutcomeTask {
    const task = createOutcomeTask({
      client: platform,
      membership: new FakeMembership(['a', 'b']),
      peers: network.createPeer(instanceId),
      telemetry: createFakeTelemetry(counts),
      now: () => nowMs,
      writeIntervalMs,
      maxPendingBytes: 2_000,
      maxStoreBytes: 20_000,
    });
    tasks.push(task);
    return task;
  }

  // Guards against shed or late requests whose records are not written, and against writing the
  // records of requests answered on time.
  test.each([
    { record: { onTime: true, outcome: 'answered' as const }, isWritten: false },
    { record: { onTime: false, outcome: 'answered' as const }, isWritten: true },
    { record: { onTime: true, outcome: 'not-run' as const }, isWritten: true },
    { record: { onTime: false, outcome: 'unknown' as const }, isWritten: true },
  ])('writes the record to the platform: $isWritten for $record', async ({ record, isWritten }) => {
    const task = createTask('a', NOW_MS, 10);
    task.recordOutcome(createRecord('r1', record));
    await (isWritten ? waitUntil(() => platform.objects.size > 0) : task.flush());
    expect([...platform.objects.keys()]).toEqual(
      isWritten ? [`outcomes/10000/a-${NOW_MS + 1}`] : [],
    );
    expect(task.listRecent(0)).toHaveLength(1);
  });

  // Guards against records that are lost or stored twice when a write fails or its confirmation is
  // lost.
  test.each<{ faults: PutFault[] }>([
    { faults: ['unconfirmed'] },
    { faults: ['lost', 'unconfirmed'] },
    { faults: ['late'] },
  ])('stores each record exactly once after the write faults $faults', async ({ faults }) => {
    platform.putFaults = [...faults];
    const task = createTask('a');
    task.recordOutcome(createRecord('r1', {}));
    for (let flushes = 0; flushes <= faults.length; flushes += 1) await task.flush();
    platform.applyLateWrites();
    task.recordOutcome(createRecord('r2', {}));
    await task.flush();
    const texts = [...platform.objects.values()].map(({ text }) => text).join();
    expect(texts.match(/"r1"/g)).toHaveLength(1);
    expect(texts.match(/"r2"/g)).toHaveLength(1);
  });

  // Guards against unbounded memory growth during a platform outage, and against dropping records
  // without counting them.
  test('keeps the latest records up to the maximum size during an outage', async () => {
    platform.isDown = true;
    const task = createTask('a');
    for (let index = 0; index < 20; index += 1) task.recordOutcome(createRecord(`r${index}`, {}));
    await task.flush();
    platform.isDown = false;
    await task.flush();
    const texts = [...platform.objects.values()].map(({ text }) => text).join();
    expect(texts).toContain('"r19"');
    expect(texts).not.toContain('"r0"');
    expect(counts.get('outcomes.dropped')).toBeGreaterThan(0);
  });

  // Guards against a record that is not found because another instance recorded it or the instance
  // that recorded it has stopped.
  test.each([
    { name: 'local memory', recorder: 'a', isRecorderStopped: false },
    { name: 'a live peer', recorder: 'b', isRecorderStopped: false },
    { name: 'the platform', recorder: 'b', isRecorderStopped: true },
  ])('finds a record in $name', async ({ recorder, isRecorderStopped }) => {
    const tasksById = new Map(['a', 'b'].map((id) => [id, createTask(id)]));
    tasksById.get(recorder)?.recordOutcome(createRecord('r1', {}));
    if (isRecorderStopped) {
      await tasksById.get(recorder)?.flush();
      network.stopInstance(recorder);
    }
    const reader = isRecorderStopped ? createTask('a', NOW_MS + 3_540_000) : tasksById.get('a');
    const found = reader?.findOutcomes('r1');
    if (isRecorderStopped) network.stopInstance('b');
    await expect(found).resolves.toEqual([createRecord('r1', {})]);
  });

  // Guards against unbounded memory growth from the records of requests answered on time.
  test('limits the size of the records in memory', () => {
    const task = createTask('a');
    for (let index = 0; index < 200; index += 1) {
      task.recordOutcome(createRecord(`r${index}`, { onTime: true, outcome: 'answered' }));
    }
    const kept = task.listRecent(0).map(({ requestId }) => requestId);
    expect(kept.length).toBeLessThan(100);
    expect(kept).toContain('r199');
  });
});

function createRecord(requestId: string, fields: Partial<OutcomeRecord>): OutcomeRecord {
  return {
    requestId,
    entryInstanceId: 'a',
    recordedBy: 'a',
    receivedAtMs: NOW_MS,
    className: 'quick',
    tier: 0,
    team: 'drovers',
    target: 'small',
    bundleNumber: 1,
    outcome: 'not-run',
    status: 503,
    onTime: false,
    hops: [],
    serverIds: [],
    totalMs: 1,
    outputTokens: 0,
    wastedTokens: 0,
    ...fields,
  };
}
