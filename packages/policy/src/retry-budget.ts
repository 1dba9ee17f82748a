const DEFAULT_BUDGET_PERCENT = 10;
const DEFAULT_WINDOW_MS = 10_000;
const DEFAULT_MINIMUM_RETRIES = 3;
/** The window slides in steps of a tenth. */
const BUCKETS_PER_WINDOW = 10;

/** Options of `createRetryBudget`. */
export interface RetryBudgetOptions {
  /**
   * Length of the sliding window in milliseconds.
   * @default 10000
   */
  windowMs?: number;
  /**
   * Retries in a window that a class may always make, so that a quiet class can retry; a function when it
   * changes, such as with the number of instances that share it.
   * @default 3
   */
  minimumRetries?: number | (() => number);
}

/** Bounds further attempts of each class by a share of its first attempts. */
export interface RetryBudget {
  recordFirstAttempt(className: string, nowMs: number): void;
  /**
   * Takes one retry out of the budget; false when it is exhausted.
   * `budgetPercent` is in percent of first attempts, 10 by default.
   */
  takeRetry(className: string, nowMs: number, budgetPercent?: number): boolean;
}

interface Bucket {
  index: number;
  firstAttempts: number;
  retries: number;
}

/** Creates a retry budget. The clock is passed in, in milliseconds of a monotonic clock. */
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

  return {
    recordFirstAttempt(className, nowMs) {
      const current = getBuckets(className, nowMs).at(-1) as Bucket;
      current.firstAttempts += 1;
    },
    takeRetry(className, nowMs, budgetPercent = DEFAULT_BUDGET_PERCENT) {
      const buckets = getBuckets(className, nowMs);
      const firstAttempts = buckets.reduce((sum, bucket) => sum + bucket.firstAttempts, 0);
      const retries = buckets.reduce((sum, bucket) => sum + bucket.retries, 0);
      const minimum = typeof minimumRetries === 'function' ? minimumRetries() : minimumRetries;
      if (retries >= Math.max(minimum, (firstAttempts * budgetPercent) / 100)) return false;
      const current = buckets.at(-1) as Bucket;
      current.retries += 1;
      return true;
    },
  };
}
