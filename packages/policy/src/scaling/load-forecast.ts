import type { LoadSample } from './types';

/**
 * Time for which capacity is kept for a peak, in milliseconds. Load swings with a period of 17 s, so a shorter time would remove
 * servers in each trough and lack them at the next crest.
 */
const PEAK_RETENTION_MS = 20_000;
/** Time constant with which a peak is forgotten after that, in milliseconds. */
const PEAK_DECAY_MS = 15_000;
/** Age from which a sample is discarded, in milliseconds; its weight is then below a twentieth. */
const MAX_SAMPLE_AGE_MS = 65_000;
/** Time over which the trend is measured, in milliseconds; shorter ones follow single requests. */
const TREND_MS = 3_000;
/** A trend counts only when the load exceeds its recent peak by this factor; below, capacity for the growth is there. */
const MIN_NEW_HIGH = 1.05;
/** Largest growth that a trend may forecast, as a factor. A jump of load ends at its new level instead of going on. */
const MAX_GROWTH = 1.4;
/** Time in which prefill that waits is to be worked off, in milliseconds; first tokens are due within about a second. */
const QUEUE_CLEARANCE_MS = 1_000;

interface BusySample {
  atMs: number;
  busyServers: number;
}

/** Work of a service in fully busy servers: the larger of what their slots and their prefill need. */
export function computeBusyServers(sample: LoadSample): number {
  const { slotsPerServer, running, waiting, prefillUtilization, queuedPrefillMs } = sample;
  const bySlots = (running + waiting) / Math.max(1, slotsPerServer);
  const byPrefill = prefillUtilization + queuedPrefillMs / QUEUE_CLEARANCE_MS;
  const busyServers = Math.max(bySlots, byPrefill);
  return Number.isFinite(busyServers) ? Math.max(0, busyServers) : 0;
}

/** Forecasts the largest load until servers that are ordered now take requests. */
export class LoadForecast {
  /** The oldest first. */
  private samples: BusySample[] = [];

  record(busyServers: number, nowMs: number): void {
    this.samples = this.samples.filter(({ atMs }) => nowMs - atMs <= MAX_SAMPLE_AGE_MS);
    this.samples.push({ atMs: nowMs, busyServers });
  }

  /** Estimates the peak in busy servers: the recent one, or that to which the load grows within `horizonMs`. */
  estimatePeak(nowMs: number, horizonMs: number): number {
    return Math.max(computePeak(this.samples, nowMs), this.#estimateGrowth(nowMs, horizonMs));
  }

  #estimateGrowth(nowMs: number, horizonMs: number): number {
    const recent = this.samples.filter(({ atMs }) => nowMs - atMs <= TREND_MS);
    const [first] = recent;
    const last = recent.at(-1);
    if (first === undefined || last === undefined || last.atMs === first.atMs) return 0;
    const earlier = this.samples.filter(({ atMs }) => nowMs - atMs > TREND_MS);
    if (last.busyServers < computePeak(earlier, nowMs) * MIN_NEW_HIGH) return 0;
    const slope = (last.busyServers - first.busyServers) / (last.atMs - first.atMs);
    const grown = last.busyServers + Math.max(0, slope) * horizonMs;
    return Math.min(grown, last.busyServers * MAX_GROWTH);
  }
}

function computePeak(samples: readonly BusySample[], nowMs: number): number {
  const weighted = samples.map(
    ({ atMs, busyServers }) => busyServers * computeWeight(nowMs - atMs),
  );
  return Math.max(0, ...weighted);
}

function computeWeight(ageMs: number): number {
  return Math.exp(-Math.max(0, ageMs - PEAK_RETENTION_MS) / PEAK_DECAY_MS);
}
