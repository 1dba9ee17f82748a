import fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import {
  checkNoStarvation,
  checkTierOrder,
  type SchedulerEvent,
  type FinishResult,
  type ShardServer,
} from '../src/index';
import { createTestScheduler, makeClass, makeRequest, makeServer } from './fixtures';

const EARLY_TARGET = { preference: 'goodput', targetFirstByteMs: 50 } as const;
const CLASSES = [
  makeClass('quick', { floorPercent: 10, targetFirstByteMs: 300 }),
  makeClass('order', { floorPercent: 5, targetFirstByteMs: 200 }),
  // Lower tiers have earlier first-byte targets, so that a scheduler that puts targets before tiers fails.
  makeClass('mid', { tier: 1, floorPercent: 20, ...EARLY_TARGET, maxQueueMs: 900 }),
  makeClass('bulk', { tier: 2, floorPercent: 15, ...EARLY_TARGET, maxQueueMs: 2000 }),
];
const RESULTS: readonly FinishResult[] = [
  'failed',
  'failed',
  'cancelled',
  'cancelled',
  'not-sent',
  'server-crashed',
  'server-refused',
  'server-draining',
  'server-silent',
];
const SERVERS = [
  makeServer('s1', 1),
  makeServer('s2', 2),
  makeServer('s3', 1),
  makeServer('s4', 2),
];

/** Generates null nine times out of ten, because the checked rules exempt constrained requests. */
function makeMostlyNull(...values: string[]) {
  return fc.oneof(
    { weight: 9, arbitrary: fc.constant(null) },
    { weight: 1, arbitrary: fc.constantFrom(...values) },
  );
}

/** Random number from which a step derives an attempt, a server or a duration. */
const pick = fc.nat({ max: 1000 });
const stepArbitrary = fc.oneof(
  {
    weight: 14,
    arbitrary: fc.record({
      kind: fc.constant('enqueue' as const),
      // The highest tier is generated more often, because its bursts starve the other tiers.
      className: fc.constantFrom('quick', 'quick', 'quick', 'order', 'mid', 'bulk', 'bulk'),
      team: fc.constantFrom('team-1', 'team-2', 'team-3'),
      fingerprint: makeMostlyNull('f1', 'f2', 'f3'),
      excluded: makeMostlyNull('s1', 's2', 's3', 's4'),
      ageMs: fc.constantFrom(0, 0, 0, 5, 150),
    }),
  },
  {
    weight: 2,
    arbitrary: fc.record({
      kind: fc.constant('finish' as const),
      pick,
      result: fc.constantFrom(...RESULTS),
    }),
  },
  { weight: 10, arbitrary: fc.record({ kind: fc.constant('complete' as const), pick }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('withdraw' as const), pick }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('repeat' as const), pick }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('adopt' as const), pick }) },
  { weight: 3, arbitrary: fc.record({ kind: fc.constant('wait' as const), pick }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('crash' as const), pick }) },
  { weight: 1, arbitrary: fc.record({ kind: fc.constant('clear' as const), pick }) },
  {
    weight: 1,
    arbitrary: fc.record({ kind: fc.constant('servers' as const), states: fc.array(fc.nat(9)) }),
  },
);
type Step = typeof stepArbitrary extends fc.Arbitrary<infer S> ? S : never;

/** Applies random steps to a scheduler and checks each decision against a record of the held grants. */
class Driver {
  readonly events: SchedulerEvent[] = [];
  readonly problems: string[] = [];
  private nowMs = 0;
  private created = 0;
  private servers: ShardServer[] = SERVERS;
  private readonly enqueued: ReturnType<typeof makeRequest>[] = [];
  private readonly decided = new Set<string>();
  private readonly withdrawn = new Set<string>();
  private readonly held = new Map<string, string>();
  private readonly suspects = new Set<string>();
  private readonly scheduler = createTestScheduler({
    classes: CLASSES,
    servers: SERVERS,
    queueLimit: 25,
    onEvent: (event) => {
      this.events.push(event);
      if (event.kind !== 'suspect') return;
      if (event.isSuspect) this.suspects.add(event.fingerprint);
      else this.suspects.delete(event.fingerprint);
    },
  });

  run(steps: readonly Step[]): void {
    for (const next of steps) {
      this.apply(next);
      this.checkDecisions();
    }
  }

