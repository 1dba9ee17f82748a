import fc from 'fast-check';
import { expect, test } from 'vitest';
import { ServerPauses } from '../src';
import type { LimitRoom, PauseJudgement, ReturningSend } from '../src';

const SERVER = 'desk-1@0';
const OTHER = 'desk-2@0';

const makePauses = (instances = 1, random = 0) =>
  new ServerPauses({ random: () => random, countInstances: () => instances });

/** Counts how many requests the server may have at once. */
function countRoom(pauses: ServerPauses, nowMs: number): number {
  const sends: ReturningSend[] = [];
  while (pauses.judge(SERVER, nowMs).kind === 'returning') {
    const send = pauses.recordSend(SERVER, nowMs);
    if (send === undefined) break;
    sends.push(send);
  }
  for (const send of sends) pauses.recordEnd(send);
  return pauses.judge(SERVER, nowMs).kind === 'open' ? Infinity : sends.length;
}

/** Sends a request and records its response head. */
function runRequest(pauses: ServerPauses, head: 'answer' | 'refusal' | 'none', nowMs: number) {
  const send = pauses.recordSend(SERVER, nowMs);
  if (send === undefined) return;
  if (head === 'none') pauses.recordEnd(send);
  else pauses.recordHead(send, head);
}

interface JudgementCase {
  name: string;
  /** Pauses as pairs of the time at which they are told and their length, in milliseconds. */
  told: readonly (readonly [number, number])[];
  nowMs: number;
  expected: PauseJudgement;
}

// Guards against requests in a pause, and against a server that is not used after it.
test.each<JudgementCase>([
  { name: 'no pause', told: [], nowMs: 0, expected: { kind: 'open' } },
  { name: 'a pause of 0', told: [[0, 0]], nowMs: 0, expected: { kind: 'open' } },
  {
    ...{ name: 'in the pause', told: [[100, 2_000]], nowMs: 2_099 },
    expected: { kind: 'paused', untilMs: 2_100 },
  },
  { name: 'its end', told: [[100, 2_000]], nowMs: 2_100, expected: { kind: 'returning' } },
  {
    ...{
      name: 'a shorter one told later',
      told: [
        [0, 3_000],
        [100, 500],
      ],
      nowMs: 2_999,
    },
    expected: { kind: 'paused', untilMs: 3_000 },
  },
  {
    ...{
      name: 'a longer one told later',
      told: [
        [0, 500],
        [100, 3_000],
      ],
      nowMs: 3_000,
    },
    expected: { kind: 'paused', untilMs: 3_100 },
  },
  {
    ...{
      name: 'a pause of 0 told later',
      told: [
        [0, 3_000],
        [100, 0],
      ],
      nowMs: 2_000,
    },
    expected: { kind: 'paused', untilMs: 3_000 },
  },
  {
    ...{
      name: 'a second one after the first',
      told: [
        [0, 500],
        [900, 500],
      ],
      nowMs: 1_000,
    },
    expected: { kind: 'paused', untilMs: 1_400 },
  },
])('judges a server: $name', ({ told, nowMs, expected }) => {
  const pauses = makePauses();
  for (const [atMs, durationMs] of told) pauses.recordPause(SERVER, durationMs, atMs);
  expect(pauses.judge(SERVER, nowMs)).toEqual(expected);
  expect(pauses.judge(OTHER, nowMs)).toEqual({ kind: 'open' });
});

