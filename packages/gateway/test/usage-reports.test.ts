import { afterEach, describe, expect, it, vi } from 'vitest';
import type { RecordedUsage } from '@pollendrum/policy';
import { LossyNetwork, setVirtualTime } from './lossy-network';
import { DUE_AFTER_MS, UsageFleet, WINDOW_MS } from './usage-fleet';
import type { UsageInstance } from './usage-fleet';
import { VirtualStore } from './virtual-store';

/** Time until the first holder is chosen and all windows are counted whole. */
const START_MS = 12_000;
const TOLERANCE = 0.05;
const MAX_CONTROL_BYTES_PER_SECOND = 10_000;
/** Time after the end of a window at which it is recorded and has been sent once. */
const HOLDER_ENDS_AFTER_MS = 4_000;
let fleet: UsageFleet;
let store: VirtualStore;

async function startFleet(count: number, lossShare = 0): Promise<void> {
  setVirtualTime(7);
  vi.setSystemTime(Date.UTC(2026, 1, 3, 4, 5, 6, 789));
  store = new VirtualStore();
  fleet = new UsageFleet(store, new LossyNetwork(lossShare), count);
  await fleet.advance(START_MS);
}

/** Lets time pass after a fault and checks the reports of all windows that ended since, and that are due. */
async function checkReports(durationMs: number, errorLimit = TOLERANCE): Promise<void> {
  const fromMs = Date.now();
  await fleet.advance(durationMs);
  const toMs = Date.now() - DUE_AFTER_MS;
  expect(fleet.api.violations).toEqual([]);
  expect(fleet.listMissing(fromMs, toMs)).toEqual([]);
  expect(fleet.measureError(fromMs, toMs)).toBeLessThanOrEqual(errorLimit);
}

/** Ends the holder and an instance whose counts only the holder has reported, so that its successor would report others. */
async function endHolderWithItsCounts(): Promise<readonly RecordedUsage[]> {
  const holder = fleet.findHolder();
  const successor = fleet.instances.find(
    ({ instanceId }) =>
      fleet.listReaders().includes(instanceId) && instanceId !== holder.instanceId,
  );
  const other = fleet.instances.at(-1);
  if (successor === undefined || other === undefined) throw new Error('the fleet is too small');
  successor.receives = false;
  // Long enough for one window, and too short for the holder to leave the duties to others.
  await advanceToWindow(HOLDER_ENDS_AFTER_MS);
  const recorded = holder.lease.getRecordedUsage();
  await fleet.removeInstance(other);
  await fleet.removeInstance(holder);
  successor.receives = true;
  return recorded;
}

/** Lets time pass until this long after the beginning of the window after the next one. */
async function advanceToWindow(offsetMs: number): Promise<void> {
  await fleet.advance(2 * WINDOW_MS - (Date.now() % WINDOW_MS) + offsetMs);
}

afterEach(async () => {
  await fleet[Symbol.asyncDispose]();
  vi.useRealTimers();
  vi.restoreAllMocks();
});

describe('reports of usage', () => {
  it.each([
    ['6 instances', 6, 0],
    ['6 instances that lose a fifth of the datagrams', 6, 0.2],
    ['62 instances', 62, 0],
  ])('are exact and in time with %s', async (_, count, lossShare) => {
    await startFleet(count, lossShare);
    await checkReports(30_000, 0);
  });

  it.each([6, 62, 300])('keep control traffic of %i instances below its bound', async (count) => {
    await startFleet(count);
    const before = fleet.instances.map(({ sentBytes, receivedBytes }) => [
      sentBytes,
      receivedBytes,
    ]);
    await fleet.advance(10_000);
    const rates = fleet.instances.map(({ sentBytes, receivedBytes }, index) => {
      const [sent = 0, received = 0] = before[index] ?? [];
      return Math.max(sentBytes - sent, receivedBytes - received) / 10;
    });
    expect(Math.max(...rates)).toBeLessThan(MAX_CONTROL_BYTES_PER_SECOND);
  });

  it('are sent once for a window, with few datagrams and calls', async () => {
    await startFleet(6);
    const { calls } = fleet.api;
    const callsBefore = store.callTimes.length;
    const bytesBefore = Math.max(...fleet.instances.map(({ sentBytes }) => sentBytes));
    await fleet.advance(20_000);
    expect(fleet.api.calls - calls).toBe(4);
    // Two readers renew or read each second; the record of each window adds one write.
    expect(store.callTimes.length - callsBefore).toBeLessThanOrEqual(2 * 20 + 4 + 2);
    const sentBytes = Math.max(...fleet.instances.map((instance) => instance.sentBytes));
    expect((sentBytes - bytesBefore) / 20).toBeLessThan(2_000);
  });

  it('contain no counts when nothing has run', async () => {
    await startFleet(6);
    const windowId = Math.floor(Date.now() / WINDOW_MS) + 1;
    await vi.advanceTimersByTimeAsync(3 * WINDOW_MS);
    expect(fleet.api.getCounts(windowId)).toEqual([]);
  });
});

