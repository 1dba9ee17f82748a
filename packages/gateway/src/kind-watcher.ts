import { setTimeout as sleep } from 'node:timers/promises';
import { ChangeLog } from './change-log';
import type { ChangeStep, SharedChange } from './change-log';
import type { Clock, GatewayLog } from './log-and-clock';
import type {
  ListingConsistency,
  ObjectChange,
  ObjectListing,
  ObjectStore,
  StoreEra,
} from './object-store';
import { StoreEraWatch } from './store-era-watch';
import type { KindNews } from './store-message-codec';
import { compareStorePositions, isAfter, selectLater } from './store-position';
import type { StorePosition } from './store-position';

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

/**
 * Shortest interval between calls while many objects are written again after a return of the store, in milliseconds. Each of
 * these writes would end the watches of all readers.
 */
const SETTLING_INTERVAL_MS = 500;
/** Shortest interval to a call that another watcher has asked for, so that objects do not count as outdated for others. */
const SETTLING_REFRESH_INTERVAL_MS = 200;
/** Time after a new era in which the operator and the servers write again what the backup lacks, in milliseconds. */
const SETTLING_MS = 22_000;

export interface KindWatcherOptions {
  store: ObjectStore;
  kind: string;
  log: GatewayLog;
  clock: Clock;
  /** Eras of the store, shared by all watchers of an instance; by default the watcher has its own. */
  eras?: StoreEraWatch;
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
  /**
   * Time from a new era of the store until the objects are listed again, in milliseconds.
   * @default 0
   */
  newEraDelayMs?: number;
  /** @param changes differences from what was known; empty for the first listing */
  onListing(listing: ObjectListing, changes: readonly ObjectChange[]): void;
  /** @param position of the change in the sequence of changes */
  onChange(change: ObjectChange, position: StorePosition): void;
  /**
   * Called when all changes that were available to a watch at this time of the monotonic clock have been received. `position` is
   * that of the store, of changes of all kinds, at that time or later; undefined if another instance has told the sync.
   */
  onSync?(syncedAtMs: number, position: StorePosition | undefined): void;
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
  /** Time for which any call is put off since others read a new era of the store; 0 by default. */
  computeNewEraDelayMs?(): number;
  /**
   * Longest time from the start of a failed call to the next one that the backoff adds to, in milliseconds.
   * @default 400
   */
  getMaxRetryIntervalMs?(): number;
}

/**
 * `applied`: the objects include the news; `gap`: changes before it are missing; `unavailable`: the sender does not have the
 * changes that are missing; `not-listed`: the objects have not been listed yet; `outdated`: the news is from an earlier era.
 */
