import { describe, expect, test } from 'vitest';
import type { Cause } from '@pollendrum/protocol';
import {
  checkNoStarvation,
  type SchedulerEvent,
  type FinishResult,
  type QueuedRequest,
  type Scheduler,
} from '../src/index';
import {
  createTestScheduler,
  makeClass,
  makeRequest,
  makeServer,
  formatDecisions,
  type SchedulerSetup,
} from './fixtures';

const TIERS = [
  makeClass('quick', { targetFirstByteMs: 10_000 }),
  makeClass('mid', { tier: 1, targetFirstByteMs: 10_000 }),
  makeClass('bulk', { tier: 2, targetFirstByteMs: 10_000 }),
];

function finishAttempt(scheduler: Scheduler, attemptId: string, nowMs: number): void {
  scheduler.finish({ attemptId, result: 'completed', outputTokens: 10 }, nowMs);
}

/** Occupies the only slot of a shard, enqueues the requests and returns the order in which they start. */
function listStartOrder(setup: SchedulerSetup, requests: readonly QueuedRequest[]): string[] {
  const scheduler = createTestScheduler(setup);
  scheduler.enqueue(makeRequest('first', { team: 'other', arrivedAtMs: -1 }), 0);
  scheduler.takeDecisions(0);
  for (const request of requests) scheduler.enqueue(request, 1);
  const order: string[] = [];
  for (let last = 'first'; ; last = order.at(-1) ?? '') {
    finishAttempt(scheduler, last, 1);
    const started = scheduler.takeDecisions(1).find(({ kind }) => kind === 'grant');
    if (started === undefined) return order;
    order.push(started.attemptId);
  }
}

describe('order of starts', () => {
  // Guards against starting a lower tier, a later first-byte due time or a later arrival first.
  test.each<{ rule: string; requests: QueuedRequest[]; expected: string[] }>([
    {
      rule: 'strict tiers',
      requests: [
        makeRequest('b', { className: 'bulk' }),
        makeRequest('m', { className: 'mid' }),
        makeRequest('q'),
      ],
      expected: ['q', 'm', 'b'],
    },
    {
      rule: 'earliest first-byte due time within a tier',
      requests: [
        makeRequest('slow', { arrivedAtMs: 0 }),
        makeRequest('fast', { className: 'fast' }),
      ],
      expected: ['fast', 'slow'],
    },
    {
      rule: 'arrival order within a team, also if the older request is enqueued later',
      requests: [makeRequest('new', { arrivedAtMs: 1 }), makeRequest('old', { arrivedAtMs: 0 })],
      expected: ['old', 'new'],
    },
  ])('$rule', ({ requests, expected }) => {
    const classes = [...TIERS, makeClass('fast', { targetFirstByteMs: 500 })];
    expect(listStartOrder({ classes }, requests)).toEqual(expected);
  });

  // Guards against a team with many requests that starves a small team, and against ignored weights.
  test('teams share a class by weight', () => {
    const scheduler = createTestScheduler({ classes: TIERS });
    scheduler.updateTeams([
      { name: 'large', weight: 3 },
      { name: 'small', weight: 1 },
    ]);
    for (let index = 0; index < 40; index += 1) {
      scheduler.enqueue(makeRequest(`large-${index}`, { team: 'large' }), 0);
      scheduler.enqueue(makeRequest(`small-${index}`, { team: 'small' }), 0);
    }
    const counts = { large: 0, small: 0 };
    for (let start = 0; start < 20; start += 1) {
      const attemptId = scheduler.takeDecisions(0)[0]?.attemptId ?? '';
      counts[attemptId.startsWith('large') ? 'large' : 'small'] += 1;
      finishAttempt(scheduler, attemptId, 0);
    }
    expect(counts).toEqual({ large: 15, small: 5 });
  });

  // Guards against floors that are missed or exceeded while a higher tier always has waiting requests.
  test('a floor gives its share of starts', () => {
    const bulk = makeClass('bulk', { tier: 2, floorPercent: 20, targetFirstByteMs: 10_000 });
    const classes = [makeClass('quick', { targetFirstByteMs: 10_000 }), bulk];
    const requests = Array.from({ length: 50 }, (_, index) => [
      makeRequest(`q${index}`),
      makeRequest(`b${index}`, { className: 'bulk' }),
    ]).flat();
    const order = listStartOrder({ classes }, requests).slice(0, 50);
    const floorStarts = order.flatMap((id, index) => (id.startsWith('b') ? [index] : []));
    // At 20% a class earns the credit for a floor start in five starts, so every fifth start is a floor start.
    expect(floorStarts).toEqual([5, 10, 15, 20, 25, 30, 35, 40, 45]);
  });

  // Guards against a class with a large floor that becomes due and starts twice while lower classes that are
  // due still wait, which violates P2.
  test('classes that are due together all start within the bound', () => {
    const small = ['c1', 'c2', 'c3', 'c4', 'c5'].map((name) =>
      makeClass(name, { tier: 1, floorPercent: 1, preference: 'goodput', maxQueueMs: 10_000 }),
    );
    const top = makeClass('quick', { floorPercent: 45, targetFirstByteMs: 10_000 });
    const classes = [top, ...small];
    const events: SchedulerEvent[] = [];
    const requests = classes.flatMap(({ name }) =>
      Array.from({ length: 400 }, (_, index) =>
        makeRequest(`${name}-${index}`, { className: name }),
      ),
    );
    listStartOrder({ classes, onEvent: (event) => events.push(event) }, requests);
    const starts = events.filter(({ kind }) => kind === 'start').slice(0, 300);
    const enqueues = events.filter(({ kind }) => kind === 'enqueue');
    expect(checkNoStarvation([...enqueues, ...starts], classes)).toEqual([]);
  });

  // Guards against lower tiers that take all slots and leave none for a higher tier.
  test.each([
    ['bulk', 8],
    ['mid', 9],
    ['quick', 10],
  ])('class %s may use %i of 10 slots', (className, expected) => {
    const scheduler = createTestScheduler({ classes: TIERS, servers: [makeServer('s1', 10)] });
    for (let index = 0; index < 12; index += 1) {
      scheduler.enqueue(makeRequest(`r${index}`, { className }), 0);
    }
    expect(scheduler.takeDecisions(0)).toHaveLength(expected);
  });
});

