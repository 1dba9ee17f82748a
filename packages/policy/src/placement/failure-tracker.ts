/** How a request at a backend server ended, as far as it tells about the server. */
export type ServerObservation =
  'success' | 'error' | 'broken-answer' | 'overdue' | 'unreachable' | 'full';

/** A server that could not be reached is left out this long, in milliseconds; it doubles with each failure. */
const UNREACHABLE_AVOIDANCE_MS = 1_000;
const MAX_UNREACHABLE_AVOIDANCE_MS = 4_000;
/** A server that said it was full is left out this long, in milliseconds, about one decoding of a short answer. */
const FULL_AVOIDANCE_MS = 150;
/** Weight of the newest observation in the share of failures. */
const SMOOTHING_FACTOR = 0.2;
/** The share of failures halves in this time without observations, in milliseconds, so that a server is tried again. */
const HALF_LIFE_MS = 2_000;

interface ServerRecord {
  failureRate: number;
  observedAtMs: number;
  consecutiveUnreachable: number;
  avoidedUntilMs: number;
}

/** Judges backend servers by the requests sent to them; it needs no probes. */
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

  /** Share of recent requests that failed at the server, 0 to 1. */
  getFailureRate(serverId: string, nowMs: number): number {
    const record = this.servers.get(serverId);
    return record === undefined ? 0 : computeDecayedRate(record, nowMs);
  }

  /** Whether the server was unreachable or full a moment ago. */
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
