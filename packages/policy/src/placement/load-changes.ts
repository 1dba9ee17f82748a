import type { LoadTable } from './load-table';
import type { ReportedLoad } from './server-load';

/** Interval at which the load of a server in use is reported again, in milliseconds; it repairs a lost report. */
const REPEAT_INTERVAL_MS = 1_500;

interface SentLoad {
  changeCount: number;
  sentAtMs: number;
  isRepeated: boolean;
}

/** Load of one server that is due to be reported. */
export interface DueLoad {
  serverId: string;
  load: ReportedLoad;
}

/**
 * Selects the loads that this instance reports to its peers: those that have changed, and repetitions of the others. The
 * number of reported loads follows the number of requests, not the number of servers.
 */
export class LoadChanges {
  private readonly sent = new Map<string, SentLoad>();

  constructor(private readonly loads: LoadTable) {}

  /** Reports all loads again, for peers that have not received the earlier reports. */
  reset(): void {
    this.sent.clear();
  }

  /** Whether requests are in progress at any server, so that peers need a sign that this instance is running. */
  hasRequests(): boolean {
    return this.loads.listLocalServers().some(({ hasRequests }) => hasRequests);
  }

  /** Time at which the next repetition is due if no load changes, in milliseconds; Infinity if none is. */
  computeNextRepetitionMs(): number {
    const inUse = this.loads.listLocalServers().filter(({ hasRequests }) => hasRequests);
    const inUseIds = new Set(inUse.map(({ serverId }) => serverId));
    let earliestMs = Infinity;
    for (const [serverId, { sentAtMs, isRepeated }] of this.sent) {
      if (isRepeated && !inUseIds.has(serverId)) continue;
      earliestMs = Math.min(earliestMs, sentAtMs + REPEAT_INTERVAL_MS);
    }
    return earliestMs;
  }

  /** Takes at most `limit` loads, those first that were reported longest ago. */
  takeDue(nowMs: number, limit: number): DueLoad[] {
    this.#discardRemovedServers();
    const due: { serverId: string; sentAtMs: number; changeCount: number; isChanged: boolean }[] =
      [];
    for (const { serverId, changeCount, hasRequests } of this.loads.listLocalServers()) {
      const sent = this.sent.get(serverId);
      const isChanged = sent?.changeCount !== changeCount;
      const isRepetitionDue =
        sent !== undefined &&
        nowMs - sent.sentAtMs >= REPEAT_INTERVAL_MS &&
        (hasRequests || !sent.isRepeated);
      if (!isChanged && !isRepetitionDue) continue;
      due.push({ serverId, changeCount, isChanged, sentAtMs: sent?.sentAtMs ?? -Infinity });
    }
    due.sort((one, other) => compareNumbers(one.sentAtMs, other.sentAtMs));
    return due.slice(0, limit).map(({ serverId, changeCount, isChanged }) => {
      this.sent.set(serverId, { changeCount, sentAtMs: nowMs, isRepeated: !isChanged });
      return { serverId, load: this.loads.getReportedLoad(serverId, nowMs) };
    });
  }

  /** A server that is listed again counts its changes from 0, so they must not be compared with the earlier count. */
  #discardRemovedServers(): void {
    const localIds = new Set(this.loads.listLocalServers().map(({ serverId }) => serverId));
    for (const serverId of this.sent.keys()) {
      if (!localIds.has(serverId)) this.sent.delete(serverId);
    }
  }
}

/** Orders numbers that may both be -Infinity. */
function compareNumbers(one: number, other: number): number {
  if (one === other) return 0;
  return one < other ? -1 : 1;
}
