interface QueuedUpdate<U> {
  build: (nowMs: number) => U | undefined;
  sentCount: number;
}

/** Limits and size of the updates of a queue. */
export interface GossipQueueOptions<U> {
  maxUpdatesPerDatagram: number;
  /** Bytes that an update adds to a datagram. */
  measure(update: U): number;
}

const SMALLEST_UPDATE_BYTES = 6;
const MAX_QUEUED_UPDATES = 4_096;

/**
 * Returns how many times an instance sends an update. The count grows with log n, so that updates
 * reach all n members with high probability.
 */
export function computeMaxSends(memberCount: number): number {
  return 2 * Math.ceil(Math.log2(memberCount + 1)) + 2;
}

/** Updates to be sent, by key. A newer update replaces an older one with the same key. */
export class GossipQueue<U> {
  readonly #updates = new Map<string, QueuedUpdate<U>>();

  constructor(private readonly options: GossipQueueOptions<U>) {}

  isEmpty(): boolean {
    return this.#updates.size === 0;
  }

  /**
   * Queues an update. `build` is called at each send, because the age in a report changes; if it
   * returns undefined, the update is dropped.
   */
  put(key: string, build: (nowMs: number) => U | undefined): void {
    this.#updates.delete(key);
    this.#updates.set(key, { build, sentCount: 0 });
    if (this.#updates.size <= MAX_QUEUED_UPDATES) return;
    const [oldest] = this.#updates.keys();
    if (oldest !== undefined) this.#updates.delete(oldest);
  }

  /** Returns the least often sent updates that fit into `maxBytes`, and counts them as sent. */
  takeUpdates(
    maxBytes: number,
    memberCount: number,
    excludedKeys: ReadonlySet<string>,
    nowMs: number,
  ): U[] {
    const maxSends = computeMaxSends(memberCount);
    const taken: U[] = [];
    let remainingBytes = maxBytes;
    // Of updates sent equally often, the newest goes first, so that a backlog does not delay it.
    const queued = [...this.#updates].reverse().sort(([, a], [, b]) => a.sentCount - b.sentCount);
    for (const [key, entry] of queued) {
      if (
        taken.length === this.options.maxUpdatesPerDatagram ||
        remainingBytes < SMALLEST_UPDATE_BYTES
      )
        break;
      if (excludedKeys.has(key)) continue;
      const update = entry.build(nowMs);
      if (update === undefined) {
        this.#updates.delete(key);
        continue;
      }
      const size = this.options.measure(update);
      if (size > remainingBytes) continue;
      remainingBytes -= size;
      taken.push(update);
      entry.sentCount += 1;
      if (entry.sentCount >= maxSends) this.#updates.delete(key);
    }
    return taken;
  }
}