describe('choice of a server', () => {
  const servers = [
    makeServer('s1', 4, { failureDomain: 'b' }),
    makeServer('s2', 4),
    makeServer('s3', 4),
  ];

  // Guards against grants on excluded servers and against ignored preferences.
  test.each<[string, Partial<QueuedRequest>, string[]]>([
    ['failure domain', { failureDomain: 'b' }, ['s1']],
    ['fewest used slots', {}, ['s3']],
    ['excluded servers', { excludedServerIds: ['s3'], isRetry: true }, ['s2']],
    ['unknown failure domain', { failureDomain: 'z' }, ['s1', 's3']],
  ])('prefers or obeys: %s', (_, fields, allowed) => {
    const scheduler = createTestScheduler({ servers });
    const held = { className: 'quick', team: 't', fingerprint: 'x', grantedAtMs: 0 };
    scheduler.adopt({ attemptId: 'held', serverId: 's2', ...held });
    scheduler.enqueue(makeRequest('r', fields), 0);
    const [decision] = scheduler.takeDecisions(0);
    expect(allowed).toContain(decision?.kind === 'grant' ? decision.serverId : undefined);
  });

  // Guards against losing prefix cache hits, and against a frequent prefix that overloads its affinity server.
  test('a prefix stays on one server up to the load bound', () => {
    const scheduler = createTestScheduler({ servers });
    const used: string[] = [];
    for (let index = 0; index < 6; index += 1) {
      scheduler.enqueue(makeRequest(`r${index}`, { prefixHash: 77 }), 0);
      used.push(formatDecisions(scheduler.takeDecisions(0))[0]?.split('>')[1] ?? '');
    }
    const affinityServer = used[0];
    const affinityCount = used.filter((id) => id === affinityServer).length;
    expect(affinityCount).toBe(3); // ceil(1.25 * 6 / 3)
    finishAttempt(scheduler, 'r0', 0);
    scheduler.enqueue(makeRequest('next', { prefixHash: 77 }), 0);
    expect(formatDecisions(scheduler.takeDecisions(0))).toEqual([`next>${affinityServer}`]);
  });

  // Guards against grants on a server that is listed as leaving or reported that it is draining.
  test.each<['list' | 'response']>([['list'], ['response']])(
    'no grant on a leaving server (%s)',
    (from) => {
      const both = [makeServer('s1', 2), makeServer('s2', 2, { failureDomain: 'b' })];
      const scheduler = createTestScheduler({ servers: both });
      scheduler.enqueue(makeRequest('r1'), 0);
      expect(formatDecisions(scheduler.takeDecisions(0))).toEqual(['r1>s1']);
      if (from === 'response') scheduler.finish({ attemptId: 'r1', result: 'server-draining' }, 1);
      const isLeaving = from === 'list';
      scheduler.updateServers(
        [makeServer('s1', 2, { isLeaving }), both[1] ?? makeServer('s2', 2)],
        2,
      );
      scheduler.enqueue(makeRequest('r2'), 2);
      expect(formatDecisions(scheduler.takeDecisions(2))).toEqual(['r2>s2']);
    },
  );
});

