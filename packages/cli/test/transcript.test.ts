import { execFile, spawn } from 'node:child_process';
import { createHash, generateKeyPairSync } from 'node:crypto';
import { once } from 'node:events';
import { mkdtemp, readFile, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join, resolve } from 'node:path';
import { findFreePort } from '@pollendrum/bench';
import { createStarterBundle } from '@pollendrum/platform';
import { createPlatform } from '@pollendrum/stand-ins';
import { afterEach, beforeEach, describe, expect, test } from 'vitest';

const SCRIPT_TIMEOUT_MS = 60_000;
const OPERATOR_PAGES = ['rollout-and-rollback.md', 'platform-outage.md'];
const root = resolve('.');

let folder: string;
beforeEach(async () => {
  folder = await mkdtemp(join(tmpdir(), 'pollendrum-transcript-'));
});
afterEach(async () => {
  await rm(folder, { recursive: true, force: true });
});

/** The blocks of a page with the info string `sh run`. */
async function readBlocks(page: string): Promise<string[]> {
  const text = await readFile(page, 'utf8');
  return [...text.matchAll(/^```sh run\n([\s\S]*?)^```$/gm)].map((match) => match[1] ?? '');
}

/** One script of the README's blocks; those of the operator pages run before its last one, which stops all. */
async function readScript(): Promise<string> {
  const blocks = await readBlocks('README.md');
  const lastBlock = blocks.pop() ?? '';
  for (const page of OPERATOR_PAGES) {
    const pageBlocks = await readBlocks(`docs/operations/${page}`);
    expect(pageBlocks, page).not.toHaveLength(0);
    blocks.push(...pageBlocks);
  }
  return ['set -euo pipefail', ...blocks, lastBlock].join('\n');
}

async function createEnvironment(): Promise<Record<string, string>> {
  const names = ['PLATFORM_PORT', 'HTTP_PORT', 'PEER_PORT', 'ENGINE_PORT', 'SERVICE_PORT'];
  const entries: [string, string][] = [];
  for (const name of names) entries.push([name, String(await findFreePort())]);
  return { ...Object.fromEntries(entries), ROOT: root };
}

/** Runs a script in a process group of its own, which ends with it. */
async function runScript(script: string): Promise<{ code: number | null; output: string }> {
  const env = { ...process.env, ...(await createEnvironment()) };
  const child = spawn('bash', ['-c', script], { cwd: folder, env, detached: true });
  let output = '';
  for (const stream of [child.stdout, child.stderr]) {
    stream.setEncoding('utf8').on('data', (text: string) => (output += text));
  }
  const endGroup = () => {
    try {
      if (child.pid !== undefined) process.kill(-child.pid, 'SIGKILL');
    } catch {
      // The group has ended.
    }
  };
  const timer = setTimeout(endGroup, SCRIPT_TIMEOUT_MS);
  const [code] = (await once(child, 'exit')) as [number | null];
  clearTimeout(timer);
  endGroup();
  return { code, output };
}

interface CommandResult {
  code: number;
  stdout: string;
}

function runCommand(...args: string[]): Promise<CommandResult> {
  return new Promise((settle) => {
    const script = join(root, 'dist/pollendrum.cjs');
    execFile(process.execPath, [script, ...args], { cwd: folder }, (error, stdout) => {
      settle({ code: typeof error?.code === 'number' ? error.code : error ? -1 : 0, stdout });
    });
  });
}

// Guards against pages whose commands no longer work as written.
test('the marked commands of the README and operator pages run, from keys to an explained request', async () => {
  const { code, output } = await runScript(await readScript());
  for (const expected of [
    'instance.json: no findings',
    'bundle-1.json: bundle 1, no findings',
    'bundle 1 is accepted',
    'signed by ana',
    'service:orders  1 of 1  entry-1  orders-1',
    '"idempotencyKey":"order-1"',
    'request first-order: answered on time with status 201',
    'class  tier  requests',
    '~ /teams/sample/weight 1 -> 2',
    'bundle 2 is accepted',
    'bundle 3 is accepted',
    'platform: does not answer',
  ]) {
    expect(output).toContain(expected);
  }
  expect(code, output).toBe(0);
}, 90_000);

