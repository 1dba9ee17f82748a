import type { TeamLimitCause } from '@pollendrum/protocol';
import type { SchedulingTeam } from './types';

/** The token bucket of a team holds the requests of this many milliseconds. */
const BURST_WINDOW_MS = 1000;
/** Retry delay for a caller over its concurrency limit, in milliseconds. */
const CONCURRENCY_RETRY_AFTER_MS = 1000;

interface TeamUsage {
  /** Tokens in the bucket; each admitted request takes one token. */
  tokens: number;
  refilledAtMs: number;
  /** Number of the team's attempts that wait or hold a grant. */
  admittedAttempts: number;
}

/** Why a team's request is refused, and after what delay the caller may retry it. */
export interface TeamRefusal {
  cause: TeamLimitCause;
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
   * Checks the limits for an attempt and takes a rate token. Retries pass, because their request was admitted
   * before.
   */
  checkAttempt(team: string, isRetry: boolean, nowMs: number): TeamRefusal | undefined {
    const limits = this.teams.get(team);
    if (limits === undefined || isRetry) return undefined;
    const { concurrentRequests, requestsPerSecond } = limits;
    if (concurrentRequests !== undefined) {
      const limit = Math.max(1, Math.floor(concurrentRequests / this.shardCount));
      if ((this.usageByTeam.get(team)?.admittedAttempts ?? 0) >= limit) {
        return makeRefusal('concurrent-requests', concurrentRequests, CONCURRENCY_RETRY_AFTER_MS);
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

  private takeToken(team: string, limit: number, nowMs: number): TeamRefusal | undefined {
    const tokensPerMs = limit / this.shardCount / 1000;
    const bucketSize = Math.max(1, tokensPerMs * BURST_WINDOW_MS);
    const usage = this.getUsage(team);
    const refill = Math.max(0, nowMs - usage.refilledAtMs) * tokensPerMs;
    usage.tokens = Math.min(bucketSize, usage.tokens + refill);
    usage.refilledAtMs = Math.max(nowMs, usage.refilledAtMs);
    if (usage.tokens < 1) {
      const waitMs =
        tokensPerMs > 0 ? Math.ceil((1 - usage.tokens) / tokensPerMs) : BURST_WINDOW_MS;
      return makeRefusal('requests-per-second', limit, waitMs);
    }
    usage.tokens -= 1;
    return undefined;
  }

  private getUsage(team: string): TeamUsage {
    let usage = this.usageByTeam.get(team);
    if (usage === undefined) {
      usage = { tokens: Infinity, refilledAtMs: 0, admittedAttempts: 0 };
      this.usageByTeam.set(team, usage);
    }
    return usage;
  }
}

function makeRefusal(
  limit: TeamLimitCause['limit'],
  limitValue: number,
  retryAfterMs: number,
): TeamRefusal {
  return { cause: { kind: 'team-limit', limit, limitValue }, retryAfterMs };
}
