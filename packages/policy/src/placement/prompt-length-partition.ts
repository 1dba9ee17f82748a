import type { ServerLoad } from './server-load';

/** Share of a server's time that prefills of the kind at home there should take at most. */
const TARGET_SHORT_UTILIZATION = 0.35;
const TARGET_LONG_UTILIZATION = 0.6;
/** Servers that each kind is allotted beyond its load, so that a quiet kind keeps some. */
const SPARE_SERVERS = 0.3;
const MIN_SHORT_SERVER_SHARE = 0.25;
const MAX_SHORT_SERVER_SHARE = 0.7;
/** The border moves only when it is this many servers off; each move makes engines read shared parts again. */
const HYSTERESIS_SERVERS = 0.8;

/** Splits the servers of a service between short and long prompts in proportion to the prefill time of each kind. */
export class PromptLengthPartition {
  private shortServerCount: number | undefined;
  private serverCount = 0;

  /** How many servers, the first ones in the common order, are home to short prompts. */
  updateShortServerCount(loads: readonly Pick<ServerLoad, 'shortShare' | 'longShare'>[]): number {
    const count = loads.length;
    const targetCount = count * computeShortServerShare(loads);
    const isOutdated =
      this.shortServerCount === undefined ||
      count !== this.serverCount ||
      Math.abs(targetCount - this.shortServerCount) >= HYSTERESIS_SERVERS;
    if (isOutdated) this.shortServerCount = Math.max(1, Math.round(targetCount));
    this.serverCount = count;
    return this.shortServerCount ?? 1;
  }
}

function computeShortServerShare(
  loads: readonly Pick<ServerLoad, 'shortShare' | 'longShare'>[],
): number {
  let shortUtilization = 0;
  let longUtilization = 0;
  for (const load of loads) {
    shortUtilization += load.shortShare;
    longUtilization += load.longShare;
  }
  const shortServers = shortUtilization / TARGET_SHORT_UTILIZATION + SPARE_SERVERS;
  const longServers = longUtilization / TARGET_LONG_UTILIZATION + SPARE_SERVERS;
  const share = shortServers / (shortServers + longServers);
  return Math.min(MAX_SHORT_SERVER_SHARE, Math.max(MIN_SHORT_SERVER_SHARE, share));
}