// Guards against an answer that shortens the pause of an earlier one, in whatever order they arrive.
test('the latest end of all pauses holds', () => {
  const told = fc.array(fc.record({ atMs: fc.nat(1_000), durationMs: fc.nat(5_000) }), {
    minLength: 1,
  });
  fc.assert(
    fc.property(told, fc.double({ min: 0, max: 1, noNaN: true }), (answers, random) => {
      const pauses = makePauses(84, random);
      const sorted = [...answers].sort((a, b) => a.atMs - b.atMs);
      for (const { atMs, durationMs } of sorted) pauses.recordPause(SERVER, durationMs, atMs);
      const endsAtMs = Math.max(...answers.map(({ atMs, durationMs }) => atMs + durationMs));
      const hasPause = answers.some(({ durationMs }) => durationMs > 0);
      const lastAtMs = Math.max(...answers.map(({ atMs }) => atMs));
      if (!hasPause || endsAtMs - 1 < lastAtMs) return;
      expect(pauses.judge(SERVER, endsAtMs - 1).kind).toBe('paused');
      expect(pauses.judge(SERVER, endsAtMs + 3_000).kind).toBe('returning');
    }),
  );
});

interface ReturnCase {
  name: string;
  heads: readonly ('answer' | 'refusal' | 'none')[];
  /** Requests that the server may have at once afterwards. */
  room: number;
}

// Guards against a rush to a server that has just become usable, and against one that stays nearly unused.
test.each<ReturnCase>([
  { name: 'no response yet', heads: [], room: 1 },
  { name: 'an answer', heads: ['answer'], room: 2 },
  { name: 'two answers', heads: ['answer', 'answer'], room: 4 },
  { name: 'three answers', heads: ['answer', 'answer', 'answer'], room: Infinity },
  { name: 'a refusal without a pause', heads: ['answer', 'answer', 'refusal'], room: 1 },
  { name: 'a refusal, then an answer', heads: ['refusal', 'answer'], room: 2 },
  { name: 'attempts that break', heads: ['none', 'none', 'answer', 'none'], room: 2 },
])('a server gets more requests with each answer: $name', ({ heads, room }) => {
  const pauses = makePauses();
  pauses.recordPause(SERVER, 1_000, 0);
  for (const head of heads) runRequest(pauses, head, 1_000);
  expect(countRoom(pauses, 1_000)).toBe(room);
});

// Guards against a server that gets requests after it has asked for another pause while instances return.
test('a new pause begins from the start', () => {
  const pauses = makePauses();
  pauses.recordPause(SERVER, 1_000, 0);
  runRequest(pauses, 'answer', 1_000);
  const send = pauses.recordSend(SERVER, 1_010);
  pauses.recordPause(SERVER, 500, 1_020);
  if (send !== undefined) pauses.recordHead(send, 'refusal');
  expect(pauses.judge(SERVER, 1_519).kind).toBe('paused');
  expect(countRoom(pauses, 1_520)).toBe(1);
});

// Guards against answers to requests from before the pause, which prove nothing about the time after it.
test('an answer to a request from before the return adds no room', () => {
  const pauses = makePauses();
  pauses.recordPause(SERVER, 1_000, 0);
  const send = pauses.recordSend(SERVER, 10);
  if (send !== undefined) pauses.recordHead(send, 'answer');
  expect(countRoom(pauses, 1_000)).toBe(1);
});

// Guards against an attempt whose end is never recorded, which would leave the server unused, and against servers that take
// long to answer, which would never be used as usual.
test('a request without a response head gives its place to another after some time', () => {
  const pauses = makePauses();
  pauses.recordPause(SERVER, 1_000, 0);
  const send = pauses.recordSend(SERVER, 1_000);
  expect(pauses.judge(SERVER, 2_999).kind).toBe('returning-full');
  expect(pauses.judge(SERVER, 3_000).kind).toBe('returning');
  if (send !== undefined) pauses.recordHead(send, 'answer');
  expect(countRoom(pauses, 3_000)).toBe(2);
});

/** Counts the instances that return within `windowMs` after the end of a pause; their random numbers are spread evenly. */
function countReturned(instances: number, pauseMs: number, windowMs: number): number {
  const members = Array.from({ length: instances }, (_, index) =>
    makePauses(instances, (index + 0.5) / instances),
  );
  for (const member of members) member.recordPause(SERVER, pauseMs, 0);
  return members.filter((member) => member.judge(SERVER, pauseMs + windowMs).kind === 'returning')
    .length;
}

