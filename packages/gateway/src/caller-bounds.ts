import type { CallerBounds, GatewaySettings } from '@pollendrum/protocol';
import type { CallerLimits } from './bundle';
import type { GatewayLog } from './log-and-clock';

/** Bounds on what callers can make an instance hold, with defaults filled in. */
export type ResolvedCallerBounds = Required<Omit<CallerBounds, 'maxBodyStallMs'>> & {
  /** Undefined when the idle timeout of the connections applies. */
  maxBodyStallMs: number | undefined;
};

/** Machines have 210 to 602 MB and a heap of 160 MB at most; the program itself takes about 90 MB. */
const DEFAULT_BOUNDS: ResolvedCallerBounds = {
  maxHeldBytes: 32 * 2 ** 20,
  // Less than the answers' bound of 64 MiB and the requests' bound of 32 MiB together.
  maxHeldBytesWithAnswers: 80 * 2 ** 20,
  maxMemoryWaitMs: 3_000,
  maxBodyStallMs: undefined,
  minBodyBytesPerSecond: 1_024,
  maxBodyPartsPerSecond: 100_000,
  maxContendedBodyStallMs: 1_500,
  minContendedBodyBytesPerSecond: 65_536,
  maxConnections: 1_024,
  maxBegunHeads: 256,
  maxPipelinedRequests: 8,
};

export function resolveCallerBounds({ callerBounds }: GatewaySettings): ResolvedCallerBounds {
  return { ...DEFAULT_BOUNDS, ...callerBounds };
}

/** Resolves the longest time without a byte of a body, in milliseconds. */
export function resolveMaxBodyStallMs(bounds: ResolvedCallerBounds, limits: CallerLimits): number {
  return bounds.maxBodyStallMs ?? limits.idleTimeoutMs;
}

/** Bounds that are reported when they take effect. */
export const CALLER_BOUND_NAMES = [
  'memory',
  'body-stalled',
  'body-slow',
  'body-parts',
  'connections',
  'begun-heads',
  'pipelined-requests',
] as const;
export type CallerBoundName = (typeof CALLER_BOUND_NAMES)[number];

/** Shortest time between two log lines of one bound, in milliseconds. */
const LOG_INTERVAL_MS = 5_000;

/** Counts how often bounds take effect, and logs it at a bounded rate. */
export class CallerBoundReporter {
  private readonly unlogged = new Map<CallerBoundName, { count: number; loggedAtMs: number }>();

  constructor(
    private readonly options: {
      log: GatewayLog;
      clock: () => number;
      onReach: (bound: CallerBoundName) => void;
    },
  ) {}

  /** Takes in that a request was refused or a connection closed because of a bound. */
  report(bound: CallerBoundName): void {
    const { log, clock, onReach } = this.options;
    onReach(bound);
    const nowMs = clock();
    const entry = this.unlogged.get(bound) ?? { count: 0, loggedAtMs: -Infinity };
    this.unlogged.set(bound, entry);
    entry.count += 1;
    if (nowMs - entry.loggedAtMs < LOG_INTERVAL_MS) return;
    log.warn('a bound on callers takes effect', { bound, timesSinceLastLine: entry.count });
    entry.count = 0;
    entry.loggedAtMs = nowMs;
  }
}
