import { createHash, generateKeyPairSync, randomUUID } from 'node:crypto';
import { mkdtempSync, rmSync, writeFileSync } from 'node:fs';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { setTimeout as sleep } from 'node:timers/promises';
import {
  BundleStore,
  createBundleEnvelope,
  createPlatformClient,
  signContent,
} from '@pollendrum/platform';
import type { ListedInstance } from '@pollendrum/protocol';
import { computeOperatorToken } from '@pollendrum/router';
import { request } from 'undici';
import { findFreePort } from '../free-ports';
import { ProcessGroup } from '../processes';
import type { ManagedProcess } from '../processes';
import { Forwarder } from './forwarder';

/** Thrown when a fleet does not reach a state in time. */
export class TimingError extends Error {
  override readonly name = 'TimingError';
}

export interface FleetInstance {
  id: string;
  process: ManagedProcess;
  url: string;
  /** The instance's way to the platform. */
  platform: Forwarder;
}

export interface FleetEngine {
  id: string;
  process: ManagedProcess;
  /** The instances' way to the engine. */
  forwarder: Forwarder;
  listed: ListedInstance;
}

/** The parts of `GET /admin/status` that the measurement reads. */
export interface FleetStatus {
  bundle?: { number: number };
  members: { instanceId: string; state: string }[];
  shards: { poolId: string; ownerInstanceId?: string }[];
}

export const ENGINE_SLOTS = 4;
/** How long a stopping instance accepts new requests. */
export const BALANCER_LAG_MS = 1_500;

const ENGINE_TOKENS_PER_SECOND = 200;
const ENGINES = 2;
const START_LIMIT_MS = 20_000;
const POLL_MS = 10;
const STAND_INS = 'dist/stand-ins.cjs';
const OPERATOR = 'timings';

/** Polls until the function returns a value; throws `TimingError` at the limit. */
export async function waitFor<T>(
  what: string,
  limitMs: number,
  probe: () => Promise<T | undefined> | T | undefined,
): Promise<T> {
  const endMs = performance.now() + limitMs;
  while (performance.now() < endMs) {
    const value = await probe();
    if (value !== undefined) return value;
    await sleep(POLL_MS);
  }
  throw new TimingError(`${what} did not happen within ${limitMs.toString()} ms`);
}

/** Instances, engines, a plain service and the platform's stand-in as processes on loopback. */
export class Fleet implements AsyncDisposable {
  readonly instances: FleetInstance[] = [];
  readonly engines: FleetEngine[] = [];
  readonly bearerKey = randomUUID();
  readonly #group = new ProcessGroup();
  readonly #forwarders: Forwarder[] = [];
  readonly #clusterKey = randomUUID();
  readonly #keys = generateKeyPairSync('ed25519');
  readonly #folder = mkdtempSync(join(tmpdir(), 'pollendrum-timings-'));
  #platformUrl = '';
  #bundleNumber = 0;

  private constructor(readonly routerScript: string) {}

