import { setTimeout as sleep } from 'node:timers/promises';
import { ChangeLog } from './change-log';
import type { SharedChange } from './change-log';
import type { Clock, GatewayLog } from './log-and-clock';
import type { ListingConsistency, ObjectChange, ObjectListing, ObjectStore } from './object-store';
import type { KindNews } from './store-message-codec';

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
const DEFAULT_WAIT_AFTER_CHANGES_MS = 300;
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
  /**
   * Longest wait of the call after one that was answered with changes, in milliseconds. It is short where the watch itself must
   * show soon that the objects are in sync.
   * @default 300
   */
  waitAfterChangesMs?: number;
  onListing(listing: ObjectListing): void;
  onChange(change: ObjectChange): void;
  /**
   * Called when all changes that were available to a watch at this time of the monotonic clock have been received. `revision` is
   * that of the store, of changes of all kinds, at that time or later; undefined if another instance has told the sync.
   */
  onSync?(syncedAtMs: number, revision: number | undefined): void;
  /**
   * Called when a call has failed or was answered late. The outage lasted at least until `untilMs` of the monotonic clock; when
   * it ended is not known.
   */
  onOutage?(untilMs: number): void;
  /** Called when a call has failed and when one has succeeded again. */
  onContactChange?(change: ContactChange): void;
  /** Whether the news of other instances keeps the objects up to date, so that no calls are made. Never by default. */
  isFollowing?(): boolean;
  /**
   * Consistency of the first listing. What an older one lacks follows from the watch or from other instances.
   * @default 'latest'
   */
  firstListing?: ListingConsistency;
  /** Called when the objects have been listed. */
  onListed?(): void;
  /** Called when changes have been read from the store. */
  onRead?(): void;
  /** Calls `discardSync` if the process was suspended while a call was in progress. */
  checkSuspension?(): void;
  /** Time for which a call is put off that is made since others do not keep the objects up to date; 0 by default. */
  computeReadDelayMs?(): number;
  /**
   * Longest time from the start of a failed call to the next one that the backoff adds to, in milliseconds.
   * @default 400
   */
  getMaxRetryIntervalMs?(): number;
}

/**
 * `applied`: the objects include the news; `gap`: changes before it are missing; `unavailable`: the sender does not have the
 * changes that are missing; `not-listed`: the objects have not been listed yet.
 */
