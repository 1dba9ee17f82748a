import type { MembershipUpdate } from '@pollendrum/protocol';
import { measureUpdate } from './datagram-codec';

interface QueuedUpdate {
  build: (nowMs: number) => MembershipUpdate | undefined;
  sentCount: number;
}

const MAX_UPDATES_PER_DATAGRAM = 6;
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
export class GossipQueue {
  readonly #updates = new Map<string, QueuedUpdate>();

  /**
   * Queues an update. `build` is called at each send, because the age in a crash report changes; if it
   * returns undefined, the update is dropped.
   */
  put(key: string, build: (nowMs: number) => MembershipUpdate | undefined): void {
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
  ): MembershipUpdate[] {
    const maxSends = computeMaxSends(memberCount);
    const taken: MembershipUpdate[] = [];
    let remainingBytes = maxBytes;
    // Of updates sent equally often, the newest goes first, so that a backlog does not delay it.
    const queued = [...this.#updates].reverse().sort(([, a], [, b]) => a.sentCount - b.sentCount);
    for (const [key, entry] of queued) {
      if (taken.length === MAX_UPDATES_PER_DATAGRAM || remainingBytes < SMALLEST_UPDATE_BYTES)
        break;
      if (excludedKeys.has(key)) continue;
      const update = entry.build(nowMs);
      if (update === undefined) {
        this.#updates.delete(key);
        continue;
      }
      const size = measureUpdate(update);
      if (size > remainingBytes) continue;
      remainingBytes -= size;
      taken.push(update);
      entry.sentCount += 1;
      if (entry.sentCount >= maxSends) this.#updates.delete(key);
    }
    return taken;
  }
}
