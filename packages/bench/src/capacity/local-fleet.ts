import { writeFileSync } from 'node:fs';
import { join } from 'node:path';
import { createPlatformClient } from '@pollendrum/platform';
import { computeOperatorToken, type InstanceStatus } from '@pollendrum/router';
import type { PlatformCounts } from '@pollendrum/stand-ins';
import { request } from 'undici';
import { ProcessGroup, type ManagedProcess } from '../processes';
import { acceptBundle, buildBundle, createOperator } from './bundle-fixture';
import type { MeasurementContext } from './measurement';

const CLUSTER_KEY = 'capacity-cluster-key';
const HTTP_PORT = 8_080;
const PEER_PORT = 8_081;
const REGIONS = 3;
// Slow machines need longer than the usual 10 s when tens of processes start together.
const READY_TIMEOUT_MS = 60_000;
const STARTS_AT_ONCE = 5;

/** A started instance. */
export interface LocalInstance {
  id: string;
  address: string;
  process: ManagedProcess;
}

/** One platform stand-in and instances, each a process of its own, on addresses of 127.0.0.0/8. */
export class LocalFleet implements AsyncDisposable {
  readonly #group = new ProcessGroup();
  readonly #network = Math.floor(Math.random() * 65_536);
  #platform: ManagedProcess | undefined;
  instances: LocalInstance[] = [];

  constructor(private readonly context: MeasurementContext) {}

  get platformUrl(): string {
    return `http://127.0.0.1:${this.#platform?.port ?? 0}`;
  }

  /** Starts the platform with a bundle of 10 teams, and then the instances. */
  async start(size: number): Promise<void> {
    this.#platform = await this.startStandIn(['platform']);
    const operator = createOperator();
    const client = createPlatformClient({ url: this.platformUrl });
    await acceptBundle(client, operator, buildBundle(1, 10));
    await client[Symbol.asyncDispose]();
    const indices = Array.from({ length: size }, (_, index) => index);
    while (indices.length > 0) {
      const batch = indices.splice(0, STARTS_AT_ONCE);
      const started = batch.map((index) => this.#startInstance(index, [operator.trusted]));
      this.instances.push(...(await Promise.all(started)));
    }
  }

  startStandIn(args: string[]): Promise<ManagedProcess> {
    const script = join(this.context.distDirectory, 'stand-ins.cjs');
    return this.#group.start({ script, args, readyTimeoutMs: READY_TIMEOUT_MS });
  }

  /** Enters an instance or a backend server in the platform's list. */
  async putListed(id: string, entry: object): Promise<void> {
    const url = `${this.platformUrl}/admin/instances/${id}`;
    const response = await request(url, { method: 'PUT', body: JSON.stringify(entry) });
    if (response.statusCode !== 204) throw new Error(`listing ${id}: ${response.statusCode}`);
    await response.body.dump();
  }

  async fetchCounts(): Promise<PlatformCounts> {
    const { body } = await request(`${this.platformUrl}/admin/counts`);
    return (await body.json()) as PlatformCounts;
  }

  async fetchStatus(instance: LocalInstance): Promise<InstanceStatus> {
    const { body } = await request(`http://${instance.address}:${HTTP_PORT}/admin/status`, {
      headers: { authorization: `Bearer ${computeOperatorToken(CLUSTER_KEY)}` },
    });
    return (await body.json()) as InstanceStatus;
  }

  /** Base URL for callers. */
  toUrl(instance: LocalInstance): string {
    return `http://${instance.address}:${HTTP_PORT}`;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    // A graceful stop waits for the load balancer; nothing is in flight here.
    await Promise.all(this.instances.map(({ process }) => process.endNow()));
    await this.#group[Symbol.asyncDispose]();
  }

  async #startInstance(index: number, trustedOperators: unknown[]): Promise<LocalInstance> {
    const id = `instance-${index}`;
    // Own addresses instead of own ports: no port has to be found first.
    const address = `127.${100 + ((this.#network >> 8) % 100)}.${this.#network & 255}.${index + 1}`;
    const region = `region-${index % REGIONS}`;
    const place = { address, failureDomain: `domain-${index % REGIONS}`, region };
    const settings = {
      ...{ instanceId: id, ...place, httpPort: HTTP_PORT, peerPort: PEER_PORT },
      ...{ platformUrl: this.platformUrl, clusterKey: CLUSTER_KEY, trustedOperators },
      ...{ logLevel: 'error', traceSampleRatio: 0 },
    };
    const file = join(this.context.scratchDirectory, `${id}.json`);
    writeFileSync(file, JSON.stringify(settings));
    await this.putListed(id, {
      ...{ role: 'router', ...place, port: HTTP_PORT, peerPort: PEER_PORT, state: 'live' },
    });
    const process = await this.#group.start({
      script: join(this.context.distDirectory, 'pollendrum.cjs'),
      args: ['serve', '--settings', file],
      readyTimeoutMs: READY_TIMEOUT_MS,
    });
    return { id, address, process };
  }
}