export type NewsResult = 'applied' | 'gap' | 'unavailable' | 'not-listed';

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
  /** Whether the store must be read although the instance follows others. */
  private mustRead = false;
  private isParked = false;
  private isWaitingForTurn = false;
  private hasListed = false;
  private wasSynced = false;
  private isDisposed = false;
  private readonly changeLog = new ChangeLog();
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
    if (this.isParked || this.callStartedAtMs >= sinceMs) return;
    this.isRefreshing = true;
    this.unsyncedSinceMs ??= Math.max(this.callStartedAtMs, this.syncedAtMs);
    this.nextWaitMs = WAIT_AFTER_FAILURE_MS;
    this.interruption.abort();
  }

  /** Time from which the objects are not known to be complete, in ms of the monotonic clock; undefined while they are. */
  getUnsyncedSinceMs(): number | undefined {
    return this.unsyncedSinceMs;
  }

  /** Whether the objects have been known to be complete; a first listing alone may be out of date. */
  hasSynced(): boolean {
    return this.wasSynced;
  }

  /** Time of the last answer of the store, in milliseconds of the monotonic clock; -Infinity before the first one. */
  getAnsweredAtMs(): number {
    return this.answeredAtMs;
  }

  /** Time since all changes that were available to a watch had been received, in milliseconds; infinite before that. */
  getAgeMs(nowMs: number): number {
    return nowMs - this.syncedAtMs;
  }

  /** Revision up to which all changes are known; undefined before the objects are listed. */
  getPosition(): number | undefined {
    return this.revision;
  }

  /** Lists the changes after a revision; undefined when some are not kept any more. */
  listChangesSince(revision: number): readonly SharedChange[] | undefined {
    const since = this.changeLog.listSince(revision);
    return since.kind === 'changes' ? since.changes : undefined;
  }

  /**
   * Takes in what another instance has read.
   *
   * @param syncedAtMs time of the monotonic clock as of which the objects are complete with the news; undefined if it is not
   * known
   */
  applyNews(news: KindNews, syncedAtMs: number | undefined): NewsResult {
    const { revision } = this;
    if (revision === undefined) return 'not-listed';
    if (news.fromRevision > revision) return 'gap';
    if (news.changes === undefined) return news.toRevision > revision ? 'unavailable' : 'applied';
    const changes = news.changes.filter(({ position }) => position > revision);
    for (const shared of changes) {
      const change = this.changeLog.decode(shared);
      if (change === undefined) return 'unavailable';
      this.#takeIn(change, shared);
      this.revision = shared.position;
    }
    this.revision = Math.max(revision, news.toRevision);
    // A call from before the news would bring back what it has replaced.
    if (changes.length > 0 && !this.isParked) this.interruption.abort();
    if (syncedAtMs !== undefined && syncedAtMs > this.syncedAtMs) this.#recordNewsSync(syncedAtMs);
    return 'applied';
  }

  /**
   * Takes in the revision that the store had at a time or later, which another watcher has been told. If this one knows all
   * changes up to it, it is in sync as well; otherwise its changes have been on their way since then, or its call is lost.
   */
  observeRevision(revision: number, syncedAtMs: number): void {
    if (this.revision === undefined || this.isParked) return;
    if (revision <= this.revision) {
      if (syncedAtMs > this.syncedAtMs) this.#recordSync(syncedAtMs, undefined);
      return;
    }
    if (this.callStartedAtMs < syncedAtMs) this.refresh(this.options.clock());
  }

  /** Reads the changes from the store once, also while the instance follows others or waits for its turn. */
  readNow(): void {
    if (this.mustRead) return;
    this.mustRead = true;
    if (this.isParked || this.isWaitingForTurn) this.interruption.abort();
  }

  /** Begins to read the store if the instance no longer follows others. */
  checkFollowing(): void {
    if (this.isParked && !this.#isFollowing()) this.interruption.abort();
  }

  /** Takes in that the process was suspended, so that the age of the objects is not known any more. */
  discardSync(): void {
    this.syncedAtMs = -Infinity;
    this.checkFollowing();
    this.refresh(this.options.clock());
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
        if (this.revision === undefined) await this.#list(signal);
        else if (this.#isFollowing()) await this.#waitWhileFollowing(signal);
        else if (await this.#waitForTurn(signal)) await this.#watch(this.revision, signal);
      } catch (error) {
        if (!signal.aborted) await this.#handleFailure(error, signal);
      }
    }
  }

  #isFollowing(): boolean {
    return !this.mustRead && this.options.isFollowing?.() === true;
  }

  async #waitWhileFollowing(signal: AbortSignal): Promise<void> {
    this.isParked = true;
    this.nextWaitMs = WAIT_AFTER_FAILURE_MS;
    await new Promise<void>((resolve) => {
      signal.addEventListener(
        'abort',
        () => {
          resolve();
        },
        { once: true },
      );
    });
    this.isParked = false;
  }

  /** Puts off a call; returns whether it is still to be made. */
  async #waitForTurn(signal: AbortSignal): Promise<boolean> {
    if (this.mustRead || this.isRefreshing) return true;
    const delayMs = this.options.computeReadDelayMs?.() ?? 0;
    if (delayMs === 0) return true;
    this.isWaitingForTurn = true;
    await sleep(delayMs, undefined, { signal }).catch(() => undefined);
    this.isWaitingForTurn = false;
    this.callStartedAtMs = this.options.clock();
    return !signal.aborted && !this.#isFollowing();
  }

  async #list(signal: AbortSignal): Promise<void> {
    const { store, kind, clock, log } = this.options;
    const startedAtMs = this.callStartedAtMs;
    const consistency = this.hasListed ? 'latest' : (this.options.firstListing ?? 'latest');
    const listing = await store.listObjects(kind, signal, consistency);
    this.options.checkSuspension?.();
    if (signal.aborted) return;
    this.#markConnected(clock());
    this.revision = listing.revision;
    this.changeLog.recordListing(listing);
    const isLatest = consistency === 'latest';
    this.nextWaitMs = isLatest ? this.#getWaitAfterChangesMs() : WAIT_AFTER_FAILURE_MS;
    log.info('listed objects of the store', {
      kind,
      count: listing.objects.length,
      revision: listing.revision,
    });
    this.options.onListing(listing);
    if (isLatest) this.#recordSync(startedAtMs, listing.revision);
    this.hasListed = true;
    this.options.onListed?.();
  }

  async #watch(afterRevision: number, signal: AbortSignal): Promise<void> {
    const { store, kind, clock, log } = this.options;
    const waitMs = Math.min(this.nextWaitMs, this.options.waitMs ?? DEFAULT_WAIT_MS);
    const startedAtMs = this.callStartedAtMs;
    const result = await store.watchObjects(kind, afterRevision, waitMs, signal);
    this.options.checkSuspension?.();
    if (signal.aborted) return;
    const nowMs = clock();
    if (nowMs - startedAtMs > waitMs + LATE_RESPONSE_MS) {
      this.options.onOutage?.(nowMs - MAX_DELIVERY_DELAY_MS);
    }
    this.#markConnected(nowMs);
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
    for (const change of result.changes) this.#takeIn(change);
    if (result.changes.length > 0) this.options.onRead?.();
    const isEmpty = result.changes.length === 0;
    this.nextWaitMs = isEmpty ? Infinity : this.#getWaitAfterChangesMs();
    // A response can be delayed in transit. An empty response was written no earlier than the end of the wait;
    // a response with changes may have been written as early as the start of the call.
    const syncedAtMs = isEmpty ? Math.min(nowMs, startedAtMs + waitMs) : startedAtMs;
    this.#recordSync(syncedAtMs, this.revision);
  }

  #getWaitAfterChangesMs(): number {
    return this.options.waitAfterChangesMs ?? DEFAULT_WAIT_AFTER_CHANGES_MS;
  }

  #recordSync(syncedAtMs: number, revision: number | undefined): void {
    this.syncedAtMs = Math.max(this.syncedAtMs, syncedAtMs);
    this.unsyncedSinceMs = undefined;
    this.wasSynced = true;
    this.mustRead = false;
    this.options.onSync?.(syncedAtMs, revision);
  }

  /** A sync that another instance has told; this one is in contact with the store through it. */
  #recordNewsSync(syncedAtMs: number): void {
    const { mustRead } = this;
    this.#recordSync(syncedAtMs, undefined);
    this.mustRead = mustRead;
    if (this.#isFollowing()) this.#markConnected(syncedAtMs);
  }

  #takeIn(change: ObjectChange, shared?: SharedChange): void {
    this.changeLog.record(change, shared);
    this.#applyChange(change);
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

  #markConnected(answeredAtMs: number): void {
    const { log, kind, clock, onContactChange } = this.options;
    const disconnectedAtMs = this.disconnectedAtMs;
    const wasRefreshing = this.isRefreshing;
    this.disconnectedAtMs = undefined;
    this.consecutiveFailures = 0;
    this.isRefreshing = false;
    this.answeredAtMs = Math.max(this.answeredAtMs, answeredAtMs);
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
      this.options.getMaxRetryIntervalMs?.() ?? MAX_RETRY_INTERVAL_MS,
    );
    const backoffMs = Math.max(MIN_BACKOFF_MS, this.callStartedAtMs + intervalMs - clock());
    this.consecutiveFailures += 1;
    this.nextWaitMs = WAIT_AFTER_FAILURE_MS;
    this.isRefreshing = false;
    this.mustRead = false;
    this.unsyncedSinceMs ??= clock();
    if (isFirst) {
      this.disconnectedAtMs = clock();
      log.warn('store lost', { kind, error: String(error), revision: this.revision });
      onContactChange?.({ kind: 'lost' });
    }
    await sleep(backoffMs, undefined, { signal }).catch(() => undefined);
  }
}
