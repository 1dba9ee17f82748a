import { createHash, generateKeyPairSync, randomBytes } from 'node:crypto';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  BundleStore,
  createBundleEnvelope,
  createPlatformClient,
  createStarterBundle,
  signContent,
} from '@pollendrum/platform';
import type { ListedInstance, Settings } from '@pollendrum/protocol';
import { findFreePorts } from '../free-ports';
import { ProcessGroup } from '../processes';
import type { ManagedProcess } from '../processes';

const ADDRESS = '127.0.0.1';
const STAND_INS = 'dist/stand-ins.cjs';
const ROUTER = 'dist/pollendrum.cjs';
const OPERATOR = 'ana';
const CLUSTER_KEY_BYTES = 32;
const READY_TIMEOUT_MS = 20_000;
const READY_POLL_MS = 50;
/** The lookup is answered once the instance knows the bundle, the list and the owners. */
const READY_PATH = '/services/orders/stock/oats';

/** How many processes of each kind to start. */
export interface FleetOptions {
  instances: number;
  engines: number;
  /** Bearer key of the team in the bundle. */
  teamKey: string;
  /** Slots of each engine. */
  engineSlots: number;
}

/** A started fleet; disposal ends all its processes. */
export interface Fleet extends AsyncDisposable {
  platform: ManagedProcess;
  instances: ManagedProcess[];
  engines: ManagedProcess[];
  service: ManagedProcess;
}

/** Thrown when the fleet does not serve in time. */
export class FleetStartError extends Error {
  override readonly name = 'FleetStartError';
}

/** Base URL of a process. */
export function makeUrl(process: ManagedProcess): string {
  return `http://${ADDRESS}:${process.port.toString()}`;
}

/** Starts platform, engines, service and instances on loopback and waits until all instances serve. */
export async function startFleet(options: FleetOptions): Promise<Fleet> {
  const group = new ProcessGroup();
  const folder = await mkdtemp(join(tmpdir(), 'pollendrum-smoke-'));
  const dispose = async () => {
    await group[Symbol.asyncDispose]();
    await rm(folder, { recursive: true, force: true });
  };
  try {
    const started = await startProcesses(group, folder, options);
    return { ...started, [Symbol.asyncDispose]: dispose };
  } catch (error) {
    await dispose();
    throw error;
  }
}

async function startProcesses(group: ProcessGroup, folder: string, options: FleetOptions) {
  const startStandIn = (...args: string[]) => group.start({ script: STAND_INS, args });
  const platform = await startStandIn('platform');
  const engines = await Promise.all(
    Array.from({ length: options.engines }, (_, index) =>
      startStandIn('engine', '--id', `engine-${index}`, '--slots', options.engineSlots.toString()),
    ),
  );
  const service = await startStandIn('service', '--id', 'orders-0');
  for (const [index, engine] of engines.entries()) {
    await putBackend(platform, `engine-${index}`, 'engine', 'advisor', engine);
  }
  await putBackend(platform, 'orders-0', 'service', 'orders', service);
  const shared = await publishBundle(makeUrl(platform), options.teamKey);
  const instances = await startInstances(group, folder, platform, options.instances, shared);
  for (const instance of instances) await waitForServing(instance, options.teamKey);
  return { platform, engines, service, instances };
}

async function startInstances(
  group: ProcessGroup,
  folder: string,
  platform: ManagedProcess,
  count: number,
  shared: Partial<Settings>,
): Promise<ManagedProcess[]> {
  const ports = await findFreePorts(2 * count);
  const started = Array.from({ length: count }, async (_, index) => {
    const [httpPort = 0, peerPort = 0] = ports.slice(2 * index);
    const instanceId = `instance-${index}`;
    const place = { failureDomain: `domain-${index}`, region: 'local' };
    const file = join(folder, `${instanceId}.json`);
    const own = { instanceId, address: ADDRESS, httpPort, peerPort, ...place };
    await writeFile(file, JSON.stringify({ ...shared, ...own }));
    const instance = await group.start({ script: ROUTER, args: ['serve', '--settings', file] });
    const listed = { role: 'router', address: ADDRESS, port: httpPort, peerPort } as const;
    await putInstance(platform, { id: instanceId, ...listed, state: 'live', ...place });
    return instance;
  });
  return Promise.all(started);
}

async function putBackend(
  platform: ManagedProcess,
  id: string,
  role: 'engine' | 'service',
  pool: string,
  server: ManagedProcess,
): Promise<void> {
  const place = { failureDomain: 'domain-0', region: 'local' };
  const listed = { id, role, address: ADDRESS, port: server.port, pool, ...place };
  await putInstance(platform, { ...listed, state: 'live' });
}

async function putInstance(platform: ManagedProcess, listed: ListedInstance): Promise<void> {
  const url = `${makeUrl(platform)}/admin/instances/${listed.id}`;
  const response = await fetch(url, { method: 'PUT', body: JSON.stringify(listed) });
  if (!response.ok) throw new FleetStartError(`the platform refused ${listed.id}`);
}

async function publishBundle(platformUrl: string, teamKey: string): Promise<Partial<Settings>> {
  const pair = generateKeyPairSync('ed25519');
  const publicKey = pair.publicKey.export({ type: 'spki', format: 'pem' }).toString();
  const privateKey = pair.privateKey.export({ type: 'pkcs8', format: 'pem' }).toString();
  const trustedOperators = [{ name: OPERATOR, publicKey }];
  const hash = createHash('sha256').update(teamKey).digest('hex');
  const content = JSON.stringify(createStarterBundle(1, hash));
  const envelope = createBundleEnvelope(content, [signContent(content, OPERATOR, privateKey)]);
  await using client = createPlatformClient({ url: platformUrl });
  const store = new BundleStore({ client, trustedOperators, requiredSignatures: 1 });
  const result = await store.acceptBundle(envelope, OPERATOR);
  if (result.kind !== 'accepted') throw new FleetStartError('the bundle was not accepted');
  const clusterKey = randomBytes(CLUSTER_KEY_BYTES).toString('hex');
  return { platformUrl, trustedOperators, clusterKey, balancerLagMs: 0, logLevel: 'warn' };
}

async function waitForServing(instance: ManagedProcess, teamKey: string): Promise<void> {
  const deadlineMs = performance.now() + READY_TIMEOUT_MS;
  const headers = { authorization: `Bearer ${teamKey}`, 'x-service-class': 'order' };
  while (performance.now() < deadlineMs) {
    const response = await fetch(makeUrl(instance) + READY_PATH, { headers });
    await response.arrayBuffer();
    if (response.status === 200) return;
    await sleep(READY_POLL_MS);
  }
  throw new FleetStartError(`instance at ${makeUrl(instance)} did not serve in time`);
}
