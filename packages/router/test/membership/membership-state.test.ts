import fc from 'fast-check';
import { describe, expect, test } from 'vitest';
import { MAX_DATAGRAM_BYTES } from '../../src/membership/datagram-codec';
import { hasPrecedence } from '../../src/membership/member-record';
import { SimulatedFleet } from './simulated-fleet';

const NETWORK_OPTIONS = {
  lossRatio: fc.double({ min: 0, max: 0.2, noNaN: true }),
  maxDelayMs: fc.integer({ min: 1, max: 90 }),
};
const FLEET_OPTIONS = fc.record({
  size: fc.integer({ min: 3, max: 40 }),
  seed: fc.nat(),
  ...NETWORK_OPTIONS,
});

describe('detection', () => {
  // Guards against a dead instance keeping its shards because probes or gossip stop too early.
  test.each([1, 2])(
    'removes a dead instance from all views under loss and reordering, seed %i',
    (seed) => {
      fc.assert(
        fc.property(FLEET_OPTIONS, (options) => {
          const fleet = new SimulatedFleet(options);
          fleet.run(3_000);
          fleet.getNode(1).isUp = false;
          const isRemoved = () =>
            fleet.findObservers('instance-1', ['absent']).length === options.size - 1;
          expect(fleet.run(15_000, isRemoved)).toBe(true);
        }),
        { seed, numRuns: 15 },
      );
    },
  );

  // Guards against healthy instances losing their shards because of packet loss.
  test.each([3, 4])('keeps all live instances at 20% packet loss, seed %i', (seed) => {
    const fleet = new SimulatedFleet({ size: 12, seed, lossRatio: 0.2, maxDelayMs: 90 });
    fleet.run(60_000);
    for (const { id } of fleet.nodes) expect(fleet.findObservers(id, ['absent'])).toEqual([]);
  });

  // Guards against an instance that suspects its peers after its process was paused.
  test('removes no member after the local process was paused', () => {
    const fleet = new SimulatedFleet({ size: 5, seed: 5 });
    fleet.run(3_000);
    fleet.isPartitioned = (from, to) => from === 1 || to === 1;
    const isSuspected = () => fleet.findObservers('instance-1', ['suspect']).includes(0);
    expect(fleet.run(5_000, isSuspected)).toBe(true);
    fleet.getNode(0).isUp = false;
    fleet.isPartitioned = () => false;
    fleet.run(3_000);
    fleet.getNode(0).isUp = true;
    fleet.run(1);
    expect(fleet.findObservers('instance-1', ['absent'])).toEqual([]);
  });
});

describe('refutation', () => {
  // Guards against a live instance losing its shards because a single network path fails.
  test('keeps an instance that only one other instance cannot reach', () => {
    const fleet = new SimulatedFleet({ size: 6, seed: 6 });
    fleet.isPartitioned = (from, to) => (from === 0 && to === 1) || (from === 1 && to === 0);
    fleet.run(30_000);
    expect(fleet.findObservers('instance-1', ['absent'])).toEqual([]);
  });

  // Guards against an instance that receives a suspicion about itself and does not refute it.
  test('an instance that receives a suspicion about itself refutes it with a higher incarnation', () => {
    const fleet = new SimulatedFleet({ size: 4, seed: 7 });
    fleet.run(2_000);
    fleet.isPartitioned = (from, to) => from === 1 || to === 1;
    expect(fleet.run(3_000, () => fleet.findObservers('instance-1', ['suspect']).length > 1)).toBe(
      true,
    );
    fleet.isPartitioned = () => false;
    fleet.run(4_000);
    expect(fleet.findObservers('instance-1', ['alive'])).toHaveLength(4);
  });

  // Guards against a fleet that stays split after both sides of a partition removed each other.
  test.each([8, 9])('both sides rejoin after a long partition, seed %i', (seed) => {
    const fleet = new SimulatedFleet({ size: 8, seed });
    fleet.run(2_000);
    fleet.isPartitioned = (from, to) => from < 4 !== to < 4;
    fleet.run(20_000);
    expect(fleet.findObservers('instance-0', ['absent'])).toHaveLength(4);
    fleet.isPartitioned = () => false;
    const isRejoined = () =>
      fleet.nodes.every(({ id }) => fleet.findObservers(id, ['alive']).length === 8);
    expect(fleet.run(60_000, isRejoined)).toBe(true);
  });
});

