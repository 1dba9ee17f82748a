/** Outcome of a request at a backend server, as evidence of the server's health. */
export type ServerObservation =
  'success' | 'error' | 'broken-answer' | 'overdue' | 'unreachable' | 'full';

/** Time for which an unreachable server is avoided, in milliseconds; doubles with each consecutive failure. */
const UNREACHABLE_AVOIDANCE_MS = 1_000;
const MAX_UNREACHABLE_AVOIDANCE_MS = 4_000;
/** Time for which a full server is avoided, in milliseconds: about the decode time of a short response. */
const FULL_AVOIDANCE_MS = 150;
/** Weight of the newest observation in the exponentially smoothed failure rate. */
const SMOOTHING_FACTOR = 0.2;
/** Half-life of the failure rate without observations, in milliseconds; the decay lets a server be tried again. */
const HALF_LIFE_MS = 2_000;

interface ServerRecord {
  failureRate: number;
  observedAtMs: number;
  consecutiveUnreachable: number;
  avoidedUntilMs: number;
}

/** Tracks the health of backend servers passively from request outcomes, without probes. */
export class FailureTracker {
  private readonly servers = new Map<string, ServerRecord>();

  observe(serverId: string, observation: ServerObservation, nowMs: number): void {
    const record = this.servers.get(serverId) ?? makeRecord(nowMs);
    this.servers.set(serverId, record);
    const rate = computeDecayedRate(record, nowMs);
    record.observedAtMs = nowMs;
    switch (observation) {
      case 'success':
        record.failureRate = rate * (1 - SMOOTHING_FACTOR);
        record.consecutiveUnreachable = 0;
        record.avoidedUntilMs = 0;
        return;
      case 'error':
      case 'broken-answer':
      case 'overdue':
        record.failureRate = rate + SMOOTHING_FACTOR * (1 - rate);
        return;
      case 'unreachable':
        record.failureRate = rate + SMOOTHING_FACTOR * (1 - rate);
        record.avoidedUntilMs = nowMs + computeAvoidanceMs(record.consecutiveUnreachable);
        record.consecutiveUnreachable += 1;
        return;
      case 'full':
        record.failureRate = rate;
        record.avoidedUntilMs = Math.max(record.avoidedUntilMs, nowMs + FULL_AVOIDANCE_MS);
        return;
    }
  }

  /** Smoothed failure rate of the server's recent requests, from 0 to 1. */
  getFailureRate(serverId: string, nowMs: number): number {
    const record = this.servers.get(serverId);
    return record === undefined ? 0 : computeDecayedRate(record, nowMs);
  }

  /** Whether the server is avoided because it was recently unreachable or full. */
  isAvoided(serverId: string, nowMs: number): boolean {
    return (this.servers.get(serverId)?.avoidedUntilMs ?? 0) > nowMs;
  }

  removeServer(serverId: string): void {
    this.servers.delete(serverId);
  }
}

function makeRecord(nowMs: number): ServerRecord {
  return { failureRate: 0, observedAtMs: nowMs, consecutiveUnreachable: 0, avoidedUntilMs: 0 };
}

function computeDecayedRate(record: ServerRecord, nowMs: number): number {
  return record.failureRate * 0.5 ** ((nowMs - record.observedAtMs) / HALF_LIFE_MS);
}

function computeAvoidanceMs(previousFailures: number): number {
  return Math.min(UNREACHABLE_AVOIDANCE_MS * 2 ** previousFailures, MAX_UNREACHABLE_AVOIDANCE_MS);
}
