import type { Grant, Reject } from '@pollendrum/protocol';
import { LRUCache } from 'lru-cache';
import type { OwnedShard } from './owned-shard';

export type AttemptState =
  | { kind: 'waiting' }
  /** Its entry's link is lost; the scheduler does not know it until the entry enqueues it again. */
  | { kind: 'suspended' }
  | { kind: 'granted'; serverId: string; answer: Grant | undefined };

/** One attempt of an entry in an owned shard. */
export interface Attempt {
  attemptId: string;
  requestId: string;
  entryInstanceId: string;
  shard: OwnedShard;
  className: string;
  team: string;
  fingerprint: string;
  bundleNumber: number;
  /** On the dispatcher's clock. */
  arrivedAtMs: number;
  state: AttemptState;
  /** When the link to the entry was lost, until the entry announces the attempt again. */
  lostAtMs: number | undefined;
}

type EndedAttempt = { kind: 'finished' } | { kind: 'rejected'; answer: Reject };

// A repeated message arrives within the time in which links are replaced.
const ENDED_RETENTION_MS = 60_000;
const MAX_ENDED = 100_000;

/** Attempts that wait or hold a grant, and the ends of recent ones. */
export class AttemptTable {
  readonly #attempts = new Map<string, Attempt>();
  readonly #byEntry = new Map<string, Set<Attempt>>();
  readonly #ended = new LRUCache<string, EndedAttempt>({ max: MAX_ENDED, ttl: ENDED_RETENTION_MS });

  constructor(private readonly handleRemoved: (attemptId: string) => void = () => undefined) {}

  add(attempt: Attempt): void {
    this.#attempts.set(attempt.attemptId, attempt);
    const ofEntry = this.#byEntry.get(attempt.entryInstanceId) ?? new Set();
    ofEntry.add(attempt);
    this.#byEntry.set(attempt.entryInstanceId, ofEntry);
  }

  get(attemptId: string): Attempt | undefined {
    return this.#attempts.get(attemptId);
  }

  getEnded(attemptId: string): EndedAttempt | undefined {
    return this.#ended.get(attemptId);
  }

  list(): Attempt[] {
    return [...this.#attempts.values()];
  }

  listEntries(): string[] {
    return [...this.#byEntry.keys()];
  }

  listOfEntry(entryInstanceId: string): Attempt[] {
    return [...(this.#byEntry.get(entryInstanceId) ?? [])];
  }

  /** Forgets the attempt: it may come back under the same id. */
  remove(attempt: Attempt): void {
    this.#attempts.delete(attempt.attemptId);
    const ofEntry = this.#byEntry.get(attempt.entryInstanceId);
    ofEntry?.delete(attempt);
    if (ofEntry?.size === 0) this.#byEntry.delete(attempt.entryInstanceId);
    this.handleRemoved(attempt.attemptId);
  }

  /** Remembers the end for a while, so that a late message does not start the attempt again. */
  recordEnd(attemptId: string, end: EndedAttempt): void {
    const attempt = this.#attempts.get(attemptId);
    if (attempt !== undefined) this.remove(attempt);
    this.#ended.set(attemptId, end);
  }
}
