import { describe, expect, it } from 'vitest';
import { judgeWindow, UsageClock, UsageTable } from '../src';
import type { LeaseMoment, ToldWindow, WindowState } from '../src';

const START_UNIX_MS = 1_700_000_000_000;

function makeMoment(nowMs: number, stepMs = 0): LeaseMoment {
  return { nowMs, offsetMs: START_UNIX_MS + stepMs };
}

describe('time of day of usage', () => {
  it('follows small corrections of the own clock', () => {
    const clock = new UsageClock();
    clock.read(makeMoment(0));
    expect(clock.read(makeMoment(1_000, 40))).toBe(START_UNIX_MS + 1_040);
  });

  it.each<[string, number, number[], number]>([
    ['goes on by the monotonic clock after a step', -2_400_000, [], 0],
    ['returns to the old time when a peer agrees with it', 2_400_000, [3], 3],
    [
      'takes the new time when a peer agrees with it, as after a suspension',
      60_000,
      [60_003],
      60_000,
    ],
    ['takes the time of most peers', -2_400_000, [5, 4, 9_000_000], 5],
  ])('%s', (_, stepMs, peerSteps, expected) => {
    const clock = new UsageClock();
    clock.read(makeMoment(0));
    clock.read(makeMoment(1_000, stepMs));
    peerSteps.forEach((peerStep, index) => {
      clock.observePeer(
        `peer-${index}`,
        START_UNIX_MS + 1_000 + peerStep,
        makeMoment(1_000, stepMs),
      );
    });
    expect(clock.read(makeMoment(2_000, stepMs))).toBe(START_UNIX_MS + 2_000 + expected);
  });

  it.each([
    ['is outvoted by two peers when its machine starts with a wrong one', 2, 0],
    ['stays when a single peer differs', 1, 2_400_000],
  ])('%s', (_, peers, expected) => {
    const clock = new UsageClock();
    const moment = makeMoment(0, 2_400_000);
    for (let peer = 0; peer < peers; peer += 1)
      clock.observePeer(`peer-${peer}`, START_UNIX_MS, moment);
    expect(clock.read(moment)).toBe(START_UNIX_MS + expected);
  });

  it('does not use what peers told long ago', () => {
    const clock = new UsageClock();
    clock.read(makeMoment(0));
    for (const peer of ['one', 'two']) clock.observePeer(peer, 0, makeMoment(0));
    expect(clock.read(makeMoment(13_000))).toBe(START_UNIX_MS + 13_000);
  });
});

const WINDOW: ToldWindow = {
  windowId: 7,
  isClosed: true,
  total: 5,
  counts: [
    ['a', 3],
    ['b', 2],
  ],
};
const ONE = { instanceId: 'one', incarnation: 'x', firstWindowId: 3 };

describe('counts of all instances', () => {
  it('are the same when datagrams arrive twice or in another order', () => {
    const table = new UsageTable();
    table.merge(ONE, [WINDOW]);
    table.merge(ONE, [{ ...WINDOW, isClosed: false, total: 2, counts: [['a', 2]] }]);
    table.merge(ONE, [WINDOW]);
    expect(table.computeSums(7)).toEqual([
      ['a', 3],
      ['b', 2],
    ]);
  });

  it('add up over a restart of an instance', () => {
    const table = new UsageTable();
    table.merge(ONE, [WINDOW]);
    table.merge({ ...ONE, incarnation: 'y', firstWindowId: 7 }, [WINDOW]);
    expect(table.computeSums(7)).toEqual([
      ['a', 6],
      ['b', 4],
    ]);
  });

  it.each<[string, ToldWindow[], string[]]>([
    ['are final when they add up to the total', [WINDOW], []],
    ['are not final while a part is missing', [{ ...WINDOW, counts: [['a', 3]] }], ['one']],
    ['are not final before the window has ended', [{ ...WINDOW, isClosed: false }], ['one']],
    ['are final when nothing ran', [{ ...WINDOW, total: 0, counts: [] }], []],
    ['are missing when nothing was told', [], ['one']],
  ])('%s', (_, told, missing) => {
    const table = new UsageTable();
    table.merge(ONE, told);
    expect(table.computeCoverage(7, ['one']).missing).toEqual(missing);
  });

  it('are final of an instance that started later', () => {
    const table = new UsageTable();
    table.merge({ ...ONE, firstWindowId: 8 }, []);
    expect(table.computeCoverage(7, ['one']).missing).toEqual([]);
  });

  it('are forgotten with their window', () => {
    const table = new UsageTable();
    table.merge(ONE, [WINDOW]);
    table.discardBefore(8);
    expect(table.computeSums(7)).toEqual([]);
  });
});

describe('report of a window', () => {
  const state: WindowState = {
    ...{ sinceEndMs: 3_000, dueAfterMs: 10_000, wasPresent: true, mayBeReported: false },
    coverage: { complete: 6, missing: [] },
  };
  const oneMissing = { complete: 5, missing: ['one'] };
  const onlyOwn = { complete: 1, missing: ['one', 'two', 'three'] };
  it.each<[string, Partial<WindowState>, string]>([
    ['is sent when all counts are in', {}, 'report'],
    ['waits for late counts', { sinceEndMs: 2_999 }, 'wait'],
    ['waits for an instance that is silent', { coverage: oneMissing }, 'wait'],
    ['is sent without it before it is due', { coverage: oneMissing, sinceEndMs: 8_000 }, 'report'],
    [
      'is omitted by a process that began in the window',
      { coverage: oneMissing, sinceEndMs: 8_000, wasPresent: false },
      'omit',
    ],
    ['is sent by that process when all counts are in', { wasPresent: false }, 'report'],
    ['is omitted when the holder hears nobody', { coverage: onlyOwn, sinceEndMs: 8_000 }, 'omit'],
    ['is omitted when its record may be lost', { mayBeReported: true }, 'omit'],
  ])('%s', (_, change, expected) => {
    expect(judgeWindow({ ...state, ...change })).toBe(expected);
  });
});
