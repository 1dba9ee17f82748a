/** Requests that began to run in a window, by team. */
export type TeamCounts = ReadonlyMap<string, number>;

/** Windows of usage that an instance counts itself. */
export class UsageCounts {
  private readonly windows = new Map<number, Map<string, number>>();

  /** Counts a request of a team. */
  add(windowId: number, team: string): void {
    const counts = this.windows.get(windowId) ?? new Map<string, number>();
    this.windows.set(windowId, counts);
    counts.set(team, (counts.get(team) ?? 0) + 1);
  }

  get(windowId: number): TeamCounts {
    return this.windows.get(windowId) ?? new Map<string, number>();
  }

  /** Forgets windows before this one. */
  discardBefore(windowId: number): void {
    for (const known of this.windows.keys()) {
      if (known < windowId) this.windows.delete(known);
    }
  }
}

/** What a start of an instance has counted in a window, as far as told. */
export interface ToldWindow {
  windowId: number;
  /** Whether the window has ended, so that the counts are final once they add up to the total. */
  isClosed: boolean;
  /** Sum of all counts of the window. */
  total: number;
  counts: readonly (readonly [team: string, count: number])[];
}

/** Start of an instance that counts. */
export interface UsageSource {
  instanceId: string;
  incarnation: string;
  /** First window that it has counted, at least in part. */
  firstWindowId: number;
}

interface SourceWindow {
  counts: Map<string, number>;
  /** Sum that the final counts have; undefined until the window has ended. */
  closedTotal: number | undefined;
}

interface SourceState extends UsageSource {
  windows: Map<number, SourceWindow>;
}

/** Which of the announced instances have told their counts of a window. */
export interface WindowCoverage {
  /** Instances whose final counts are known. */
  complete: number;
  /** Instances of which nothing final is known. */
  missing: readonly string[];
}

/**
 * Sums what instances have counted. Counts are cumulative, so that it does not matter how often or in which order they arrive. A
 * restarted instance counts anew and what it had counted before stays.
 */
export class UsageTable {
  private readonly sources = new Map<string, SourceState>();

  /** Takes in cumulative counts. */
  merge(source: UsageSource, told: readonly ToldWindow[]): void {
    const key = `${source.instanceId} ${source.incarnation}`;
    const state = this.sources.get(key) ?? { ...source, windows: new Map<number, SourceWindow>() };
    this.sources.set(key, state);
    for (const { windowId, isClosed, total, counts } of told) {
      const window = state.windows.get(windowId) ?? { counts: new Map(), closedTotal: undefined };
      state.windows.set(windowId, window);
      if (isClosed) window.closedTotal = total;
      for (const [team, count] of counts) {
        window.counts.set(team, Math.max(count, window.counts.get(team) ?? 0));
      }
    }
  }

  /** Sums the counts of a window over all instances, sorted by team. */
  computeSums(windowId: number): [team: string, count: number][] {
    const sums = new Map<string, number>();
    for (const { windows } of this.sources.values()) {
      for (const [team, count] of windows.get(windowId)?.counts ?? []) {
        sums.set(team, (sums.get(team) ?? 0) + count);
      }
    }
    return [...sums].sort(([one], [other]) => (one < other ? -1 : 1));
  }

  /** Tells which instances have told their final counts of a window; one that started later has none. */
  computeCoverage(windowId: number, instanceIds: readonly string[]): WindowCoverage {
    const complete = new Set<string>();
    for (const source of this.sources.values()) {
      if (isComplete(source, windowId)) complete.add(source.instanceId);
    }
    const missing = instanceIds.filter((instanceId) => !complete.has(instanceId));
    return { complete: instanceIds.length - missing.length, missing };
  }

  /** Forgets windows before this one, and instances that have counted nothing since. */
  discardBefore(windowId: number): void {
    for (const [key, { windows, firstWindowId }] of this.sources) {
      for (const known of windows.keys()) {
        if (known < windowId) windows.delete(known);
      }
      if (windows.size === 0 && firstWindowId < windowId) this.sources.delete(key);
    }
  }
}

function isComplete({ windows, firstWindowId }: SourceState, windowId: number): boolean {
  if (firstWindowId > windowId) return true;
  const window = windows.get(windowId);
  if (window?.closedTotal === undefined) return false;
  const sum = [...window.counts.values()].reduce((total, count) => total + count, 0);
  return sum >= window.closedTotal;
}
