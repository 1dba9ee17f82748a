import { mkdirSync, writeFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { FleetSimulation, LARGE_PROFILE } from '../../../policy/test/placement/fleet-simulation';
import type { FleetCase } from '../../../policy/test/placement/fleet-simulation';
import { makeLowestCost, makeSampledLevel } from '../../../policy/test/placement/placement-ways';
import { renderDistributionPlot } from './plot';

const FLEET: FleetCase = {
  ...{ choosers: 74, servers: 98, profile: LARGE_PROFILE, trafficFactor: 1, ageMs: [100, 1_500] },
  ...{ speeds: [1], hasNoise: false, seed: 1, measuredMs: 14_000 },
};

const PLOTS = [
  { name: 'even-load-equal', title: '74 instances, 98 equal servers', fleet: FLEET },
  {
    name: 'even-load-speeds',
    title: '74 instances, 98 servers of speeds 0.7, 0.7 and 1.7, noise',
    fleet: { ...FLEET, speeds: [0.7, 0.7, 1.7], hasNoise: true },
  },
];

/** Simulates placement before and after even load and writes a plot of the distributions into `--plots DIR`. */
export function runEvenLoadCommand(args: string[]): Promise<number> {
  const { values } = parseArgs({
    args,
    options: { plots: { type: 'string', default: 'docs/plots' } },
  });
  mkdirSync(values.plots, { recursive: true });
  for (const { name, title, fleet } of PLOTS) {
    const series = [
      { label: 'before: lowest cost', chooseServer: makeLowestCost() },
      { label: 'after: level of a sample', chooseServer: makeSampledLevel() },
    ].map(({ label, chooseServer }) => {
      const simulation = new FleetSimulation(fleet, chooseServer);
      const measures = simulation.run();
      process.stdout.write(`${title}, ${label}: ${JSON.stringify(measures)}\n`);
      return { label, ratios: computeSortedRatios(simulation.workByWindow) };
    });
    const path = `${values.plots}/${name}.svg`;
    writeFileSync(path, `${renderDistributionPlot(title, series)}\n`);
    process.stdout.write(`wrote ${path}\n`);
  }
  return Promise.resolve(0);
}

/** Values of all servers and windows against their mean, in ascending order. */
function computeSortedRatios(byWindow: readonly (readonly number[])[]): number[] {
  const values = byWindow.flat();
  const mean = values.reduce((sum, value) => sum + value, 0) / Math.max(1, values.length);
  return values.map((value) => value / mean).sort((one, other) => one - other);
}
