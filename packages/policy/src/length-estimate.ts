import type { QueuedRequest } from './types';

/** Weight of a new observation in the exponentially weighted mean. */
const NEW_WEIGHT = 0.1;
/** Output tokens assumed before the first observation; fairness needs some figure. */
const DEFAULT_OUTPUT_TOKENS = 256;
/** Bound of the map over class and team, about 3 MB. */
const MAX_TEAMS = 30_000;

interface LengthMean {
  outputTokens: number;
  serviceMs: number;
}

/** Learns output lengths and service times per class and team. Used for estimates and fairness only. */
export class LengthEstimates {
  private readonly byTeam = new Map<string, LengthMean>();
  private readonly byClass = new Map<string, LengthMean>();
  private overall: LengthMean | undefined;

  /** Takes in a completed attempt; its service time is in milliseconds. */
  observe(className: string, team: string, serviceMs: number, outputTokens: number): void {
    const seen = { outputTokens, serviceMs };
    const teamKey = toKey(className, team);
    if (this.byTeam.size >= MAX_TEAMS && !this.byTeam.has(teamKey)) this.byTeam.clear();
    this.byTeam.set(teamKey, mergeMean(this.byTeam.get(teamKey), seen));
    this.byClass.set(className, mergeMean(this.byClass.get(className), seen));
    this.overall = mergeMean(this.overall, seen);
  }

  /** Expected service time in milliseconds, and expected prompt and output tokens, at least 1. */
  estimate(request: QueuedRequest): { estimatedServiceMs: number; estimatedTokens: number } {
    const { className, team, promptTokens, maxOutputTokens } = request;
    const outputTokens = this.estimateOutputTokens(className, team, maxOutputTokens);
    return {
      estimatedServiceMs: this.estimateServiceMs(className, team),
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
  return {
    outputTokens: known.outputTokens + NEW_WEIGHT * (seen.outputTokens - known.outputTokens),
    serviceMs: known.serviceMs + NEW_WEIGHT * (seen.serviceMs - known.serviceMs),
  };
}
