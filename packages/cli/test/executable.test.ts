import { execFile, execFileSync } from 'node:child_process';
import { mkdirSync, mkdtempSync, rmSync } from 'node:fs';
import { join, resolve } from 'node:path';
import { promisify } from 'node:util';
import { afterAll, beforeAll, expect, test } from 'vitest';

let folder: string;

beforeAll(() => {
  // Inside the checkout, so that the executable finds the libraries' native parts as a user's would.
  mkdirSync('dist', { recursive: true });
  folder = mkdtempSync(resolve('dist/executable-'));
  execFileSync(process.execPath, ['scripts/build.mjs', '--binary', '--folder', folder]);
}, 120_000);

afterAll(() => {
  rmSync(folder, { recursive: true, force: true });
});

// Guards against an executable that ends at its start because it loads a native part that cannot be linked to it.
test('the single executable starts beside the checkout', async () => {
  const { stdout } = await promisify(execFile)(join(folder, 'pollendrum'), ['--help']);
  expect(stdout).toContain('Usage: pollendrum');
});
