import type { TeamLimitCause } from '@pollendrum/protocol';
import type { SchedulingTeam } from './types';

/** A team's token bucket holds as many requests as its rate allows in this time, in milliseconds. */
const BURST_WINDOW_MS = 1000;
/** Retry delay for a caller over its concurrency limit, in milliseconds. */
const CONCURRENCY_RETRY_AFTER_MS = 1000;

interface TeamUsage {
  /** Tokens in the team's bucket; each admitted request takes one token. */
  rateTokens: number;
  refilledAtMs: number;
  /** Number of the team's attempts that wait or hold a grant. */
  admittedAttempts: number;
}

/** Why a request over its team's limits is shed. */
export interface TeamShedReason {
  cause: TeamLimitCause;
  /** Minimum delay before the caller retries the request, in milliseconds. */
  retryAfterMs: number;
}

/** Enforces the shard's part of each team's rate and concurrency limits. */
export class TeamLimits {
  private teams = new Map<string, SchedulingTeam>();
  private readonly usageByTeam = new Map<string, TeamUsage>();

  constructor(private readonly shardCount: number) {}

  update(teams: readonly SchedulingTeam[]): void {
    this.teams = new Map(teams.map((team) => [team.name, team]));
  }

  getWeight(team: string): number {
    const weight = this.teams.get(team)?.weight ?? 1;
    return weight > 0 ? weight : 1;
  }

  /**
   * Checks the limits for an attempt and takes a rate token. Retries pass without a check of either limit and take no
   * token, because their request was admitted before.
   */
  checkAttempt(team: string, isRetry: boolean, nowMs: number): TeamShedReason | undefined {
    const limits = this.teams.get(team);
    if (limits === undefined || isRetry) return undefined;
    const { concurrentRequests, requestsPerSecond } = limits;
    if (concurrentRequests !== undefined) {
      const limit = Math.max(1, Math.floor(concurrentRequests / this.shardCount));
      if ((this.usageByTeam.get(team)?.admittedAttempts ?? 0) >= limit) {
        return makeShedReason(
          'concurrent-requests',
          concurrentRequests,
          CONCURRENCY_RETRY_AFTER_MS,
        );
      }
    }
    if (requestsPerSecond === undefined) return undefined;
    return this.takeToken(team, requestsPerSecond, nowMs);
  }

  addAttempt(team: string): void {
    this.getUsage(team).admittedAttempts += 1;
  }

  removeAttempt(team: string): void {
    const usage = this.usageByTeam.get(team);
    if (usage === undefined) return;
    usage.admittedAttempts -= 1;
    const hasRate = this.teams.get(team)?.requestsPerSecond !== undefined;
    if (usage.admittedAttempts <= 0 && !hasRate) this.usageByTeam.delete(team);
  }

  private takeToken(team: string, limit: number, nowMs: number): TeamShedReason | undefined {
    const tokensPerMs = limit / this.shardCount / 1000;
    const bucketSize = Math.max(1, tokensPerMs * BURST_WINDOW_MS);
    const usage = this.getUsage(team);
    const refill = Math.max(0, nowMs - usage.refilledAtMs) * tokensPerMs;
    usage.rateTokens = Math.min(bucketSize, usage.rateTokens + refill);
    usage.refilledAtMs = Math.max(nowMs, usage.refilledAtMs);
    if (usage.rateTokens < 1) {
      const waitMs =
        tokensPerMs > 0 ? Math.ceil((1 - usage.rateTokens) / tokensPerMs) : BURST_WINDOW_MS;
      return makeShedReason('requests-per-second', limit, waitMs);
    }
    usage.rateTokens -= 1;
    return undefined;
  }

  private getUsage(team: string): TeamUsage {
    let usage = this.usageByTeam.get(team);
    if (usage === undefined) {
      usage = { rateTokens: Infinity, refilledAtMs: 0, admittedAttempts: 0 };
      this.usageByTeam.set(team, usage);
    }
    return usage;
  }
}

function makeShedReason(
  limit: TeamLimitCause['limit'],
  limitValue: number,
  retryAfterMs: number,
): TeamShedReason {
  return { cause: { kind: 'team-limit', limit, limitValue }, retryAfterMs };
}
