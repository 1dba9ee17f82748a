import type { Finish } from '@pollendrum/protocol';
import { afterEach, beforeEach, describe, expect, test, vi } from 'vitest';
import { buildEnqueue, buildHeld, buildServer, DispatcherFixture } from './dispatcher-fixture';

beforeEach(() => {
  vi.useFakeTimers();
});
afterEach(() => {
  vi.useRealTimers();
});

const wait = (durationMs: number) => vi.advanceTimersByTimeAsync(durationMs);

function buildFinish(attemptId: string, result: Finish['result']): Finish {
  return {
    ...{ kind: 'finish', attemptId, poolId: 'model:m', shardIndex: 0, serverId: 's1' },
    ...{ fingerprint: 'f', result },
  };
}

describe('takeover', () => {
  // Guards against slots that are granted twice because the new owner doesn't know which are in use.
  test('makes no grants for 250 ms, so that entries can report their slots', async () => {
    await using fixture = new DispatcherFixture([buildServer('s1', 1)]);
    fixture.send('e1', buildEnqueue('new'));
    await wait(240);
    expect(fixture.listReplies('new')).toEqual([]);
    fixture.send('e2', { kind: 'adopt', grants: [buildHeld('held')] });
    await wait(500);
    expect(fixture.listReplies('new')).toEqual([]);
    fixture.send('e2', buildFinish('held', 'completed'));
    await wait(1);
    expect(fixture.listReplies('new')).toEqual(['grant']);
  });

  // Guards against requests that stay queued at an instance that no longer owns the shard.
  test.each([
    [
      'losing the shard',
      (fixture: DispatcherFixture) => {
        fixture.setRouting([buildServer('s1', 1)], 'x');
      },
      'not-owner',
    ],
    [
      'stopping',
      (fixture: DispatcherFixture) => {
        fixture.task.stop();
      },
      'moved',
    ],
  ])('replies to queued requests on %s and keeps no attempts', async (_, change, laterReply) => {
    await using fixture = new DispatcherFixture([buildServer('s1', 1)]);
    fixture.send('e1', buildEnqueue('a1'), buildEnqueue('a2'));
    await wait(300);
    change(fixture);
    expect(fixture.listReplies('a2')).toEqual(['moved']);
    expect(fixture.task.listShards()).toEqual([]);
    expect(fixture.pinged.size).toBe(0);
    fixture.send('e1', buildEnqueue('a3'));
    await wait(5_000);
    expect(fixture.listReplies('a1')).toEqual(['grant']);
    expect(fixture.listReplies('a3')).toEqual([laterReply]);
    expect(fixture.records).toEqual([]);
  });
});

describe('duplicate messages', () => {
  // Guards against a second slot, or no reply, when an entry enqueues an attempt again on a new link.
  test.each([
    ['quick', 'grant'],
    ['refused', 'reject'],
  ])('of class %s get the same reply again', async (className, kind) => {
    await using fixture = new DispatcherFixture([buildServer('s1', 2)]);
    const enqueue = buildEnqueue('a1', { className });
    fixture.send('e1', enqueue, enqueue);
    await wait(300);
    fixture.send('e1', enqueue);
    await wait(10);
    const replies = fixture.sent.filter(({ message }) => message.kind === kind);
    expect(replies).toHaveLength(2);
    expect(replies[1]).toEqual(replies[0]);
    expect(fixture.scheduler.listGranted().length).toBeLessThanOrEqual(1);
  });

  // Guards against a late duplicate that occupies a slot which is never freed.
  test('of an attempt that has ended are ignored', async () => {
    await using fixture = new DispatcherFixture([buildServer('s1', 2)]);
    fixture.send(
      'e1',
      buildEnqueue('a1'),
      { kind: 'withdraw', attemptId: 'a1' },
      buildEnqueue('a1'),
    );
    fixture.send('e1', buildFinish('a2', 'completed'), buildEnqueue('a2'));
    fixture.send('e1', { kind: 'adopt', grants: [buildHeld('a2')] });
    await wait(300);
    expect(fixture.scheduler.listGranted()).toEqual([]);
  });

  // Guards against an instance that finishes or withdraws attempts of another instance.
  test('of another entry change nothing', async () => {
    await using fixture = new DispatcherFixture([buildServer('s1', 2)]);
    fixture.send('e1', buildEnqueue('a1'));
    await wait(300);
    fixture.send('e2', buildFinish('a1', 'completed'), { kind: 'withdraw', attemptId: 'a1' });
    expect(fixture.scheduler.listGranted()).toEqual(['a1']);
  });
});

// Guards against an entry that keeps sending requests to an instance that doesn't own the shard.
test.each([
  ['another owner', 'x', {}, { ownerInstanceId: 'x', shardCount: 1 }],
  ['another shard count', 'd', { shardCount: 2 }, { ownerInstanceId: 'd', shardCount: 1 }],
  ['an unknown pool', 'd', { poolId: 'model:z' }, { ownerInstanceId: '', shardCount: 0 }],
])('the reply to a request for %s is not-owner', async (_, owner, change, expected) => {
  await using fixture = new DispatcherFixture([buildServer('s1', 1)], owner);
  fixture.send('e1', buildEnqueue('a1', change));
  const message = { kind: 'not-owner', attemptId: 'a1', membershipVersion: 5, ...expected };
  expect(fixture.sent).toEqual([{ to: 'e1', message }]);
});

