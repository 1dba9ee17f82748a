import type { Clock } from './log-and-clock';
import type { PeerAddress } from './peer-socket';

/** Time after a new era for which instances are kept that the store has lost, in milliseconds; they announce themselves again. */
const KEPT_FOR_MS = 24_000;

/**
 * The announced instances. When the store has returned from a backup, those that it lacks stay known for a while, so that not
 * all of them read the store because they are unknown to the others.
 */
export class InstanceDirectory implements Disposable {
  private readonly announced = new Map<string, PeerAddress>();
  /** Instances whose announcements have gone while they are kept. */
  private readonly missing = new Map<string, PeerAddress>();
  private keptUntilMs = -Infinity;
  private timer: NodeJS.Timeout | undefined;

  /** @param onChange called when instances that were kept are given up */
  constructor(
    private readonly clock: Clock,
    private readonly onChange: () => void,
  ) {}

  /** Takes in that a new era has begun. */
  handleNewEra(): void {
    this.keptUntilMs = this.clock() + KEPT_FOR_MS;
    clearTimeout(this.timer);
    this.timer = setTimeout(() => {
      if (this.missing.size === 0) return;
      this.missing.clear();
      this.onChange();
    }, KEPT_FOR_MS);
  }

  put(instance: PeerAddress): void {
    this.announced.set(instance.instanceId, instance);
    this.missing.delete(instance.instanceId);
  }

  remove(instanceId: string): void {
    const instance = this.announced.get(instanceId);
    this.announced.delete(instanceId);
    if (instance !== undefined && this.clock() < this.keptUntilMs) {
      this.missing.set(instanceId, instance);
    }
  }

  /** Replaces all instances by those of a listing. */
  replaceAll(instances: readonly PeerAddress[]): void {
    const listed = new Set(instances.map(({ instanceId }) => instanceId));
    for (const instanceId of [...this.announced.keys()]) {
      if (!listed.has(instanceId)) this.remove(instanceId);
    }
    for (const instance of instances) this.put(instance);
  }

  list(): PeerAddress[] {
    return [...this.announced.values(), ...this.missing.values()];
  }

  /** Lists the instances that are kept although their announcements are gone. */
  listMissing(): string[] {
    return [...this.missing.keys()];
  }

  count(): number {
    return this.announced.size + this.missing.size;
  }

  [Symbol.dispose](): void {
    clearTimeout(this.timer);
  }
}