describe('shedding', () => {
  /**
   * Completes one request after 400 ms, so that the estimated service time is 400 ms, and occupies the only slot.
   */
  function createBusyScheduler(setup: SchedulerSetup = {}): Scheduler {
    const scheduler = createTestScheduler(setup);
    scheduler.enqueue(makeRequest('learn'), 0);
    scheduler.takeDecisions(0);
    finishAttempt(scheduler, 'learn', 400);
    scheduler.enqueue(makeRequest('running', { arrivedAtMs: 400 }), 400);
    scheduler.takeDecisions(400);
    return scheduler;
  }

  // Guards against tokens spent on a response that cannot finish before the request's deadline.
  test.each([
    { name: 'an observed service time of 3 s leaves 2 s of 5 s', serviceMs: 3000, shedAtMs: 2000 },
    {
      name: 'an observed service time over 5 s leaves a quarter of the target',
      serviceMs: 9000,
      shedAtMs: 1000,
    },
    {
      name: 'a short observed service time leaves the maximum queue time',
      serviceMs: 100,
      shedAtMs: 4500,
    },
  ])('a goodput class: $name', ({ serviceMs, shedAtMs }) => {
    const settings = { preference: 'goodput', targetFirstByteMs: 4000, maxQueueMs: 4500 } as const;
    const servers = [makeServer('s1', 16)];
    const scheduler = createTestScheduler({ classes: [makeClass('quick', settings)], servers });
    scheduler.enqueue(makeRequest('learned'), 0);
    scheduler.takeDecisions(0);
    finishAttempt(scheduler, 'learned', serviceMs);
    const startMs = serviceMs;
    for (let index = 0; index < 16; index += 1) {
      scheduler.adopt({
        ...{ attemptId: `holder-${index}`, serverId: 's1', className: 'quick', team: 'team-1' },
        ...{ fingerprint: `hash-${index}`, grantedAtMs: startMs },
      });
    }
    const times = { arrivedAtMs: startMs, expiresAtMs: startMs + 5000 };
    scheduler.enqueue(makeRequest('waiting', { ...times, isRetry: true }), startMs);
    const early = formatDecisions(scheduler.takeDecisions(startMs + shedAtMs - 1));
    expect(early.filter((text) => text.startsWith('waiting'))).toEqual([]);
    const due = formatDecisions(scheduler.takeDecisions(startMs + shedAtMs));
    expect(due).toEqual(['waiting:queue-timeout']);
  });

  // Guards against queueing requests that cannot meet their target, and against shedding goodput classes as
  // early as attainment classes. The estimated waits of r0 to r3 are 400, 800, 1200 and 1200 ms; the target is
  // 1000 ms.
  test.each([
    ['attainment' as const, ['r2:queue-wait-over-budget', 'r3:queue-wait-over-budget']],
    ['goodput' as const, []],
  ])('shedding on arrival for %s', (preference, expected) => {
    const scheduler = createBusyScheduler({ classes: [makeClass('quick', { preference })] });
    for (let index = 0; index < 4; index += 1) {
      scheduler.enqueue(makeRequest(`r${index}`, { arrivedAtMs: 400 }), 400);
    }
    expect(formatDecisions(scheduler.takeDecisions(400))).toEqual(expected);
  });

  // Guards against waits past the budget, and against a wake-up time after the next timeout.
  test.each<[string, Partial<QueuedRequest>, number]>([
    ['the class budget', {}, 1400],
    ['the deadline of the request', { expiresAtMs: 700 }, 700],
    [
      'the class budget from the time at which the retry was enqueued',
      { isRetry: true, arrivedAtMs: -5000 },
      1400,
    ],
  ])('queue timeout after %s', (_, fields, expectedMs) => {
    const scheduler = createBusyScheduler();
    scheduler.enqueue(makeRequest('r', { arrivedAtMs: 400, ...fields }), 400);
    expect(scheduler.takeDecisions(400)).toEqual([]);
    expect(scheduler.getNextWakeMs()).toBe(expectedMs);
    expect(scheduler.takeDecisions(expectedMs - 1)).toEqual([]);
    expect(formatDecisions(scheduler.takeDecisions(expectedMs))).toEqual(['r:queue-timeout']);
    expect(scheduler.getNextWakeMs()).toBe(Infinity);
  });

  // Guards against a new dispatcher that sheds requests for the time without a dispatcher although it could
  // start them, and starts a lower tier instead. Also guards against starts after the request's deadline.
  test.each<{ name: string; fields: Partial<QueuedRequest>; expected: string[] }>([
    { name: 'starts first', fields: {}, expected: ['q>s1', 'b>s1'] },
    {
      name: 'is shed after its deadline',
      fields: { expiresAtMs: 2400 },
      expected: ['q:queue-timeout', 'b>s1'],
    },
  ])('a request past its budget after a takeover $name', ({ fields, expected }) => {
    const classes = [makeClass('quick'), makeClass('bulk', { tier: 2, preference: 'goodput' })];
    const scheduler = createTestScheduler({ classes, servers: [makeServer('s1', 2)] });
    scheduler.enqueue(makeRequest('b', { className: 'bulk', arrivedAtMs: 0 }), 2500);
    scheduler.enqueue(makeRequest('q', { arrivedAtMs: 0, ...fields }), 2500);
    expect(formatDecisions(scheduler.takeDecisions(2500))).toEqual(expected);
  });

  // Guards against evicting a higher tier or an older request than necessary from a full queue.
  test.each([
    ['quick', 'b1'],
    ['bulk', 'new'],
  ])('a full queue evicts for class %s', (className, evicted) => {
    const scheduler = createTestScheduler({ classes: TIERS, queueLimit: 3 });
    scheduler.enqueue(makeRequest('running'), 0);
    scheduler.takeDecisions(0);
    scheduler.enqueue(makeRequest('b0', { className: 'bulk' }), 0);
    scheduler.enqueue(makeRequest('b1', { className: 'bulk', arrivedAtMs: 1 }), 1);
    scheduler.enqueue(makeRequest('m', { className: 'mid', arrivedAtMs: 2 }), 2);
    scheduler.enqueue(makeRequest('new', { className, arrivedAtMs: 3 }), 3);
    expect(formatDecisions(scheduler.takeDecisions(3))).toEqual([`${evicted}:queue-full`]);
  });

  // Guards against teams that exceed their limits, and against retries that are counted twice.
  test.each<[string, { requestsPerSecond?: number; concurrentRequests?: number }, string[]]>([
    ['rate', { requestsPerSecond: 2 }, ['r2:team-limit']],
    ['concurrency', { concurrentRequests: 1 }, ['r1:team-limit', 'r2:team-limit']],
    ['no limit', {}, []],
  ])('team limit: %s', (_, limits, expected) => {
    const scheduler = createTestScheduler({ servers: [makeServer('s1', 9)] });
    scheduler.updateTeams([{ name: 'team-1', weight: 1, ...limits }]);
    for (let index = 0; index < 3; index += 1) scheduler.enqueue(makeRequest(`r${index}`), 0);
    scheduler.enqueue(makeRequest('retry', { isRetry: true }), 0);
    const sheds = scheduler.takeDecisions(0).filter(({ kind }) => kind === 'shed');
    expect(formatDecisions(sheds)).toEqual(expected);
  });

  // Guards against queueing a request that no server can run.
  test.each([
    ['no server', [], {}],
    ['only a leaving server', [makeServer('s1', 1, { isLeaving: true })], {}],
    ['only an excluded server', [makeServer('s1', 1)], { excludedServerIds: ['s1'] }],
  ])('sheds a request if there is %s', (_, servers, fields) => {
    const scheduler = createTestScheduler({ servers });
    scheduler.enqueue(makeRequest('r', fields), 0);
    expect(formatDecisions(scheduler.takeDecisions(0))).toEqual(['r:no-healthy-server']);
  });
});

