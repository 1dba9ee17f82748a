import { parseArgs } from 'node:util';
import { runCell } from './driver';
import type { CellResult } from './driver';
import { FAULTS } from './faults';
import type { Fault } from './faults';
import { listKnownRedCells } from './known-red';
import { isQuickCell } from './quick';
import { STEPS } from './steps';
import type { Step } from './steps';

const PARALLEL_CELLS = 3;

interface Cell {
  fault: Fault;
  step: Step;
}

/** Thrown for a row or column that does not exist. */
class UnknownNameError extends Error {
  override readonly name = 'UnknownNameError';
}

/**
 * Runs the fault matrix: `--seed N`, `--rows` and `--steps` with names, `--quick`, `--json`.
 * Resolves with 1 when a cell failed that KNOWN-RED.txt does not list.
 */
export async function runMatrixCommand(args: string[]): Promise<number> {
  const { values } = parseArgs({
    args,
    options: {
      seed: { type: 'string', default: '1' },
      json: { type: 'boolean', default: false },
      quick: { type: 'boolean', default: false },
      rows: { type: 'string' },
      steps: { type: 'string' },
    },
  });
  const seed = Number(values.seed);
  // A signal alone would end this process without ending the fleets.
  process.once('SIGTERM', endNow);
  process.once('SIGINT', endNow);
  const cells = listCells(values.rows, values.steps, values.quick);
  const results = await runCells(cells, seed);
  process.stdout.write(
    values.json ? `${JSON.stringify({ seed, cells: results }, null, 2)}\n` : renderReport(results),
  );
  return results.some((result) => result.result === 'failed' && !isKnownRed(result)) ? 1 : 0;
}

function endNow(): never {
  process.exit(1);
}

function listCells(rows: string | undefined, steps: string | undefined, isQuick: boolean): Cell[] {
  const faults = selectNamed(FAULTS, rows);
  const columns = selectNamed(STEPS, steps);
  return faults
    .flatMap((fault) => columns.map((step) => ({ fault, step })))
    .filter(({ fault, step }) => !isQuick || isQuickCell(fault.name, step.name));
}

function selectNamed<T extends { name: string }>(all: readonly T[], names?: string): readonly T[] {
  if (names === undefined) return all;
  return names.split(',').map((name) => {
    const found = all.find((candidate) => candidate.name === name);
    if (found) return found;
    const known = all.map((candidate) => candidate.name).join(', ');
    throw new UnknownNameError(`there is no '${name}'; known: ${known}`);
  });
}

/** Runs the cells, at most three at a time; the results are in the order of the cells. */
async function runCells(cells: readonly Cell[], seed: number): Promise<CellResult[]> {
  const results: CellResult[] = [];
  let next = 0;
  const runNext = async () => {
    for (let index = next++; index < cells.length; index = next++) {
      const cell = cells[index];
      if (!cell) return;
      const result = await runCell(cell.fault, cell.step, seed);
      results[index] = result;
      process.stderr.write(`${renderCell(result)}\n`);
    }
  };
  await Promise.all(Array.from({ length: PARALLEL_CELLS }, runNext));
  return results;
}

function isKnownRed({ fault, step }: CellResult): boolean {
  return listKnownRedCells().some((known) => known.fault === fault && known.step === step);
}

function renderCell({ fault, step, result, reason }: CellResult): string {
  return `${result} ${fault} / ${step}${reason === undefined ? '' : `: ${reason}`}`;
}

const SYMBOLS: Record<CellResult['result'], string> = {
  passed: 'pass',
  failed: 'FAIL',
  'not-applicable': 'n/a',
};

/** The table, then every failed cell and every reason for a cell that does not apply. */
function renderReport(results: readonly CellResult[]): string {
  const steps = [...new Set(results.map(({ step }) => step))];
  const faults = [...new Set(results.map(({ fault }) => fault))];
  const header = `| fault | ${steps.join(' | ')} |`;
  const ruler = `|${' --- |'.repeat(steps.length + 1)}`;
  const rows = faults.map((fault) => {
    const marks = steps.map((step) => {
      const found = results.find((result) => result.fault === fault && result.step === step);
      return found ? SYMBOLS[found.result] : 'not run';
    });
    return `| ${fault} | ${marks.join(' | ')} |`;
  });
  const notes = results.filter(({ result }) => result === 'failed').map(renderCell);
  const reasons = new Set(
    results
      .filter(({ result }) => result === 'not-applicable')
      .map(({ fault, reason }) => `not applicable ${fault}: ${reason ?? ''}`),
  );
  return `${[header, ruler, ...rows, '', ...notes, ...reasons].join('\n')}\n`;
}
