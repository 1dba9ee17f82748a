import { describe, expect, it } from 'vitest';
import { LeaseTerm } from '../src';
import type { LeaseMoment, LeaseRecord, LeaseStep } from '../src';

const LEASE_MS = 3_000;
/** A holder acts for this long after the start of its last renewal. */
const ACTS_FOR_MS = 2_250;
const OTHER: LeaseRecord = {
  ...{ owner: 'other', incarnation: 'x', token: 1_000_000_005, sequence: 9 },
  ...{ isReleased: false, usage: [] },
};

/** A store with one lease object that two instances write; `era` and `record` are set by a restore. */
class LeaseStore {
  era = 1;
  revision = 5;
  record: LeaseRecord | undefined = OTHER;

  write({ record, revision }: LeaseStep & { kind: 'write' }): boolean {
    if (revision !== (this.record === undefined ? undefined : this.revision)) return false;
    this.revision += 1;
    this.record = record;
    return true;
  }

  replace(record: LeaseRecord | undefined, revision: number): void {
    this.era += 1;
    this.record = record;
    this.revision = revision;
  }
}

function createTerm(instanceId: string, incarnation = instanceId): LeaseTerm {
  return new LeaseTerm({ instanceId, incarnation, leaseMs: LEASE_MS, pickRandom: () => 0 });
}

/** Does what the term asks for until it waits, and returns until when. */
function runTerm(term: LeaseTerm, store: LeaseStore, moment: LeaseMoment): number {
  for (;;) {
    const step = term.chooseStep(moment, true);
    if (step.kind === 'wait') return step.untilMs;
    const { era } = store;
    if (step.kind === 'write' && store.write(step)) {
      term.recordWritten(step, { revision: store.revision, era }, moment);
    } else {
      const revision = store.record === undefined ? undefined : store.revision;
      term.recordReading({ revision, record: store.record, era }, moment);
    }
  }
}

/** Runs the term from one time to another, each time it wants to. */
function runUntil(term: LeaseTerm, store: LeaseStore, fromMs: number, toMs: number): void {
  let nowMs = fromMs;
  while (nowMs <= toMs) nowMs = Math.max(nowMs + 1, runTerm(term, store, makeMoment(nowMs)));
}

function makeMoment(nowMs: number, offsetMs = 0): LeaseMoment {
  return { nowMs, offsetMs };
}

/** A term that has held the lease since 3,000 ms. */
function createHolder(): { term: LeaseTerm; store: LeaseStore; token: number } {
  const store = new LeaseStore();
  const term = createTerm('one');
  runUntil(term, store, 0, LEASE_MS);
  const token = term.getToken(makeMoment(LEASE_MS))?.token ?? 0;
  return { term, store, token };
}

describe('taking the lease', () => {
  it('waits until the lease has not changed for its time, on its own clock', () => {
    const store = new LeaseStore();
    const term = createTerm('one');
    runUntil(term, store, 0, LEASE_MS - 1);
    expect(store.record).toBe(OTHER);
    runUntil(term, store, LEASE_MS, LEASE_MS);
    expect(term.getToken(makeMoment(LEASE_MS))).toEqual({ token: OTHER.token + 1, era: 1 });
  });

  it('does not take a lease that is renewed', () => {
    const store = new LeaseStore();
    const term = createTerm('one');
    for (let nowMs = 0; nowMs < 20_000; nowMs += 1_000) {
      store.revision += 1;
      runUntil(term, store, nowMs, nowMs + 999);
    }
    expect(store.record).toBe(OTHER);
  });

  it.each<[string, LeaseRecord, boolean]>([
    ['takes a released lease at once', { ...OTHER, isReleased: true }, true],
    ['waits for a release of the era before', { ...OTHER, token: 5, isReleased: true }, false],
    ['waits for a lease of its own name but another start', { ...OTHER, owner: 'one' }, false],
  ])('%s', (_, record, isTaken) => {
    const store = new LeaseStore();
    store.record = record;
    const term = createTerm('one');
    runTerm(term, store, makeMoment(0));
    expect(term.getToken(makeMoment(0)) !== undefined).toBe(isTaken);
  });

  it('leaves the lease to the one that has written first', () => {
    const store = new LeaseStore();
    const terms = [createTerm('one'), createTerm('two')];
    for (const term of terms) runUntil(term, store, 0, LEASE_MS - 1);
    for (const term of terms) runTerm(term, store, makeMoment(LEASE_MS));
    expect(terms.map((term) => term.getToken(makeMoment(LEASE_MS)) !== undefined)).toEqual([
      true,
      false,
    ]);
  });

  it('holds a lease whose write has succeeded without a response, under one token', () => {
    const store = new LeaseStore();
    const term = createTerm('one');
    runUntil(term, store, 0, LEASE_MS - 1);
    const { revision, record, era } = store;
    term.recordReading({ revision, record, era }, makeMoment(LEASE_MS));
    const step = term.chooseStep(makeMoment(LEASE_MS), true);
    if (step.kind !== 'write') throw new Error('the lease is free');
    store.write(step);
    term.recordFailure(LEASE_MS);
    runUntil(term, store, LEASE_MS, LEASE_MS + 2_000);
    expect(term.getToken(makeMoment(LEASE_MS + 2_000))?.token).toBe(step.record.token);
  });
});

