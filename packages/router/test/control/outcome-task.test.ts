import { afterEach, beforeEach, describe, expect, test } from 'vitest';
import type { OutcomeRecord } from '@pollendrum/protocol';
import { FakePlatform, waitUntil } from '../../../platform/test/fake-platform';
import type { PutFault } from '../../../platform/test/fake-platform';
import { createOutcomeTask } from '../../src/control/index';
import type { OutcomeTask } from '../../src/control/index';
import { FakeMembership, FakeNetwork, createTelemetry } from './fake-ports';

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
      peer: network.createPeer(instanceId),
      telemetry: createTelemetry(counts),
      now: () => nowMs,
      writeIntervalMs,
      maxPendingBytes: 2_000,
      maxStoreBytes: 20_000,
    });
    tasks.push(task);
    return task;
  }

  // Guards against shed or late requests without a record, and against a write for each request.
  test.each([
    { record: { onTime: true, outcome: 'answered' as const }, isWritten: false },
    { record: { onTime: false, outcome: 'answered' as const }, isWritten: true },
    { record: { onTime: true, outcome: 'not-run' as const }, isWritten: true },
    { record: { onTime: false, outcome: 'unknown' as const }, isWritten: true },
  ])('writes $record: $isWritten', async ({ record, isWritten }) => {
    const task = createTask('a', NOW_MS, 10);
    task.recordOutcome(createRecord('r1', record));
    await (isWritten ? waitUntil(() => platform.objects.size > 0) : task.flush());
    expect([...platform.objects.keys()]).toEqual(
      isWritten ? [`outcomes/10000/a-${NOW_MS + 1}`] : [],
    );
    expect(task.listRecent(0)).toHaveLength(1);
  });

  // Guards against records lost or doubled when a write fails or its confirmation is lost.
  test.each<{ faults: PutFault[] }>([
    { faults: ['unconfirmed'] },
    { faults: ['lost', 'unconfirmed'] },
    { faults: ['late'] },
  ])('stores each record once after the write faults $faults', async ({ faults }) => {
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

  // Guards against memory that grows without bound during an outage, and against silent loss.
  test('keeps the newest records within the bound during an outage', async () => {
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

  // Guards against a request that cannot be explained because it ended elsewhere or its entry died.
  test.each([
    { name: 'own memory', recorder: 'a', isRecorderStopped: false },
    { name: 'a live peer', recorder: 'b', isRecorderStopped: false },
    { name: 'the platform', recorder: 'b', isRecorderStopped: true },
  ])('finds a record in $name', async ({ recorder, isRecorderStopped }) => {
    const byId = new Map(['a', 'b'].map((id) => [id, createTask(id)]));
    byId.get(recorder)?.recordOutcome(createRecord('r1', {}));
    if (isRecorderStopped) {
      await byId.get(recorder)?.flush();
      network.stopInstance(recorder);
    }
    const reader = isRecorderStopped ? createTask('a', NOW_MS + 3_540_000) : byId.get('a');
    const found = reader?.findOutcomes('r1');
    if (isRecorderStopped) network.stopInstance('b');
    await expect(found).resolves.toEqual([createRecord('r1', {})]);
  });

  test('bounds the records in memory', () => {
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