export type NewsResult = 'applied' | 'gap' | 'unavailable' | 'not-listed' | 'outdated';

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
  /** Moment of the store up to which all changes are known; undefined before the objects are listed. */
  private position: StorePosition | undefined;
  /** Whether the objects must be listed again, since changes may have been missed. */
  private mustList = false;
  private isListing = false;
  private consecutiveFailures = 0;
  private disconnectedAtMs: number | undefined;
  private nextWaitMs = 0;
  private syncedAtMs = -Infinity;
  private answeredAtMs = -Infinity;
  private callStartedAtMs = -Infinity;
  /** Start of the last watch call. */
  private watchedAtMs = -Infinity;
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
  private readonly eras: StoreEraWatch;
  private runPromise: Promise<void> | undefined;

  constructor(private readonly options: KindWatcherOptions) {
    const { clock, log } = options;
    this.eras = options.eras ?? new StoreEraWatch({ clock, log });
    this.eras.addListener(() => {
      this.#handleNewEra();
    });
  }

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

  /** Moment of the store up to which all changes are known; undefined before the objects are listed. */
  getPosition(): StorePosition | undefined {
    return this.position;
  }

  /** Lists the changes after a moment, one step for each era; undefined when some are not kept any more. */
  listChangesSince(position: StorePosition): readonly ChangeStep[] | undefined {
    const since = this.changeLog.listSince(position);
    return since.kind === 'changes' ? since.steps : undefined;
  }

  /**
   * Takes in what another instance has read.
   *
   * @param syncedAtMs time of the monotonic clock as of which the objects are complete with the news; undefined if it is not
   * known
   */
  applyNews(news: KindNews, syncedAtMs: number | undefined): NewsResult {
    const { position } = this;
    if (position === undefined) return 'not-listed';
    if (news.to.era < this.eras.getEra() && news.to.era < position.era) return 'outdated';
    if (isAfter(news.from, position)) return 'gap';
    const isNewer = isAfter(news.to, position);
    if (news.changes === undefined) return isNewer ? 'unavailable' : 'applied';
    if (isNewer && this.#hasDiverged(news, position)) return 'unavailable';
    const changes = news.changes.filter((change) => isAfter(change.position, position));
    for (const shared of changes) {
      const change = this.changeLog.decode(shared);
      if (change === undefined) return 'unavailable';
      this.#takeIn(change, shared);
    }
    if (isNewer) this.changeLog.recordCrossing(position, news.to);
    this.position = selectLater(position, news.to);
    // A call from before the news would bring back what it has replaced.
    if (changes.length > 0 && !this.isParked) this.interruption.abort();
    if (news.to.era < this.eras.getEra()) return 'outdated';
    if (syncedAtMs !== undefined && syncedAtMs > this.syncedAtMs) this.#recordNewsSync(syncedAtMs);
    return 'applied';
  }

  /**
   * Takes in the moment of the store at a time or later, which another watcher has been told. If this one knows all changes up
   * to it, it is in sync as well; otherwise its changes have been on their way since then, or its call is lost.
   */
  observePosition(told: StorePosition, syncedAtMs: number): void {
    const { position } = this;
    if (position === undefined || this.isParked) return;
    if (position.era === told.era && told.revision <= position.revision) {
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
        if (this.position === undefined || this.mustList) await this.#list(signal);
        else if (this.#isFollowing()) await this.#waitWhileFollowing(signal);
        else if (await this.#waitForTurn(signal)) await this.#read(this.position, signal);
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
    const { computeNewEraDelayMs, computeReadDelayMs } = this.options;
    const isUrgent = this.mustRead || this.isRefreshing;
    const readDelayMs = isUrgent ? 0 : (computeReadDelayMs?.() ?? 0);
    const delayMs = Math.max(computeNewEraDelayMs?.() ?? 0, readDelayMs);
    if (delayMs === 0) return true;
    this.isWaitingForTurn = true;
    await sleep(delayMs, undefined, { signal }).catch(() => undefined);
    this.isWaitingForTurn = false;
    this.callStartedAtMs = this.options.clock();
    return !signal.aborted && !this.#isFollowing();
  }

  /** Reads the changes, or all objects if the ones that are known are of an earlier era. */
  async #read(position: StorePosition, signal: AbortSignal): Promise<void> {
    if (position.era === this.eras.getEra()) {
      await this.#watch(position, signal);
      return;
    }
    const { clock, newEraDelayMs = 0 } = this.options;
    const delayMs = newEraDelayMs - this.eras.getSinceNewEraMs(clock());
    if (delayMs > 0) await sleep(delayMs, undefined, { signal }).catch(() => undefined);
    this.callStartedAtMs = clock();
    if (!signal.aborted) await this.#list(signal);
  }

  async #list(signal: AbortSignal): Promise<void> {
    const { store, kind, clock, log } = this.options;
    const startedAtMs = this.callStartedAtMs;
    const consistency = this.hasListed ? 'latest' : (this.options.firstListing ?? 'latest');
    this.isListing = true;
    const told = await store.listObjects(kind, signal, consistency).finally(() => {
      this.isListing = false;
    });
    this.options.checkSuspension?.();
    if (signal.aborted) return;
    this.#judgeEra(told.era, startedAtMs);
    this.#markConnected(clock());
    const known = this.position;
    const { revision } = told;
    const listing = { ...told, era: this.eras.getEra() };
    const changes = this.changeLog.recordListing(listing, known);
    this.position = { era: listing.era, revision };
    this.mustList = false;
    const isLatest = consistency === 'latest';
    this.nextWaitMs = isLatest ? this.#getWaitAfterChangesMs() : WAIT_AFTER_FAILURE_MS;
    log.info('listed objects of the store', {
      ...{ kind, count: listing.objects.length, revision, era: listing.era },
      ...(known === undefined ? {} : { changes: changes.length }),
    });
    this.options.onListing(listing, known === undefined ? [] : changes);
    if (isLatest) this.#recordSync(startedAtMs, this.position);
    this.hasListed = true;
    this.options.onListed?.();
    if (known !== undefined) this.options.onRead?.();
  }

  async #watch(after: StorePosition, signal: AbortSignal): Promise<void> {
    const { store, kind, clock, log } = this.options;
    await this.#waitWhileSettling(signal);
    if (signal.aborted) return;
    const waitMs = Math.min(this.nextWaitMs, this.options.waitMs ?? DEFAULT_WAIT_MS);
    const startedAtMs = this.callStartedAtMs;
    const result = await store.watchObjects(kind, after.revision, waitMs, signal);
    this.options.checkSuspension?.();
    if (signal.aborted) return;
    const nowMs = clock();
    if (nowMs - startedAtMs > waitMs + LATE_RESPONSE_MS) {
      this.options.onOutage?.(nowMs - MAX_DELIVERY_DELAY_MS);
    }
    this.#judgeEra(result.era, startedAtMs);
    this.#markConnected(nowMs);
    const isNewEra = after.era < this.eras.getEra();
    if (result.kind === 'history-lost' || isNewEra) {
      log.warn('change history of the store is gone; listing all objects again', {
        ...{ kind, revision: after.revision, era: after.era },
      });
      this.mustList = true;
      this.unsyncedSinceMs ??= startedAtMs;
      return;
    }
    const { era } = after;
    this.position = { era, revision: Math.max(after.revision, result.revision) };
    for (const change of result.changes) this.#takeIn(change, era);
    if (result.changes.length > 0) this.options.onRead?.();
    const isEmpty = result.changes.length === 0;
    this.nextWaitMs = isEmpty ? Infinity : this.#getWaitAfterChangesMs();
    // A response can be delayed in transit. An empty response was written no earlier than the end of the wait;
    // a response with changes may have been written as early as the start of the call.
    const syncedAtMs = isEmpty ? Math.min(nowMs, startedAtMs + waitMs) : startedAtMs;
    this.#recordSync(syncedAtMs, this.position);
  }

  #getWaitAfterChangesMs(): number {
    return this.options.waitAfterChangesMs ?? DEFAULT_WAIT_AFTER_CHANGES_MS;
  }

  #recordSync(syncedAtMs: number, position: StorePosition | undefined): void {
    this.syncedAtMs = Math.max(this.syncedAtMs, syncedAtMs);
    this.unsyncedSinceMs = undefined;
    this.wasSynced = true;
    this.mustRead = false;
    this.options.onSync?.(syncedAtMs, position);
  }

  /** A sync that another instance has told; this one is in contact with the store through it. */
  #recordNewsSync(syncedAtMs: number): void {
    const { mustRead } = this;
    this.#recordSync(syncedAtMs, undefined);
    this.mustRead = mustRead;
    if (this.#isFollowing()) this.#markConnected(syncedAtMs);
  }

  /** @param shared the change as another instance has handed it on, or the era in which it was read from the store */
  #takeIn(change: ObjectChange, shared: SharedChange | StoreEra): void {
    this.changeLog.record(change, shared);
    const revision = change.kind === 'put' ? change.object.revision : change.revision;
    this.#applyChange(
      change,
      typeof shared === 'number' ? { era: shared, revision } : shared.position,
    );
  }

  /** Applies a change. One that cannot be applied does not keep back the others, which no later watch would deliver. */
  #applyChange(change: ObjectChange, position: StorePosition): void {
    const { log, kind, onChange } = this.options;
    try {
      onChange(change, position);
    } catch (error) {
      const name = change.kind === 'put' ? change.object.name : change.name;
      log.error('a change of the store cannot be applied', { kind, name, error: String(error) });
    }
  }

  /** Begins to read the new era if this watcher reads the store; another one may have learnt of it. */
  #handleNewEra(): void {
    if (this.position === undefined || this.isParked || this.isListing) return;
    this.unsyncedSinceMs ??= Math.max(this.callStartedAtMs, this.syncedAtMs);
    this.interruption.abort();
  }

  /** Throws if an answer dates from before the store returned from a backup. */
  #judgeEra(era: StoreEra, calledAtMs: number): void {
    const judgement = this.eras.judgeAnswer({
      ...{ era, calledAtMs, answeredAtMs: this.options.clock() },
    });
    if (judgement !== 'outdated') return;
    throw new Error(`answer of era ${era}, which is before ${this.eras.getEra()}`);
  }

  /**
   * Whether news of a new era does not follow from what this watcher knows: it knows changes that the sender did not know when
   * the era ended, or has entered the new era before the sender.
   */
  #hasDiverged({ from, to }: KindNews, position: StorePosition): boolean {
    if (from.era === to.era || compareStorePositions(from, position) === 0) return false;
    return this.changeLog.hasChangesAfter(from);
  }

  /** Lets the writes of a moment be collected while many objects are written again. */
  async #waitWhileSettling(signal: AbortSignal): Promise<void> {
    const { clock } = this.options;
    const intervalMs = this.isRefreshing ? SETTLING_REFRESH_INTERVAL_MS : SETTLING_INTERVAL_MS;
    const waitMs = this.watchedAtMs + intervalMs - clock();
    if (waitMs > 0 && this.eras.getSinceNewEraMs(clock()) < SETTLING_MS) {
      await sleep(waitMs, undefined, { signal }).catch(() => undefined);
      this.callStartedAtMs = clock();
    }
    if (!signal.aborted) this.watchedAtMs = clock();
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
      log.warn('store lost', { kind, error: String(error), ...this.position });
      onContactChange?.({ kind: 'lost' });
    }
    await sleep(backoffMs, undefined, { signal }).catch(() => undefined);
  }
}
