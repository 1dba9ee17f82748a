import type { GatewaySettings } from '@pollendrum/protocol';
import type { GatewayMetrics } from '../gateway-metrics';
import type { Clock, GatewayLog } from '../log-and-clock';
import type { ObjectStore } from '../object-store';
import type { PeerAddress, PeerSocket } from '../peer-socket';
import type { StoreNews } from '../store-news';
import { DutyLease } from './duty-lease';
import type { DutyCalls, DutyKind } from './types';
import { UsageTask } from './usage-task';

export interface DutyTasksOptions {
  settings: Pick<GatewaySettings, 'instanceId' | 'duties'>;
  calls: DutyCalls;
  kinds: readonly DutyKind[];
  store: ObjectStore;
  socket: Pick<PeerSocket, 'setHandler' | 'send'>;
  storeNews: Pick<StoreNews, 'isReader' | 'listReaders'>;
  clock: Clock;
  log: GatewayLog;
  metrics: Pick<GatewayMetrics, 'usageReports' | 'usageWindows'>;
}

const DEFAULT_WINDOW_SECONDS = 5;
const DEFAULT_DELAY_SECONDS = 10;
const MS_PER_SECOND = 1_000;

/** The calls to the platform that one instance makes for the fleet: the lease that decides which one, and the tasks that call. */
export class DutyTasks implements AsyncDisposable {
  readonly lease: DutyLease;
  private readonly usage: UsageTask | undefined;
  private isListed = false;

  /** @param leaseMs time after its last renewal for which the lease is held, in milliseconds */
  constructor(
    private readonly options: DutyTasksOptions,
    leaseMs: number,
  ) {
    const { settings, store, clock, log, storeNews, kinds } = options;
    this.lease = new DutyLease({
      ...{ instanceId: settings.instanceId, store, leaseMs, clock, log },
      // Before it is listed, an instance does not know the others and would count as a reader.
      isCandidate: () => this.isListed && storeNews.isReader(),
    });
    if (kinds.includes('usage-reports')) this.usage = this.#createUsageTask();
  }

  /** Begins to compete for the lease. */
  start(): void {
    this.lease.start();
  }

  /** Takes in the announced instances. */
  setInstances(instances: readonly PeerAddress[]): void {
    const { instanceId } = this.options.settings;
    this.isListed = instances.some((instance) => instance.instanceId === instanceId);
    this.usage?.setInstances(instances);
  }

  /** Counts a request that a server began to run. */
  recordRun(team: string): void {
    this.usage?.recordRun(team);
  }

  /** Returns the fencing token under which this instance holds the duties; 0 if it does not. */
  getToken(): number {
    return this.lease.getFence()?.token ?? 0;
  }

  getLastReportedWindow(): number {
    return this.usage?.getLastReported() ?? 0;
  }

  /** Gives the lease up at the start of a drain; usage is counted until the end. */
  async release(): Promise<void> {
    await this.lease.release();
  }

  /** Sends the counts that the other instances do not have yet, before this one stops. */
  flush(): void {
    this.usage?.flush();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.usage?.[Symbol.asyncDispose]();
    await this.lease[Symbol.asyncDispose]();
  }

  #createUsageTask(): UsageTask {
    const { settings, calls, socket, storeNews, clock, log, metrics } = this.options;
    const { usageWindowSeconds, usageDelaySeconds } = settings.duties ?? {};
    return new UsageTask({
      ...{ instanceId: settings.instanceId, lease: this.lease, calls, socket, clock, log, metrics },
      windowMs: (usageWindowSeconds ?? DEFAULT_WINDOW_SECONDS) * MS_PER_SECOND,
      dueAfterMs: (usageDelaySeconds ?? DEFAULT_DELAY_SECONDS) * MS_PER_SECOND,
      listReaders: (count) => storeNews.listReaders(count),
    });
  }
}
