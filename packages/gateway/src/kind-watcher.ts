import { setTimeout as sleep } from 'node:timers/promises';
import type { Clock, GatewayLog } from './log-and-clock';
import type { ObjectChange, ObjectListing, ObjectStore } from './object-store';

/**
 * Longest wait of a watch call of a watcher that sets no `waitMs`, in milliseconds. Such a watcher detects a connection
 * that no longer responds after this wait and the store's call timeout. Their sum is below 3 s, the shortest time after
 * an outage at which instances must meet their targets again.
 */
const DEFAULT_WAIT_MS = 2_200;
/**
 * Wait of the watch call after a listing or a response with changes, in milliseconds. It is short because
 * only an empty response proves that the watcher was in sync until the end of the wait.
 */
const WAIT_AFTER_CHANGES_MS = 300;
/**
 * Wait of the watch call after a failure, in milliseconds. It is short so that the store's answer soon shows that the watcher
 * is in sync again.
 */
const WAIT_AFTER_FAILURE_MS = 20;
/** A response that arrives later than this after the end of its wait was delayed by an outage, in milliseconds. */
const LATE_RESPONSE_MS = 300;
/** Time after the end of an outage at which a response that it has held back arrives at the latest, in milliseconds. */
const MAX_DELIVERY_DELAY_MS = 700;
/** Shortest pause after a failed call, in milliseconds. */
const MIN_BACKOFF_MS = 100;
/**
 * Longest time from the start of a failed call to the next one that the backoff adds to, in milliseconds. It is low so that
 * team keys do not go out of date between retries, and so that the end of an outage is known closely.
 */
const MAX_RETRY_INTERVAL_MS = 400;

export interface KindWatcherOptions {
  store: ObjectStore;
  kind: string;
  log: GatewayLog;
  clock: Clock;
  /**
   * Longest wait of one watch call in milliseconds.
   * @default 2_200
   */
  waitMs?: number;
  onListing(listing: ObjectListing): void;
  onChange(change: ObjectChange): void;
  /** Called when all changes that were available to a watch at this time of the monotonic clock have been received. */
  onSync?(syncedAtMs: number): void;
  /**
   * Called when a call has failed or was answered late. The outage lasted at least until `untilMs` of the monotonic clock; when
   * it ended is not known.
   */
  onOutage?(untilMs: number): void;
  /** Called when a call has failed and when one has succeeded again. */
  onContactChange?(change: ContactChange): void;
}

/**
 * `lost`: a call has failed for the first time; `regained`: a call has succeeded after one that failed. `startedAtMs` is when
 * that call began, in milliseconds of the monotonic clock.
 */
export type ContactChange = { kind: 'lost' } | { kind: 'regained'; startedAtMs: number };

/**
 * Watches all objects of one kind: lists them, then receives changes, and lists them again when the store no longer
 * has the change history.
 */
export class KindWatcher implements AsyncDisposable {
  private revision: number | undefined;
  private consecutiveFailures = 0;
  private disconnectedAtMs: number | undefined;
  private nextWaitMs = 0;
  private syncedAtMs = -Infinity;
  private answeredAtMs = -Infinity;
  private callStartedAtMs = -Infinity;
  /** Time from which the objects are not known to be complete; undefined while they are. */
  private unsyncedSinceMs: number | undefined;
  /** Ends the present call, or the pause after one that failed. */
  private interruption = new AbortController();
  private isRefreshing = false;
  private isDisposed = false;
  private runPromise: Promise<void> | undefined;

  constructor(private readonly options: KindWatcherOptions) {}

  start(): void {
    this.runPromise ??= this.#run();
  }

  /**
   * Reads the changes at once, since another watcher has lost or regained contact.
   *
   * @param sinceMs a call that began before this time of the monotonic clock is given up, since it may be lost; a later one
   * goes on
   */
  refresh(sinceMs: number): void {
    if (this.callStartedAtMs >= sinceMs) return;
    this.isRefreshing = true;
    this.unsyncedSinceMs ??= this.callStartedAtMs;
    this.nextWaitMs = WAIT_AFTER_FAILURE_MS;
    this.interruption.abort();
  }

  /** Time from which the objects are not known to be complete, in ms of the monotonic clock; undefined while they are. */
  getUnsyncedSinceMs(): number | undefined {
    return this.unsyncedSinceMs;
  }

  /** Time of the last answer of the store, in milliseconds of the monotonic clock; -Infinity before the first one. */
  getAnsweredAtMs(): number {
    return this.answeredAtMs;
  }

  /** Time since all changes that were available to a watch had been received, in milliseconds; infinite before that. */
  getAgeMs(nowMs: number): number {
    return nowMs - this.syncedAtMs;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.isDisposed = true;
    this.interruption.abort();
    await Promise.race([this.runPromise, sleep(0)]);
  }

