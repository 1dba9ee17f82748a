/**
 * Outcome of a request at a backend server, as evidence of the server's health:
 * - `success`: the response is complete.
 * - `error`: the server answered with an error or with an unexpected response.
 * - `broken-answer`: the response is missing, incomplete or malformed.
 * - `overdue`: the first byte has not arrived long after it was expected.
 * - `unreachable`: the request could not be sent.
 * - `full`: the server refused the request without running it.
 */
export type ServerObservation =
  'success' | 'error' | 'broken-answer' | 'overdue' | 'unreachable' | 'full';

/** Time to avoid an unreachable server, in milliseconds; doubles with each consecutive `unreachable` observation. */
const UNREACHABLE_AVOIDANCE_MS = 1_000;
const MAX_UNREACHABLE_AVOIDANCE_MS = 4_000;
/** Time for which a full server is avoided, in milliseconds: about the decode time of a short response. */
const FULL_AVOIDANCE_MS = 150;
/** Weight of the newest observation in the exponentially smoothed failure rate. */
const SMOOTHING_FACTOR = 0.2;
/** Half-life of the failure rate without observations, in milliseconds; the decay lets a server be tried again. */
const HALF_LIFE_MS = 2_000;

interface ServerHealth {
  failureRate: number;
  observedAtMs: number;
  consecutiveUnreachable: number;
  avoidedUntilMs: number;
}

/** Tracks the health of backend servers passively from request outcomes, without probes. */
export class FailureTracker {
  private readonly servers = new Map<string, ServerHealth>();

  observe(serverId: string, observation: ServerObservation, nowMs: number): void {
    const health = this.servers.get(serverId) ?? makeServerHealth(nowMs);
    this.servers.set(serverId, health);
    const rate = computeDecayedRate(health, nowMs);
    health.observedAtMs = nowMs;
    switch (observation) {
      case 'success':
        health.failureRate = rate * (1 - SMOOTHING_FACTOR);
        health.consecutiveUnreachable = 0;
        health.avoidedUntilMs = 0;
        return;
      case 'error':
      case 'broken-answer':
      case 'overdue':
        health.failureRate = rate + SMOOTHING_FACTOR * (1 - rate);
        return;
      case 'unreachable':
        health.failureRate = rate + SMOOTHING_FACTOR * (1 - rate);
        health.avoidedUntilMs = nowMs + computeAvoidanceMs(health.consecutiveUnreachable);
        health.consecutiveUnreachable += 1;
        return;
      case 'full':
        health.failureRate = rate;
        health.avoidedUntilMs = Math.max(health.avoidedUntilMs, nowMs + FULL_AVOIDANCE_MS);
        return;
    }
  }

  /** Smoothed failure rate of the server's recent requests, from 0 to 1. */
  getFailureRate(serverId: string, nowMs: number): number {
    const health = this.servers.get(serverId);
    return health === undefined ? 0 : computeDecayedRate(health, nowMs);
  }

  /** Whether the server is avoided because it was recently unreachable or full. */
  isAvoided(serverId: string, nowMs: number): boolean {
    return (this.servers.get(serverId)?.avoidedUntilMs ?? 0) > nowMs;
  }

  removeServer(serverId: string): void {
    this.servers.delete(serverId);
  }
}

function makeServerHealth(nowMs: number): ServerHealth {
  return { failureRate: 0, observedAtMs: nowMs, consecutiveUnreachable: 0, avoidedUntilMs: 0 };
}

function computeDecayedRate(health: ServerHealth, nowMs: number): number {
  return health.failureRate * 0.5 ** ((nowMs - health.observedAtMs) / HALF_LIFE_MS);
}

function computeAvoidanceMs(previousFailures: number): number {
  return Math.min(UNREACHABLE_AVOIDANCE_MS * 2 ** previousFailures, MAX_UNREACHABLE_AVOIDANCE_MS);
}
