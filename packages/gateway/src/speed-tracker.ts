/** Weight of the newest observation. */
const NEW_WEIGHT = 0.2;
/** Bounds of one observed ratio, so that a single stall does not condemn a server. */
const LOWEST_RATIO = 0.3;
const HIGHEST_RATIO = 6;
/** An observation loses half of its weight in this time, in milliseconds, so that a slow server is tried again. */
const HALF_LIFE_MS = 4_000;
/** Assumed time of a plain answer before any was observed, in milliseconds. */
const FIRST_ANSWER_MS = 50;

interface Observed {
  value: number;
  atMs: number;
}

/** Learns how fast each backend server is from the requests that it answered. */
export class SpeedTracker {
  private readonly slowness = new Map<string, Observed>();
  private readonly answers = new Map<string, Observed>();

  /** Records the observed over the predicted time to a first event. */
  recordFirstEvent(serverId: string, observedMs: number, predictedMs: number, nowMs: number): void {
    const ratio = Math.min(HIGHEST_RATIO, Math.max(LOWEST_RATIO, observedMs / predictedMs));
    const known = this.getSlowness(serverId, nowMs);
    this.slowness.set(serverId, {
      value: known + NEW_WEIGHT * (ratio * known - known),
      atMs: nowMs,
    });
  }

  recordAnswer(serverId: string, answerMs: number, nowMs: number): void {
    const known = this.getAnswerMs(serverId, nowMs);
    this.answers.set(serverId, { value: known + NEW_WEIGHT * (answerMs - known), atMs: nowMs });
  }

  /** Observed time of a prefill over the predicted one; tends to 1 without observations. */
  getSlowness(serverId: string, nowMs: number): number {
    return decayTowards(this.slowness.get(serverId), 1, nowMs);
  }

  /** Mean time of a plain answer, in milliseconds. */
  getAnswerMs(serverId: string, nowMs: number): number {
    return decayTowards(this.answers.get(serverId), FIRST_ANSWER_MS, nowMs);
  }

  removeServer(serverId: string): void {
    this.slowness.delete(serverId);
    this.answers.delete(serverId);
  }
}

function decayTowards(observed: Observed | undefined, rest: number, nowMs: number): number {
  if (observed === undefined) return rest;
  return rest + (observed.value - rest) * 0.5 ** ((nowMs - observed.atMs) / HALF_LIFE_MS);
}