describe('evidence from links', () => {
  // Guards against a dead dispatcher keeping its shards until a random probe detects it.
  test.each([
    [6, 17, 0],
    [50, 18, 0],
    [50, 19, 0.05],
  ])(
    'removes a refusing instance from a fleet of %i within 2 s, seed %i, loss %f',
    (size, seed, lossRatio) => {
      const fleet = new SimulatedFleet({ size, seed, lossRatio });
      fleet.run(3_000);
      fleet.getNode(1).isUp = false;
      for (const index of [0, 2]) fleet.reportUnreachable(index, 'instance-1', 'refused');
      const isRemoved = () => fleet.findObservers('instance-1', ['absent']).length === size - 1;
      expect(fleet.run(2_000, isRemoved)).toBe(true);
    },
  );

  // Guards against one observer that receives no datagrams removing a healthy instance for all.
  test.each([20, 21])(
    'an observer that receives no datagrams removes no member from other views, seed %i',
    (seed) => {
      const fleet = new SimulatedFleet({ size: 6, seed, lossRatio: 0.05 });
      fleet.run(3_000);
      fleet.isPartitioned = (_, to) => to === 0;
      fleet.reportUnreachable(0, 'instance-1', 'silent');
      const isRemovedElsewhere = () =>
        fleet.findObservers('instance-1', ['absent']).some((index) => index !== 0);
      let isDeadAtObserver = false;
      fleet.run(5_000, () => {
        isDeadAtObserver ||= fleet.findObservers('instance-1', ['absent']).includes(0);
        return isRemovedElsewhere();
      });
      expect([isDeadAtObserver, isRemovedElsewhere()]).toEqual([true, false]);
      fleet.isPartitioned = () => false;
      const isRestored = () => fleet.findObservers('instance-1', ['alive']).length === 6;
      expect(fleet.run(20_000, isRestored)).toBe(true);
    },
  );

  // Guards against shards moving when a link closes although the instance answers probes.
  test.each(['refused', 'reset', 'silent'] as const)(
    'a member that answers probes is not suspected after %s',
    (evidence) => {
      const fleet = new SimulatedFleet({ size: 6, seed: 22 });
      fleet.run(3_000);
      for (let report = 0; report < 10; report += 1) {
        fleet.reportUnreachable(0, 'instance-1', evidence);
        fleet.run(100);
      }
      const isSuspectedAnywhere = () =>
        fleet.findObservers('instance-1', ['suspect', 'absent']).length > 0;
      expect(fleet.run(2_000, isSuspectedAnywhere)).toBe(false);
    },
  );

  // Guards against live members losing their shards because a refutation arrives late.
  test('a suspicion received by gossip removes no member without a local probe, seed 24', () => {
    const fleet = new SimulatedFleet({ size: 200, seed: 24, lossRatio: 0.05 });
    fleet.run(2_000);
    const countMissing = () =>
      fleet.nodes.reduce((sum, { state }) => sum + 200 - state.getView().members.length, 0);
    let maxMissing = 0;
    for (let round = 0; round < 100; round += 1) {
      fleet.run(100);
      maxMissing = Math.max(maxMissing, countMissing());
    }
    console.info(`200 members, 5% loss, 10 s: ${maxMissing} pairs of 39,800 missed a live member`);
    expect(maxMissing).toBeLessThan(20);
  }, 60_000);

  // Guards against immediate probes that cost too much or fail under packet loss in a large fleet.
  test('instances send under 4 KB/s on average at 530 members and 5% loss, and remove only the dead member', () => {
    const fleet = new SimulatedFleet({ size: 530, seed: 23, lossRatio: 0.05 });
    fleet.run(2_000);
    for (const node of fleet.nodes) node.sentBytes = 0;
    fleet.getNode(1).isUp = false;
    for (let index = 2; index < 40; index += 1) {
      fleet.reportUnreachable(index, 'instance-1', 'refused');
    }
    const startMs = fleet.nowMs;
    const isRemoved = () => fleet.findObservers('instance-1', ['absent']).length === 529;
    while (!isRemoved() && fleet.nowMs - startMs < 4_000) fleet.run(100);
    const removedMs = fleet.nowMs - startMs;
    fleet.run(4_000 - removedMs);
    const mean = fleet.nodes.reduce((sum, { sentBytes }) => sum + sentBytes, 0) / 529 / 4;
    const missing = fleet.nodes.map(({ state }) => 530 - state.getView().members.length);
    console.info(`530 members, 5% loss: ${mean.toFixed(0)} B/s, removed after ${removedMs} ms`);
    expect(removedMs).toBeLessThan(4_000);
    expect(mean).toBeLessThan(4_000);
    expect(new Set(missing.filter((_, index) => index !== 1))).toEqual(new Set([1]));
  }, 120_000);
});

