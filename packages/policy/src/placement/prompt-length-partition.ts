import type { ServerLoad } from './server-load';

/** Target for the maximum utilization of a server by prefills of its kind of prompt, short or long. */
const TARGET_SHORT_UTILIZATION = 0.35;
const TARGET_LONG_UTILIZATION = 0.6;
/**
 * Added to the number of servers that each kind needs before the ratio is taken, so that a kind without load keeps
 * some.
 */
const SPARE_SERVERS = 0.3;
const MIN_SHORT_SERVER_SHARE = 0.25;
const MAX_SHORT_SERVER_SHARE = 0.7;
/**
 * The count changes only if the ideal count differs from the current count by at least this many servers, because
 * each change makes engines prefill shared parts again.
 */
const HYSTERESIS_SERVERS = 0.8;

/** Sums of the utilizations of all servers by prefills of short and of long prompts. */
export interface PrefillTotals {
  shortLoad: number;
  longLoad: number;
}

/** Partitions a service's servers between short and long prompts in proportion to the prefill time of each kind. */
export class PromptLengthPartition {
  private shortCount: number | undefined;
  private serverCount = 0;

  /**
   * Updates the partition and returns the number of servers for short prompts. These are the first servers in the
   * order that all instances share.
   */
  updateShortServerCount(loads: readonly Pick<ServerLoad, 'shortShare' | 'longShare'>[]): number {
    let shortLoad = 0;
    let longLoad = 0;
    for (const load of loads) {
      shortLoad += load.shortShare;
      longLoad += load.longShare;
    }
    return this.updateFromTotals(loads.length, { shortLoad, longLoad });
  }

  /** The same from the number of servers and the sums of their utilizations. */
  updateFromTotals(count: number, totals: PrefillTotals): number {
    const idealCount = count * computeShortServerShare(totals);
    const isOutdated =
      this.shortCount === undefined ||
      count !== this.serverCount ||
      Math.abs(idealCount - this.shortCount) >= HYSTERESIS_SERVERS;
    if (isOutdated) this.shortCount = Math.max(1, Math.round(idealCount));
    this.serverCount = count;
    return this.shortCount ?? 1;
  }
}

function computeShortServerShare({ shortLoad, longLoad }: PrefillTotals): number {
  const shortServers = shortLoad / TARGET_SHORT_UTILIZATION + SPARE_SERVERS;
  const longServers = longLoad / TARGET_LONG_UTILIZATION + SPARE_SERVERS;
  const share = shortServers / (shortServers + longServers);
  return Math.min(MAX_SHORT_SERVER_SHARE, Math.max(MIN_SHORT_SERVER_SHARE, share));
}
