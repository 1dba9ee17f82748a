import { UNCONSTRAINED, type ServerConstraint } from './fair-queue';
import type { QueuedRequest } from './types';

/** Number of crashes after which requests with the same fingerprint are shed. */
export const POISON_CRASH_THRESHOLD = 2;
/** How long a crash is kept, in milliseconds. */
export const CRASH_RETENTION_MS = 600_000;
/**
 * Reports about one server whose times differ by at most this many milliseconds count as one crash: gossip sends
 * the crash's age, so the time derived from it is imprecise.
 */
const DUPLICATE_REPORT_MS = 10_000;

interface Crash {
  serverId: string;
  atMs: number;
}

/**
 * Status of a request fingerprint.
 *
 * - `clean`: no recorded crash.
 * - `suspect`: fewer crashes than `POISON_CRASH_THRESHOLD`. Requests with the fingerprint run isolated: one at a
 *   time, and on a server that runs no other request whose fingerprint has a recorded crash.
 * - `poison`: at the threshold; new and waiting requests with the fingerprint are shed.
 *
 * The boolean `isSuspect` is true for `suspect` and `poison`.
 */
export type CrashStatus = 'clean' | 'suspect' | 'poison';

/** Tracks which request fingerprints were running on backend servers that crashed. */
export class CrashTracker {
  private readonly crashes = new Map<string, Crash[]>();
  private readonly clearedAtMs = new Map<string, number>();

  /**
   * Records a crash unless it is already recorded. `grantedAtMs`, set if the attempt's grant is known,
   * distinguishes a second crash of the same server from a duplicate report of the first crash.
   */
  record(fingerprint: string, serverId: string, atMs: number, grantedAtMs?: number): void {
    if (atMs <= (this.clearedAtMs.get(fingerprint) ?? -Infinity)) return;
    const knownCrashes = this.crashes.get(fingerprint) ?? [];
    const isKnown = knownCrashes.some((crash) => {
      if (crash.serverId !== serverId) return false;
      if (grantedAtMs !== undefined) return grantedAtMs <= crash.atMs;
      return Math.abs(atMs - crash.atMs) <= DUPLICATE_REPORT_MS;
    });
    if (isKnown) return;
    this.crashes.set(fingerprint, [...knownCrashes, { serverId, atMs }]);
  }

  /** Discards the crashes of a fingerprint. Reports of earlier crashes that arrive later are ignored. */
  clear(fingerprint: string, nowMs: number): void {
    if (this.crashes.delete(fingerprint)) this.clearedAtMs.set(fingerprint, nowMs);
  }

  getStatus(fingerprint: string): CrashStatus {
    const count = this.crashes.get(fingerprint)?.length ?? 0;
    if (count === 0) return 'clean';
    return count >= POISON_CRASH_THRESHOLD ? 'poison' : 'suspect';
  }

  listCrashedServers(fingerprint: string): string[] {
    return (this.crashes.get(fingerprint) ?? []).map((crash) => crash.serverId);
  }

  /** Discards crashes older than 10 minutes and returns the fingerprints whose status may have changed. */
  expire(nowMs: number): string[] {
    const oldestMs = nowMs - CRASH_RETENTION_MS;
    const changed: string[] = [];
    for (const [fingerprint, crashes] of this.crashes) {
      const kept = crashes.filter((crash) => crash.atMs > oldestMs);
      if (kept.length === crashes.length) continue;
      if (kept.length === 0) this.crashes.delete(fingerprint);
      else this.crashes.set(fingerprint, kept);
      changed.push(fingerprint);
    }
    for (const [fingerprint, atMs] of this.clearedAtMs) {
      if (atMs <= oldestMs) this.clearedAtMs.delete(fingerprint);
    }
    return changed;
  }
}

/** Builds the server constraint of a request from its excluded servers and its fingerprint's crash status. */
export function makeConstraint(
  request: QueuedRequest,
  crashTracker: CrashTracker,
): ServerConstraint {
  const { fingerprint, excludedServerIds } = request;
  const isSuspect = crashTracker.getStatus(fingerprint) !== 'clean';
  if (!isSuspect && excludedServerIds.length === 0) return UNCONSTRAINED;
  const suspectFingerprint = isSuspect ? fingerprint : undefined;
  const key = JSON.stringify([suspectFingerprint ?? null, ...[...excludedServerIds].sort()]);
  return { key, suspectFingerprint, excludedServerIds };
}