describe('leaving', () => {
  // Guards against a stopping instance that keeps its shards, or gets them back while it drains.
  test('reaches all views and lasts until the instance is removed', () => {
    const fleet = new SimulatedFleet({ size: 9, seed: 10, lossRatio: 0.1 });
    fleet.run(3_000);
    fleet.applyEffects(2, fleet.getNode(2).state.publishLeaving(fleet.nowMs));
    expect(
      fleet.run(5_000, () => fleet.findObservers('instance-2', ['leaving']).length === 9),
    ).toBe(true);
    fleet.getNode(2).isUp = false;
    const isActiveAgain = () => fleet.findObservers('instance-2', ['alive', 'suspect']).length > 0;
    expect(fleet.run(12_000, isActiveAgain)).toBe(false);
    expect(fleet.findObservers('instance-2', ['absent'])).toHaveLength(8);
  });
});

// Guards against a suspicion that makes a leaving instance an owner of shards again.
test.each([
  ['suspect', 1, 'leaving', 1, false],
  ['leaving', 1, 'suspect', 1, true],
  ['dead', 1, 'leaving', 1, true],
  ['alive', 2, 'dead', 1, true],
  ['alive', 1, 'suspect', 1, false],
] as const)(
  'hasPrecedence: %s with incarnation %i over %s with incarnation %i is %s',
  (state, incarnation, knownState, knownIncarnation, expected) => {
    const common = {
      kind: 'member',
      instanceId: 'a',
      address: '',
      peerPort: 1,
      adminPort: 1,
    } as const;
    const update = { ...common, failureDomain: 'd', region: 'r', incarnation, state };
    const known = { ...update, incarnation: knownIncarnation, state: knownState };
    expect(hasPrecedence(update, known)).toBe(expected);
  },
);

describe('platform list', () => {
  // Guards against a stale or wrong list removing an instance that answers probes.
  test('never removes an instance that answers probes', () => {
    const fleet = new SimulatedFleet({ size: 5, seed: 11 });
    for (let round = 0; round < 5; round += 1) {
      fleet.run(20_000);
      fleet.mergeList(0, fleet.listedInstances.slice(0, 4));
      expect(fleet.findObservers('instance-4', ['alive'])).toHaveLength(5);
    }
  });

  // Guards against removing a member only because it was not probed since it left the list.
  test('an unlisted instance is probed before it is removed', () => {
    const fleet = new SimulatedFleet({ size: 60, seed: 16 });
    fleet.run(1_000);
    fleet.mergeList(0, []);
    fleet.run(31_000);
    fleet.mergeList(0, []);
    expect(fleet.getNode(0).state.getView().members).toHaveLength(60);
    fleet.run(6_000);
    expect(fleet.getNode(0).state.getView().members).toHaveLength(60);
  });

  // Guards against a newly listed instance staying unknown until it contacts the other instances.
  test('adds an unknown instance as alive and probes it', () => {
    const fleet = new SimulatedFleet({ size: 3, seed: 12 });
    const listed = { ...fleet.listedInstances[1], id: 'ghost', peerPort: 10_002 };
    fleet.mergeList(0, [
      ...fleet.listedInstances,
      listed as (typeof fleet.listedInstances)[number],
    ]);
    expect(fleet.findObservers('ghost', ['alive'])).toEqual([0]);
    fleet.run(10_000);
    expect(fleet.findObservers('ghost', ['alive', 'suspect'])).toEqual([]);
  });
});

