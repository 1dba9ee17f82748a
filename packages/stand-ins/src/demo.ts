import { createHash, generateKeyPairSync, randomBytes } from 'node:crypto';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { createServer } from 'node:net';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import { parseArgs } from 'node:util';
import {
  BundleStore,
  createBundleEnvelope,
  createPlatformClient,
  createStarterBundle,
  signContent,
} from '@pollendrum/platform';
import type { Settings } from '@pollendrum/protocol';
import { startInstance } from '@pollendrum/router';
import { createEngine } from './engine/engine';
import { createPlatform } from './platform/platform';
import type { PlatformStandIn } from './platform/platform';
import { createService } from './service/service';

const ADDRESS = '127.0.0.1';
const DEFAULT_PORT = 8080;
const MAX_PORT = 65_535;
const INSTANCE_ID = 'demo-1';
const OPERATOR = 'ana';
/** A fixed key, so that printed commands stay valid from one demo to the next. */
const TEAM_KEY = 'demo-team-key';
const CLUSTER_KEY_BYTES = 32;
/** Readable by the owner only. */
const SECRET_FILE_MODE = 0o600;
const READY_TIMEOUT_MS = 10_000;
const READY_POLL_MS = 50;
const DRAIN_LIMIT_MS = 5_000;
const FAILURE_EXIT_CODE = 1;
const PLACE = { failureDomain: 'local', region: 'local' } as const;

/** Thrown when the demo cannot start; the message is for people. */
export class DemoStartError extends Error {
  override readonly name = 'DemoStartError';
}

/** Files that the printed operator commands name, in a temporary folder that ends with the demo. */
interface DemoFiles extends AsyncDisposable {
  folder: string;
  clusterKeyFile: string;
  settingsFile: string;
}

/**
 * Runs one instance with an embedded platform, engine and plain service until SIGINT or SIGTERM.
 * Resolves with the exit code: 0, or 1 when the demo could not start.
 */
export async function runDemo(args: readonly string[]): Promise<number> {
  const { values } = parseArgs({ args: [...args], options: { port: { type: 'string' } } });
  const stopped = waitForSignal();
  try {
    await serveDemo(parsePort(values.port), stopped);
    return 0;
  } catch (error) {
    if (!(error instanceof DemoStartError)) throw error;
    process.stderr.write(`${error.message}\n`);
    return FAILURE_EXIT_CODE;
  }
}

async function serveDemo(port: number, stopped: Promise<void>): Promise<void> {
  await checkPort(port);
  await using platform = await createPlatform();
  await using engine = await createEngine({ id: 'engine-1' });
  await using service = await createService({ id: 'orders-1' });
  platform.putInstance(createListedServer('engine', 'advisor', engine));
  platform.putInstance(createListedServer('service', 'orders', service));
  const clusterKey = randomBytes(CLUSTER_KEY_BYTES).toString('hex');
  const settings = await publishStarterBundle(platform, port);
  await using started = await startInstance(settings, clusterKey);
  const { peerPort } = started;
  platform.putInstance({
    ...{ id: INSTANCE_ID, role: 'router', address: ADDRESS, port, peerPort, state: 'live' },
    ...PLACE,
  });
  await using files = await writeDemoFiles({ ...settings, peerPort }, clusterKey);
  await waitForReady(port);
  process.stdout.write(renderGuide(port, files));
  process.stdout.write(`${JSON.stringify({ ready: true, port, folder: files.folder })}\n`);
  await stopped;
  process.stdout.write('stopping: requests in flight finish first\n');
  await started.instance.stop();
}

function createListedServer(
  role: 'engine' | 'service',
  pool: string,
  server: { id: string; address: string; port: number },
) {
  const { id, address, port } = server;
  return { id, role, address, port, pool, state: 'live', ...PLACE } as const;
}

/** Signs and accepts the starter bundle with a fresh operator key, and returns settings that trust it. */
async function publishStarterBundle(platform: PlatformStandIn, port: number): Promise<Settings> {
  const pair = generateKeyPairSync('ed25519');
  const publicKey = pair.publicKey.export({ type: 'spki', format: 'pem' }).toString();
  const privateKey = pair.privateKey.export({ type: 'pkcs8', format: 'pem' }).toString();
  const trustedOperators = [{ name: OPERATOR, publicKey }];
  const teamKeySha256 = createHash('sha256').update(TEAM_KEY).digest('hex');
  const content = JSON.stringify(createStarterBundle(1, teamKeySha256));
  const envelope = createBundleEnvelope(content, [signContent(content, OPERATOR, privateKey)]);
  const platformUrl = `http://${platform.address}:${platform.port.toString()}`;
  await using client = createPlatformClient({ url: platformUrl });
  const store = new BundleStore({ client, trustedOperators, requiredSignatures: 1 });
  const result = await store.acceptBundle(envelope, OPERATOR);
  if (result.kind !== 'accepted') throw new DemoStartError(`the bundle was not accepted`);
  return {
    ...{ instanceId: INSTANCE_ID, address: ADDRESS, httpPort: port, peerPort: 0, platformUrl },
    ...PLACE,
    trustedOperators,
    balancerLagMs: 0,
    drainLimitMs: DRAIN_LIMIT_MS,
    logLevel: 'warn',
  };
}

