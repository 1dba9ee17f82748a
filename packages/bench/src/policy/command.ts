import { mkdirSync, writeFileSync } from 'node:fs';
import { parseArgs } from 'node:util';
import { createScheduler } from '@pollendrum/policy';
import type { CreateScheduler } from './bench-policy';
import { renderAttainmentPlot } from './plot';
import { policyNames, runAllPolicies, runPolicy } from './run';
import { renderTable } from './summary';
import type { PresetName } from './workload';

const PRESET_NAMES: readonly PresetName[] = ['karoo', 'associacao'];
/** The load of the plots: twice the servers' capacity. */
const PLOT_LOAD = 2;

const createPresetScheduler: CreateScheduler = (preset) => {
  const scheduler = createScheduler();
  scheduler.updateClasses(preset.classes);
  scheduler.updateTeams(preset.teams);
  return scheduler;
};

/** Runs the policy bench and prints tables, or one JSON object with `--json`; `--plots DIR` writes SVG files. */
export function runPolicyCommand(args: string[]): Promise<number> {
  const { values } = parseArgs({
    args,
    options: { json: { type: 'boolean', default: false }, plots: { type: 'string' } },
  });
  const rows = runAllPolicies(createPresetScheduler, (text) => {
    process.stderr.write(`${text}\n`);
  });
  if (values.plots !== undefined) writePlots(values.plots);
  const text = values.json
    ? JSON.stringify({ rows }, null, 2)
    : PRESET_NAMES.map((name) => `## ${name}\n\n${renderTable(rows, name)}`).join('\n\n');
  process.stdout.write(`${text}\n`);
  return Promise.resolve(0);
}

function writePlots(directory: string): void {
  mkdirSync(directory, { recursive: true });
  for (const preset of PRESET_NAMES) {
    const series = policyNames.map((policy) => ({
      label: policy,
      outcomes: runPolicy({
        ...{ policy, preset, load: PLOT_LOAD, seed: 1 },
        createScheduler: createPresetScheduler,
      }).outcomes,
    }));
    const title = `${preset}: attainment at ${PLOT_LOAD} times capacity, engine 1 slow from 50 s, engine 2 down 65 to 80 s`;
    writeFileSync(`${directory}/${preset}.svg`, `${renderAttainmentPlot(title, series)}\n`);
  }
}
