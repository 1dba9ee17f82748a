/** Weight of the newest observation in exponentially smoothed means. */
const SMOOTHING_FACTOR = 0.1;
/** Bounds of the ratio of observed to predicted prefill time; they limit the effect of a single stall. */
const MIN_PREFILL_RATIO = 0.5;
const MAX_PREFILL_RATIO = 2.5;
/** Maximum prefill time of requests used to estimate the first-event overhead, in milliseconds. */
const SHORT_PREFILL_MS = 40;
/** Minimum prefill time of requests used to estimate the prefill ratio, in milliseconds. */
const LONG_PREFILL_MS = 80;
const MAX_FIRST_EVENT_OVERHEAD_MS = 200;
/** Half-life of an estimate without observations, in milliseconds; the decay lets a slow server be tried again. */
const HALF_LIFE_MS = 8_000;
/** Response time assumed for a server without observations, in milliseconds. */
const DEFAULT_RESPONSE_MS = 50;
/** Quantile of the pauses that represents a server's decode speed; longer pauses are caused by concurrent prefills. */
const PAUSE_QUANTILE = 0.25;
/** Step size of the quantile estimate, relative to the estimate. */
const PAUSE_QUANTILE_STEP = 0.04;
/** Maximum ratio of a server's pause estimate to that of the fastest server. */
const MAX_SLOWNESS = 8;

interface Estimate {
  value: number;
  atMs: number;
}

/** Estimates the speed of backend servers from their responses. */
export class SpeedTracker {
  private readonly pauses = new Map<string, Estimate>();
  private readonly responseTimes = new Map<string, Estimate>();
  private prefillRatio = 1;
  private firstEventOverheadMs = 0;

  /**
   * Records the time to a first event on a server without waiting requests. Short prompts update the first-event
   * overhead, long prompts update the ratio of prefill time to the profile's.
   */
  recordFirstEvent(
    observedMs: number,
    predicted: { prefillMs: number; firstEventMs: number },
  ): void {
    const { prefillMs, firstEventMs } = predicted;
    if (prefillMs <= SHORT_PREFILL_MS) {
      const excessMs = Math.min(MAX_FIRST_EVENT_OVERHEAD_MS, observedMs - firstEventMs);
      const overheadMs = this.firstEventOverheadMs + SMOOTHING_FACTOR * excessMs;
      this.firstEventOverheadMs = Math.min(MAX_FIRST_EVENT_OVERHEAD_MS, Math.max(0, overheadMs));
      return;
    }
    if (prefillMs < LONG_PREFILL_MS) return;
    const ratio = (observedMs - (firstEventMs - prefillMs)) / prefillMs;
    const bounded = Math.min(MAX_PREFILL_RATIO, Math.max(MIN_PREFILL_RATIO, ratio));
    const prefillRatio = this.prefillRatio * (1 + SMOOTHING_FACTOR * (bounded - 1));
    this.prefillRatio = Math.min(MAX_PREFILL_RATIO, Math.max(MIN_PREFILL_RATIO, prefillRatio));
  }

  /** Time to a first event in addition to prefill and decoding, in milliseconds. */
  getFirstEventOverheadMs(): number {
    return this.firstEventOverheadMs;
  }

  /** Records the time between two events of a stream. */
  recordPause(serverId: string, pauseMs: number, nowMs: number): void {
    const known = this.pauses.get(serverId)?.value ?? pauseMs;
    const step = pauseMs > known ? PAUSE_QUANTILE : PAUSE_QUANTILE - 1;
    this.pauses.set(serverId, {
      value: Math.max(1, known * (1 + PAUSE_QUANTILE_STEP * step)),
      atMs: nowMs,
    });
  }

  recordResponse(serverId: string, responseMs: number, nowMs: number): void {
    const known = this.getResponseMs(serverId, nowMs);
    this.responseTimes.set(serverId, {
      value: known + SMOOTHING_FACTOR * (responseMs - known),
      atMs: nowMs,
    });
  }

  /**
   * Lists each server's ratio of expected to profiled prefill time: the ratio of all servers, multiplied by how
   * much slower than the fastest listed server a server decodes. Without recent observations, a server's factor
   * decays to 1.
   */
  listSlowness(serverIds: readonly string[], nowMs: number): Map<string, number> {
    const pausesMs = serverIds.flatMap((serverId) => this.pauses.get(serverId)?.value ?? []);
    const fastestMs = Math.min(...pausesMs);
    return new Map(
      serverIds.map((serverId) => {
        const observed = this.pauses.get(serverId);
        const relative = observed === undefined ? 1 : observed.value / fastestMs;
        const bounded = { value: Math.min(MAX_SLOWNESS, relative), atMs: observed?.atMs ?? nowMs };
        return [serverId, this.prefillRatio * computeDecayed(bounded, 1, nowMs)];
      }),
    );
  }

  /** Mean time of a non-streaming response, in milliseconds. */
  getResponseMs(serverId: string, nowMs: number): number {
    return computeDecayed(this.responseTimes.get(serverId), DEFAULT_RESPONSE_MS, nowMs);
  }

  removeServer(serverId: string): void {
    this.pauses.delete(serverId);
    this.responseTimes.delete(serverId);
  }
}

function computeDecayed(observed: Estimate | undefined, baseline: number, nowMs: number): number {
  if (observed === undefined) return baseline;
  return baseline + (observed.value - baseline) * 0.5 ** ((nowMs - observed.atMs) / HALF_LIFE_MS);
}
