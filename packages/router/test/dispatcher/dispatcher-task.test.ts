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
  // Guards against slots that are given out twice because the new owner does not know what is in use.
  test('collects held grants for 250 ms before it grants', async () => {
    await using fixture = new DispatcherFixture([buildServer('s1', 1)]);
    fixture.send('e1', buildEnqueue('new'));
    await wait(240);
    expect(fixture.listAnswers('new')).toEqual([]);
    fixture.send('e2', { kind: 'adopt', grants: [buildHeld('held')] });
    await wait(500);
    expect(fixture.listAnswers('new')).toEqual([]);
    fixture.send('e2', buildFinish('held', 'completed'));
    await wait(1);
    expect(fixture.listAnswers('new')).toEqual(['grant']);
  });

  // Guards against requests that wait at an instance which no longer decides the shard.
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
  ])('answers waiting requests on %s and counts nothing more', async (_, change, laterAnswer) => {
    await using fixture = new DispatcherFixture([buildServer('s1', 1)]);
    fixture.send('e1', buildEnqueue('a1'), buildEnqueue('a2'));
    await wait(300);
    change(fixture);
    expect(fixture.listAnswers('a2')).toEqual(['moved']);
    expect(fixture.task.listShards()).toEqual([]);
    expect(fixture.pinged.size).toBe(0);
    fixture.send('e1', buildEnqueue('a3'));
    await wait(5_000);
    expect(fixture.listAnswers('a1')).toEqual(['grant']);
    expect(fixture.listAnswers('a3')).toEqual([laterAnswer]);
    expect(fixture.records).toEqual([]);
  });
});

describe('repeated messages', () => {
  // Guards against a second slot, or no answer, when an entry sends an attempt again on a new link.
  test.each([
    ['quick', 'grant'],
    ['refused', 'reject'],
  ])('of class %s get the same answer again', async (className, kind) => {
    await using fixture = new DispatcherFixture([buildServer('s1', 2)]);
    const enqueue = buildEnqueue('a1', { className });
    fixture.send('e1', enqueue, enqueue);
    await wait(300);
    fixture.send('e1', enqueue);
    await wait(10);
    const answers = fixture.sent.filter(({ message }) => message.kind === kind);
    expect(answers).toHaveLength(2);
    expect(answers[1]).toEqual(answers[0]);
    expect(fixture.scheduler.listGranted().length).toBeLessThanOrEqual(1);
  });

  // Guards against a late copy that takes a slot nobody will free.
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

  // Guards against one instance that ends or takes over attempts of another.
  test('of another entry change nothing', async () => {
    await using fixture = new DispatcherFixture([buildServer('s1', 2)]);
    fixture.send('e1', buildEnqueue('a1'));
    await wait(300);
    fixture.send('e2', buildFinish('a1', 'completed'), { kind: 'withdraw', attemptId: 'a1' });
    expect(fixture.scheduler.listGranted()).toEqual(['a1']);
  });
});

// Guards against an entry that keeps asking an instance which does not decide the shard.
test.each([
  ['another owner', 'x', {}, { ownerInstanceId: 'x', shardCount: 1 }],
  ['another shard count', 'd', { shardCount: 2 }, { ownerInstanceId: 'd', shardCount: 1 }],
  ['an unknown pool', 'd', { poolId: 'model:z' }, { ownerInstanceId: '', shardCount: 0 }],
])('a request for %s is answered not-owner', async (_, owner, change, expected) => {
  await using fixture = new DispatcherFixture([buildServer('s1', 1)], owner);
  fixture.send('e1', buildEnqueue('a1', change));
  const message = { kind: 'not-owner', attemptId: 'a1', membershipVersion: 5, ...expected };
  expect(fixture.sent).toEqual([{ to: 'e1', message }]);
});

describe('lost entry', () => {
  // Guards against slots that stay used for ever after an entry died, and deaths without a record.
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
  ])('is freed 3 s after %s and recorded', async (_, lose) => {
    await using fixture = new DispatcherFixture([buildServer('s1', 1)]);
    fixture.send('e1', buildEnqueue('a1'), buildEnqueue('a2'));
    fixture.send('e2', buildEnqueue('b1'));
    await wait(300);
    expect([...fixture.pinged]).toEqual(['e1', 'e2']);
    lose(fixture);
    await wait(2_900);
    expect(fixture.listAnswers('b1')).toEqual([]);
    await wait(200);
    expect(fixture.listAnswers('b1')).toEqual(['grant']);
    expect(fixture.listAnswers('a2')).toEqual([]);
    expect(
      fixture.records.map(({ requestId, outcome, cause }) => [requestId, outcome, cause?.kind]),
    ).toEqual([
      ['r-a1', 'unknown', 'entry-lost'],
      ['r-a2', 'not-run', 'entry-lost'],
    ]);
  });

  // Guards against slots that are freed while a living entry still uses them.
  test('keeps what the entry announces again and frees the rest without a record', async () => {
    await using fixture = new DispatcherFixture([buildServer('s1', 2)]);
    fixture.send('e1', buildEnqueue('a1'), buildEnqueue('a2'), buildEnqueue('a3'));
    await wait(300);
    fixture.failLink('e1');
    await wait(1_000);
    fixture.send('e1', { kind: 'adopt', grants: [buildHeld('a1')] }, buildEnqueue('a3'));
    await wait(2_100);
    expect(fixture.scheduler.listGranted()).toEqual(['a1', 'a3']);
    expect(fixture.listAnswers('a3')).toEqual(['grant']);
    expect(fixture.records).toEqual([]);
  });
});

describe('requests that another instance holds as entry and as dispatcher', () => {
  // Guards against requests without any cause when the instance that held them alone dies.
  test('are recorded when it dies, and not when they ended before', async () => {
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

  // Guards against an instance that tells nobody about such requests, or never ends the watch.
  test('are announced to another instance until they end', async () => {
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

// Guards against a slot that is granted to an entry which may be dead while others wait.
test('a waiting request of a lost entry is not granted until the entry is back', async () => {
  await using fixture = new DispatcherFixture([buildServer('s1', 1)]);
  fixture.send('e2', buildEnqueue('b1'));
  await wait(300);
  fixture.send('e1', buildEnqueue('a1'));
  fixture.send('e2', buildEnqueue('b2'));
  fixture.failLink('e1');
  fixture.send('e2', buildFinish('b1', 'completed'));
  await wait(100);
  expect([fixture.listAnswers('a1'), fixture.listAnswers('b2')]).toEqual([[], ['grant']]);
  fixture.send('e1', buildEnqueue('a1'));
  fixture.send('e2', buildFinish('b2', 'completed'));
  await wait(100);
  expect(fixture.listAnswers('a1')).toEqual(['grant']);
});

describe('crashes', () => {
  // Guards against a request that crashes one server after another.
  test('go out to membership and come back to the schedulers', async () => {
    await using fixture = new DispatcherFixture([buildServer('s1', 1)]);
    fixture.send('e1', buildFinish('a1', 'server-crashed'));
    expect(fixture.published).toEqual(['crash f']);
    expect(fixture.scheduler.crashes).toEqual(['f']);
    fixture.send('e1', buildFinish('a2', 'completed'));
    expect(fixture.published).toEqual(['crash f', 'cleared f']);
  });
});

// Guards against a decision run for each message of a burst, which costs the whole queue each time.
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
