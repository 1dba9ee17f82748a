import { expect, test } from 'vitest';
import { LoadChanges, LoadTable } from '../../src';
import type { PlacedRequest } from '../../src';

function makePlacedRequest(serverId: string): PlacedRequest {
  return {
    serverId,
    prefillMs: 100,
    heldTokens: 1_000,
    isPauseSensitive: true,
    hasLongPrompt: false,
    expectedFirstByteAtMs: 150,
    isStreaming: false,
  };
}

function takeIds(changes: LoadChanges, nowMs: number, limit = 100): string[] {
  return changes.takeDue(nowMs, limit).map(({ serverId }) => serverId);
}

interface Step {
  atMs: number;
  act?: (loads: LoadTable, request: PlacedRequest, changes: LoadChanges) => void;
  reported: string[];
}

const cases: { name: string; steps: Step[] }[] = [
  {
    name: 'a load is reported when it changes, not at each report',
    steps: [
      { atMs: 0, reported: ['a'] },
      { atMs: 50, reported: [] },
      { atMs: 100, act: (loads, request) => loads.markStreaming(request), reported: ['a'] },
      { atMs: 150, reported: [] },
      { atMs: 200, act: (loads, request) => loads.remove(request), reported: ['a'] },
      { atMs: 250, reported: [] },
    ],
  },
  {
    name: 'the load of a server in use is repeated, since a report may be lost',
    steps: [
      { atMs: 0, reported: ['a'] },
      { atMs: 1_400, reported: [] },
      { atMs: 1_500, reported: ['a'] },
      { atMs: 3_000, reported: ['a'] },
    ],
  },
  {
    name: 'the end of a load is repeated once',
    steps: [
      { atMs: 0, act: (loads, request) => loads.remove(request), reported: ['a'] },
      { atMs: 1_500, reported: ['a'] },
      { atMs: 3_000, reported: [] },
      { atMs: 9_000, reported: [] },
    ],
  },
  {
    name: 'all loads are reported again after a reset, for a new peer',
    steps: [
      { atMs: 0, reported: ['a'] },
      { atMs: 50, act: (_, __, changes) => changes.reset(), reported: ['a'] },
    ],
  },
  {
    name: 'a server that was removed and listed again is reported',
    steps: [
      { atMs: 0, act: (loads, request) => loads.remove(request), reported: ['a'] },
      { atMs: 50, act: (loads) => loads.removeServer('a'), reported: [] },
      {
        atMs: 100,
        act: (loads) => {
          const request = makePlacedRequest('a');
          loads.add(request, 100);
          loads.remove(request);
        },
        reported: ['a'],
      },
    ],
  },
];

// Guards against reports that repeat all loads, and against changes that peers never learn of.
test.each(cases)('$name', ({ steps }) => {
  const loads = new LoadTable();
  const changes = new LoadChanges(loads);
  const request = makePlacedRequest('a');
  loads.add(request, 0);
  for (const { atMs, act, reported } of steps) {
    act?.(loads, request, changes);
    expect(takeIds(changes, atMs), `at ${atMs} ms`).toEqual(reported);
  }
});

// Guards against a busy server whose changes keep the loads of other servers from being reported.
test('loads beyond the limit are reported next, before newer changes', () => {
  const loads = new LoadTable();
  const changes = new LoadChanges(loads);
  for (const serverId of ['a', 'b', 'c']) loads.add(makePlacedRequest(serverId), 0);
  expect(takeIds(changes, 0, 2)).toEqual(['a', 'b']);
  loads.add(makePlacedRequest('a'), 50);
  expect(takeIds(changes, 50, 2)).toEqual(['c', 'a']);
});
