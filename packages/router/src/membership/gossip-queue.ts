import type { MembershipUpdate } from '@pollendrum/protocol';
import { measureUpdate } from './datagram-codec';

interface QueuedUpdate {
  build: (nowMs: number) => MembershipUpdate | undefined;
  sentCount: number;
}

const MAX_UPDATES_PER_DATAGRAM = 6;
const SMALLEST_UPDATE_BYTES = 6;
const MAX_QUEUED_UPDATES = 4_096;

/** How often one instance sends an update. It grows with log n, which reaches all members with high probability. */
export function computeMaxSends(memberCount: number): number {
  return 2 * Math.ceil(Math.log2(memberCount + 1)) + 2;
}

/** Updates that still have to be sent, by topic. A newer update of a topic replaces the older one. */
export class GossipQueue {
  readonly #updates = new Map<string, QueuedUpdate>();

  /** `build` runs at each send because the age of a crash report changes; undefined drops the update. */
  put(topic: string, build: (nowMs: number) => MembershipUpdate | undefined): void {
    this.#updates.delete(topic);
    this.#updates.set(topic, { build, sentCount: 0 });
    if (this.#updates.size <= MAX_QUEUED_UPDATES) return;
    const [oldest] = this.#updates.keys();
    if (oldest !== undefined) this.#updates.delete(oldest);
  }

  /** Takes the least sent updates that fit, and counts them as sent. */
  takeUpdates(
    roomBytes: number,
    memberCount: number,
    skip: ReadonlySet<string>,
    nowMs: number,
  ): MembershipUpdate[] {
    const maxSends = computeMaxSends(memberCount);
    const taken: MembershipUpdate[] = [];
    let room = roomBytes;
    // Among equally often sent updates the newest goes first, so that a backlog delays no news.
    const queued = [...this.#updates].reverse().sort(([, a], [, b]) => a.sentCount - b.sentCount);
    for (const [topic, entry] of queued) {
      if (taken.length === MAX_UPDATES_PER_DATAGRAM || room < SMALLEST_UPDATE_BYTES) break;
      if (skip.has(topic)) continue;
      const update = entry.build(nowMs);
      if (update === undefined) {
        this.#updates.delete(topic);
        continue;
      }
      const size = measureUpdate(update);
      if (size > room) continue;
      room -= size;
      taken.push(update);
      entry.sentCount += 1;
      if (entry.sentCount >= maxSends) this.#updates.delete(topic);
    }
    return taken;
  }
}
