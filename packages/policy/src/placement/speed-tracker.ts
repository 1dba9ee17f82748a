/** Weight of the newest observation in means. */
const NEW_WEIGHT = 0.1;
/** Bounds of one observed ratio, so that a single stall does not count much. */
const LOWEST_RATIO = 0.5;
const HIGHEST_RATIO = 2.5;
/** Prefills up to this time tell of the overhead of a first event, in milliseconds. */
const SHORT_PREFILL_MS = 40;
/** Prefills from this time on tell of the speed of prefills, in milliseconds. */
const LONG_PREFILL_MS = 80;
const MOST_FIRST_EVENT_MS = 200;
/** An observation loses half of its weight in this time, in milliseconds, so that a slow server is tried again. */
const HALF_LIFE_MS = 8_000;
/** Assumed time of a plain answer before any was observed, in milliseconds. */
const FIRST_ANSWER_MS = 50;
/** The quantile of pauses that tells a server's own pace; longer ones are due to prompts read in between. */
const PACE_QUANTILE = 0.25;
/** Step of the quantile estimate, as a share of its value. */
const PACE_STEP = 0.04;
/** Bounds of a server's pace relative to the fastest one. */
const MOST_SLOWNESS = 8;

interface Observed {
  value: number;
  atMs: number;
}

/** Learns how fast backend servers are from the requests that they answer. */
export class SpeedTracker {
  private readonly paces = new Map<string, Observed>();
  private readonly answers = new Map<string, Observed>();
  private prefillRatio = 1;
  private firstEventOverheadMs = 0;

  /**
   * Learns from the time to a first event at a server where nothing waited. Short prompts tell what every first
   * event takes beside its prefill, long ones how far prefills differ from the profile.
   */
  recordFirstEvent(
    observedMs: number,
    predicted: { prefillMs: number; firstEventMs: number },
  ): void {
    const { prefillMs, firstEventMs } = predicted;
    if (prefillMs <= SHORT_PREFILL_MS) {
      const excessMs = Math.min(MOST_FIRST_EVENT_MS, observedMs - firstEventMs);
      const overheadMs = this.firstEventOverheadMs + NEW_WEIGHT * excessMs;
      this.firstEventOverheadMs = Math.min(MOST_FIRST_EVENT_MS, Math.max(0, overheadMs));
      return;
    }
    if (prefillMs < LONG_PREFILL_MS) return;
    const ratio = (observedMs - (firstEventMs - prefillMs)) / prefillMs;
    const bounded = Math.min(HIGHEST_RATIO, Math.max(LOWEST_RATIO, ratio));
    const prefillRatio = this.prefillRatio * (1 + NEW_WEIGHT * (bounded - 1));
    this.prefillRatio = Math.min(HIGHEST_RATIO, Math.max(LOWEST_RATIO, prefillRatio));
  }

  /** What a first event takes beside its prefill and its decoding, in milliseconds. */
  getFirstEventOverheadMs(): number {
    return this.firstEventOverheadMs;
  }

  /** Records the time between two events of a stream. */
  recordPause(serverId: string, pauseMs: number, nowMs: number): void {
    const known = this.paces.get(serverId)?.value ?? pauseMs;
    const step = pauseMs > known ? PACE_QUANTILE : PACE_QUANTILE - 1;
    this.paces.set(serverId, { value: Math.max(1, known * (1 + PACE_STEP * step)), atMs: nowMs });
  }

  recordResponse(serverId: string, answerMs: number, nowMs: number): void {
    const known = this.getResponseMs(serverId, nowMs);
    this.answers.set(serverId, { value: known + NEW_WEIGHT * (answerMs - known), atMs: nowMs });
  }

  /**
   * Time of each of the servers' prefills over the predicted one: the fleet's ratio times how much slower than
   * the fastest of them a server decodes. A server that was not seen for a while counts as typical.
   */
  listSlowness(serverIds: readonly string[], nowMs: number): Map<string, number> {
    const paces = serverIds.flatMap((serverId) => this.paces.get(serverId)?.value ?? []);
    const fastestMs = Math.min(...paces);
    return new Map(
      serverIds.map((serverId) => {
        const observed = this.paces.get(serverId);
        const relative = observed === undefined ? 1 : observed.value / fastestMs;
        const bounded = { value: Math.min(MOST_SLOWNESS, relative), atMs: observed?.atMs ?? nowMs };
        return [serverId, this.prefillRatio * computeDecayed(bounded, 1, nowMs)];
      }),
    );
  }

  /** Mean time of a plain answer, in milliseconds. */
  getResponseMs(serverId: string, nowMs: number): number {
    return computeDecayed(this.answers.get(serverId), FIRST_ANSWER_MS, nowMs);
  }

  removeServer(serverId: string): void {
    this.paces.delete(serverId);
    this.answers.delete(serverId);
  }
}

function computeDecayed(observed: Observed | undefined, rest: number, nowMs: number): number {
  if (observed === undefined) return rest;
  return rest + (observed.value - rest) * 0.5 ** ((nowMs - observed.atMs) / HALF_LIFE_MS);
}
