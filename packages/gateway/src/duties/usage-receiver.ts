import type { ToldWindow } from '@pollendrum/policy';

/** Time without an acknowledgement after which an instance counts as silent, in milliseconds. */
const SILENT_AFTER_MS = 1_500;
/** Datagrams that may still be acknowledged. */
const MAX_IN_FLIGHT = 16;

interface AckedWindow {
  counts: Map<string, number>;
  /** Sum with which the end of the window has been acknowledged. */
  closedTotal: number | undefined;
}

/** What an instance has acknowledged of the counts of this one. */
export class UsageReceiver {
  private readonly acked = new Map<number, AckedWindow>();
  private readonly inFlight = new Map<number, readonly ToldWindow[]>();
  private unansweredSinceMs: number | undefined;
  private sentAtMs = -Infinity;

  constructor(readonly instanceId: string) {}

  /** Whether datagrams have not been acknowledged for some time. */
  isSilent(nowMs: number): boolean {
    return this.unansweredSinceMs !== undefined && nowMs - this.unansweredSinceMs > SILENT_AFTER_MS;
  }

  /** Lists what has not been acknowledged, the oldest first. */
  listPending(windows: readonly ToldWindow[]): ToldWindow[] {
    const [oldest] = windows;
    for (const windowId of this.acked.keys()) {
      if (oldest !== undefined && windowId < oldest.windowId) this.acked.delete(windowId);
    }
    return windows.flatMap((window) => {
      const acked = this.acked.get(window.windowId);
      const counts = window.counts.filter(
        ([team, count]) => count > (acked?.counts.get(team) ?? 0),
      );
      const isEndPending = window.isClosed && acked?.closedTotal !== window.total;
      return counts.length > 0 || isEndPending ? [{ ...window, counts }] : [];
    });
  }

  getSentAtMs(): number {
    return this.sentAtMs;
  }

  recordSent(sequence: number, windows: readonly ToldWindow[], nowMs: number): void {
    this.unansweredSinceMs ??= nowMs;
    this.sentAtMs = nowMs;
    this.inFlight.set(sequence, windows);
    const [oldest] = this.inFlight.keys();
    if (oldest !== undefined && this.inFlight.size > MAX_IN_FLIGHT) this.inFlight.delete(oldest);
  }

  recordAck(sequence: number): void {
    this.unansweredSinceMs = undefined;
    for (const { windowId, isClosed, total, counts } of this.inFlight.get(sequence) ?? []) {
      const acked = this.acked.get(windowId) ?? { counts: new Map(), closedTotal: undefined };
      this.acked.set(windowId, acked);
      if (isClosed) acked.closedTotal = total;
      for (const [team, count] of counts) {
        acked.counts.set(team, Math.max(count, acked.counts.get(team) ?? 0));
      }
    }
    this.inFlight.delete(sequence);
  }
}