async function writeDemoFiles(settings: Settings, clusterKey: string): Promise<DemoFiles> {
  const folder = await mkdtemp(join(tmpdir(), 'pollendrum-demo-'));
  const clusterKeyFile = join(folder, 'cluster.key');
  const settingsFile = join(folder, 'instance.json');
  await writeFile(clusterKeyFile, `${clusterKey}\n`, { mode: SECRET_FILE_MODE });
  await writeFile(settingsFile, `${JSON.stringify({ ...settings, clusterKeyFile }, null, 2)}\n`);
  return {
    folder,
    clusterKeyFile,
    settingsFile,
    async [Symbol.asyncDispose]() {
      await rm(folder, { recursive: true, force: true });
    },
  };
}

// A port that is taken is found before any task is started and would have to be stopped again.
async function checkPort(port: number): Promise<void> {
  const server = createServer();
  await new Promise<void>((resolve, reject) => {
    server.once('error', (error: NodeJS.ErrnoException) => {
      const reason = error.code === 'EADDRINUSE' ? 'is taken' : `cannot be used: ${error.message}`;
      const place = `${ADDRESS}:${port.toString()}`;
      reject(new DemoStartError(`${place} ${reason}; name another port with --port`));
    });
    server.listen(port, ADDRESS, resolve);
  });
  await new Promise((resolve) => server.close(resolve));
}

function parsePort(text: string | undefined): number {
  if (text === undefined) return DEFAULT_PORT;
  const port = Number(text);
  if (/^\d+$/.test(text) && port >= 1 && port <= MAX_PORT) return port;
  throw new DemoStartError(`--port needs a number from 1 to ${MAX_PORT.toString()}, got '${text}'`);
}

async function waitForReady(port: number): Promise<void> {
  const deadlineMs = performance.now() + READY_TIMEOUT_MS;
  const url = `http://${ADDRESS}:${port.toString()}/readyz`;
  while (performance.now() < deadlineMs) {
    const response = await fetch(url);
    await response.arrayBuffer();
    if (response.status === 200) return;
    await sleep(READY_POLL_MS);
  }
  throw new DemoStartError(`the instance was not ready after ${READY_TIMEOUT_MS.toString()} ms`);
}

function waitForSignal(): Promise<void> {
  return new Promise((resolve) => {
    process.once('SIGINT', resolve);
    process.once('SIGTERM', resolve);
  });
}

function renderGuide(port: number, files: DemoFiles): string {
  const url = `http://${ADDRESS}:${port.toString()}`;
  const flags = `--url ${url} --cluster-key-file ${files.clusterKeyFile}`;
  const curl = `curl -sS -H 'Authorization: Bearer ${TEAM_KEY}'`;
  const chat = `{"model": "advisor", "stream": true, "max_tokens": 24, "messages": [{"role": "user", "content": "Which trail is open?"}]}`;
  const lines = [
    `pollendrum demo at ${url}, team key ${TEAM_KEY}`,
    '',
    'A streamed chat completion:',
    `  ${curl} -N -H 'X-Request-Id: demo-chat' ${url}/v1/chat/completions -d '${chat}'`,
    'An order; sent again with the same key, it gets the stored answer and does not run again:',
    `  ${curl} -H 'X-Service-Class: order' -H 'Idempotency-Key: order-1' ${url}/services/orders/orders -d '{"item": "oats", "quantity": 3}'`,
    'A stock lookup:',
    `  ${curl} -H 'X-Service-Class: order' ${url}/services/orders/stock/oats`,
    '',
    'Operator commands:',
    `  node dist/pollendrum.cjs status ${flags}`,
    `  node dist/pollendrum.cjs bundle status --settings ${files.settingsFile}`,
    `  node dist/pollendrum.cjs explain demo-chat ${flags}`,
    `  node dist/pollendrum.cjs report ${flags}`,
    '',
    'Stop with Ctrl-C.',
  ];
  return `${lines.join('\n')}\n`;
}
