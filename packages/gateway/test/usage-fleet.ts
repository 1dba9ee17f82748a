import { vi } from 'vitest';
import type { DutyCallResult, DutyCalls, Fence, UsageReport } from '../src';
import { DutyLease } from '../src/duties/duty-lease';
import { UsageReporter } from '../src/duties/usage-reporter';
import { UsageSharing } from '../src/duties/usage-sharing';
import type { PeerSocket } from '../src/peer-socket';
import { createTestLog } from './gateway-fixture';
import type { LogLine } from './gateway-fixture';
import type { LossyNetwork } from './lossy-network';
import type { StoreContact, VirtualStore } from './virtual-store';

export const WINDOW_MS = 5_000;
export const DUE_AFTER_MS = 10_000;
const LEASE_MS = 3_000;
const DATAGRAM_HEADER_BYTES = 28;
const CALL_MS = 20;
const CALL_TIMEOUT_MS = 2_500;

/** Stand-in for the platform's API. It checks what must never happen. */
export class UsageApi {
  readonly reports = new Map<number, { counts: string; atMs: number }>();
  readonly violations: string[] = [];
  calls = 0;
  /** `late`: the call is carried out, its response is lost. */
  mode: 'up' | 'down' | 'late' = 'up';
  private highestToken = 0;

  /** Reports of a window as [team, count]. */
  getCounts(windowId: number): unknown {
    const report = this.reports.get(windowId);
    return report === undefined ? undefined : JSON.parse(report.counts);
  }

  accept({ token }: Fence, { windowId, counts }: UsageReport): DutyCallResult {
    this.calls += 1;
    if (token < this.highestToken) return { kind: 'refused' };
    this.highestToken = token;
    const text = JSON.stringify([...counts]);
    const known = this.reports.get(windowId);
    if (known !== undefined && known.counts !== text) {
      this.violations.push(`window ${windowId}: ${known.counts} and ${text}`);
    }
    if (known === undefined) this.reports.set(windowId, { counts: text, atMs: Date.now() });
    return { kind: 'accepted' };
  }

  createClient(canReach: () => boolean): DutyCalls {
    const reportUsage = (fence: Fence, report: UsageReport) =>
      new Promise<DutyCallResult>((resolve) => {
        const fail = () => {
          resolve({ kind: 'unknown', error: 'no response' });
        };
        setTimeout(() => {
          const result =
            canReach() && this.mode !== 'down' ? this.accept(fence, report) : undefined;
          if (result !== undefined && this.mode === 'up') resolve(result);
          else setTimeout(fail, CALL_TIMEOUT_MS);
        }, CALL_MS);
      });
    return { reportUsage, orderServers: () => Promise.resolve({ kind: 'accepted' }) };
  }
}

/** An instance that counts, shares and reports usage, and that can be frozen or cut off. */
export class UsageInstance {
  storeContact: StoreContact = 'answers';
  /** Whether datagrams of others arrive, and whether its own leave. */
  receives = true;
  sends = true;
  reachesApi = true;
  /** Bytes of datagrams with their headers. */
  sentBytes = 0;
  receivedBytes = 0;
  stepMs = 0;
  readonly lease: DutyLease;
  readonly sharing: UsageSharing;
  readonly reporter: UsageReporter;
  readonly lines: LogLine[] = [];
  private frozenAtMs: number | undefined;
  private suspendedMs = 0;

  constructor(
    readonly fleet: UsageFleet,
    readonly instanceId: string,
    readonly port: number,
  ) {
    const { store, network, api } = fleet;
    const log = createTestLog(this.lines);
    const clock = () => (this.frozenAtMs ?? performance.now()) - this.suspendedMs;
    const readOffset = () => Date.now() - performance.now() + this.suspendedMs + this.stepMs;
    const inner = network.createSocket(port);
    const socket: Pick<PeerSocket, 'setHandler' | 'send'> = {
      setHandler: (kind, handler) => {
        inner.setHandler(kind, (bytes, sender) => {
          if (!this.receives || this.frozenAtMs !== undefined) return;
          this.receivedBytes += bytes.length + DATAGRAM_HEADER_BYTES;
          handler(bytes, sender);
        });
      },
      send: (bytes, receivers) => {
        if (!this.sends || this.frozenAtMs !== undefined) return;
        this.sentBytes += (bytes.length + DATAGRAM_HEADER_BYTES) * receivers.length;
        inner.send(bytes, receivers);
      },
    };
    this.lease = new DutyLease({
      ...{ instanceId, leaseMs: LEASE_MS, clock, log, readOffset },
      store: store.createView(() => (this.frozenAtMs === undefined ? this.storeContact : 'silent')),
      isCandidate: () => fleet.listReaders().includes(instanceId) && this.frozenAtMs === undefined,
    });
    this.sharing = new UsageSharing({
      ...{ instanceId, socket, clock, log, readOffset, lease: this.lease, windowMs: WINDOW_MS },
      listReaders: (count) => fleet.listReaders().slice(0, count),
    });
    this.reporter = new UsageReporter({
      ...{ lease: this.lease, sharing: this.sharing, clock, log },
      ...{ windowMs: WINDOW_MS, dueAfterMs: DUE_AFTER_MS },
      calls: api.createClient(() => this.reachesApi && this.frozenAtMs === undefined),
      metrics: { recordCall: () => undefined, recordWindow: () => undefined },
    });
    this.lease.start();
  }