describe('lost entry', () => {
  // Guards against slots that stay in use after their entry died, and requests without an outcome record.
  test.each([
    [
      'its link is lost',
      (fixture: DispatcherFixture) => {
        fixture.failLink('e1');
      },
    ],
    [
      'membership removes it',
      (fixture: DispatcherFixture) => {
        fixture.setMembers(['d', 'e2']);
      },
    ],
  ])('has its slots freed 3 s after %s, and its requests recorded', async (_, removeEntry) => {
    await using fixture = new DispatcherFixture([buildServer('s1', 1)]);
    fixture.send('e1', buildEnqueue('a1'), buildEnqueue('a2'));
    fixture.send('e2', buildEnqueue('b1'));
    await wait(300);
    expect([...fixture.pinged]).toEqual(['e1', 'e2']);
    removeEntry(fixture);
    await wait(2_900);
    expect(fixture.listReplies('b1')).toEqual([]);
    await wait(200);
    expect(fixture.listReplies('b1')).toEqual(['grant']);
    expect(fixture.listReplies('a2')).toEqual([]);
    expect(
      fixture.records.map(({ requestId, outcome, cause }) => [requestId, outcome, cause?.kind]),
    ).toEqual([
      ['r-a1', 'unknown', 'entry-lost'],
      ['r-a2', 'not-run', 'entry-lost'],
    ]);
  });

  // Guards against slots that are freed while a live entry still uses them.
  test('keeps the attempts that it enqueues or reports again; the others are freed without a record', async () => {
    await using fixture = new DispatcherFixture([buildServer('s1', 2)]);
    fixture.send('e1', buildEnqueue('a1'), buildEnqueue('a2'), buildEnqueue('a3'));
    await wait(300);
    fixture.failLink('e1');
    await wait(1_000);
    fixture.send('e1', { kind: 'adopt', grants: [buildHeld('a1')] }, buildEnqueue('a3'));
    await wait(2_100);
    expect(fixture.scheduler.listGranted()).toEqual(['a1', 'a3']);
    expect(fixture.listReplies('a3')).toEqual(['grant']);
    expect(fixture.records).toEqual([]);
  });
});

describe('requests whose entry and dispatcher are the same instance', () => {
  // Guards against requests without a recorded outcome when the only instance that knows them dies.
  test('are recorded when it dies, unless they ended before', async () => {
    await using fixture = new DispatcherFixture([buildServer('s1', 1)]);
    const common = { className: 'quick', tier: 0, team: 't', target: 'm', bundleNumber: 1 };
    for (const id of ['a1', 'a2']) {
      const request = { attemptId: id, requestId: `r-${id}`, arrivedAgoMs: 5 };
      fixture.send('e1', { kind: 'watch-request', ...common, ...request });
    }
    fixture.send('e1', { kind: 'unwatch-request', attemptId: 'a2' });
    expect(fixture.records).toEqual([]);
    fixture.setMembers(['d', 'e2']);
    expect(fixture.records.map(({ requestId, cause }) => [requestId, cause?.kind])).toEqual([
      ['r-a1', 'entry-lost'],
    ]);
  });

  // Guards against an instance that doesn't report such requests to another, or never ends the watch.
  test('are watched by another instance until they end', async () => {
    await using fixture = new DispatcherFixture([buildServer('s1', 1)]);
    fixture.setMembers(['d', 'e1']);
    await wait(300);
    fixture.send('d', buildEnqueue('own'));
    fixture.send('e1', buildEnqueue('other'));
    await wait(50);
    fixture.send('d', buildFinish('own', 'completed'));
    const watches = fixture.sent
      .filter(({ to, message }) => to === 'e1' && message.kind.endsWith('watch-request'))
      .map(({ message }) => [message.kind, 'attemptId' in message && message.attemptId]);
    expect(watches).toEqual([
      ['watch-request', 'own'],
      ['unwatch-request', 'own'],
    ]);
  });
});

// Guards against a slot granted to an entry that may be dead while other requests are queued.
test('a queued request of a lost entry is not granted until the entry enqueues it again', async () => {
  await using fixture = new DispatcherFixture([buildServer('s1', 1)]);
  fixture.send('e2', buildEnqueue('b1'));
  await wait(300);
  fixture.send('e1', buildEnqueue('a1'));
  fixture.send('e2', buildEnqueue('b2'));
  fixture.failLink('e1');
  fixture.send('e2', buildFinish('b1', 'completed'));
  await wait(100);
  expect([fixture.listReplies('a1'), fixture.listReplies('b2')]).toEqual([[], ['grant']]);
  fixture.send('e1', buildEnqueue('a1'));
  fixture.send('e2', buildFinish('b2', 'completed'));
  await wait(100);
  expect(fixture.listReplies('a1')).toEqual(['grant']);
});

describe('crashes', () => {
  // Guards against a request that crashes several servers because its crashes aren't reported.
  test('are published to membership and passed to the schedulers', async () => {
    await using fixture = new DispatcherFixture([buildServer('s1', 1)]);
    fixture.send('e1', buildFinish('a1', 'server-crashed'));
    expect(fixture.published).toEqual(['crash f']);
    expect(fixture.scheduler.crashes).toEqual(['f']);
    fixture.send('e1', buildFinish('a2', 'completed'));
    expect(fixture.published).toEqual(['crash f', 'cleared f']);
  });
});

// Guards against a decision run for each message of a burst; each run goes through the whole queue.
test('a burst of messages is decided in one run', async () => {
  await using fixture = new DispatcherFixture([buildServer('s1', 100)]);
  await wait(300);
  const before = fixture.scheduler.decisionRuns;
  for (let count = 0; count < 50; count += 1) fixture.send('e1', buildEnqueue(`a${count}`));
  await wait(10);
  expect(fixture.scheduler.listGranted()).toHaveLength(50);
  expect(fixture.scheduler.decisionRuns - before).toBe(1);
  expect(fixture.sent.filter(({ message }) => message.kind === 'shard-summary')).toHaveLength(1);
});