describe('crashes', () => {
  const servers = [makeServer('s1', 4), makeServer('s2', 4), makeServer('s3', 4)];

  // Guards against suspects that share a server, and against a suspect fingerprint that runs twice at a time.
  test('suspects run one per server and one attempt at a time', () => {
    const scheduler = createTestScheduler({ servers: servers.slice(0, 2) });
    for (const fingerprint of ['f1', 'f2', 'f3']) scheduler.observeCrash(fingerprint, 's9', 0);
    for (const [attemptId, fingerprint] of [
      ['a', 'f1'],
      ['copy', 'f1'],
      ['b', 'f2'],
      ['c', 'f3'],
    ] as const) {
      scheduler.enqueue(makeRequest(attemptId, { fingerprint }), 0);
    }
    scheduler.enqueue(makeRequest('other', {}), 0);
    const started = scheduler.takeDecisions(0).map(({ attemptId }) => attemptId);
    expect(started).toEqual(['a', 'b', 'other']);
    finishAttempt(scheduler, 'a', 1);
    // The completed attempt cleared f1, so its copy is no longer isolated.
    expect(scheduler.takeDecisions(1).map(({ attemptId }) => attemptId)).toEqual(['copy', 'c']);
  });

  // Guards against a third crash by the same request, duplicate reports that count as two crashes, and suspects
  // that stay suspects after they were cleared.
  test.each<[string, [string, number][], boolean, Cause['kind'] | 'grant']>([
    ['one crash', [['s1', 0]], false, 'grant'],
    [
      'crashes of two servers',
      [
        ['s1', 0],
        ['s2', 5],
      ],
      false,
      'poison-request',
    ],
    [
      'one crash reported twice',
      [
        ['s1', 0],
        ['s1', 3000],
      ],
      false,
      'grant',
    ],
    [
      'two crashes of one server',
      [
        ['s1', 0],
        ['s1', 60_000],
      ],
      false,
      'poison-request',
    ],
    [
      'two crashes that were cleared',
      [
        ['s1', 0],
        ['s2', 5],
      ],
      true,
      'grant',
    ],
  ])('decision after %s', (_, crashes, isCleared, expected) => {
    const scheduler = createTestScheduler({ servers });
    for (const [serverId, atMs] of crashes) scheduler.observeCrash('f', serverId, atMs);
    scheduler.takeDecisions(60_000);
    if (isCleared) scheduler.clearCrash('f');
    scheduler.enqueue(makeRequest('r', { fingerprint: 'f', arrivedAtMs: 60_000 }), 60_000);
    const [decision] = scheduler.takeDecisions(60_000);
    expect(decision?.kind === 'shed' ? decision.cause.kind : decision?.kind).toBe(expected);
  });

  // Guards against starting a waiting request after the second crash of its fingerprint, and against crash
  // records that never expire.
  test('a second crash sheds waiting requests with the fingerprint; 10 minutes later such a request starts', () => {
    const scheduler = createTestScheduler();
    scheduler.enqueue(makeRequest('running'), 0);
    scheduler.takeDecisions(0);
    scheduler.enqueue(makeRequest('r', { fingerprint: 'f' }), 0);
    scheduler.observeCrash('f', 's8', 0);
    scheduler.observeCrash('f', 's9', 1);
    expect(formatDecisions(scheduler.takeDecisions(1))).toEqual(['r:poison-request']);
    finishAttempt(scheduler, 'running', 2);
    scheduler.takeDecisions(600_002);
    scheduler.enqueue(makeRequest('again', { fingerprint: 'f', arrivedAtMs: 600_002 }), 600_002);
    expect(formatDecisions(scheduler.takeDecisions(600_002))).toEqual(['again>s1']);
  });
});