  isFrozen(): boolean {
    return this.frozenAtMs !== undefined;
  }

  setFrozen(isFrozen: boolean): void {
    if (isFrozen) this.frozenAtMs = performance.now();
    else {
      this.suspendedMs += performance.now() - (this.frozenAtMs ?? 0);
      this.frozenAtMs = undefined;
    }
  }

  async end(): Promise<void> {
    this.sends = false;
    this.receives = false;
    this.storeContact = 'silent';
    this.reachesApi = false;
    await this.reporter[Symbol.asyncDispose]();
    await this.sharing[Symbol.asyncDispose]();
    await this.lease[Symbol.asyncDispose]();
  }
}

/** Instances in virtual time, with the true counts of all requests. */
export class UsageFleet {
  readonly api = new UsageApi();
  readonly instances: UsageInstance[] = [];
  /** True counts by window. */
  readonly truth = new Map<number, number>();

  constructor(
    readonly store: VirtualStore,
    readonly network: LossyNetwork,
    count: number,
  ) {
    for (let port = 1; port <= count; port += 1) this.addInstance(`entry-${port}`, port);
  }

  addInstance(instanceId: string, port: number): UsageInstance {
    const instance = new UsageInstance(this, instanceId, port);
    this.instances.push(instance);
    this.announceInstances();
    return instance;
  }

  async removeInstance(instance: UsageInstance): Promise<void> {
    this.instances.splice(this.instances.indexOf(instance), 1);
    await instance.end();
    this.announceInstances();
  }

  announceInstances(): void {
    const peers = this.instances.map(({ instanceId, port }) => ({
      ...{ instanceId, port, address: '127.0.0.1' },
    }));
    for (const { sharing } of this.instances) sharing.setInstances(peers);
  }

  /** The first of each 40 instances, at least two, read the store. */
  listReaders(): string[] {
    const count = Math.max(2, Math.ceil(this.instances.length / 40));
    return this.instances.slice(0, count).map(({ instanceId }) => instanceId);
  }

  findHolder(): UsageInstance {
    const holder = this.instances.find(
      (instance) => !instance.isFrozen() && instance.lease.getFence() !== undefined,
    );
    if (holder === undefined) throw new Error('nobody holds the duties');
    return holder;
  }

  /** Lets time pass; each instance that runs counts a request in each step. */
  async advance(durationMs: number, stepMs = 100): Promise<void> {
    for (let passedMs = 0; passedMs < durationMs; passedMs += stepMs) {
      const windowId = Math.floor(Date.now() / WINDOW_MS);
      for (const instance of this.instances) {
        if (instance.isFrozen()) continue;
        instance.sharing.recordRun('team-a');
        this.truth.set(windowId, (this.truth.get(windowId) ?? 0) + 1);
      }
      await vi.advanceTimersByTimeAsync(stepMs);
    }
  }

  /** Largest relative difference from the truth of the reported windows in a range of time. */
  measureError(fromMs: number, toMs: number): number {
    const errors = this.#listWindows(fromMs, toMs).map((windowId) => {
      const truth = this.truth.get(windowId) ?? 0;
      const [[, count] = ['', 0]] = (this.api.getCounts(windowId) ?? []) as [string, number][];
      return this.api.reports.has(windowId) ? Math.abs(count - truth) / truth : 0;
    });
    return Math.max(0, ...errors);
  }

  /** Windows that ended in a range of time and have no report, or one that is late. */
  listMissing(fromMs: number, toMs: number): number[] {
    return this.#listWindows(fromMs, toMs).filter((windowId) => {
      const report = this.api.reports.get(windowId);
      return report === undefined || report.atMs > (windowId + 1) * WINDOW_MS + DUE_AFTER_MS;
    });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const instance of this.instances.splice(0)) await instance.end();
  }

  #listWindows(fromMs: number, toMs: number): number[] {
    const first = Math.ceil(fromMs / WINDOW_MS);
    const last = Math.floor(toMs / WINDOW_MS) - 1;
    return Array.from({ length: Math.max(0, last - first + 1) }, (_, index) => first + index);
  }
}
