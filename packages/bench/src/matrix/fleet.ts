import { randomBytes } from 'node:crypto';
import { mkdtemp, rm, writeFile } from 'node:fs/promises';
import { tmpdir } from 'node:os';
import { join } from 'node:path';
import { fileURLToPath } from 'node:url';
import type { ListedInstance, Settings } from '@pollendrum/protocol';
import { findFreePort } from '../free-ports';
import { ProcessGroup } from '../processes';
import type { ManagedProcess } from '../processes';
import { CHAT_POOL, Operators, REQUIRED_SIGNATURES, SERVICE_POOL } from './operators';
import { putJson } from './http';

const ADDRESS = '127.0.0.1';
const REGION = 'r1';
const INSTANCE_COUNT = 3;
const ENGINE_COUNT = 4;
const SERVICE_COUNT = 2;
const ENGINE_SLOTS = 4;
const SERVICE_SLOTS = 8;
const TOKENS_PER_SECOND = 100;
/** A prompt of 14,000 tokens takes 0.3 s, one of background traffic a few milliseconds. */
const PREFILL_TOKENS_PER_SECOND = 50_000;
const SERVICE_WORK_MS = 20;
const BALANCER_LAG_MS = 500;
const DRAIN_LIMIT_MS = 12_000;
/** Cells end their processes at once; a graceful stop is a step of its own. */
const STOP_TIMEOUT_MS = 100;
const CLUSTER_KEY_BYTES = 32;
const START_ATTEMPTS = 3;

export type MemberRole = 'platform' | 'instance' | 'engine' | 'service';

/** A process of the fleet. */
export interface FleetMember {
  id: string;
  role: MemberRole;
  process: ManagedProcess;
  url: string;
  /** Its entry in the platform's list; undefined for the platform. */
  listed?: ListedInstance;
  /** Requests that the process logged as received; undefined for other processes than instances. */
  receivedRequestIds?: ReadonlySet<string>;
  /** Whether the process has ended for any reason. */
  hasExited: boolean;
  /** When the matrix killed it, Unix time in milliseconds. */
  endedAtMs?: number;
  /** When it was frozen and continued, Unix times in milliseconds. */
  frozen?: { fromMs: number; toMs?: number };
}

/** The processes of one cell. Disposal ends them all and removes their files. */
export class Fleet implements AsyncDisposable {
  readonly clusterKey = randomBytes(CLUSTER_KEY_BYTES).toString('hex');
  readonly members: FleetMember[] = [];
  private readonly group = new ProcessGroup();
  private directory = '';
  private startedOperators: Operators | undefined;

  get operators(): Operators {
    if (!this.startedOperators) throw new Error('the fleet is not started');
    return this.startedOperators;
  }

  get platform(): FleetMember {
    const platform = this.listMembers('platform')[0];
    if (!platform) throw new Error('the fleet is not started');
    return platform;
  }

  listMembers(role: MemberRole): FleetMember[] {
    return this.members.filter((member) => member.role === role);
  }

  getMember(id: string): FleetMember {
    const member = this.members.find((candidate) => candidate.id === id);
    if (!member) throw new Error(`there is no process ${id}`);
    return member;
  }

  /** Starts all processes; the first bundle is accepted before the instances start. */
  async start(firstMarker: string): Promise<void> {
    this.directory = await mkdtemp(join(tmpdir(), 'pollendrum-matrix-'));
    await this.startStandIn('platform', 'platform', []);
    this.startedOperators = new Operators(this.platform.url);
    const text = this.operators.buildBundle(1, firstMarker);
    const accepted = await this.operators.acceptBundle(this.operators.signBundle(text), 'ana');
    if (accepted.kind !== 'accepted') throw new Error(`the first bundle: ${accepted.kind}`);
    await this.startBackends();
    await Promise.all(createNames('i', INSTANCE_COUNT).map((id) => this.startInstance(id)));
  }

  /** Announces the state of a process in the platform's list. */
  async announceState(member: FleetMember, state: 'live' | 'leaving'): Promise<void> {
    if (!member.listed) return;
    const { id, ...entry } = { ...member.listed, state };
    await putJson(`${this.platform.url}/admin/instances/${id}`, entry);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.group[Symbol.asyncDispose]();
    await this.startedOperators?.[Symbol.asyncDispose]();
    if (this.directory !== '') await rm(this.directory, { recursive: true, force: true });
  }

  private addMember(member: FleetMember): void {
    this.members.push(member);
    void member.process.exited.then(() => {
      member.hasExited = true;
    });
  }