  async #run(): Promise<void> {
    while (!this.isDisposed) {
      this.interruption = new AbortController();
      const { signal } = this.interruption;
      this.callStartedAtMs = this.options.clock();
      try {
        await (this.revision === undefined
          ? this.#list(signal)
          : this.#watch(this.revision, signal));
      } catch (error) {
        if (!signal.aborted) await this.#handleFailure(error, signal);
      }
    }
  }

  async #list(signal: AbortSignal): Promise<void> {
    const { store, kind, log } = this.options;
    const startedAtMs = this.callStartedAtMs;
    const listing = await store.listObjects(kind, signal);
    if (signal.aborted) return;
    this.#markConnected();
    this.revision = listing.revision;
    this.nextWaitMs = WAIT_AFTER_CHANGES_MS;
    log.info('listed objects of the store', {
      kind,
      count: listing.objects.length,
      revision: listing.revision,
    });
    this.options.onListing(listing);
    this.#recordSync(startedAtMs);
  }

  async #watch(afterRevision: number, signal: AbortSignal): Promise<void> {
    const { store, kind, clock, log } = this.options;
    const waitMs = Math.min(this.nextWaitMs, this.options.waitMs ?? DEFAULT_WAIT_MS);
    const startedAtMs = this.callStartedAtMs;
    const result = await store.watchObjects(kind, afterRevision, waitMs, signal);
    if (signal.aborted) return;
    const nowMs = clock();
    if (nowMs - startedAtMs > waitMs + LATE_RESPONSE_MS) {
      this.options.onOutage?.(nowMs - MAX_DELIVERY_DELAY_MS);
    }
    this.#markConnected();
    if (result.kind === 'history-lost') {
      log.warn('change history of the store is gone; listing all objects again', {
        kind,
        revision: afterRevision,
      });
      this.revision = undefined;
      this.unsyncedSinceMs ??= startedAtMs;
      return;
    }
    this.revision = Math.max(afterRevision, result.revision);
    for (const change of result.changes) this.#applyChange(change);
    const isEmpty = result.changes.length === 0;
    this.nextWaitMs = isEmpty ? Infinity : WAIT_AFTER_CHANGES_MS;
    // A response can be delayed in transit. An empty response was written no earlier than the end of the wait;
    // a response with changes may have been written as early as the start of the call.
    this.#recordSync(isEmpty ? Math.min(nowMs, startedAtMs + waitMs) : startedAtMs);
  }

  #recordSync(syncedAtMs: number): void {
    this.syncedAtMs = Math.max(this.syncedAtMs, syncedAtMs);
    this.unsyncedSinceMs = undefined;
    this.options.onSync?.(syncedAtMs);
  }

  /** Applies a change. One that cannot be applied does not keep back the others, which no later watch would deliver. */
  #applyChange(change: ObjectChange): void {
    const { log, kind, onChange } = this.options;
    try {
      onChange(change);
    } catch (error) {
      const name = change.kind === 'put' ? change.object.name : change.name;
      log.error('a change of the store cannot be applied', { kind, name, error: String(error) });
    }
  }

  #markConnected(): void {
    const { log, kind, clock, onContactChange } = this.options;
    const disconnectedAtMs = this.disconnectedAtMs;
    const wasRefreshing = this.isRefreshing;
    this.disconnectedAtMs = undefined;
    this.consecutiveFailures = 0;
    this.isRefreshing = false;
    this.answeredAtMs = clock();
    if (disconnectedAtMs === undefined) return;
    log.info('store regained', { kind, lostForMs: Math.round(clock() - disconnectedAtMs) });
    // A watcher that was told by another one does not tell it back.
    if (!wasRefreshing) onContactChange?.({ kind: 'regained', startedAtMs: this.callStartedAtMs });
  }

  async #handleFailure(error: unknown, signal: AbortSignal): Promise<void> {
    const { log, kind, clock, onOutage, onContactChange } = this.options;
    onOutage?.(this.callStartedAtMs);
    const isFirst = this.disconnectedAtMs === undefined;
    const intervalMs = Math.min(
      MIN_BACKOFF_MS * 2 ** this.consecutiveFailures,
      MAX_RETRY_INTERVAL_MS,
    );
    const backoffMs = Math.max(MIN_BACKOFF_MS, this.callStartedAtMs + intervalMs - clock());
    this.consecutiveFailures += 1;
    this.nextWaitMs = WAIT_AFTER_FAILURE_MS;
    this.isRefreshing = false;
    if (isFirst) {
      this.disconnectedAtMs = clock();
      this.unsyncedSinceMs ??= this.disconnectedAtMs;
      log.warn('store lost', { kind, error: String(error), revision: this.revision });
      onContactChange?.({ kind: 'lost' });
    }
    await sleep(backoffMs, undefined, { signal }).catch(() => undefined);
  }
}
