import type { DecisionEvent } from './decision-log';

/** Options of `createScheduler`. */
export interface SchedulerOptions {
  /**
   * Most waiting requests.
   * @default 10000
   */
  queueLimit?: number;
  /**
   * Share of the shard's slots kept free of lower tiers for each tier above them, 0 to 1.
   * @default 0.1
   */
  headroomRatio?: number;
  /**
   * Shards of the pool; each enforces its part of the team limits.
   * @default 1
   */
  shardCount?: number;
  /** Called for each event, for decision logs. Must not call the scheduler. */
  onEvent?: (event: DecisionEvent) => void;
}
