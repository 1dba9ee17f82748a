/** How a request at a backend server ended, as far as it tells about the server. */
export type ServerObservation =
  'success' | 'error' | 'broken-answer' | 'overdue' | 'unreachable' | 'full';

/** A server that could not be reached is left out this long, in milliseconds; it doubles with each failure. */
const UNREACHABLE_FOR_MS = 1_000;
const LONGEST_UNREACHABLE_MS = 4_000;
/** A server that said it was full is left out this long, in milliseconds, about one decoding of a short answer. */
const FULL_FOR_MS = 150;
/** Weight of the newest observation in the share of failures. */
const NEW_WEIGHT = 0.2;
/** The share of failures halves in this time without observations, in milliseconds, so that a server is tried again. */
const HALF_LIFE_MS = 2_000;

interface ServerRecord {
  failureShare: number;
  observedAtMs: number;
  unreachableInRow: number;
  avoidedUntilMs: number;
}

/** Judges backend servers by the requests sent to them; it needs no probes. */
export class FailureTracker {
  private readonly servers = new Map<string, ServerRecord>();

  observe(serverId: string, observation: ServerObservation, nowMs: number): void {
    const record = this.servers.get(serverId) ?? makeRecord(nowMs);
    this.servers.set(serverId, record);
    const share = computeDecayedShare(record, nowMs);
    record.observedAtMs = nowMs;
    switch (observation) {
      case 'success':
        record.failureShare = share * (1 - NEW_WEIGHT);
        record.unreachableInRow = 0;
        record.avoidedUntilMs = 0;
        return;
      case 'error':
      case 'broken-answer':
      case 'overdue':
        record.failureShare = share + NEW_WEIGHT * (1 - share);
        return;
      case 'unreachable':
        record.failureShare = share + NEW_WEIGHT * (1 - share);
        record.avoidedUntilMs = nowMs + computeAvoidanceMs(record.unreachableInRow);
        record.unreachableInRow += 1;
        return;
      case 'full':
        record.failureShare = share;
        record.avoidedUntilMs = Math.max(record.avoidedUntilMs, nowMs + FULL_FOR_MS);
        return;
    }
  }

  /** Share of recent requests that failed at the server, 0 to 1. */
  getFailureRate(serverId: string, nowMs: number): number {
    const record = this.servers.get(serverId);
    return record === undefined ? 0 : computeDecayedShare(record, nowMs);
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
  return { failureShare: 0, observedAtMs: nowMs, unreachableInRow: 0, avoidedUntilMs: 0 };
}

function computeDecayedShare(record: ServerRecord, nowMs: number): number {
  return record.failureShare * 0.5 ** ((nowMs - record.observedAtMs) / HALF_LIFE_MS);
}

function computeAvoidanceMs(failuresBefore: number): number {
  return Math.min(UNREACHABLE_FOR_MS * 2 ** failuresBefore, LONGEST_UNREACHABLE_MS);
}