// Guards against instances that all return at the end of a pause, and against those that stay away for long.
test.each([
  { instances: 1, pauseMs: 4_000, most: 1, allAfterMs: 0 },
  { instances: 6, pauseMs: 4_000, most: 6, allAfterMs: 150 },
  { instances: 62, pauseMs: 4_000, most: 9, allAfterMs: 1_600 },
  { instances: 84, pauseMs: 4_000, most: 9, allAfterMs: 2_000 },
  { instances: 84, pauseMs: 1_000, most: 34, allAfterMs: 500 },
  { instances: 530, pauseMs: 60_000, most: 36, allAfterMs: 3_000 },
])(
  '$instances instances return over a time: $pauseMs ms',
  ({ instances, pauseMs, most, allAfterMs }) => {
    expect(countReturned(instances, pauseMs, 200)).toBeLessThanOrEqual(most);
    expect(countReturned(instances, pauseMs, allAfterMs)).toBe(instances);
  },
);

interface RoomCase {
  name: string;
  /** Length of the pause by server, in milliseconds. */
  told: Readonly<Record<string, number>>;
  instances: number;
  nowMs: number;
  expected: LimitRoom | undefined;
}

// Guards against callers that are told a time at which no server takes requests, or that all return at once.
test.each<RoomCase>([
  { name: 'no pause', told: {}, instances: 1, nowMs: 0, expected: undefined },
  {
    ...{ name: 'one server', told: { [SERVER]: 2_000 }, instances: 6, nowMs: 500 },
    expected: { roomInMs: 1_500, intervalMs: 150 },
  },
  {
    ...{ name: 'the soonest of two', told: { [SERVER]: 2_000, [OTHER]: 1_000 }, instances: 6 },
    ...{ nowMs: 500, expected: { roomInMs: 500, intervalMs: 150 } },
  },
  {
    ...{ name: 'two at the same time', told: { [SERVER]: 1_000, [OTHER]: 1_000 }, instances: 6 },
    ...{ nowMs: 500, expected: { roomInMs: 500, intervalMs: 75 } },
  },
  {
    ...{ name: 'after the end', told: { [SERVER]: 1_000 }, instances: 6, nowMs: 1_500 },
    expected: { roomInMs: 0, intervalMs: 150 },
  },
])('estimates when there is room: $name', ({ told, instances, nowMs, expected }) => {
  const pauses = makePauses(instances);
  for (const [serverKey, durationMs] of Object.entries(told)) {
    pauses.recordPause(serverKey, durationMs, 0);
  }
  expect(pauses.estimateRoom([SERVER, OTHER], nowMs)).toEqual(expected);
});

// Guards against refusals whose cost grows with the servers of a service, each of which makes the instances be counted anew.
test('an estimate counts the instances only for servers that have asked for a pause', () => {
  const counted: string[] = [];
  const pauses = new ServerPauses({
    random: () => 0,
    countInstances: (serverKey) => {
      counted.push(serverKey);
      return 6;
    },
  });
  pauses.recordPause(SERVER, 1_000, 0);
  counted.length = 0;
  const open = Array.from({ length: 90 }, (_, index) => `open-${index}@0`);
  expect(pauses.estimateRoom([SERVER, ...open], 500)).toEqual({ roomInMs: 500, intervalMs: 150 });
  expect(counted).toEqual([SERVER]);
});

// Guards against pauses of servers that are gone, which would fill the memory.
test('removes the servers that are obsolete and keeps a bounded number', () => {
  const pauses = makePauses();
  for (let index = 0; index < 20_000; index += 1) pauses.recordPause(`desk@${index}`, 1_000, 0);
  expect(pauses.countServers()).toBe(16_384);
  expect(pauses.judge('desk@0', 1).kind).toBe('open');
  expect(pauses.judge('desk@19999', 1).kind).toBe('paused');
  pauses.removeServers((serverKey) => serverKey !== 'desk@19999');
  expect(pauses.countServers()).toBe(1);
});
