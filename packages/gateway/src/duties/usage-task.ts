import type { GatewayMetrics } from '../gateway-metrics';
import type { PeerAddress } from '../peer-socket';
import { UsageReporter } from './usage-reporter';
import type { UsageReporterOptions } from './usage-reporter';
import { UsageSharing } from './usage-sharing';
import type { UsageSharingOptions } from './usage-sharing';

export type UsageTaskOptions = Omit<UsageSharingOptions, 'lease'> &
  Omit<UsageReporterOptions, 'sharing' | 'metrics'> & {
    metrics: Pick<GatewayMetrics, 'usageReports' | 'usageWindows'>;
  };

/** Counts usage, shares the counts with the other instances, and reports those of all while this instance holds the duties. */
export class UsageTask implements AsyncDisposable {
  private readonly sharing: UsageSharing;
  private readonly reporter: UsageReporter;

  constructor(options: UsageTaskOptions) {
    const { usageReports, usageWindows } = options.metrics;
    this.sharing = new UsageSharing(options);
    this.reporter = new UsageReporter({
      ...{ ...options, sharing: this.sharing },
      metrics: {
        recordCall: (result) => {
          usageReports.inc({ result });
        },
        recordWindow: (result) => {
          usageWindows.inc({ result });
        },
      },
    });
  }

  /** Counts a request that a server began to run. */
  recordRun(team: string): void {
    this.sharing.recordRun(team);
  }

  /** Takes in the announced instances. */
  setInstances(instances: readonly PeerAddress[]): void {
    this.sharing.setInstances(instances);
  }

  getLastReported(): number {
    return this.reporter.getLastReported();
  }

  /** Sends the counts that the other instances do not have yet, before this one stops. */
  flush(): void {
    this.sharing.flush();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.reporter[Symbol.asyncDispose]();
    await this.sharing[Symbol.asyncDispose]();
  }
}
