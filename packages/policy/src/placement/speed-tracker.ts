/** Weight of the newest observation in exponentially smoothed means. */
const SMOOTHING_FACTOR = 0.1;
/** Bounds of the ratio of observed to predicted prefill time; they limit the effect of a single stall. */
const MIN_PREFILL_RATIO = 0.5;
const MAX_PREFILL_RATIO = 2.5;
/** Maximum predicted prefill time of streams used to estimate the first-event overhead, in milliseconds. */
const MAX_PREFILL_FOR_OVERHEAD_MS = 40;
/** Minimum predicted prefill time of streams used to estimate the prefill ratio, in milliseconds. */
const MIN_PREFILL_FOR_RATIO_MS = 80;
const MAX_FIRST_EVENT_OVERHEAD_MS = 200;
/**
 * Half-life of an estimate's distance from its baseline while there are no new observations, in milliseconds; the
 * decay lets a slow server be tried again.
 */
const HALF_LIFE_MS = 8_000;
/** Time of a non-streaming response assumed for a server without observations, in milliseconds. */
const DEFAULT_RESPONSE_MS = 50;
/** Quantile of the pauses that represents a server's decode speed; longer pauses are caused by concurrent prefills. */
const PAUSE_QUANTILE = 0.1;
/**
 * Minimum duration of a window whose quantile updates the estimate, in milliseconds. Noise of 0.6 s fills less of it than
 * the quantile tolerates.
 */
const PAUSE_WINDOW_MS = 1_200;
/** Minimum number of pauses in a window; one of 74 instances sees about four pauses of a server in a second. */
const MIN_WINDOW_PAUSES = 6;
/** Interval between two pauses that are kept, in milliseconds; it bounds their number in a window. */
const KEPT_PAUSE_INTERVAL_MS = 20;
/** Weight of the newest window in the estimate. */
const WINDOW_WEIGHT = 0.05;
/** Maximum ratio of a server's pause estimate to that of the fastest server. */
const MAX_DECODE_RATIO = 8;

/** Interval at which the fastest server is found again, so that a placement does not visit all servers. */
const FASTEST_INTERVAL_MS = 1_000;

interface Estimate {
  value: number;
  updatedAtMs: number;
}

/** Estimated pause of a server, with the pauses of the window that updates it next. */
interface PauseEstimate extends Estimate {
  /** Whether a window was complete; before that, the estimate is the shortest pause. */
  hasWindow: boolean;
  windowStartMs: number;
  keptAtMs: number;
  windowPausesMs: number[];
}

/** Estimates the speed of backend servers from their responses. */
export class SpeedTracker {
  private readonly pauses = new Map<string, PauseEstimate>();
  private readonly responseTimes = new Map<string, Estimate>();
  private prefillRatio = 1;
  private firstEventOverheadMs = 0;
  private fastestPauseMs = Infinity;
  private fastestFoundAtMs = -Infinity;

  /**
   * Records the time to a stream's first event on a server that had no waiting requests when the stream was placed.
   * Prefills of at most `MAX_PREFILL_FOR_OVERHEAD_MS` update the first-event overhead, prefills of at least
   * `MIN_PREFILL_FOR_RATIO_MS` update the prefill ratio: observed prefill time to that of the profile.
   */
  recordFirstEvent(
    observedMs: number,
    predicted: { prefillMs: number; firstEventMs: number },
  ): void {
    const { prefillMs, firstEventMs } = predicted;
    if (prefillMs <= MAX_PREFILL_FOR_OVERHEAD_MS) {
      const excessMs = Math.min(MAX_FIRST_EVENT_OVERHEAD_MS, observedMs - firstEventMs);
      const overheadMs = this.firstEventOverheadMs + SMOOTHING_FACTOR * excessMs;
      this.firstEventOverheadMs = Math.min(MAX_FIRST_EVENT_OVERHEAD_MS, Math.max(0, overheadMs));
      return;
    }
    if (prefillMs < MIN_PREFILL_FOR_RATIO_MS) return;
    const ratio = (observedMs - (firstEventMs - prefillMs)) / prefillMs;
    const bounded = Math.min(MAX_PREFILL_RATIO, Math.max(MIN_PREFILL_RATIO, ratio));
    const prefillRatio = this.prefillRatio * (1 + SMOOTHING_FACTOR * (bounded - 1));
    this.prefillRatio = Math.min(MAX_PREFILL_RATIO, Math.max(MIN_PREFILL_RATIO, prefillRatio));
  }

