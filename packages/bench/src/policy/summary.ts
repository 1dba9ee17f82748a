import type { BenchOutcome } from './simulation';
import type { Preset } from './workload';

/** One line of the bench's result. */
export interface BenchRow {
  policy: string;
  preset: string;
  load: number;
  seed: number;
  class: string;
  /** Share of requests answered with the first token on time, 0 to 1. */
  attainment: number;
  /** Output tokens of whole answers, per second. */
  goodput: number;
  wastedTokens: number;
  longestWaitMs: number;
}

/** Median with the smallest and largest value over the seeds. */
export interface Spread {
  median: number;
  min: number;
  max: number;
}

const MS_PER_SECOND = 1000;

export interface RowLabels {
  policy: string;
  preset: Preset;
  load: number;
  seed: number;
  durationMs: number;
}

/** Summarizes the outcomes of one run, a row for each class. */
export function summarizeRun(outcomes: readonly BenchOutcome[], labels: RowLabels): BenchRow[] {
  return labels.preset.classes.map((item) => {
    const own = outcomes.filter((outcome) => outcome.className === item.name);
    const answered = own.filter((outcome) => outcome.result === 'answered');
    const tokens = answered.reduce((sum, outcome) => sum + outcome.arrival.outputTokens, 0);
    return {
      policy: labels.policy,
      preset: labels.preset.name,
      load: labels.load,
      seed: labels.seed,
      class: item.name,
      attainment: own.filter((outcome) => outcome.onTime).length / Math.max(1, own.length),
      goodput: tokens / (labels.durationMs / MS_PER_SECOND),
      wastedTokens: own.reduce((sum, outcome) => sum + outcome.wastedTokens, 0),
      longestWaitMs: Math.max(0, ...own.map((outcome) => outcome.waitMs)),
    };
  });
}

export function computeSpread(values: readonly number[]): Spread {
  const sorted = [...values].sort((a, b) => a - b);
  const middle = sorted[Math.floor(sorted.length / 2)] ?? 0;
  return { median: middle, min: sorted[0] ?? 0, max: sorted.at(-1) ?? 0 };
}

const HEADER =
  '| load | policy | class | attainment | goodput tokens/s | wasted tokens | longest wait s |';
const RULE = '| --- | --- | --- | --- | --- | --- | --- |';

/** Renders one Markdown table for a preset: median over the seeds, smallest and largest in brackets. */
export function renderTable(rows: readonly BenchRow[], preset: string): string {
  const own = rows.filter((row) => row.preset === preset);
  const keys = [...new Set(own.map((row) => [row.load, row.policy, row.class].join('\n')))];
  const lines = keys.map((key) => {
    const [load = '', policy = '', className = ''] = key.split('\n');
    const group = own.filter(
      (row) => String(row.load) === load && row.policy === policy && row.class === className,
    );
    const cells = [
      formatSpread(
        group.map((row) => row.attainment),
        3,
      ),
      formatSpread(
        group.map((row) => row.goodput),
        0,
      ),
      formatSpread(
        group.map((row) => row.wastedTokens),
        0,
      ),
      formatSpread(
        group.map((row) => row.longestWaitMs / MS_PER_SECOND),
        1,
      ),
    ];
    return `| ${[load, policy, className, ...cells].join(' | ')} |`;
  });
  return [HEADER, RULE, ...lines].join('\n');
}

function formatSpread(values: readonly number[], digits: number): string {
  const { median, min, max } = computeSpread(values);
  return `${median.toFixed(digits)} (${min.toFixed(digits)} to ${max.toFixed(digits)})`;
}