describe('server health', () => {
  const servers = Array.from({ length: 8 }, (_, index) => makeServer(`s${index}`, 2));

  /**
   * Adopts and finishes attempts on every server; the affected servers have 10 times the token gap and end with
   * `result`.
   */
  function runRounds(
    scheduler: Scheduler,
    affectedIds: readonly string[],
    result: FinishResult,
  ): void {
    for (let round = 0; round < 8; round += 1) {
      for (const { id } of servers) {
        const attemptId = `${id}-${round}-${affectedIds.length}`;
        const held = { className: 'quick', team: 't', fingerprint: attemptId, grantedAtMs: 0 };
        scheduler.adopt({ attemptId, serverId: id, ...held });
        const isAffected = affectedIds.includes(id);
        const finish = { attemptId, firstTokenMs: 100, meanGapMs: isAffected ? 300 : 30 };
        scheduler.finish({ ...finish, result: isAffected ? result : 'completed' }, 0);
      }
    }
  }

  function countUsable(scheduler: Scheduler, nowMs: number): number {
    return scheduler.summarize(nowMs).slots / 2;
  }

  // Guards against slow or failing servers that keep receiving requests, and against ejecting too many servers.
  test.each<[string, string[], FinishResult, number]>([
    ['a slow server', ['s1'], 'completed', 7],
    ['a failing server', ['s1'], 'failed', 7],
    ['at most 30% of the servers', ['s1', 's2', 's3'], 'completed', 6],
    ['no server when callers cancel', ['s1'], 'cancelled', 8],
    ['no server when all perform alike', [], 'completed', 8],
    ['all silent servers regardless of the limit', ['s1', 's2', 's3'], 'server-silent', 5],
  ])('stops using %s', (_, affectedIds, result, expected) => {
    const scheduler = createTestScheduler({ servers });
    runRounds(scheduler, affectedIds, result);
    expect(countUsable(scheduler, 0)).toBe(expected);
  });

  // Guards against servers that are never restored, are restored while slow, or get more than one probe.
  test.each<[string, number, FinishResult, number]>([
    ['restores a recovered server', 30, 'completed', 8],
    ['does not restore a slow server', 300, 'completed', 7],
    ['does not restore a failing server', 30, 'failed', 7],
  ])('a probe %s', (_, meanGapMs, result, expected) => {
    const scheduler = createTestScheduler({ servers });
    runRounds(scheduler, ['s1'], 'completed');
    const ids = ['r0', 'r1', 'r2'];
    for (const id of ids) scheduler.enqueue(makeRequest(id, { arrivedAtMs: 2000 }), 2000);
    const probes = scheduler
      .takeDecisions(2000)
      .filter((decision) => decision.kind === 'grant' && decision.serverId === 's1');
    expect(probes).toMatchObject([{ reason: 'probe' }]);
    const attemptId = probes[0]?.attemptId ?? '';
    scheduler.finish({ attemptId, result, firstTokenMs: 100, meanGapMs }, 2500);
    expect(countUsable(scheduler, 2500)).toBe(expected);
  });
});

