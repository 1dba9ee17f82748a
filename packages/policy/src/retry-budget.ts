const DEFAULT_BUDGET_PERCENT = 10;
const DEFAULT_WINDOW_MS = 10_000;
const DEFAULT_MINIMUM_RETRIES = 3;
/** The sliding window advances by one bucket, a tenth of its length. */
const BUCKETS_PER_WINDOW = 10;

/** Options of `createRetryBudget`. */
export interface RetryBudgetOptions {
  /**
   * Length of the sliding window in milliseconds.
   * @default 10000
   */
  windowMs?: number;
  /**
   * Number of retries that a class may always make in a window, so that a class with little traffic can retry.
   * A function if the number changes, for example with the number of instances that share the budget.
   * @default 3
   */
  minimumRetries?: number | (() => number);
}

/** Limits the retries of each class to a percentage of its first attempts in a sliding window. */
export interface RetryBudget {
  recordFirstAttempt(className: string, nowMs: number): void;
  /** Whether `takeRetry` would take a retry now. */
  hasRetry(className: string, nowMs: number, budgetPercent?: number): boolean;
  /**
   * Takes one retry from the budget; returns false if the budget is exhausted.
   * `budgetPercent` is a percentage of the first attempts, 10 by default.
   */
  takeRetry(className: string, nowMs: number, budgetPercent?: number): boolean;
}

interface Bucket {
  index: number;
  firstAttempts: number;
  retries: number;
}

/**
 * Creates a retry budget. It reads no clock: the current time is an argument, in milliseconds of a monotonic
 * clock.
 */
export function createRetryBudget(options: RetryBudgetOptions = {}): RetryBudget {
  const { windowMs = DEFAULT_WINDOW_MS, minimumRetries = DEFAULT_MINIMUM_RETRIES } = options;
  const bucketMs = windowMs / BUCKETS_PER_WINDOW;
  const bucketsByClass = new Map<string, Bucket[]>();

  function getBuckets(className: string, nowMs: number): Bucket[] {
    const index = Math.floor(nowMs / bucketMs);
    const kept = (bucketsByClass.get(className) ?? []).filter(
      (bucket) => bucket.index > index - BUCKETS_PER_WINDOW,
    );
    if (kept.at(-1)?.index !== index) kept.push({ index, firstAttempts: 0, retries: 0 });
    bucketsByClass.set(className, kept);
    return kept;
  }

  function hasRetry(
    className: string,
    nowMs: number,
    budgetPercent = DEFAULT_BUDGET_PERCENT,
  ): boolean {
    const buckets = getBuckets(className, nowMs);
    const firstAttempts = buckets.reduce((sum, bucket) => sum + bucket.firstAttempts, 0);
    const retries = buckets.reduce((sum, bucket) => sum + bucket.retries, 0);
    const minimum = typeof minimumRetries === 'function' ? minimumRetries() : minimumRetries;
    return retries < Math.max(minimum, (firstAttempts * budgetPercent) / 100);
  }

  return {
    hasRetry,
    recordFirstAttempt(className, nowMs) {
      const current = getBuckets(className, nowMs).at(-1) as Bucket;
      current.firstAttempts += 1;
    },
    takeRetry(className, nowMs, budgetPercent) {
      if (!hasRetry(className, nowMs, budgetPercent)) return false;
      const current = getBuckets(className, nowMs).at(-1) as Bucket;
      current.retries += 1;
      return true;
    },
  };
}
