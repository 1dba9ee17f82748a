import { setTimeout as sleep } from 'node:timers/promises';
import type { GatewayLog } from './log-and-clock';
import type { ObjectStore } from './object-store';
import type { PeerAddress } from './peer-socket';

export interface InstanceAnnouncementOptions {
  instanceId: string;
  kind: string;
  /** Object by which the instance is announced. */
  spec: unknown;
  store: Pick<ObjectStore, 'putObject'>;
  log: GatewayLog;
}

/** Delay before a failed announcement is retried, in milliseconds. */
const RETRY_MS = 1_000;
/** Average time between the announcements of instances that the store has lost together, in milliseconds. */
const REPEAT_INTERVAL_MS = 100;
/** Longest delay of a repeated announcement, in milliseconds; the others keep an instance for longer. */
const MAX_REPEAT_DELAY_MS = 20_000;

/** Announces an instance in the store, and again when the announcement is gone. */
export class InstanceAnnouncement implements Disposable {
  private isAnnounced = false;
  private isStopped = false;
  private isPending = false;
  private timer: NodeJS.Timeout | undefined;

  constructor(private readonly options: InstanceAnnouncementOptions) {}

  /** Announces the instance; tries again until the store answers. */
  async announce(): Promise<void> {
    const { store, kind, instanceId, spec, log } = this.options;
    this.isPending = true;
    while (!this.isStopped) {
      try {
        await store.putObject(kind, instanceId, spec);
        break;
      } catch (error) {
        log.warn('failed to announce the instance; retrying', { error: String(error) });
        await sleep(RETRY_MS);
      }
    }
    this.isPending = false;
  }

  /**
   * Announces the instance again if others have removed it while they could not reach it, or if the store has lost it.
   *
   * @param missing instances whose announcements the store has lost
   */
  checkAnnounced(instances: readonly PeerAddress[], missing: readonly string[]): void {
    const { instanceId, log } = this.options;
    const wasAnnounced = this.isAnnounced;
    this.isAnnounced =
      !missing.includes(instanceId) &&
      instances.some((instance) => instance.instanceId === instanceId);
    if (!wasAnnounced || this.isAnnounced || this.isStopped || this.isPending) return;
    log.warn('the announcement of the instance is gone; it is announced again');
    this.isPending = true;
    // How many are missing is not known yet while the changes of a new era are taken in one after the other.
    const maxMissing = missing.includes(instanceId) ? instances.length : 0;
    const maxDelayMs = Math.min(MAX_REPEAT_DELAY_MS, maxMissing * REPEAT_INTERVAL_MS);
    this.timer = setTimeout(() => void this.announce(), Math.random() * maxDelayMs);
  }

  /** Makes no further announcements. */
  stop(): void {
    this.isStopped = true;
    clearTimeout(this.timer);
  }

  [Symbol.dispose](): void {
    this.stop();
  }
}
