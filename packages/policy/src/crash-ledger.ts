import { UNCONSTRAINED, type Constraint } from './fair-queue';
import type { QueuedRequest } from './types';

/** Crashes under one fingerprint after which it is refused. */
export const POISON_CRASHES = 2;
/** How long a crash is remembered, in milliseconds. */
export const CRASH_RETENTION_MS = 600_000;
/** Reports of one server this close together are the same crash, in milliseconds; gossip ages are imprecise. */
const SAME_CRASH_MS = 10_000;

interface Crash {
  serverId: string;
  atMs: number;
}

export type CrashVerdict = 'clean' | 'suspect' | 'poison';

/** Remembers under which requests backend servers crashed. */
export class CrashLedger {
  private readonly crashes = new Map<string, Crash[]>();
  private readonly clearedAtMs = new Map<string, number>();

  /**
   * Records a crash unless it is known. `startedAtMs`, when the attempt's grant is known, tells a second
   * crash of the same server from a second report of the first.
   */
  record(fingerprint: string, serverId: string, atMs: number, startedAtMs?: number): void {
    if (atMs <= (this.clearedAtMs.get(fingerprint) ?? -Infinity)) return;
    const known = this.crashes.get(fingerprint) ?? [];
    const isKnown = known.some((crash) => {
      if (crash.serverId !== serverId) return false;
      if (startedAtMs !== undefined) return startedAtMs <= crash.atMs;
      return Math.abs(atMs - crash.atMs) <= SAME_CRASH_MS;
    });
    if (isKnown) return;
    this.crashes.set(fingerprint, [...known, { serverId, atMs }]);
  }

  /** Forgets the crashes of a fingerprint; older reports that arrive later are ignored. */
  clear(fingerprint: string, nowMs: number): void {
    if (this.crashes.delete(fingerprint)) this.clearedAtMs.set(fingerprint, nowMs);
  }

  getVerdict(fingerprint: string): CrashVerdict {
    const count = this.crashes.get(fingerprint)?.length ?? 0;
    if (count === 0) return 'clean';
    return count >= POISON_CRASHES ? 'poison' : 'suspect';
  }

  listCrashedServers(fingerprint: string): string[] {
    return (this.crashes.get(fingerprint) ?? []).map((crash) => crash.serverId);
  }

  /** Drops what is older than 10 minutes and returns the fingerprints whose verdict may have changed. */
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

/** What restricts where a request may start, under the present verdict on its fingerprint. */
export function makeConstraint(request: QueuedRequest, ledger: CrashLedger): Constraint {
  const { fingerprint, excludedServerIds } = request;
  const isSuspect = ledger.getVerdict(fingerprint) !== 'clean';
  if (!isSuspect && excludedServerIds.length === 0) return UNCONSTRAINED;
  const suspectFingerprint = isSuspect ? fingerprint : undefined;
  const key = JSON.stringify([suspectFingerprint ?? null, ...[...excludedServerIds].sort()]);
  return { key, suspectFingerprint, excludedServerIds };
}
