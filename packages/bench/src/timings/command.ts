import { loadavg } from 'node:os';
import { parseArgs } from 'node:util';
import { Fleet } from './fleet';
import { SCENARIO_NAMES, SCENARIOS } from './scenarios';
import type { ScenarioName } from './scenarios';
import { SteadyLoad } from './steady-load';
import type { LoadSummary } from './steady-load';

/** One run of a scenario. */
export interface Trial extends LoadSummary {
  scenario: ScenarioName;
  instances: number;
  /** Undefined when the run did not end as expected; `error` says why. */
  seconds: number | undefined;
  error: string | undefined;
}

const REQUESTS_PER_SECOND = 40;
const MAX_TOKENS = 4;
const WARM_UP_MS = 500;

const OPTIONS = {
  json: { type: 'boolean', default: false },
  runs: { type: 'string', default: '3' },
  instances: { type: 'string', default: '3,6' },
  scenarios: { type: 'string', default: SCENARIO_NAMES.join(',') },
  parallel: { type: 'string', default: '3' },
  router: { type: 'string', default: 'dist/pollendrum.cjs' },
} as const;

/** Measures recovery times and prints a table, or JSON; exits 1 when a run failed. */
export async function runTimingsCommand(args: string[]): Promise<number> {
  const { values } = parseArgs({ args, options: OPTIONS });
  const names = SCENARIO_NAMES.filter((name) => values.scenarios.split(',').includes(name));
  const pending = names.flatMap((scenario) =>
    values.instances
      .split(',')
      .flatMap((size) => Array(Number(values.runs)).fill({ scenario, instances: Number(size) })),
  ) as Pick<Trial, 'scenario' | 'instances'>[];
  const trials: Trial[] = [];
  const loadBefore = loadavg()[0] ?? 0;
  const runWorker = async () => {
    for (let next = pending.shift(); next !== undefined; next = pending.shift()) {
      trials.push(await runTrial(next.scenario, next.instances, values.router));
    }
  };
  await Promise.all(Array.from({ length: Number(values.parallel) }, runWorker));
  const machineLoad = { before: loadBefore, after: loadavg()[0] ?? 0 };
  const text = values.json
    ? JSON.stringify({ machineLoad, trials }, undefined, 2)
    : formatTable(trials, machineLoad);
  process.stdout.write(`${text}\n`);
  return trials.some(({ error }) => error !== undefined) ? 1 : 0;
}

async function runTrial(
  scenario: ScenarioName,
  instances: number,
  routerScript: string,
): Promise<Trial> {
  const nothing = { sent: 0, failed: 0, cutOff: 0, late: 0, failures: {} };
  const common = { scenario, instances, seconds: undefined, error: undefined };
  try {
    await using fleet = await Fleet.start(instances, routerScript);
    const urls = fleet.instances.map(({ url }) => url);
    await using load = new SteadyLoad(urls, fleet.bearerKey, REQUESTS_PER_SECOND, MAX_TOKENS);
    await new Promise((resolve) => setTimeout(resolve, WARM_UP_MS));
    const elapsedMs = await SCENARIOS[scenario](fleet, load);
    const summary = await load.finish();
    return { ...common, ...summary, seconds: elapsedMs / 1000 };
  } catch (error) {
    return { ...common, ...nothing, error: String(error) };
  }
}

function formatTable(
  trials: readonly Trial[],
  machineLoad: { before: number; after: number },
): string {
  const lines = [
    '| measured | instances | median s | worst s | sent | failed | cut off | late |',
    '| --- | --: | --: | --: | --: | --: | --: | --: |',
  ];
  for (const scenario of SCENARIO_NAMES) {
    const ofScenario = trials.filter((trial) => trial.scenario === scenario);
    for (const instances of new Set(ofScenario.map((trial) => trial.instances))) {
      lines.push(formatRow(ofScenario.filter((trial) => trial.instances === instances)));
    }
  }
  for (const { scenario, instances, error, failures } of trials) {
    const note = error ?? (Object.keys(failures).length > 0 ? JSON.stringify(failures) : '');
    if (note !== '') lines.push(`${scenario}, ${instances.toString()} instances: ${note}`);
  }
  const { before, after } = machineLoad;
  lines.push(`machine load (1 min): ${before.toFixed(1)} before, ${after.toFixed(1)} after`);
  return lines.join('\n');
}

function formatRow(trials: readonly Trial[]): string {
  const seconds = trials
    .map((trial) => trial.seconds ?? Infinity)
    .sort((first, second) => first - second);
  const median = seconds[Math.floor((seconds.length - 1) / 2)] ?? NaN;
  const sum = (field: 'sent' | 'failed' | 'cutOff' | 'late') =>
    trials.reduce((total, trial) => total + trial[field], 0);
  const cells = [
    ...[trials[0]?.scenario, trials[0]?.instances, median.toFixed(3)],
    ...[(seconds.at(-1) ?? NaN).toFixed(3), sum('sent'), sum('failed'), sum('cutOff'), sum('late')],
  ];
  return `| ${cells.join(' | ')} |`;
}
