import { afterEach, beforeEach, describe, expect, it, vi } from 'vitest';
import { DutyLease } from '../src/duties/duty-lease';
import { createTestLog } from './gateway-fixture';
import { VirtualStore } from './virtual-store';
import type { StoreContact } from './virtual-store';

const LEASE_MS = 3_000;
/** Time within which a standby takes over: the lease, its interval of reading and two calls. */
const TAKEOVER_MS = LEASE_MS + LEASE_MS / 3 + 100;

/** An instance that competes for the lease, with clocks and a contact of its own. */
class Contender {
  contact: StoreContact = 'answers';
  isCandidate = true;
  readonly lease: DutyLease;
  private suspendedMs = 0;
  private frozenAtMs: number | undefined;
  private stepMs = 0;

  constructor(store: VirtualStore, instanceId: string) {
    this.lease = new DutyLease({
      ...{ instanceId, leaseMs: LEASE_MS, log: createTestLog([]) },
      store: store.createView(() => this.contact),
      clock: () => (this.frozenAtMs ?? performance.now()) - this.suspendedMs,
      isCandidate: () => this.isCandidate && this.frozenAtMs === undefined,
      readOffset: () => this.suspendedMs + this.stepMs,
      pickRandom: () => 0,
    });
  }

  stop(): void {
    this.frozenAtMs = performance.now();
    this.contact = 'silent';
  }

  resume(): void {
    this.suspendedMs += performance.now() - (this.frozenAtMs ?? 0);
    this.frozenAtMs = undefined;
    this.contact = 'answers';
  }

  setClockStep(stepMs: number): void {
    this.stepMs = stepMs;
  }

  /** Token with which the instance can act; a frozen one does nothing. */
  get token(): number | undefined {
    return this.frozenAtMs === undefined ? this.lease.getFence()?.token : undefined;
  }
}

let store: VirtualStore;
let one: Contender;
let two: Contender;
const contenders: Contender[] = [];

function addContender(instanceId: string): Contender {
  const contender = new Contender(store, instanceId);
  contenders.push(contender);
  contender.lease.start();
  return contender;
}

/** Lets time pass and checks at each step that at most one instance acts. */
async function advance(durationMs: number): Promise<void> {
  for (let passedMs = 0; passedMs < durationMs; passedMs += 10) {
    await vi.advanceTimersByTimeAsync(10);
    const tokens = contenders.flatMap(({ token }) => token ?? []);
    if (tokens.length > 1) throw new Error(`two instances act, with tokens ${tokens.join(', ')}`);
  }
}

beforeEach(async () => {
  vi.useFakeTimers();
  store = new VirtualStore();
  one = addContender('one');
  await advance(50);
  two = addContender('two');
  await advance(TAKEOVER_MS);
});

afterEach(async () => {
  for (const { lease } of contenders.splice(0)) await lease[Symbol.asyncDispose]();
  vi.useRealTimers();
});

describe('lease of the duties', () => {
  it('is held by one instance, of which the other knows', () => {
    expect(one.token).toBe(1);
    expect(two.token).toBeUndefined();
    expect(two.lease.getHolderId()).toBe('one');
  });

  it.each<[string, () => void]>([
    [
      'is cut off from the store',
      () => {
        one.contact = 'silent';
      },
    ],
    [
      'is turned away by the store',
      () => {
        one.contact = 'fails';
      },
    ],
    [
      'is frozen',
      () => {
        one.stop();
      },
    ],
  ])('goes to another, with a higher token, when the holder %s', async (_, cut) => {
    cut();
    await advance(2 * TAKEOVER_MS);
    expect(two.token).toBeGreaterThan(1);
    expect(one.token).toBeUndefined();
  });

  it('is not used by a holder that wakes up, although its own clock has stood still', async () => {
    await advance(500);
    one.stop();
    await advance(2 * TAKEOVER_MS);
    one.resume();
    expect(one.token).toBeUndefined();
    await advance(2 * TAKEOVER_MS);
    expect(one.token).toBeUndefined();
    expect(one.lease.getHolderId()).toBe('two');
  });

  it('stays with a holder whose clock is set back, after one renewal', async () => {
    one.setClockStep(-2_400_000);
    expect(one.token).toBeUndefined();
    await advance(1_100);
    expect(one.token).toBe(1);
  });

  it('stays with the holder while the store is away for longer than the lease', async () => {
    for (const contender of contenders) contender.contact = 'silent';
    await advance(3 * LEASE_MS);
    expect(contenders.map(({ token }) => token)).toEqual([undefined, undefined]);
    for (const contender of contenders) contender.contact = 'answers';
    await advance(2_000);
    expect([one.token, two.token]).toEqual([1, undefined]);
  });

  it('goes to another without waiting for its end in a planned stop', async () => {
    const released = one.lease.release();
    expect(one.token).toBeUndefined();
    await advance(LEASE_MS / 3 + 50);
    await released;
    expect(two.token).toBe(2);
  });

  it('is another one after a restart under the same name', async () => {
    await one.lease[Symbol.asyncDispose]();
    two.isCandidate = false;
    const restarted = addContender('one');
    await advance(TAKEOVER_MS);
    expect(restarted.token).toBe(2);
  });

  it.each<[string, StoreContact, boolean]>([
    ['is confirmed to a holder that asks after a refused order', 'answers', true],
    ['is not confirmed while the store does not answer', 'fails', false],
  ])('%s', async (_, contact, expected) => {
    const fence = one.lease.getFence();
    if (fence === undefined) throw new Error('the lease is not held');
    one.contact = contact;
    const verified = one.lease.verifyFence(fence);
    await advance(50);
    expect(await verified).toBe(expected);
    expect(one.token).toBe(fence.token);
  });

  it('gets another token after a refusal, without another holder', async () => {
    const fence = one.lease.getFence();
    if (fence === undefined) throw new Error('the lease is not held');
    one.lease.recordRefusal(fence);
    expect(one.token).toBeUndefined();
    await advance(50);
    expect(one.token).toBe(2);
  });

  it('is taken with a token of the new era when a backup does not hold it', async () => {
    store.era += 1;
    store.remove('duties', 'platform');
    await advance(TAKEOVER_MS);
    expect(one.token).toBeGreaterThan(1_000_000_000);
  });

  it('is taken over when another writer has put something else in its place', async () => {
    store.put('duties', 'platform', { token: 'none' });
    await advance(2 * TAKEOVER_MS);
    expect(contenders.filter(({ token }) => token !== undefined)).toHaveLength(1);
  });

  it('tells listeners who begins and ends to hold it', async () => {
    const seen: [string, boolean][] = [];
    one.lease.onChange((isHolder) => seen.push(['one', isHolder]));
    two.lease.onChange((isHolder) => seen.push(['two', isHolder]));
    one.contact = 'silent';
    await advance(2 * TAKEOVER_MS);
    one.contact = 'answers';
    await advance(1_000);
    expect(seen).toEqual([
      ['one', false],
      ['two', true],
    ]);
  });

  it('is asked for at a rate of one call in a third of its time for each instance', async () => {
    const fromMs = performance.now();
    await advance(10 * LEASE_MS);
    expect(store.countCalls(fromMs, performance.now())).toBeLessThanOrEqual(2 * 30 + 2);
  });
});
