import type { ServerLoad } from './server-load';

/** Share of a server's time that prefills of the kind at home there should take at most. */
const SHORT_HOME_LOAD = 0.35;
const LONG_HOME_LOAD = 0.6;
/** Servers that each kind is allotted beyond its load, so that a quiet kind keeps some. */
const IDLE_HOME_SERVERS = 0.3;
const LEAST_SHORT_SHARE = 0.25;
const MOST_SHORT_SHARE = 0.7;
/** The border moves only when it is this many servers off; each move makes engines read shared parts again. */
const HYSTERESIS_SERVERS = 0.8;

/** Splits the servers of a service between short and long prompts in proportion to the prefill time of each kind. */
export class PromptLengthPartition {
  private shortCount: number | undefined;
  private serverCount = 0;

  /** How many servers, the first ones in the common order, are home to short prompts. */
  updateShortServerCount(loads: readonly Pick<ServerLoad, 'shortShare' | 'longShare'>[]): number {
    const count = loads.length;
    const wanted = count * computeShortShare(loads);
    const isOff =
      this.shortCount === undefined ||
      count !== this.serverCount ||
      Math.abs(wanted - this.shortCount) >= HYSTERESIS_SERVERS;
    if (isOff) this.shortCount = Math.max(1, Math.round(wanted));
    this.serverCount = count;
    return this.shortCount ?? 1;
  }
}

function computeShortShare(loads: readonly Pick<ServerLoad, 'shortShare' | 'longShare'>[]): number {
  let shortLoad = 0;
  let longLoad = 0;
  for (const load of loads) {
    shortLoad += load.shortShare;
    longLoad += load.longShare;
  }
  const shortServers = shortLoad / SHORT_HOME_LOAD + IDLE_HOME_SERVERS;
  const longServers = longLoad / LONG_HOME_LOAD + IDLE_HOME_SERVERS;
  const share = shortServers / (shortServers + longServers);
  return Math.min(MOST_SHORT_SHARE, Math.max(LEAST_SHORT_SHARE, share));
}
