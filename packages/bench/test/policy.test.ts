import { createScheduler } from '@pollendrum/policy';
import { describe, expect, test } from 'vitest';
import { runPolicy } from '../src/policy/run';
import type { PolicyName } from '../src/policy/run';
import type { BenchOutcome } from '../src/policy/simulation';
import type { Preset, PresetName } from '../src/policy/workload';
import { BURST_END_MS, WARMUP_MS } from '../src/policy/workload';

const SEED = 1;
const LOAD = 2;
/** The users' targets at twice capacity. */
const MIN_TOP_TIER_ATTAINMENT = 0.95;
const MIN_WASTE_RATIO = 5;
const WINDOW_MS = 10_000;

function createPresetScheduler(preset: Preset) {
  const scheduler = createScheduler();
  scheduler.updateClasses(preset.classes);
  scheduler.updateTeams(preset.teams);
  return scheduler;
}

function runAtTwiceCapacity(policy: PolicyName, preset: PresetName) {
  return runPolicy({
    policy,
    preset,
    load: LOAD,
    seed: SEED,
    createScheduler: createPresetScheduler,
  });
}

function countWaste(outcomes: readonly BenchOutcome[]): number {
  return outcomes.reduce((sum, outcome) => sum + outcome.wastedTokens, 0);
}

// Guards against a policy that loses the top tier, starves a class or wastes work in a burst.
describe.each(['karoo', 'associacao'] as const)('at twice capacity, preset %s', (preset) => {
  const { outcomes, rows } = runAtTwiceCapacity('pollendrum', preset);

  test('the top tier keeps its attainment', () => {
    const top = rows.find((row) => row.class === 'plan');
    expect(top?.attainment).toBeGreaterThanOrEqual(MIN_TOP_TIER_ATTAINMENT);
  });

  test('at least five times fewer tokens are wasted than in arrival order', () => {
    const plain = runAtTwiceCapacity('arrival-order', preset);
    expect(countWaste(plain.outcomes)).toBeGreaterThanOrEqual(
      MIN_WASTE_RATIO * countWaste(outcomes),
    );
  });

  test.each(['plan', 'question', 'background'])('class %s is served in every 10 s', (className) => {
    for (let fromMs = WARMUP_MS; fromMs < BURST_END_MS; fromMs += WINDOW_MS) {
      const served = outcomes.filter(
        ({ arrival, className: name, result, waitMs }) =>
          name === className &&
          result === 'answered' &&
          arrival.atMs + waitMs >= fromMs &&
          arrival.atMs + waitMs < fromMs + WINDOW_MS,
      );
      expect(served.length).toBeGreaterThan(0);
    }
  });

  test('each arrival has one outcome', () => {
    const ids = outcomes.map((outcome) => outcome.arrival.id);
    expect(new Set(ids).size).toBe(ids.length);
  });
});

// Guards against presets that do not differ in what their users weigh.
test('the goodput preset wastes fewer tokens than the attainment preset', () => {
  const [karoo, associacao] = (['karoo', 'associacao'] as const).map((preset) =>
    countWaste(runAtTwiceCapacity('pollendrum', preset).outcomes),
  );
  expect(associacao).toBeLessThan(karoo ?? 0);
});