  /** Starts all processes and waits until each instance is ready and sees all others. */
  static async start(size: number, routerScript: string): Promise<Fleet> {
    const fleet = new Fleet(routerScript);
    try {
      await fleet.#startServers();
      await fleet.acceptBundle();
      await Promise.all(Array.from({ length: size }, (_, index) => fleet.#startInstance(index)));
      await waitFor('a whole fleet', START_LIMIT_MS, () => fleet.#checkWhole(size));
    } catch (error) {
      await fleet[Symbol.asyncDispose]();
      throw error;
    }
    return fleet;
  }

  /** Index of the instance that decides the model's shard, as another instance sees it. */
  async findOwner(observer = 0): Promise<number> {
    const status = await this.readStatus(observer);
    const shard = status?.shards.find(({ poolId }) => poolId === 'model:m1');
    const index = this.instances.findIndex(({ id }) => id === shard?.ownerInstanceId);
    if (index < 0) throw new TimingError('the shard has no owner');
    return index;
  }

  async readStatus(index: number): Promise<FleetStatus | undefined> {
    const headers = { authorization: `Bearer ${computeOperatorToken(this.#clusterKey)}` };
    const url = `${this.instances[index]?.url ?? ''}/admin/status`;
    const response = await request(url, { headers }).catch(() => undefined);
    return (await response?.body.json()) as FleetStatus | undefined;
  }

  async putListed(listed: ListedInstance): Promise<void> {
    const { id, ...entry } = listed;
    await this.#sendAdmin(this.#platformUrl, `instances/${id}`, 'PUT', entry);
  }

  async injectPlatformFaults(faults: Record<string, unknown>): Promise<void> {
    await this.#sendAdmin(this.#platformUrl, 'faults', 'POST', faults);
  }

  async injectEngineFaults(engine: FleetEngine, faults: Record<string, unknown>): Promise<void> {
    const url = `http://127.0.0.1:${engine.process.port.toString()}`;
    await this.#sendAdmin(url, 'faults', 'POST', faults);
  }

  /** Signs and accepts the next bundle; resolves with its number when the platform confirmed it. */
  async acceptBundle(): Promise<number> {
    const number = this.#bundleNumber + 1;
    await using client = createPlatformClient({ url: this.#platformUrl });
    const trustedOperators = [this.#describeOperator()];
    const store = new BundleStore({ client, trustedOperators, requiredSignatures: 1 });
    const content = JSON.stringify(this.#buildBundle(number));
    const privateKey = this.#keys.privateKey.export({ type: 'pkcs8', format: 'pem' }).toString();
    const envelope = createBundleEnvelope(content, [signContent(content, OPERATOR, privateKey)]);
    const result = await store.acceptBundle(envelope, OPERATOR);
    if (result.kind !== 'accepted') throw new TimingError(`bundle: ${JSON.stringify(result)}`);
    this.#bundleNumber = number;
    return number;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const { process } of this.instances) process.sendSignal('SIGKILL');
    await this.#group[Symbol.asyncDispose]();
    await Promise.all(this.#forwarders.map((forwarder) => forwarder[Symbol.asyncDispose]()));
    rmSync(this.#folder, { recursive: true });
  }

  async #startServers(): Promise<void> {
    const platform = await this.#group.start({ script: STAND_INS, args: ['platform'] });
    this.#platformUrl = `http://127.0.0.1:${platform.port.toString()}`;
    for (let index = 1; index <= ENGINES; index += 1) {
      const id = `engine-${index.toString()}`;
      const rate = ENGINE_TOKENS_PER_SECOND.toString();
      const args = ['engine', '--id', id, '--slots', ENGINE_SLOTS.toString()];
      args.push('--tokens-per-second', rate, '--batch-slowdown', '0');
      const process = await this.#group.start({ script: STAND_INS, args });
      const forwarder = await this.#startForwarder(process.port);
      const listed = buildListed(id, 'engine', forwarder.port, { pool: 'm1', slots: ENGINE_SLOTS });
      this.engines.push({ id, process, forwarder, listed });
      await this.putListed(listed);
    }
    const service = await this.#group.start({ script: STAND_INS, args: ['service', '--id', 's1'] });
    await this.putListed(
      buildListed('s1', 'service', service.port, { pool: 'ordering', slots: 4 }),
    );
  }

  async #startForwarder(targetPort: number): Promise<Forwarder> {
    const forwarder = await Forwarder.start(targetPort);
    this.#forwarders.push(forwarder);
    return forwarder;
  }

  async #startInstance(index: number): Promise<void> {
    const id = `instance-${index.toString()}`;
    const platform = await this.#startForwarder(Number(new URL(this.#platformUrl).port));
    const peerPort = await findFreePort();
    const settings = {
      ...{ instanceId: id, address: '127.0.0.1', httpPort: 0, peerPort },
      ...{ failureDomain: `domain-${(index % 3).toString()}`, region: 'region-1' },
      platformUrl: `http://127.0.0.1:${platform.port.toString()}`,
      ...{ clusterKey: this.#clusterKey, trustedOperators: [this.#describeOperator()] },
      ...{ balancerLagMs: BALANCER_LAG_MS, logLevel: 'error', traceSampleRatio: 0 },
    };
    const file = join(this.#folder, `${id}.json`);
    writeFileSync(file, JSON.stringify(settings));
    const args = ['serve', '--settings', file];
    const process = await this.#group.start({ script: this.routerScript, args });
    const url = `http://127.0.0.1:${process.port.toString()}`;
    this.instances[index] = { id, process, url, platform };
    await this.putListed(buildListed(id, 'router', process.port, { peerPort }));
  }

  async #checkWhole(size: number): Promise<true | undefined> {
    for (const [index, { url }] of this.instances.entries()) {
      const ready = await request(`${url}/readyz`);
      await ready.body.dump();
      if (ready.statusCode !== 200) return undefined;
      const status = await this.readStatus(index);
      const alive = status?.members.filter(({ state }) => state === 'alive').length;
      if (alive !== size || status?.shards.length !== 2) return undefined;
    }
    return true;
  }

  #describeOperator() {
    const publicKey = this.#keys.publicKey.export({ type: 'spki', format: 'pem' }).toString();
    return { name: OPERATOR, publicKey };
  }

  #buildBundle(number: number): object {
    const keySha256 = [createHash('sha256').update(this.bearerKey).digest('hex')];
    const limits = { targetFirstByteMs: 500, maxQueueMs: 20_000, maxTotalMs: 60_000 };
    return {
      ...{ formatVersion: 1, number, description: 'timings' },
      classes: [{ name: 'quick', tier: 0, floorPercent: 10, preference: 'goodput', ...limits }],
      teams: [{ name: 'drovers', keySha256, classes: ['quick'] }],
      models: [{ name: 'm1', pool: 'm1' }],
      services: [
        {
          ...{ name: 'ordering', pool: 'ordering' },
          routes: [{ method: 'POST', pathPrefix: '/orders', isIdempotent: false }],
        },
      ],
    };
  }

  async #sendAdmin(url: string, path: string, method: 'PUT' | 'POST', body: object): Promise<void> {
    const response = await request(`${url}/admin/${path}`, { method, body: JSON.stringify(body) });
    const text = await response.body.text();
    if (response.statusCode >= 300) throw new TimingError(`${path}: ${text}`);
  }
}

function buildListed(
  id: string,
  role: ListedInstance['role'],
  port: number,
  extra: Partial<ListedInstance>,
): ListedInstance {
  const place = { address: '127.0.0.1', port, failureDomain: 'domain-0', region: 'region-1' };
  return { id, role, ...place, state: 'live', ...extra };
}
