import type { Grant, Reject } from '@pollendrum/protocol';
import { LRUCache } from 'lru-cache';
import type { OwnedShard } from './owned-shard';

export type AttemptState =
  | { kind: 'queued' }
  /** Not in the scheduler: just added, or the link to its entry was lost and the entry has not enqueued it again. */
  | { kind: 'suspended' }
  /** `reply` is undefined when another dispatcher made the grant. */
  | { kind: 'granted'; serverId: string; reply: Grant | undefined };

/** An attempt that an entry has enqueued, or whose grant it reported, in an owned shard. */
export interface Attempt {
  attemptId: string;
  requestId: string;
  entryInstanceId: string;
  shard: OwnedShard;
  className: string;
  team: string;
  fingerprint: string;
  bundleNumber: number;
  /** On the dispatcher's clock, in milliseconds. */
  arrivedAtMs: number;
  state: AttemptState;
  /** When the link to the entry was lost; undefined once the entry has enqueued or reported the attempt again. */
  linkLostAtMs: number | undefined;
}

type AttemptEnd = { kind: 'finished' } | { kind: 'rejected'; reply: Reject };

// A duplicate message arrives within the time in which a lost link is replaced, which is less than 60 s.
const ENDED_RETENTION_MS = 60_000;
const MAX_ENDED = 100_000;

/** Attempts that are queued, suspended or granted, and the results of those that ended recently. */
export class AttemptTable {
  readonly #attempts = new Map<string, Attempt>();
  readonly #byEntry = new Map<string, Set<Attempt>>();
  readonly #ended = new LRUCache<string, AttemptEnd>({ max: MAX_ENDED, ttl: ENDED_RETENTION_MS });

  constructor(private readonly handleRemoved: (attemptId: string) => void = () => undefined) {}

  add(attempt: Attempt): void {
    this.#attempts.set(attempt.attemptId, attempt);
    const entryAttempts = this.#byEntry.get(attempt.entryInstanceId) ?? new Set();
    entryAttempts.add(attempt);
    this.#byEntry.set(attempt.entryInstanceId, entryAttempts);
  }

  get(attemptId: string): Attempt | undefined {
    return this.#attempts.get(attemptId);
  }

  getEnd(attemptId: string): AttemptEnd | undefined {
    return this.#ended.get(attemptId);
  }

  list(): Attempt[] {
    return [...this.#attempts.values()];
  }

  listEntryIds(): string[] {
    return [...this.#byEntry.keys()];
  }

  listByEntry(entryInstanceId: string): Attempt[] {
    return [...(this.#byEntry.get(entryInstanceId) ?? [])];
  }

  /** Removes the attempt without recording its end, so that it can be added again under the same id. */
  remove(attempt: Attempt): void {
    this.#attempts.delete(attempt.attemptId);
    const entryAttempts = this.#byEntry.get(attempt.entryInstanceId);
    entryAttempts?.delete(attempt);
    if (entryAttempts?.size === 0) this.#byEntry.delete(attempt.entryInstanceId);
    this.handleRemoved(attempt.attemptId);
  }

  /** Removes the attempt and keeps its result, so that a late message does not start the attempt again. */
  recordEnd(attemptId: string, end: AttemptEnd): void {
    const attempt = this.#attempts.get(attemptId);
    if (attempt !== undefined) this.remove(attempt);
    this.#ended.set(attemptId, end);
  }
}
