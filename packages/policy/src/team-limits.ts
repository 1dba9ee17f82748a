import type { TeamLimitCause } from '@pollendrum/protocol';
import type { SchedulingTeam } from './types';

/** A team may send the requests of this many milliseconds at once. */
const BURST_MS = 1000;
/** Advice to a caller over its concurrency limit, in milliseconds. */
const CONCURRENCY_RETRY_MS = 1000;

interface TeamUse {
  /** Requests that may start now. */
  tokens: number;
  filledAtMs: number;
  /** Attempts of the team that wait or hold a grant. */
  admitted: number;
}

/** Why a team's request is refused, and when it may try again. */
export interface TeamRefusal {
  cause: TeamLimitCause;
  retryAfterMs: number;
}

/** Enforces the shard's part of each team's limits. */
export class TeamLimits {
  private teams = new Map<string, SchedulingTeam>();
  private readonly uses = new Map<string, TeamUse>();

  constructor(private readonly shardCount: number) {}

  update(teams: readonly SchedulingTeam[]): void {
    this.teams = new Map(teams.map((team) => [team.name, team]));
  }

  getWeight(team: string): number {
    const weight = this.teams.get(team)?.weight ?? 1;
    return weight > 0 ? weight : 1;
  }

  /** Admits one attempt of the team or says why not. Retries are admitted, since their request already was. */
  checkAttempt(team: string, isRetry: boolean, nowMs: number): TeamRefusal | undefined {
    const limits = this.teams.get(team);
    if (limits === undefined || isRetry) return undefined;
    const { concurrentRequests, requestsPerSecond } = limits;
    if (concurrentRequests !== undefined) {
      const limit = Math.max(1, Math.floor(concurrentRequests / this.shardCount));
      if ((this.uses.get(team)?.admitted ?? 0) >= limit) {
        return makeRefusal('concurrent-requests', concurrentRequests, CONCURRENCY_RETRY_MS);
      }
    }
    if (requestsPerSecond === undefined) return undefined;
    return this.takeToken(team, requestsPerSecond, nowMs);
  }

  addAttempt(team: string): void {
    this.getUse(team).admitted += 1;
  }

  removeAttempt(team: string): void {
    const use = this.uses.get(team);
    if (use === undefined) return;
    use.admitted -= 1;
    const hasRate = this.teams.get(team)?.requestsPerSecond !== undefined;
    if (use.admitted <= 0 && !hasRate) this.uses.delete(team);
  }

  private takeToken(team: string, limit: number, nowMs: number): TeamRefusal | undefined {
    const perMs = limit / this.shardCount / 1000;
    const burst = Math.max(1, perMs * BURST_MS);
    const use = this.getUse(team);
    const refill = Math.max(0, nowMs - use.filledAtMs) * perMs;
    use.tokens = Math.min(burst, use.tokens + refill);
    use.filledAtMs = Math.max(nowMs, use.filledAtMs);
    if (use.tokens < 1) {
      const waitMs = perMs > 0 ? Math.ceil((1 - use.tokens) / perMs) : BURST_MS;
      return makeRefusal('requests-per-second', limit, waitMs);
    }
    use.tokens -= 1;
    return undefined;
  }

  private getUse(team: string): TeamUse {
    let use = this.uses.get(team);
    if (use === undefined) {
      use = { tokens: Infinity, filledAtMs: 0, admitted: 0 };
      this.uses.set(team, use);
    }
    return use;
  }
}

function makeRefusal(
  limit: TeamLimitCause['limit'],
  limitValue: number,
  retryAfterMs: number,
): TeamRefusal {
  return { cause: { kind: 'team-limit', limit, limitValue }, retryAfterMs };
}