describe('bundles', () => {
  // Guards against two operators who both believe that their bundle is in force.
  test('of two racing accepts one wins and the other gets a conflict', async () => {
    await using platform = await createPlatform();
    const pair = generateKeyPairSync('ed25519');
    const publicKey = pair.publicKey.export({ type: 'spki', format: 'pem' }).toString();
    const privateKey = pair.privateKey.export({ type: 'pkcs8', format: 'pem' }).toString();
    await writeFile(join(folder, 'ana.pem'), privateKey);
    const settings = {
      ...{ instanceId: 'entry-1', address: '127.0.0.1', httpPort: 8080, peerPort: 9080 },
      ...{ failureDomain: 'local', region: 'local', clusterKey: 'a-key-for-tests-only' },
      platformUrl: `http://127.0.0.1:${platform.port}`,
      trustedOperators: [{ name: 'ana', publicKey }],
    };
    await writeFile(join(folder, 'instance.json'), JSON.stringify(settings));
    const accept = async (name: string) => {
      const hash = createHash('sha256').update(name).digest('hex');
      await writeFile(join(folder, name), JSON.stringify(createStarterBundle(1, hash)));
      const signing = ['--operator', 'ana', '--key', 'ana.pem', '--out', `${name}.signed`];
      expect((await runCommand('bundle', 'sign', name, ...signing)).code).toBe(0);
      const accepting = ['--operator', 'ana', '--settings', 'instance.json'];
      return runCommand('bundle', 'accept', `${name}.signed`, ...accepting);
    };
    const results = await Promise.all([accept('a.json'), accept('b.json')]);
    expect(results.map(({ code }) => code).sort()).toEqual([0, 4]);
    const loser = results.find(({ code }) => code === 4);
    expect(loser?.stdout).toContain('conflict: bundle 1');
  });

  // Guards against a check that stops at the first fault, or does not say where it is.
  test('a bundle with five faults reports all five with their places', async () => {
    const bundle = createStarterBundle(1, 'a'.repeat(64));
    const [plan, question, order] = bundle.classes;
    const [team] = bundle.teams;
    const faulty = {
      ...bundle,
      number: 0,
      classes: [{ ...plan, tier: 99 }, { ...question, floorPercent: 45 }, order],
      teams: [{ ...team, classes: ['question', 'plan', 'order', 'missing'] }],
      services: [{ ...bundle.services[0], name: 'advisor' }],
    };
    await writeFile(join(folder, 'faulty.json'), JSON.stringify(faulty, null, 2));
    const result = await runCommand('bundle', 'validate', 'faulty.json', '--json');
    const { findings } = JSON.parse(result.stdout) as {
      findings: { pointer: string; line?: number }[];
    };
    expect(result.code).toBe(3);
    expect(findings.map(({ pointer }) => pointer).sort()).toEqual([
      '/classes',
      '/classes/0/tier',
      '/number',
      '/services/0/name',
      '/teams/0/classes/3',
    ]);
    expect(findings.every(({ line }) => line !== undefined)).toBe(true);
  });
});

describe('explaining a request of a gateway', () => {
  // Guards against a page whose commands no longer lead from an id to its cause.
  test('the commands of the operations page print the causes that it names', async () => {
    const blocks = await readBlocks('docs/OPERATIONS.md');
    const page = await readFile('docs/OPERATIONS.md', 'utf8');
    const causes = [...page.matchAll(/^Prints `(cause: +[a-z-]+)`/gm)].map((match) => match[1]);
    expect(causes).toHaveLength(blocks.length);
    for (const [index, block] of blocks.entries()) {
      const { code, output } = await runScript(`set -euo pipefail\n${block}`);
      expect(code, output).toBe(0);
      expect(output).toContain(causes[index]);
    }
  });

  test('an id that is not in the logs is not found', async () => {
    const log = join(root, 'docs/examples/gateway.jsonl');
    const result = await runCommand('explain', 'missing', '--log', log);
    expect(result.code).toBe(5);
  });
});

describe('settings of a gateway', () => {
  // Guards against a check that stops at the first fault, or does not say where it is.
  test('are checked as a whole, with the place of each finding', async () => {
    const text = '{\n  "instanceId": "",\n  "peerPort": 70000,\n  "retryRatio": -1\n}';
    await writeFile(join(folder, 'gateway.json'), text);
    const result = await runCommand('settings', 'check', 'gateway.json', '--gateway');
    expect(result.code).toBe(3);
    for (const place of ['2:', '3:', '4:', 'storeAddress']) expect(result.stdout).toContain(place);
  });
});
