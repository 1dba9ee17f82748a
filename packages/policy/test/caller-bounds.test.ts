import { expect, test } from 'vitest';
import {
  chooseConnectionToClose,
  judgeBodyProgress,
  listExcessHeads,
  MemoryShares,
  PartPace,
} from '../src';
import type { MemoryOwner } from '../src';

const LIMIT_BYTES = 1_280;
const crowd: MemoryOwner = { address: 'a', team: 'red' };
const mate: MemoryOwner = { address: 'b', team: 'red' };
const other: MemoryOwner = { address: 'b', team: 'blue' };

const shareCases = [
  { name: 'nearly all to a lone request', held: 0, owner: crowd, bytes: 1_240 },
  { name: 'up to three quarters to one address', held: 900, owner: crowd, bytes: 60 },
  { name: 'no more than that', held: 900, owner: crowd, bytes: 61, isRefused: true },
  { name: 'no more to its team elsewhere', held: 900, owner: mate, bytes: 61, isRefused: true },
  { name: 'beside a crowd, a lone request', held: 960, owner: other, bytes: 280 },
  { name: 'a lone request, as it grows', held: 960, ownBytes: 960, owner: crowd, bytes: 280 },
  { name: 'the rest to one that holds little', held: 1_270, owner: other, bytes: 10 },
  { name: 'no more than there is', held: 1_271, owner: other, bytes: 10, isRefused: true },
];

// Guards against a crowd at one address or of one team that takes the memory of all others, and against a lone request that is
// refused because of the bytes that it holds itself.
test.each(shareCases)('memory is granted: $name', (shareCase) => {
  const { held, owner, bytes, ownBytes = 0, isRefused = false } = shareCase;
  const shares = new MemoryShares();
  if (held > 0) shares.record(crowd, held);
  expect(shares.isGrantable({ owner, bytes, ownBytes }, LIMIT_BYTES)).toBe(!isRefused);
});

test('of those that wait the address that holds least goes first, then the first one', () => {
  const shares = new MemoryShares();
  shares.record({ address: 'a', team: undefined }, 300);
  const waiters = [
    { owner: { address: 'a', team: undefined }, bytes: 10, ownBytes: 0, sinceMs: 1 },
    { owner: { address: 'b', team: undefined }, bytes: 10, ownBytes: 0, sinceMs: 3 },
    { owner: { address: 'c', team: undefined }, bytes: 10, ownBytes: 0, sinceMs: 2 },
    { owner: { address: 'd', team: undefined }, bytes: 2_000, ownBytes: 0, sinceMs: 0 },
  ];
  expect(shares.chooseWaiter(waiters, LIMIT_BYTES)?.owner.address).toBe('c');
});

// Guards against bodies that hold memory while they hardly arrive, and against sound ones that are refused.
test.each([
  { name: 'a short body', receivedBytes: 1, activeMs: 900, stalledMs: 900, result: 'in-time' },
  { name: 'a stall', receivedBytes: 1e6, activeMs: 9_000, stalledMs: 1_001, result: 'stalled' },
  { name: 'a trickle', receivedBytes: 500, activeMs: 2_000, stalledMs: 10, result: 'slow' },
  {
    name: 'a steady body',
    receivedBytes: 2_000,
    activeMs: 2_000,
    stalledMs: 10,
    result: 'in-time',
  },
])('$name is judged $result', ({ result, ...progress }) => {
  expect(judgeBodyProgress(progress, { maxStallMs: 1_000, minBytesPerSecond: 1_000 })).toBe(result);
});

const makeConnection = (address: string, idleSinceMs: number, openRequests = 0) => ({
  ...{ address, idleSinceMs, openRequests, hasBegunHead: true },
});

// Guards against closing a connection with a request, or that of a lone caller, for the sake of a crowd.
test('the longest idle connection of the largest address makes room', () => {
  const connections = [
    makeConnection('lone', 0),
    ...[makeConnection('crowd', 5), makeConnection('crowd', 3), makeConnection('crowd', 1, 1)],
  ];
  expect(chooseConnectionToClose(connections)).toBe(connections[2]);
  expect(chooseConnectionToClose([makeConnection('lone', 0, 1)])).toBeUndefined();
  expect(listExcessHeads(connections, 2)).toEqual([connections[0]]);
});

test('parts beyond the burst are read at the rate', () => {
  const pace = new PartPace(1_000, 0);
  pace.record(50_100);
  expect(pace.isReadable(100)).toBe(false);
  expect(pace.isReadable(101)).toBe(true);
});