  private apply(next: Step): void {
    const { scheduler, nowMs } = this;
    switch (next.kind) {
      case 'enqueue': {
        this.created += 1;
        const attemptId = `r${this.created}`;
        const request = makeRequest(attemptId, {
          className: next.className,
          team: next.team,
          fingerprint: next.fingerprint ?? attemptId,
          excludedServerIds: next.excluded === null ? [] : [next.excluded],
          arrivedAtMs: nowMs - next.ageMs,
          isRetry: next.excluded !== null,
          prefixHash: this.created % 3,
        });
        this.enqueued.push(request);
        scheduler.enqueue(request, nowMs);
        return;
      }
      case 'finish':
      case 'complete': {
        const attemptId = this.selectHeld(next.pick);
        if (attemptId === undefined) return;
        this.held.delete(attemptId);
        const result = next.kind === 'finish' ? next.result : 'completed';
        scheduler.finish({ attemptId, result, firstTokenMs: 50, meanGapMs: next.pick }, nowMs);
        return;
      }
      case 'withdraw': {
        const attemptId = this.selectEnqueued(next.pick)?.attemptId ?? `later-${next.pick}`;
        if (!this.held.has(attemptId)) this.withdrawn.add(attemptId);
        scheduler.withdraw(attemptId);
        return;
      }
      case 'repeat': {
        const request = this.selectEnqueued(next.pick);
        if (request !== undefined) scheduler.enqueue(request, nowMs);
        return;
      }
      case 'adopt': {
        const attemptId = `adopted-${next.pick}`;
        const serverId = SERVERS[next.pick % SERVERS.length]?.id ?? '';
        if (this.decided.has(attemptId)) return;
        this.decided.add(attemptId);
        this.held.set(attemptId, serverId);
        const fields = { className: 'mid', team: 'team-1', fingerprint: 'f1', grantedAtMs: nowMs };
        scheduler.adopt({ attemptId, serverId, ...fields });
        return;
      }
      case 'wait':
        this.nowMs += next.pick % 60;
        return;
      case 'crash':
        scheduler.observeCrash(`f${(next.pick % 3) + 1}`, `s${(next.pick % 4) + 1}`, nowMs);
        return;
      case 'clear':
        scheduler.clearCrash(`f${(next.pick % 3) + 1}`);
        return;
      case 'servers':
        this.servers = SERVERS.filter((_, index) => next.states[index] !== 0).map(
          (server, index) => ({ ...server, isLeaving: next.states[index] === 1 }),
        );
        scheduler.updateServers(this.servers, nowMs);
        return;
    }
  }

  private checkDecisions(): void {
    for (const decision of this.scheduler.takeDecisions(this.nowMs)) {
      const { attemptId } = decision;
      if (this.decided.has(attemptId)) this.problems.push(`${attemptId} got two decisions`);
      if (this.withdrawn.has(attemptId))
        this.problems.push(`${attemptId} got a decision after its withdrawal`);
      this.decided.add(attemptId);
      if (decision.kind === 'shed') continue;
      const server = this.servers.find(({ id }) => id === decision.serverId);
      const used = [...this.held.values()].filter((id) => id === decision.serverId).length;
      if (server === undefined || used >= server.slots)
        this.problems.push(`${attemptId} granted without a free slot`);
      if (server?.isLeaving === true)
        this.problems.push(`${attemptId} granted on a leaving server`);
      const request = this.enqueued.find((other) => other.attemptId === attemptId);
      if (request?.excludedServerIds.includes(decision.serverId)) {
        this.problems.push(`${attemptId} granted on an excluded server`);
      }
      this.checkIsolation(attemptId, decision.serverId);
      this.held.set(attemptId, decision.serverId);
    }
    const granted = new Set(this.scheduler.listGranted());
    const isSame =
      granted.size === this.held.size && [...this.held.keys()].every((id) => granted.has(id));
    if (!isSame) this.problems.push('listGranted differs from the held grants');
  }

  /** Checks that a server runs at most one crash suspect and that a suspect fingerprint runs once at a time. */
  private checkIsolation(attemptId: string, serverId: string): void {
    const fingerprint = this.getFingerprint(attemptId);
    if (!this.suspects.has(fingerprint)) return;
    for (const [otherId, otherServerId] of this.held) {
      const other = this.getFingerprint(otherId);
      if (other === fingerprint)
        this.problems.push(
          `${attemptId} runs at the same time as ${otherId} with the same suspect fingerprint`,
        );
      if (otherServerId !== serverId || !this.suspects.has(other)) continue;
      this.problems.push(`suspects ${attemptId} and ${otherId} both run on ${serverId}`);
    }
  }

  private getFingerprint(attemptId: string): string {
    return this.enqueued.find((other) => other.attemptId === attemptId)?.fingerprint ?? 'f1';
  }

  private selectHeld(index: number): string | undefined {
    return [...this.held.keys()][index % Math.max(1, this.held.size)];
  }

  private selectEnqueued(index: number) {
    return this.enqueued[this.enqueued.length - 1 - (index % 20)];
  }
}

function checkProperty(check: (driver: Driver) => void, seed: number): void {
  const steps = fc.array(stepArbitrary, { minLength: 50, maxLength: 500, size: 'max' });
  const property = fc.property(steps, (list) => {
    const driver = new Driver();
    driver.run(list);
    check(driver);
  });
  fc.assert(property, { seed, numRuns: 100, endOnFailure: true });
}

describe('scheduler with random arrivals, finishes, crashes and repeated calls', () => {
  // Guards against shedding a higher tier in favor of a lower tier.
  test('P1: no higher tier is shed to make room for a lower one', () => {
    checkProperty((driver) => expect(checkTierOrder(driver.events)).toEqual([]), 101);
  });

  // Guards against a class that never starts during a burst of another class.
  test('P2: no class with a floor starves', () => {
    checkProperty((driver) => expect(checkNoStarvation(driver.events, CLASSES)).toEqual([]), 102);
  });

  // Guards against attempts that are granted twice or after their withdrawal, leaked slots and grants on
  // unusable servers.
  test('each attempt gets at most one decision, on a server that may run it', () => {
    checkProperty((driver) => expect(driver.problems).toEqual([]), 103);
  });
});