  /** Estimated first-event overhead; see `PlacementOptions.firstEventOverheadMs`. */
  getFirstEventOverheadMs(): number {
    return this.firstEventOverheadMs;
  }

  /** Records the time between two events of a stream. */
  recordPause(serverId: string, pauseMs: number, nowMs: number): void {
    const known = this.pauses.get(serverId);
    if (known === undefined) {
      this.pauses.set(serverId, makePauseEstimate(pauseMs, nowMs));
      return;
    }
    known.updatedAtMs = nowMs;
    if (nowMs - known.keptAtMs < KEPT_PAUSE_INTERVAL_MS) return;
    known.keptAtMs = nowMs;
    known.windowPausesMs.push(pauseMs);
    if (!known.hasWindow) known.value = Math.max(1, Math.min(known.value, pauseMs));
    const isComplete =
      nowMs - known.windowStartMs >= PAUSE_WINDOW_MS &&
      known.windowPausesMs.length >= MIN_WINDOW_PAUSES;
    if (isComplete) finishWindow(known, nowMs);
  }

  /** Records the time of a non-streaming response. */
  recordResponse(serverId: string, responseMs: number, nowMs: number): void {
    const known = this.getResponseMs(serverId, nowMs);
    this.responseTimes.set(serverId, {
      value: known + SMOOTHING_FACTOR * (responseMs - known),
      updatedAtMs: nowMs,
    });
  }

  /**
   * Returns, for each server, the factor by which its prefills and decode steps are expected to take longer than in
   * the profile; see `computeSlowness`.
   */
  computeSlownessByServer(serverIds: readonly string[], nowMs: number): Map<string, number> {
    const pausesMs = serverIds.flatMap((serverId) => this.pauses.get(serverId)?.value ?? []);
    const fastestMs = Math.min(...pausesMs);
    return new Map(
      serverIds.map((serverId) => [serverId, this.computeSlowness(serverId, fastestMs, nowMs)]),
    );
  }

  /**
   * Factor by which a server's prefills and decode steps are expected to take longer than in the profile. It is the
   * prefill ratio measured over all servers, times the ratio of the server's pauses to those of the fastest server.
   * Without recent observations, the second ratio decays to 1.
   */
  computeSlowness(serverId: string, fastestPauseMs: number, nowMs: number): number {
    const observed = this.pauses.get(serverId);
    if (observed === undefined) return this.prefillRatio;
    const bounded = {
      value: Math.min(MAX_DECODE_RATIO, Math.max(1, observed.value / fastestPauseMs)),
      updatedAtMs: observed.updatedAtMs,
    };
    return this.prefillRatio * computeDecayed(bounded, 1, nowMs);
  }

  /** Pauses of the fastest server, in milliseconds; found again after an interval. */
  getFastestPauseMs(nowMs: number): number {
    if (nowMs - this.fastestFoundAtMs >= FASTEST_INTERVAL_MS) {
      this.fastestFoundAtMs = nowMs;
      this.fastestPauseMs = Math.min(...[...this.pauses.values()].map(({ value }) => value));
    }
    return this.fastestPauseMs;
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

function makePauseEstimate(pauseMs: number, nowMs: number): PauseEstimate {
  return {
    ...{ value: Math.max(1, pauseMs), updatedAtMs: nowMs, hasWindow: false },
    ...{ windowStartMs: nowMs, keptAtMs: nowMs, windowPausesMs: [pauseMs] },
  };
}

/** Updates the estimate by the quantile of the window's pauses, and begins the next window. */
function finishWindow(estimate: PauseEstimate, nowMs: number): void {
  const sorted = estimate.windowPausesMs.sort((one, other) => one - other);
  const quantileMs = Math.max(1, sorted[Math.floor(PAUSE_QUANTILE * sorted.length)] ?? 1);
  const weight = estimate.hasWindow ? WINDOW_WEIGHT : 1;
  estimate.value += weight * (quantileMs - estimate.value);
  estimate.hasWindow = true;
  estimate.windowStartMs = nowMs;
  estimate.windowPausesMs = [];
}

function computeDecayed(known: Estimate | undefined, baseline: number, nowMs: number): number {
  if (known === undefined) return baseline;
  return baseline + (known.value - baseline) * 0.5 ** ((nowMs - known.updatedAtMs) / HALF_LIFE_MS);
}
