import type { QueuedRequest } from './types';

/** Weight of a new sample in the exponentially weighted moving averages. */
const SMOOTHING_FACTOR = 0.1;
/** Output tokens assumed before the first sample, because fair queueing needs a cost for every request. */
const DEFAULT_OUTPUT_TOKENS = 256;
/** Maximum number of class and team pairs; their averages take about 3 MB. */
const MAX_CLASS_TEAM_PAIRS = 30_000;

/**
 * Number of mean deviations above the mean for the upper estimate of the service time. TCP's retransmission
 * timeout uses 4. Output lengths have a longer tail: in the policy benchmark at load 2 (a burst demand of twice
 * the servers' token rate), 4 wasted 5,647 tokens and 6 wasted 4,887.
 */
const UPPER_SERVICE_DEVIATIONS = 6;

/** Moving averages over completed attempts. */
interface RequestMeans {
  outputTokens: number;
  serviceMs: number;
  /** Mean absolute deviation of the service time in milliseconds. */
  deviationMs: number;
}

/** Estimates for a request, from completed attempts of the same class and team. */
export interface RequestEstimate {
  estimatedServiceMs: number;
  /**
   * Upper estimate of the service time, which few requests exceed, in milliseconds; 0 before the first sample.
   */
  upperServiceMs: number;
  estimatedTokens: number;
}

/**
 * Estimates output lengths and service times per class and team, for fair queueing, wait estimates and queue
 * budgets.
 */
export class RequestEstimator {
  /** Means by class and team; the key is from `toKey`. */
  private readonly byPair = new Map<string, RequestMeans>();
  private readonly byClass = new Map<string, RequestMeans>();
  private overall: RequestMeans | undefined;

  /** Adds the sample of a completed attempt, with the service time in milliseconds. */
  observe(className: string, team: string, serviceMs: number, outputTokens: number): void {
    const sample = { outputTokens, serviceMs, deviationMs: 0 };
    const pairKey = toKey(className, team);
    if (this.byPair.size >= MAX_CLASS_TEAM_PAIRS && !this.byPair.has(pairKey)) this.byPair.clear();
    this.byPair.set(pairKey, updateMeans(this.byPair.get(pairKey), sample));
    this.byClass.set(className, updateMeans(this.byClass.get(className), sample));
    this.overall = updateMeans(this.overall, sample);
  }

  /** Estimates the service times in milliseconds and the sum of prompt and output tokens, at least 1. */
  estimate(request: QueuedRequest): RequestEstimate {
    const { className, team, promptTokens, maxOutputTokens } = request;
    const outputTokens = this.estimateOutputTokens(className, team, maxOutputTokens);
    return {
      estimatedServiceMs: this.estimateServiceMs(className, team),
      upperServiceMs: this.estimateUpperServiceMs(className, team),
      estimatedTokens: Math.max(1, promptTokens + outputTokens),
    };
  }

  /** Expected output tokens; `maxOutputTokens` 0 means no limit. */
  private estimateOutputTokens(className: string, team: string, maxOutputTokens: number): number {
    const mean = this.getMean(className, team)?.outputTokens ?? DEFAULT_OUTPUT_TOKENS;
    return maxOutputTokens > 0 ? Math.min(mean, maxOutputTokens) : mean;
  }

  /**
   * Expected service time in milliseconds; 0 before the first sample, so that no request is shed without data.
   */
  private estimateServiceMs(className: string, team: string): number {
    return this.getMean(className, team)?.serviceMs ?? 0;
  }

  private estimateUpperServiceMs(className: string, team: string): number {
    const mean = this.getMean(className, team);
    if (mean === undefined) return 0;
    return mean.serviceMs + UPPER_SERVICE_DEVIATIONS * mean.deviationMs;
  }

  /** Mean service time over all classes in milliseconds; 0 before the first sample. */
  getMeanServiceMs(): number {
    return this.overall?.serviceMs ?? 0;
  }

  private getMean(className: string, team: string): RequestMeans | undefined {
    return this.byPair.get(toKey(className, team)) ?? this.byClass.get(className) ?? this.overall;
  }
}

function toKey(className: string, team: string): string {
  return `${className}\n${team}`;
}

function updateMeans(previous: RequestMeans | undefined, sample: RequestMeans): RequestMeans {
  if (previous === undefined) return sample;
  const deviationMs = Math.abs(sample.serviceMs - previous.serviceMs);
  return {
    outputTokens:
      previous.outputTokens + SMOOTHING_FACTOR * (sample.outputTokens - previous.outputTokens),
    serviceMs: previous.serviceMs + SMOOTHING_FACTOR * (sample.serviceMs - previous.serviceMs),
    deviationMs: previous.deviationMs + SMOOTHING_FACTOR * (deviationMs - previous.deviationMs),
  };
}