// Guards against wrong lists of waiting and granted attempts after calls that come late or twice.
test('late and repeated calls change nothing', () => {
  const scheduler = createTestScheduler();
  scheduler.withdraw('early');
  scheduler.enqueue(makeRequest('early'), 0);
  scheduler.enqueue(makeRequest('r1'), 0);
  scheduler.enqueue(makeRequest('r1'), 0);
  scheduler.enqueue(makeRequest('shed', { excludedServerIds: ['s1'] }), 0);
  scheduler.withdraw('shed');
  expect(formatDecisions(scheduler.takeDecisions(0))).toEqual(['r1>s1']);
  scheduler.withdraw('r1');
  expect(scheduler.listGranted()).toEqual(['r1']);
  finishAttempt(scheduler, 'r1', 1);
  finishAttempt(scheduler, 'r1', 1);
  scheduler.enqueue(makeRequest('r1'), 1);
  const held = { className: 'quick', team: 't', fingerprint: 'x', grantedAtMs: 0 };
  scheduler.adopt({ attemptId: 'r1', serverId: 's1', ...held });
  expect(scheduler.listGranted()).toEqual([]);
  scheduler.enqueue(makeRequest('r2'), 1);
  scheduler.adopt({ attemptId: 'r2', serverId: 's1', ...held });
  expect([scheduler.listWaiting(), scheduler.listGranted()]).toEqual([[], ['r2']]);
  expect(scheduler.takeDecisions(2)).toEqual([]);
});

// Guards against requests that are lost or stay in their old tier when a new bundle changes the classes.
test('a new bundle moves waiting requests to the new tiers', () => {
  const scheduler = createTestScheduler({ classes: TIERS });
  scheduler.enqueue(makeRequest('running'), 0);
  scheduler.takeDecisions(0);
  scheduler.enqueue(makeRequest('m', { className: 'mid' }), 0);
  scheduler.enqueue(makeRequest('b', { className: 'bulk' }), 0);
  scheduler.enqueue(makeRequest('unknown', { className: 'not-yet-known' }), 0);
  scheduler.updateClasses([makeClass('mid', { tier: 2 }), makeClass('bulk', { tier: 1 })]);
  finishAttempt(scheduler, 'running', 1);
  expect(formatDecisions(scheduler.takeDecisions(1))).toEqual(['b>s1']);
  expect(scheduler.listWaiting()).toEqual(['m', 'unknown']);
});