describe('reports of usage after a fault', () => {
  it.each<[string, (holder: UsageInstance, other: UsageInstance) => unknown]>([
    ['the holder ends', (holder) => fleet.removeInstance(holder)],
    ['the holder stops as planned', (holder) => holder.lease.release()],
    ['the holder is cut off from the store', (holder) => (holder.storeContact = 'silent')],
    ['the holder is cut off from the platform', (holder) => (holder.reachesApi = false)],
    ['another instance ends', (_, other) => fleet.removeInstance(other)],
    ['another instance freezes', (_, other) => void other.setFrozen(true)],
    ["another instance's clock is set back", (_, other) => (other.stepMs = -2_400_000)],
    ["the holder's clock is set forward", (holder) => (holder.stepMs = 2_400_000)],
    ['another instance only sends', (_, other) => (other.receives = false)],
  ])('stay in time and in tolerance when %s', async (_, fail) => {
    await startFleet(6);
    const holder = fleet.findHolder();
    const other = fleet.instances.find(
      (instance) => !fleet.listReaders().includes(instance.instanceId),
    );
    if (other === undefined) throw new Error('there is no other instance');
    void fail(holder, other);
    await checkReports(35_000);
  });

  it.each(['late', 'down'] as const)(
    'are what was recorded, also from a holder that knows other counts, when calls end with no response: %s',
    async (mode) => {
      await startFleet(6);
      fleet.api.mode = mode;
      const recorded = await endHolderWithItsCounts();
      expect(recorded.some(({ isAccepted }) => !isAccepted)).toBe(true);
      fleet.api.mode = 'up';
      await fleet.advance(10_000);
      await checkReports(30_000);
      for (const { windowId, counts } of recorded) {
        expect(fleet.api.getCounts(windowId)).toEqual(counts);
      }
    },
  );

  it('are made up for when the platform has been away', async () => {
    await startFleet(6);
    fleet.api.mode = 'down';
    const fromMs = Date.now();
    await fleet.advance(60_000);
    fleet.api.mode = 'up';
    await fleet.advance(20_000);
    expect(fleet.api.violations).toEqual([]);
    expect(fleet.measureError(fromMs, Date.now() - DUE_AFTER_MS)).toBe(0);
    const first = Math.ceil(fromMs / WINDOW_MS);
    const reported = Array.from({ length: 12 }, (_, index) => fleet.api.reports.has(first + index));
    expect(reported).not.toContain(false);
  });

  it('come from a holder that wakes up only under a new lease', async () => {
    await startFleet(6);
    const holder = fleet.findHolder();
    holder.setFrozen(true);
    await fleet.advance(20_000);
    holder.setFrozen(false);
    await checkReports(30_000);
    expect(fleet.findHolder()).not.toBe(holder);
  });

  it('come from another instance when the holder hears nobody', async () => {
    await startFleet(6);
    const holder = fleet.findHolder();
    holder.receives = false;
    await fleet.advance(25_000);
    expect(fleet.findHolder()).not.toBe(holder);
    await checkReports(30_000);
  });

  it('are never two different ones when a backup has lost the lease with its records', async () => {
    await startFleet(6);
    await endHolderWithItsCounts();
    store.era += 1;
    store.remove('duties', 'platform');
    await fleet.advance(12_000);
    await checkReports(30_000);
  });

  it('go on from the memory of the holder when a backup has lost the lease', async () => {
    await startFleet(6);
    store.era += 1;
    store.remove('duties', 'platform');
    await checkReports(30_000, 0);
  });
});
