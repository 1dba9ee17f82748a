import { setTimeout as sleep } from 'node:timers/promises';
import type { Clock, GatewayLog } from './ports';
import type { ObjectChange, ObjectListing, ObjectStore } from './store-port';

/**
 * Longest wait of a watch, in milliseconds. With the time limit of a call on top, a connection that went silent is
 * noticed within 3 s, the shortest time after which the users hold an instance to its promises again.
 */
const WAIT_MS = 2_200;
/** Wait after an answer with changes, in milliseconds, so that the next proof of contact is soon. */
const SHORT_WAIT_MS = 300;
/** A watch that took this much longer than its wait was held up by an outage, in milliseconds. */
const LATE_ANSWER_MS = 300;
/** Bounds of the pause after a failed call, in milliseconds; the longest keeps knowledge of keys fresh. */
const FIRST_BACKOFF_MS = 100;
const LONGEST_BACKOFF_MS = 400;

/** Options of `KindWatcher`. */
export interface KindWatcherOptions {
  store: ObjectStore;
  kind: string;
  log: GatewayLog;
  clock: Clock;
  /**
   * Longest wait of one watch in milliseconds.
   * @default 2_200
   */
  waitMs?: number;
  onListing(listing: ObjectListing): void;
  onChange(change: ObjectChange): void;
  /** All changes up to this time of the monotonic clock are known. */
  onContact?(provenAtMs: number): void;
  /** The store is back after it could not be reached. */
  onRegained?(): void;
}

/** Follows all objects of one kind: a list first, then changes, and a list again when history is lost. */
export class KindWatcher implements AsyncDisposable {
  private readonly ended = new AbortController();
  private revision: number | undefined;
  private failures = 0;
  private lostAtMs: number | undefined;
  private nextWaitMs = 0;
  private running: Promise<void> | undefined;

  constructor(private readonly options: KindWatcherOptions) {}

  start(): void {
    this.running ??= this.#run();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.ended.abort();
    await Promise.race([this.running, sleep(0)]);
  }

  async #run(): Promise<void> {
    while (!this.ended.signal.aborted) {
      try {
        await (this.revision === undefined ? this.#list() : this.#watch(this.revision));
      } catch (error) {
        if (this.ended.signal.aborted) return;
        await this.#handleFailure(error);
      }
    }
  }

  async #list(): Promise<void> {
    const { store, kind, clock, log } = this.options;
    const startedAtMs = clock();
    const listing = await store.listObjects(kind);
    if (this.ended.signal.aborted) return;
    this.#markReached();
    this.revision = listing.revision;
    this.nextWaitMs = SHORT_WAIT_MS;
    log.info('listed objects of the store', {
      kind,
      count: listing.objects.length,
      revision: listing.revision,
    });
    this.options.onListing(listing);
    this.options.onContact?.(startedAtMs);
  }

  async #watch(afterRevision: number): Promise<void> {
    const { store, kind, clock, log } = this.options;
    const waitMs = Math.min(this.nextWaitMs, this.options.waitMs ?? WAIT_MS);
    const startedAtMs = clock();
    const answer = await store.watchObjects(kind, afterRevision, waitMs);
    if (this.ended.signal.aborted) return;
    const nowMs = clock();
    if (nowMs - startedAtMs > waitMs + LATE_ANSWER_MS) this.options.onRegained?.();
    this.#markReached();
    if (answer.kind === 'history-lost') {
      log.warn('history of the store is lost; listing anew', { kind, revision: afterRevision });
      this.revision = undefined;
      return;
    }
    this.revision = Math.max(afterRevision, answer.revision);
    for (const change of answer.changes) this.options.onChange(change);
    const isQuiet = answer.changes.length === 0;
    this.nextWaitMs = isQuiet ? Infinity : SHORT_WAIT_MS;
    // An answer can be held up on its way, so only the time at which it was surely written counts.
    this.options.onContact?.(isQuiet ? Math.min(nowMs, startedAtMs + waitMs) : startedAtMs);
  }

  #markReached(): void {
    if (this.lostAtMs !== undefined) {
      this.options.log.info('store regained', {
        kind: this.options.kind,
        lostForMs: Math.round(this.options.clock() - this.lostAtMs),
      });
      this.options.onRegained?.();
    }
    this.lostAtMs = undefined;
    this.failures = 0;
  }

  async #handleFailure(error: unknown): Promise<void> {
    const { log, kind, clock } = this.options;
    if (this.lostAtMs === undefined) {
      this.lostAtMs = clock();
      log.warn('store lost', { kind, error: String(error), revision: this.revision });
    }
    const backoffMs = Math.min(FIRST_BACKOFF_MS * 2 ** this.failures, LONGEST_BACKOFF_MS);
    this.failures += 1;
    this.nextWaitMs = SHORT_WAIT_MS;
    await sleep(backoffMs, undefined, { signal: this.ended.signal }).catch(() => undefined);
  }
}
