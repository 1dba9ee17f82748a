/** Binary heap with lazy removal: items that are no longer live are dropped when they surface. */
export class Heap<T> {
  private items: T[] = [];

  constructor(
    private readonly isBefore: (a: T, b: T) => boolean,
    private readonly isLive: (item: T) => boolean = () => true,
  ) {}

  /** Number of items, including removed ones that have not surfaced yet. */
  get size(): number {
    return this.items.length;
  }

  add(item: T): void {
    const { items } = this;
    let index = items.length;
    items.push(item);
    while (index > 0) {
      const parent = (index - 1) >> 1;
      const above = items[parent] as T;
      if (!this.isBefore(item, above)) break;
      items[index] = above;
      index = parent;
    }
    items[index] = item;
  }

  /** First live item, undefined when there is none. */
  getFirst(): T | undefined {
    while (this.items.length > 0) {
      const first = this.items[0] as T;
      if (this.isLive(first)) return first;
      this.removeFirst();
    }
    return undefined;
  }

  /** Removes and returns the first live item. */
  takeFirst(): T | undefined {
    const first = this.getFirst();
    if (first !== undefined) this.removeFirst();
    return first;
  }

  /** Drops removed items once they outnumber the live ones, so that memory follows the live count. */
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

  /** Puts an item at a free place or below it, where the order holds. */
  private putDown(item: T, from: number): void {
    const { items } = this;
    const length = items.length;
    let index = from;
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
