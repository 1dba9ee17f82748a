import { expect, test } from 'vitest';
import { DEFAULT_ENGINE_PROFILE } from '../../src';
import { FleetSimulation, LARGE_PROFILE } from './fleet-simulation';
import type { ChooseServer, FleetCase, FleetMeasures } from './fleet-simulation';
import { chooseByLevel, makeLowestCost, makeSampledLevel } from './placement-ways';

const BEFORE = makeLowestCost();
const CHOSEN = makeSampledLevel();
const WAYS: Readonly<Record<string, ChooseServer>> = {
  before: BEFORE,
  'two choices': makeLowestCost(2),
  '8 choices': makeLowestCost(8),
  'subset of 24': makeLowestCost(Infinity, 24),
  'level of all': chooseByLevel,
  'sampled level': CHOSEN,
};

const LARGE: FleetCase = {
  ...{ choosers: 74, servers: 98, profile: LARGE_PROFILE, trafficFactor: 1, ageMs: [100, 1_500] },
  ...{ speeds: [1], hasNoise: false, seed: 1, measuredMs: 14_000 },
};
const MIXED = { speeds: [0.7, 0.7, 1.7], hasNoise: true };
const SMALL: FleetCase = {
  ...{ choosers: 6, servers: 8, profile: DEFAULT_ENGINE_PROFILE, trafficFactor: 0.15, seed: 1 },
  ...{ ageMs: [100, 300], speeds: [1], hasNoise: false, measuredMs: 14_000 },
};

/** With PRINT_EVEN_LOAD=all, all ways are measured in all cases, which takes 10 minutes; or those with these names. */
const printedNames = process.env['PRINT_EVEN_LOAD'];
const PRINTED_WAYS = printedNames === 'all' ? undefined : printedNames?.split(',');
const cases = [6, 74, 195].flatMap((choosers) => [
  { ...LARGE, choosers },
  { ...LARGE, choosers, ...MIXED },
]);
const PRINTED = [...cases, ...[1, 2, 3, 4].map((seed) => ({ ...SMALL, seed }))];

function formatMeasures(measures: FleetMeasures): string {
  const { firstEventMs, ...others } = measures;
  const times = Object.entries(firstEventMs).map(
    ([kind, values]) => `${kind} ${values.map((value) => value.toFixed(0)).join('/')}`,
  );
  const numbers = Object.entries(others).map(([name, value]) => `${name} ${value.toFixed(3)}`);
  return [...numbers, ...times].join(', ');
}

test.runIf(printedNames !== undefined)('measures of all ways', { timeout: 1_800_000 }, () => {
  for (const fleet of PRINTED) {
    for (const [name, chooseServer] of Object.entries(WAYS)) {
      if (PRINTED_WAYS !== undefined && !PRINTED_WAYS.includes(name)) continue;
      const measures = new FleetSimulation(fleet, chooseServer).run();
      const { choosers, servers, speeds, seed } = fleet;
      const place = `${choosers} choosers, ${servers} servers, speeds ${speeds.join('/')}, seed ${seed}`;
      console.info(`${place}, ${name}: ${formatMeasures(measures)}`);
    }
  }
});

// Guards against herds: servers that are overrun in turns while others are idle, because all instances see the same
// server as the least loaded until the next reports.
test.each([
  { name: '74 choosers, equal servers', fleet: LARGE },
  { name: '74 choosers, speeds 0.7 and 1.7, noise', fleet: { ...LARGE, ...MIXED } },
])(
  '$name: load is more even and first events come earlier',
  { timeout: 120_000 },
  ({ fleet: longer }) => {
    const fleet = { ...longer, measuredMs: 14_000 };
    const before = new FleetSimulation(fleet, BEFORE).run();
    const after = new FleetSimulation(fleet, CHOSEN).run();
    expect(after.spread).toBeLessThan(before.spread * 0.85);
    expect(after.workSpread).toBeLessThan(before.workSpread * 0.85);
    expect(after.idleWhileWaiting).toBeLessThan(before.idleWhileWaiting / 2);
    expect(after.prefilledPerMs).toBeLessThan(before.prefilledPerMs * 1.1);
    expect(after.onTime).toBeGreaterThan(before.onTime);
    expect(after.reports).toBeLessThan(before.reports * 1.05);
    for (const [kind, [meanMs]] of Object.entries(after.firstEventMs)) {
      expect(meanMs, kind).toBeLessThan(before.firstEventMs[kind]?.[0] ?? 0);
    }
  },
);

// Guards against randomness where an instance sees nearly all of the load.
test('6 choosers, 8 servers of 64 slots: as many streams are on time', { timeout: 60_000 }, () => {
  const [before, after] = [BEFORE, CHOSEN].map((chooseServer) =>
    [1, 2, 3, 4].map((seed) => new FleetSimulation({ ...SMALL, seed }, chooseServer).run().onTime),
  );
  const total = (shares: readonly number[] = []) => shares.reduce((sum, share) => sum + share, 0);
  expect(total(after)).toBeGreaterThan(total(before) - 0.04);
});
