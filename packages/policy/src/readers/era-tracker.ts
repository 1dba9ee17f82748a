/**
 * `current`: the answer belongs to the known era; `raised`: it shows that a new one has begun; `outdated`: it dates from before
 * the store returned from a backup.
 */
export type EraJudgement = 'current' | 'raised' | 'outdated';

/** An answer of the store with the era that it names. */
export interface EraAnswer {
  era: number;
  /** Time at which the call was made. */
  calledAtMs: number;
  answeredAtMs: number;
}

/** Largest era; fencing tokens, a thousand million for each era, must be safe integers. */
export const MAX_ERA = 9_000_000;
/**
 * Time for which answers to new calls must all name a lower era until it is disregarded, in milliseconds. It is below the 3.75 s
 * after which keys are refused, and longer than a store that returns answers from before its return.
 */
const DISREGARD_AFTER_MS = 3_000;
const MIN_DISREGARDED_ANSWERS = 3;

/**
 * Keeps the highest era of the store that is known. A lower one does not replace it. If the store names nothing but lower eras
 * for long, its header is wrong, and its answers count as those of the known era.
 */
export class EraTracker {
  private era = 0;
  private knownAtMs = -Infinity;
  /** First answer in a row of answers with a lower era, and their number. */
  private lowerSinceMs = Infinity;
  private lowerCount = 0;

  getEra(): number {
    return this.era;
  }

  /** Takes in an era that another instance has named; returns whether it is a new one. */
  observeEra(era: number, nowMs: number): boolean {
    if (!Number.isSafeInteger(era) || era <= this.era || era > MAX_ERA) return false;
    this.era = era;
    this.knownAtMs = nowMs;
    this.#resetLower();
    return true;
  }

  judgeAnswer({ era, calledAtMs, answeredAtMs }: EraAnswer): EraJudgement {
    if (this.observeEra(era, answeredAtMs)) return 'raised';
    // An era that is not valid says nothing.
    if (era === this.era || !Number.isSafeInteger(era) || era < 0 || era > MAX_ERA) {
      if (era === this.era) this.#resetLower();
      return 'current';
    }
    // The call may have been answered before the store returned.
    if (calledAtMs < this.knownAtMs) return 'outdated';
    this.lowerSinceMs = Math.min(this.lowerSinceMs, answeredAtMs);
    this.lowerCount += 1;
    const isLong = answeredAtMs - this.lowerSinceMs >= DISREGARD_AFTER_MS;
    return isLong && this.lowerCount >= MIN_DISREGARDED_ANSWERS ? 'current' : 'outdated';
  }

  #resetLower(): void {
    this.lowerSinceMs = Infinity;
    this.lowerCount = 0;
  }
}
