import { runSmoke } from './run';

/** Runs the smoke test and prints its result as JSON; exits 1 when something is not whole. */
export async function runSmokeCommand(): Promise<number> {
  const result = await runSmoke();
  process.stdout.write(`${JSON.stringify(result, undefined, 2)}\n`);
  return result.isWhole ? 0 : 1;
}
