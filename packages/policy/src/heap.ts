/**
 * Binary heap with lazy deletion: removed items, for which `isLive` returns false, are discarded when they reach
 * the top.
 */
export class Heap<T> {
  private items: T[] = [];

  constructor(
    private readonly isBefore: (a: T, b: T) => boolean,
    private readonly isLive: (item: T) => boolean = () => true,
  ) {}

  /** Number of items, including removed items that have not been discarded yet. */
  get size(): number {
    return this.items.length;
  }

  add(item: T): void {
    const { items } = this;
    let index = items.length;
    items.push(item);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const parentItem = items[parent] as T;
      if (!this.isBefore(item, parentItem)) break;
      items[index] = parentItem;
      index = parent;
    }
    items[index] = item;
  }

  /** Returns the first live item without removing it; undefined if there is none. */
  getFirst(): T | undefined {
    while (this.items.length > 0) {
      const first = this.items[0] as T;
      if (this.isLive(first)) return first;
      this.removeFirst();
    }
    return undefined;
  }

  /** Removes and returns the first live item; undefined if there is none. */
  takeFirst(): T | undefined {
    const first = this.getFirst();
    if (first !== undefined) this.removeFirst();
    return first;
  }

  /** Discards removed items once they outnumber the live items, so that memory use follows the live count. */
  discardRemoved(liveCount: number): void {
    const slack = 64;
    if (this.items.length <= 2 * liveCount + slack) return;
    this.items = this.items.filter((item) => this.isLive(item));
    for (let index = (this.items.length >> 1) - 1; index >= 0; index -= 1) {
      this.putDown(this.items[index] as T, index);
    }
  }

  private removeFirst(): void {
    const last = this.items.pop() as T;
    if (this.items.length > 0) this.putDown(last, 0);
  }

  /** Sift-down: inserts an item at the free index `startIndex` or below, so that the heap order holds. */
  private putDown(item: T, startIndex: number): void {
    const { items } = this;
    const length = items.length;
    let index = startIndex;
    for (;;) {
      let child = 2 * index + 1;
      if (child >= length) break;
      if (child + 1 < length && this.isBefore(items[child + 1] as T, items[child] as T)) child += 1;
      if (!this.isBefore(items[child] as T, item)) break;
      items[index] = items[child] as T;
      index = child;
    }
    items[index] = item;
  }
}