describe('a holder', () => {
  it('stops acting before others may take over, counted from the start of its renewal', () => {
    const { term, token } = createHolder();
    expect(term.getToken(makeMoment(LEASE_MS + ACTS_FOR_MS - 1))?.token).toBe(token);
    expect(term.getToken(makeMoment(LEASE_MS + ACTS_FOR_MS))).toBeUndefined();
  });

  it.each([
    ['it was suspended', 5_000],
    ['its time of day was set back by 2,400 s', -2_400_000],
  ])('does not act before it has renewed when %s', (_, offsetMs) => {
    const { term, store, token } = createHolder();
    expect(term.getToken(makeMoment(LEASE_MS + 10, offsetMs))).toBeUndefined();
    runTerm(term, store, makeMoment(LEASE_MS + 10, offsetMs));
    expect(term.getToken(makeMoment(LEASE_MS + 11, offsetMs))?.token).toBe(token);
  });

  it('does not act when it was suspended while its renewal was under way', () => {
    const { term, store } = createHolder();
    const startedAt = makeMoment(LEASE_MS + 1_000);
    const step = term.chooseStep(startedAt, true);
    if (step.kind !== 'write') throw new Error('the renewal is due');
    store.write(step);
    term.recordWritten(step, store, startedAt);
    expect(term.getToken(makeMoment(LEASE_MS + 1_001, 4_000))).toBeUndefined();
  });

  it('goes on under its token after an outage of the store in which nobody could take over', () => {
    const { term, store, token } = createHolder();
    term.recordFailure(LEASE_MS + 9_000);
    runUntil(term, store, LEASE_MS + 10_000, LEASE_MS + 10_000);
    expect(term.getToken(makeMoment(LEASE_MS + 10_000))?.token).toBe(token);
  });

  it('stops when another has taken over, and does not return before that one is gone', () => {
    const { term, store, token } = createHolder();
    const taken = { ...OTHER, token: token + 1 };
    store.write({ kind: 'write', record: taken, revision: store.revision });
    runUntil(term, store, LEASE_MS + 1_000, LEASE_MS + 1_000 + LEASE_MS - 1);
    expect(store.record).toBe(taken);
    runUntil(term, store, LEASE_MS + 1_000 + LEASE_MS, LEASE_MS + 1_000 + LEASE_MS);
    expect(term.getToken(makeMoment(7_000))?.token).toBeGreaterThan(token + 1);
  });

  it('does not use a refused token again and takes a higher one', () => {
    const { term, store, token } = createHolder();
    term.recordRefusal(token);
    expect(term.getToken(makeMoment(LEASE_MS))).toBeUndefined();
    runTerm(term, store, makeMoment(LEASE_MS));
    expect(term.getToken(makeMoment(LEASE_MS))?.token).toBeGreaterThan(token);
  });

  it('does not act or renew once it is to stop, and releases the lease', () => {
    const { term, store } = createHolder();
    term.stop();
    expect(term.getToken(makeMoment(LEASE_MS))).toBeUndefined();
    expect(term.chooseStep(makeMoment(LEASE_MS + 1_000), true).kind).toBe('wait');
    const step = term.buildRenewal(true);
    if (step === undefined) throw new Error('the lease is held');
    store.write(step);
    expect(store.record?.isReleased).toBe(true);
  });
});

describe('a restore', () => {
  it.each<[string, (own: LeaseRecord) => LeaseRecord | undefined, boolean]>([
    ['takes a lease that is lost again at once', () => undefined, true],
    ['takes its own older lease again at once', (own) => ({ ...own, sequence: 1 }), true],
    ['waits when the backup shows another holder', () => OTHER, false],
  ])('%s', (_, pickRecord, isTaken) => {
    const { term, store, token } = createHolder();
    const own = store.record ?? OTHER;
    store.replace(pickRecord(own), 4);
    runTerm(term, store, makeMoment(LEASE_MS + 1_000));
    const held = term.getToken(makeMoment(LEASE_MS + 1_000));
    expect(held !== undefined).toBe(isTaken);
    if (held !== undefined) expect(held.token).toBeGreaterThan(token + 900_000_000);
  });

  it('is waited for by a holder that had stopped acting, since another may have acted', () => {
    const { term, store } = createHolder();
    store.replace(undefined, 4);
    runTerm(term, store, makeMoment(LEASE_MS + ACTS_FOR_MS));
    expect(store.record).toBeUndefined();
  });

  it('is waited for after two restores, since another may have acted between them', () => {
    const { term, store } = createHolder();
    store.replace(undefined, 4);
    store.replace(undefined, 4);
    runTerm(term, store, makeMoment(LEASE_MS + 1_000));
    expect(store.record).toBeUndefined();
  });

  it('ends a hold whose renewal meets a reassigned revision, and no token is used twice', () => {
    const { term, store } = createHolder();
    const taken = { ...OTHER, token: 2_000_000_007 };
    store.replace(taken, store.revision);
    runTerm(term, store, makeMoment(LEASE_MS + 1_000));
    expect(term.getToken(makeMoment(LEASE_MS + 1_000))).toBeUndefined();
    term.observeToken(taken.token);
    runUntil(term, store, LEASE_MS + 1_000, 4 * LEASE_MS);
    expect(term.getToken(makeMoment(4 * LEASE_MS))?.token).toBeGreaterThan(taken.token);
  });
});