describe('gossip', () => {
  // Guards against crash reports or bundle numbers that reach only some of the dispatchers.
  test('delivers crash reports, cleared reports and bundle numbers to all instances', () => {
    const fleet = new SimulatedFleet({ size: 20, seed: 13, lossRatio: 0.1 });
    fleet.run(1_000);
    const { state } = fleet.getNode(3);
    state.setBundleNumber(7);
    const crash = { kind: 'crash', fingerprint: 'f1', serverId: 's1', ageMs: 0 } as const;
    fleet.applyEffects(3, state.publishCrashReport(crash, fleet.nowMs));
    const countCrashes = () =>
      fleet.nodes.filter(
        ({ state: each }) => each.listCrashReports(fleet.nowMs)[0]?.kind === 'crash',
      ).length;
    expect(fleet.run(8_000, () => countCrashes() === 20)).toBe(true);
    const notifiedNodes = fleet.nodes.filter(({ effects }) =>
      effects.some((effect) => effect.kind === 'bundle-number-raised' && effect.bundleNumber === 7),
    );
    expect(notifiedNodes).toHaveLength(19);
    fleet.applyEffects(
      5,
      fleet.getNode(5).state.publishCrashReport({ ...crash, kind: 'cleared' }, fleet.nowMs),
    );
    expect(fleet.run(8_000, () => countCrashes() === 0)).toBe(true);
    expect(state.listCrashReports(fleet.nowMs + 600_001)).toEqual([]);
  });
});

describe('cost', () => {
  // Guards against datagrams over the size limit when a large failure queues many updates.
  test('keeps datagrams within 400 bytes when half of the members fail at once', () => {
    const fleet = new SimulatedFleet({ size: 40, seed: 15 });
    fleet.run(2_000);
    for (const node of fleet.nodes.slice(0, 20)) node.isUp = false;
    const isDone = () =>
      fleet.nodes.slice(0, 20).every(({ id }) => fleet.findObservers(id, ['absent']).length === 20);
    expect(fleet.run(60_000, isDone)).toBe(true);
    expect(fleet.largestDatagramBytes).toBeGreaterThan(MAX_DATAGRAM_BYTES - 100);
    expect(fleet.largestDatagramBytes).toBeLessThanOrEqual(MAX_DATAGRAM_BYTES);
  });

  // Guards against datagram sizes and bandwidth that grow with the fleet beyond their limits.
  test.each([50, 530])(
    'instances send under 2 KB/s on average in a fleet of %i, in datagrams within 400 bytes',
    (size) => {
      const fleet = new SimulatedFleet({ size, seed: 14 });
      fleet.run(4_000);
      for (const node of fleet.nodes) node.sentBytes = 0;
      fleet.getNode(1).isUp = false;
      const startMs = fleet.nowMs;
      const isRemoved = () => fleet.findObservers('instance-1', ['absent']).length === size - 1;
      while (!isRemoved() && fleet.nowMs - startMs < 15_000) fleet.run(100);
      const detectedMs = fleet.nowMs - startMs;
      const rates = fleet.nodes.slice(2).map(({ sentBytes }) => (sentBytes * 1_000) / detectedMs);
      const mean = rates.reduce((sum, rate) => sum + rate, 0) / rates.length;
      console.info(
        `${size} members: mean ${mean.toFixed(0)} B/s, highest ${Math.max(...rates).toFixed(0)} B/s, removed everywhere after ${detectedMs} ms, largest datagram ${fleet.largestDatagramBytes} B`,
      );
      expect(detectedMs).toBeLessThan(15_000);
      expect(mean).toBeLessThan(2_000);
      expect(fleet.largestDatagramBytes).toBeLessThanOrEqual(MAX_DATAGRAM_BYTES);
    },
    120_000,
  );
});
