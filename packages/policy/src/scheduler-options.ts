import type { SchedulerEvent } from './decision-log';

/** Options of `createScheduler`. */
export interface SchedulerOptions {
  /**
   * Maximum number of waiting requests.
   * @default 10000
   */
  queueLimit?: number;
  /**
   * Share of the shard's slots that each tier keeps free of the tiers below it, 0 to 1.
   * @default 0.1
   */
  headroomRatio?: number;
  /**
   * Number of shards in the pool; each shard enforces an equal part of the team limits.
   * @default 1
   */
  shardCount?: number;
  /** Called for each event, for example to write a decision log. Must not call the scheduler. */
  onEvent?: (event: SchedulerEvent) => void;
}
