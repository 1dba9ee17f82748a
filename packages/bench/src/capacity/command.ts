import { mkdtempSync, rmSync } from 'node:fs';
import { cpus, loadavg, tmpdir, totalmem } from 'node:os';
import { dirname, join } from 'node:path';
import { parseArgs } from 'node:util';
import type { Figure, MeasurementContext } from './measurement';
import { MEASUREMENTS, MEASUREMENT_NAMES, type MeasurementName } from './measurements';

/** Figures of one measurement and the machine's load at its start. */
interface MeasurementResult {
  name: MeasurementName;
  description: string;
  /** Load average over one minute, before and after. */
  loadBefore: number;
  loadAfter: number;
  elapsedSeconds: number;
  figures: Figure[];
}

const OPTIONS = {
  json: { type: 'boolean', default: false },
  quick: { type: 'boolean', default: false },
  only: { type: 'string', multiple: true },
} as const;

/**
 * Runs the capacity measurements and prints tables, or one JSON object with `--json`. `--quick`
 * takes fewer sizes; `--only NAME` selects measurements.
 */
export async function runCapacityCommand(args: string[]): Promise<number> {
  const { values } = parseArgs({ args, options: OPTIONS });
  const names = selectNames(values.only ?? []);
  const scratchDirectory = mkdtempSync(join(tmpdir(), 'pollendrum-capacity-'));
  const context: MeasurementContext = {
    scope: values.quick ? 'quick' : 'full',
    distDirectory: dirname(process.argv[1] ?? ''),
    scratchDirectory,
  };
  try {
    const results: MeasurementResult[] = [];
    for (const name of names) results.push(await runMeasurement(name, context));
    const text = values.json
      ? JSON.stringify({ machine: describeMachine(), scope: context.scope, results }, null, 2)
      : results.map(renderResult).join('\n');
    process.stdout.write(`${text}\n`);
    return 0;
  } finally {
    rmSync(scratchDirectory, { recursive: true, force: true });
  }
}

function selectNames(only: readonly string[]): readonly MeasurementName[] {
  const unknown = only.filter((name) => !MEASUREMENT_NAMES.some((known) => known === name));
  if (unknown.length > 0) {
    throw new Error(
      `unknown measurement ${unknown.join(', ')}; known: ${MEASUREMENT_NAMES.join(', ')}`,
    );
  }
  if (only.length === 0) return MEASUREMENT_NAMES;
  return MEASUREMENT_NAMES.filter((name) => only.includes(name));
}

async function runMeasurement(
  name: MeasurementName,
  context: MeasurementContext,
): Promise<MeasurementResult> {
  process.stderr.write(`measuring ${name}\n`);
  const { description, run } = MEASUREMENTS[name];
  const loadBefore = readLoad();
  const startedAtMs = performance.now();
  const figures = await run(context);
  const elapsedSeconds = Math.round((performance.now() - startedAtMs) / 1_000);
  return { name, description, loadBefore, loadAfter: readLoad(), elapsedSeconds, figures };
}

function readLoad(): number {
  return Number((loadavg()[0] ?? 0).toFixed(1));
}

function describeMachine() {
  return { node: process.version, cores: cpus().length, memoryBytes: totalmem() };
}

function renderResult(result: MeasurementResult): string {
  const { name, description, loadBefore, loadAfter, elapsedSeconds, figures } = result;
  const title = `## ${name}: ${description}\n\nload ${loadBefore} to ${loadAfter}, ${elapsedSeconds} s\n`;
  const rows = figures.map((figure) => `| ${figure.name} | ${figure.value} | ${figure.unit} |`);
  return [title, '| figure | value | unit |', '| --- | --- | --- |', ...rows, ''].join('\n');
}