  private async startBackends(): Promise<void> {
    const engineArgs = [
      ...['--slots', ENGINE_SLOTS, '--tokens-per-second', TOKENS_PER_SECOND],
      ...['--prefill-tokens-per-second', PREFILL_TOKENS_PER_SECOND, '--batch-slowdown', 0],
    ].map(String);
    const serviceArgs = ['--slots', SERVICE_SLOTS, '--work-ms', SERVICE_WORK_MS].map(String);
    await Promise.all([
      ...createNames('e', ENGINE_COUNT).map((id) => this.startStandIn('engine', id, engineArgs)),
      ...createNames('s', SERVICE_COUNT).map((id) => this.startStandIn('service', id, serviceArgs)),
    ]);
  }

  private async startStandIn(
    role: 'platform' | 'engine' | 'service',
    id: string,
    args: readonly string[],
  ): Promise<void> {
    const idArgs = role === 'platform' ? [] : ['--id', id];
    const started = await this.group.start({
      script: resolveScript('stand-ins.cjs'),
      args: [role, ...idArgs, ...args],
      stopTimeoutMs: STOP_TIMEOUT_MS,
    });
    const member: FleetMember = {
      id,
      role,
      process: started,
      url: toUrl(started.port),
      hasExited: false,
    };
    this.addMember(member);
    if (role === 'platform') return;
    member.listed = {
      ...{ id, role, address: ADDRESS, port: started.port, region: REGION, state: 'live' },
      failureDomain: toFailureDomain(id),
      pool: role === 'engine' ? CHAT_POOL : SERVICE_POOL,
      slots: role === 'engine' ? ENGINE_SLOTS : SERVICE_SLOTS,
    };
    await this.announceState(member, 'live');
  }

  /** A port that was free may be taken before the instance binds it, so the start is repeated. */
  private async startInstance(id: string): Promise<void> {
    for (let attempt = 1; ; attempt += 1) {
      try {
        await this.startInstanceOnce(id);
        return;
      } catch (error) {
        if (attempt === START_ATTEMPTS || !String(error).includes('EADDRINUSE')) throw error;
      }
    }
  }

  private async startInstanceOnce(id: string): Promise<void> {
    const [httpPort, peerPort] = [await findFreePort(), await findFreePort()];
    const file = join(this.directory, `${id}.json`);
    const settings = this.buildSettings(id, httpPort, peerPort);
    await writeFile(file, JSON.stringify(settings));
    const receivedRequestIds = new Set<string>();
    const started = await this.group.start({
      script: resolveScript('pollendrum.cjs'),
      args: ['serve', '--settings', file],
      stopTimeoutMs: STOP_TIMEOUT_MS,
      onLine: (line) => {
        const requestId = parseReceivedLine(line);
        if (requestId !== undefined) receivedRequestIds.add(requestId);
      },
    });
    const { failureDomain } = settings;
    const member: FleetMember = {
      ...{ id, role: 'instance', process: started, url: toUrl(started.port), hasExited: false },
      receivedRequestIds,
      listed: {
        ...{ id, role: 'router', address: ADDRESS, port: started.port, peerPort, failureDomain },
        ...{ region: REGION, state: 'live' },
      },
    };
    this.addMember(member);
    await this.announceState(member, 'live');
  }

  private buildSettings(id: string, httpPort: number, peerPort: number): Settings {
    return {
      instanceId: id,
      address: ADDRESS,
      httpPort,
      peerPort,
      failureDomain: toFailureDomain(id),
      region: REGION,
      platformUrl: this.platform.url,
      clusterKey: this.clusterKey,
      trustedOperators: this.operators.trustedOperators,
      requiredSignatures: REQUIRED_SIGNATURES,
      balancerLagMs: BALANCER_LAG_MS,
      drainLimitMs: DRAIN_LIMIT_MS,
      // The line that an instance writes for each request it takes is a debug line.
      logLevel: 'debug',
      traceSampleRatio: 0,
    };
  }
}

function createNames(prefix: string, count: number): string[] {
  return Array.from({ length: count }, (_, index) => `${prefix}${index + 1}`);
}

function toFailureDomain(id: string): string {
  return `d${id.slice(1)}`;
}

function toUrl(port: number): string {
  return `http://${ADDRESS}:${port}`;
}

/** The bundles lie in dist/, beside the bundled bench and below the repository's root. */
function resolveScript(name: string): string {
  const here = fileURLToPath(import.meta.url);
  const root = here.endsWith('.cjs') ? join(here, '../..') : join(here, '../../../../..');
  return join(root, 'dist', name);
}

/** Id of the request that an instance took, if the log line reports one. */
function parseReceivedLine(line: string): string | undefined {
  if (!line.includes('"request received"')) return undefined;
  const { requestId } = JSON.parse(line) as { requestId?: string };
  return requestId;
}
