import { computeFullRate } from './batching-server';
import type { BatchingServerOptions } from './batching-server';
import { AssignedServerPolicy, createSchedulerPolicy, StrictPriorityPolicy } from './bench-policy';
import type { BenchPolicy, CreateScheduler, ReadReportedLoad } from './bench-policy';
import { Simulation } from './simulation';
import type { BenchFault, BenchOutcome } from './simulation';
import { summarizeRun } from './summary';
import type { BenchRow } from './summary';
import { createArrivals, createRandom, presets, WORKLOAD_END_MS } from './workload';
import type { Preset, PresetName } from './workload';

export type PolicyName = 'pollendrum' | 'arrival-order' | 'least-reported-load' | 'strict-priority';

export const policyNames: readonly PolicyName[] = [
  'pollendrum',
  'arrival-order',
  'least-reported-load',
  'strict-priority',
];

export const benchLoads = [0.8, 1.2, 2, 3];
export const benchSeeds = [1, 2, 3, 4, 5];

const SERVER_COUNT = 8;
const SLOTS = 8;
const TOKENS_PER_SECOND = 60;

const servers: readonly BatchingServerOptions[] = Array.from(
  { length: SERVER_COUNT },
  (_, index) => ({
    id: `engine-${index}`,
    slots: SLOTS,
    tokensPerSecond: TOKENS_PER_SECOND,
  }),
);

/** One engine runs at 40% from the middle of the burst; another crashes and comes back. */
const faults: readonly BenchFault[] = [
  { kind: 'slow', atMs: 50_000, serverId: 'engine-1', speed: 0.4 },
  { kind: 'crash', atMs: 65_000, serverId: 'engine-2' },
  { kind: 'restart', atMs: 80_000, serverId: 'engine-2' },
];

export interface BenchRunOptions {
  policy: PolicyName;
  preset: PresetName;
  /** Demand during the burst as a multiple of capacity. */
  load: number;
  seed: number;
  createScheduler: CreateScheduler;
}

/** Runs one policy over one recorded workload. */
export function runPolicy(options: BenchRunOptions): {
  outcomes: BenchOutcome[];
  rows: BenchRow[];
} {
  const preset = presets[options.preset];
  const capacityTokensPerSecond = servers.reduce((sum, server) => sum + computeFullRate(server), 0);
  const arrivals = createArrivals({
    preset,
    load: options.load,
    capacityTokensPerSecond,
    seed: options.seed,
  });
  const simulation = new Simulation({
    preset,
    arrivals,
    servers,
    faults,
    createPolicy: (readReportedLoad) => createPolicy(options, preset, readReportedLoad),
  });
  const outcomes = simulation.run();
  const labels = { ...options, preset, durationMs: WORKLOAD_END_MS };
  return { outcomes, rows: summarizeRun(outcomes, labels) };
}

function createPolicy(
  options: BenchRunOptions,
  preset: Preset,
  readReportedLoad: ReadReportedLoad,
): BenchPolicy {
  const random = createRandom(options.seed + 1000);
  switch (options.policy) {
    case 'pollendrum':
      return createSchedulerPolicy(options.createScheduler(preset));
    case 'arrival-order':
      return new AssignedServerPolicy((ids) => ids[Math.floor(random() * ids.length)]);
    case 'least-reported-load':
      return new AssignedServerPolicy((ids) => chooseLeastLoaded(ids, readReportedLoad, random));
    case 'strict-priority':
      return new StrictPriorityPolicy(preset.classes);
  }
}

function chooseLeastLoaded(
  ids: readonly string[],
  readReportedLoad: ReadReportedLoad,
  random: () => number,
): string | undefined {
  const scored = ids.map((id) => ({ id, load: readReportedLoad(id) + random() / 2 }));
  return scored.sort((a, b) => a.load - b.load)[0]?.id;
}

/** Runs every policy, preset, load and seed. */
export function runAllPolicies(
  createScheduler: CreateScheduler,
  notify: (text: string) => void,
): BenchRow[] {
  const rows: BenchRow[] = [];
  for (const preset of ['karoo', 'associacao'] as const) {
    for (const load of benchLoads) {
      notify(`${preset} at ${load} times capacity`);
      for (const policy of policyNames) {
        for (const seed of benchSeeds) {
          rows.push(...runPolicy({ policy, preset, load, seed, createScheduler }).rows);
        }
      }
    }
  }
  return rows;
}
