import type { LeaseMoment } from './lease-term';

/** Change of the time of day against the monotonic clock from which it counts as set, in milliseconds. */
const MIN_STEP_MS = 500;
/** Difference from the others up to which the own time of day is used, in milliseconds. */
const MAX_SKEW_MS = 1_000;
/** Age from which what a peer has told is not used, in milliseconds. */
const PEER_TIME_AGE_MS = 12_000;
/** Interval at which the own time is compared with that of peers, in milliseconds; the holder hears of hundreds. */
const COMPARE_INTERVAL_MS = 250;
/** Peers that must agree against an own time of day that has not been set. */
const MIN_PEERS = 2;

/**
 * Time of day by which usage is counted. After a step it goes on by the monotonic clock until peers tell which of the two is
 * right; a suspension looks like a step too. A time of day that differs from that of most peers is not used.
 */
export class UsageClock {
  private offsetMs: number | undefined;
  private lastOffsetMs: number | undefined;
  private hasStepped = false;
  private comparedAtMs = -Infinity;
  private readonly peers = new Map<string, { offsetMs: number; atMs: number }>();

  /** Returns the time in milliseconds since the start of 1970. */
  read(moment: LeaseMoment): number {
    this.#checkStep(moment.offsetMs);
    if (moment.nowMs - this.comparedAtMs >= COMPARE_INTERVAL_MS) this.#resolveOffset(moment);
    return moment.nowMs + (this.offsetMs ?? moment.offsetMs);
  }

  /** Takes in the time of a peer, which has just told it. */
  observePeer(instanceId: string, unixMs: number, moment: LeaseMoment): void {
    this.#checkStep(moment.offsetMs);
    this.peers.delete(instanceId);
    this.peers.set(instanceId, { offsetMs: unixMs - moment.nowMs, atMs: moment.nowMs });
  }

  #checkStep(offsetMs: number): void {
    const hasStepped = Math.abs(offsetMs - (this.lastOffsetMs ?? offsetMs)) >= MIN_STEP_MS;
    this.lastOffsetMs = offsetMs;
    if (!hasStepped) return;
    this.hasStepped = true;
    // A suspension changes how the monotonic clock compares with the time of peers.
    this.peers.clear();
    this.comparedAtMs = -Infinity;
  }

  #resolveOffset({ nowMs, offsetMs }: LeaseMoment): void {
    this.comparedAtMs = nowMs;
    for (const [instanceId, { atMs }] of this.peers) {
      if (nowMs - atMs > PEER_TIME_AGE_MS) this.peers.delete(instanceId);
    }
    const peerOffsets = [...this.peers.values()].map((peer) => peer.offsetMs).sort(compareNumbers);
    const median = peerOffsets[Math.floor(peerOffsets.length / 2)];
    if (median !== undefined && Math.abs(median - offsetMs) <= MAX_SKEW_MS) {
      this.hasStepped = false;
      this.offsetMs = offsetMs;
      return;
    }
    const isOutvoted = peerOffsets.length >= (this.hasStepped ? 1 : MIN_PEERS);
    if (median !== undefined && isOutvoted) this.offsetMs = median;
    else if (!this.hasStepped) this.offsetMs = offsetMs;
  }
}

function compareNumbers(one: number, other: number): number {
  return one - other;
}
