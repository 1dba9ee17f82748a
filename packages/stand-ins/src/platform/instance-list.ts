import type { InstanceList, ListedInstance } from '@pollendrum/protocol';

/** The platform's list. A change is visible to readers after the lag in force when it was made. */
export class LaggingInstanceList implements Disposable {
  private visible: InstanceList = { version: 1, instances: [] };
  private readonly timers = new Set<NodeJS.Timeout>();

  constructor(private readonly notifyChanged: () => void) {}

  getList(): InstanceList {
    return this.visible;
  }

  /** Adds or replaces an entry after `lagMs`. */
  putInstance(instance: ListedInstance, lagMs: number): void {
    this.scheduleChange(lagMs, (others) => [...others, instance], instance.id);
  }

  removeInstance(id: string, lagMs: number): void {
    this.scheduleChange(lagMs, (others) => others, id);
  }

  [Symbol.dispose](): void {
    for (const timer of this.timers) clearTimeout(timer);
  }

  private scheduleChange(
    lagMs: number,
    applyChange: (others: ListedInstance[]) => ListedInstance[],
    id: string,
  ): void {
    const commitChange = () => {
      const others = this.visible.instances.filter((entry) => entry.id !== id);
      this.visible = { version: this.visible.version + 1, instances: applyChange(others) };
      this.notifyChanged();
    };
    if (lagMs === 0) {
      commitChange();
      return;
    }
    const timer = setTimeout(() => {
      this.timers.delete(timer);
      commitChange();
    }, lagMs);
    this.timers.add(timer);
  }
}
