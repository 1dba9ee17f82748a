import type { QueuedRequest } from './types';

/** Weight of a new observation in the exponentially weighted mean. */
const NEW_WEIGHT = 0.1;
/** Output tokens assumed before the first observation; fairness needs some figure. */
const DEFAULT_OUTPUT_TOKENS = 256;
/** Bound of the map over class and team, about 3 MB. */
const MAX_TEAMS = 30_000;

/**
 * How many mean deviations above the mean a service time counts as long. TCP's timeout uses 4; output
 * lengths have a longer tail, and 6 wasted fewer tokens in the policy bench (4,887 against 5,647 at load 2).
 */
const LONG_SERVICE_DEVIATIONS = 6;

interface LengthMean {
  outputTokens: number;
  serviceMs: number;
  /** Mean absolute deviation of the service time in milliseconds. */
  deviationMs: number;
}

/** What was learned about requests like one. */
export interface RequestEstimate {
  estimatedServiceMs: number;
  /** Service time that few requests exceed, in milliseconds; 0 before the first observation. */
  longServiceMs: number;
  estimatedTokens: number;
}

/** Learns output lengths and service times per class and team. Used for estimates and fairness only. */
export class LengthEstimates {
  private readonly byTeam = new Map<string, LengthMean>();
  private readonly byClass = new Map<string, LengthMean>();
  private overall: LengthMean | undefined;

  /** Takes in a completed attempt; its service time is in milliseconds. */
  observe(className: string, team: string, serviceMs: number, outputTokens: number): void {
    const seen = { outputTokens, serviceMs, deviationMs: 0 };
    const teamKey = toKey(className, team);
    if (this.byTeam.size >= MAX_TEAMS && !this.byTeam.has(teamKey)) this.byTeam.clear();
    this.byTeam.set(teamKey, mergeMean(this.byTeam.get(teamKey), seen));
    this.byClass.set(className, mergeMean(this.byClass.get(className), seen));
    this.overall = mergeMean(this.overall, seen);
  }

  /** Expected service time in milliseconds, and expected prompt and output tokens, at least 1. */
  estimate(request: QueuedRequest): RequestEstimate {
    const { className, team, promptTokens, maxOutputTokens } = request;
    const outputTokens = this.estimateOutputTokens(className, team, maxOutputTokens);
    return {
      estimatedServiceMs: this.estimateServiceMs(className, team),
      longServiceMs: this.estimateLongServiceMs(className, team),
      estimatedTokens: Math.max(1, promptTokens + outputTokens),
    };
  }

  /** Expected output tokens; `maxOutputTokens` 0 means no limit. */
  private estimateOutputTokens(className: string, team: string, maxOutputTokens: number): number {
    const mean = this.getMean(className, team)?.outputTokens ?? DEFAULT_OUTPUT_TOKENS;
    return maxOutputTokens > 0 ? Math.min(mean, maxOutputTokens) : mean;
  }

  /** Expected service time in milliseconds; 0 before the first observation, so nothing is shed on a guess. */
  private estimateServiceMs(className: string, team: string): number {
    return this.getMean(className, team)?.serviceMs ?? 0;
  }

  private estimateLongServiceMs(className: string, team: string): number {
    const mean = this.getMean(className, team);
    if (mean === undefined) return 0;
    return mean.serviceMs + LONG_SERVICE_DEVIATIONS * mean.deviationMs;
  }

  /** Mean service time over all classes in milliseconds; 0 before the first observation. */
  getMeanServiceMs(): number {
    return this.overall?.serviceMs ?? 0;
  }

  private getMean(className: string, team: string): LengthMean | undefined {
    return this.byTeam.get(toKey(className, team)) ?? this.byClass.get(className) ?? this.overall;
  }
}

function toKey(className: string, team: string): string {
  return `${className}\n${team}`;
}

function mergeMean(known: LengthMean | undefined, seen: LengthMean): LengthMean {
  if (known === undefined) return seen;
  const deviationMs = Math.abs(seen.serviceMs - known.serviceMs);
  return {
    outputTokens: known.outputTokens + NEW_WEIGHT * (seen.outputTokens - known.outputTokens),
    serviceMs: known.serviceMs + NEW_WEIGHT * (seen.serviceMs - known.serviceMs),
    deviationMs: known.deviationMs + NEW_WEIGHT * (deviationMs - known.deviationMs),
  };
}
