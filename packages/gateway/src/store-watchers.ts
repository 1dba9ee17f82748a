import { setTimeout as sleep } from 'node:timers/promises';
import { formatFinding } from '@pollendrum/protocol';
import type { Finding } from '@pollendrum/protocol';
import type { BackendServer, RouteBundle } from './bundle';
import { InstanceDirectory } from './instance-directory';
import { KEY_WATCH_WAIT_MS } from './key-freshness';
import type { KeyFreshness } from './key-freshness';
import { KindWatcher } from './kind-watcher';
import type { ContactChange } from './kind-watcher';
import { isUsableAddress } from './peer-socket';
import type { PeerAddress } from './peer-socket';
import type { Clock, GatewayLog } from './log-and-clock';
import type { ServerEntry, ServerRegistry } from './server-registry';
import { EraBundles } from './era-bundles';
import type { StoreEraWatch } from './store-era-watch';
import type { StoreNews } from './store-news';
import type { StorePosition } from './store-position';
import type { ObjectChange, ObjectStore, StoredObject, StoreEra } from './object-store';

/** A decoded object with findings about fields that were left out although the rest is valid, or why it is invalid. */
export type DecodeResult<T> =
  { ok: true; value: T; ignored?: readonly Finding[] } | { ok: false; findings: Finding[] };

/** Decodes the platform's stored objects into the gateway's types. */
export interface ObjectDecoders {
  bundleKind: string;
  bundleName: string;
  decodeBundle(spec: unknown): DecodeResult<RouteBundle>;
  serverKind: string;
  decodeServer(name: string, spec: unknown): DecodeResult<BackendServer>;
}

export interface StoreWatchersOptions {
  store: ObjectStore;
  decoders: ObjectDecoders;
  log: GatewayLog;
  clock: Clock;
  registry: ServerRegistry;
  keyFreshness: KeyFreshness;
  eras: StoreEraWatch;
  /** Shares what is read with other instances. */
  news: StoreNews;
  /** Checks whether the process was suspended; `discardSync` must be called if it was. */
  checkSuspension(): void;
  /** Called with each valid bundle, possibly several times with the same version. */
  onBundle(bundle: RouteBundle, revision: number): void;
  /** Called when the servers or the configuration are read again after an outage. */
  onRegain(): void;
  /**
   * Called with all announced instances, including this one.
   *
   * @param missing instances among them whose announcements the store has lost
   */
  onInstances(instances: readonly PeerAddress[], missing: readonly string[]): void;
}

/** Object kind under which instances announce the address at which they receive load reports. */
export const INSTANCE_KIND = 'instances';
/**
 * Longest wait of the watches for servers and instances, in milliseconds. The watch for the configuration shows at each of its
 * answers whether the store has changes that the watch for servers has not delivered.
 */
const LONG_WAIT_MS = 15_000;
/** Time from a new era until the instances are listed, in milliseconds, so that the calls about the other kinds come first. */
const INSTANCE_LISTING_DELAY_MS = 1_500;
/** Longest time for which the other watches wait for the list of instances, in milliseconds. */
const MAX_START_DELAY_MS = 200;
/**
 * Age from which the configuration or the servers are read from the store although others are asked, in milliseconds. It leaves
 * time for a call within 2 s, the shortest time in which instances must apply changes.
 */
const MAX_FOLLOWED_AGE_MS = 1_600;
/** Longest interval between failed calls of an instance that does not read for others, in milliseconds. */
const FOLLOWER_RETRY_INTERVAL_MS = 1_200;
const READER_RETRY_INTERVAL_MS = 400;
/** Longest interval between failed calls about instances, of which a late change does little harm, in milliseconds. */
const INSTANCE_RETRY_INTERVAL_MS = 5_000;

/**
 * Age from which a list of servers that is not in sync is too old, in milliseconds. Requests must not reach a server later than
 * 2 s after its entry has said that it leaves.
 */
const MAX_UNSYNCED_AGE_MS = 1_500;

/** Watches the configuration, the backend servers and the gateway instances in the store. */
export class StoreWatchers implements AsyncDisposable {
  private readonly bundleWatcher: KindWatcher;
  private readonly serverWatcher: KindWatcher;
  private readonly instanceWatcher: KindWatcher;
  private readonly watchers: readonly KindWatcher[];
  private readonly instances: InstanceDirectory;
  private readonly eraBundles = new EraBundles();
  private startTimer: NodeJS.Timeout | undefined;
  /** Called when the list of servers has been read again. */
  private readonly listWaiters = new Set<() => void>();

  constructor(private readonly options: StoreWatchersOptions) {
    const { clock, eras, registry } = options;
    this.instances = new InstanceDirectory(clock, () => {
      this.#reportInstances();
    });
    eras.addListener(() => {
      this.eraBundles.handleNewEra(clock());
      this.instances.handleNewEra();
      // The backup lacks entries of servers that write them again.
      registry.recordOutage(clock());
    });
    this.bundleWatcher = this.#createBundleWatcher();
    this.serverWatcher = this.#createServerWatcher();
    this.instanceWatcher = this.#createInstanceWatcher();
    this.watchers = [this.bundleWatcher, this.serverWatcher, this.instanceWatcher];
  }

  /** Starts with the instances, since the others are read from the store or from another instance depending on them. */
  start(): void {
    const { news, decoders } = this.options;
    this.instanceWatcher.start();
    this.startTimer = setTimeout(() => {
      this.#startOthers();
    }, MAX_START_DELAY_MS);
    const maxAgeMs = MAX_FOLLOWED_AGE_MS;
    news.start([
      { kind: decoders.bundleKind, watcher: this.bundleWatcher, maxAgeMs },
      { kind: decoders.serverKind, watcher: this.serverWatcher, maxAgeMs },
      { kind: INSTANCE_KIND, watcher: this.instanceWatcher, maxAgeMs: Infinity },
    ]);
  }

  /** Takes in that the process was suspended, so that the age of what was read is not known any more. */
  discardSync(): void {
    this.options.keyFreshness.discardSync();
    for (const watcher of this.watchers) watcher.discardSync();
    this.options.news.requestNews();
  }

  countInstances(): number {
    return this.instances.count();
  }

  /** Time since the list of servers was known to be complete, in milliseconds; infinite before it is read. */
  getServerListAgeMs(nowMs: number): number {
    return this.serverWatcher.getAgeMs(nowMs);
  }

  /**
   * Whether requests may go to the listed servers. They may not if the servers have not been read for `MAX_UNSYNCED_AGE_MS`
   * although the store answers about the configuration. While it answers about nothing, requests go on. They may not before the
   * first sync.
   */
  isServerListUsable(nowMs: number): boolean {
    if (!this.serverWatcher.hasSynced()) return false;
    const unsyncedSinceMs = this.serverWatcher.getUnsyncedSinceMs();
    if (unsyncedSinceMs === undefined) return true;
    if (this.serverWatcher.getAgeMs(nowMs) <= MAX_UNSYNCED_AGE_MS) return true;
    const hasContact = this.bundleWatcher.getUnsyncedSinceMs() === undefined;
    return !hasContact || this.bundleWatcher.getAnsweredAtMs() <= unsyncedSinceMs;
  }

  /** Resolves when the list of servers is usable, or after `timeoutMs`. */
  async waitForServerList(timeoutMs: number): Promise<void> {
    if (this.isServerListUsable(this.options.clock())) return;
    let settle: () => void = () => undefined;
    const synced = new Promise<void>((resolve) => (settle = resolve));
    this.listWaiters.add(settle);
    await Promise.race([synced, sleep(timeoutMs)]);
    this.listWaiters.delete(settle);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearTimeout(this.startTimer);
    this.instances[Symbol.dispose]();
    for (const watcher of this.watchers) await watcher[Symbol.asyncDispose]();
  }

  #startOthers(): void {
    clearTimeout(this.startTimer);
    this.bundleWatcher.start();
    this.serverWatcher.start();
  }

  #createBundleWatcher(): KindWatcher {
    const { store, log, clock, eras, decoders, keyFreshness, registry, news } = this.options;
    return new KindWatcher({
      ...{ store, log, clock, eras, kind: decoders.bundleKind, waitMs: KEY_WATCH_WAIT_MS },
      ...{ ...this.#makeSharing(decoders.bundleKind), firstListing: 'any' },
      onListing: ({ objects }, changes) => {
        const changed = changes.flatMap((change) => (change.kind === 'put' ? [change.object] : []));
        for (const object of objects) this.#handleBundleObject(object, changed.includes(object));
      },
      onChange: (change) => {
        if (change.kind === 'put') this.#handleBundleObject(change.object, true);
      },
      onSync: (syncedAtMs, position) => {
        if (this.eraBundles.isSettled(clock())) keyFreshness.recordSync(syncedAtMs);
        if (position !== undefined) this.serverWatcher.observePosition(position, syncedAtMs);
      },
      onOutage: (untilMs) => {
        registry.recordOutage(untilMs);
      },
      onContactChange: (change) => {
        this.#refreshOther(this.serverWatcher, change);
        if (change.kind === 'lost') return;
        this.options.onRegain();
        // The answer counts as a sync only after this call.
        queueMicrotask(() => {
          news.reportContact();
        });
      },
    });
  }

  #createServerWatcher(): KindWatcher {
    const { store, log, clock, eras, decoders, registry } = this.options;
    return new KindWatcher({
      ...{ store, log, clock, eras, kind: decoders.serverKind, waitMs: LONG_WAIT_MS },
      ...{ ...this.#makeSharing(decoders.serverKind), firstListing: 'any' },
      waitAfterChangesMs: LONG_WAIT_MS,
      onListing: ({ objects, revision, era }) => {
        const entries = objects.map((object) => this.#decodeServer(object, era));
        registry.replaceAll(
          entries.filter((entry) => entry !== undefined),
          ...([clock(), { era, revision }] as const),
        );
      },
      onChange: (change, position) => {
        this.#applyServerChange(change, position);
      },
      onOutage: (untilMs) => {
        registry.recordOutage(untilMs);
      },
      onSync: () => {
        for (const settle of this.listWaiters) settle();
      },
      onContactChange: (change) => {
        this.#refreshOther(this.bundleWatcher, change);
        if (change.kind === 'regained') this.options.onRegain();
      },
    });
  }

  #createInstanceWatcher(): KindWatcher {
    const { store, log, clock, eras } = this.options;
    return new KindWatcher({
      ...{ store, log, clock, eras, kind: INSTANCE_KIND, waitMs: LONG_WAIT_MS },
      ...{ ...this.#makeSharing(INSTANCE_KIND), waitAfterChangesMs: LONG_WAIT_MS },
      newEraDelayMs: INSTANCE_LISTING_DELAY_MS,
      onListing: ({ objects }) => {
        this.instances.replaceAll(objects.flatMap((object) => this.#decodeInstance(object) ?? []));
        this.#reportInstances();
        this.#startOthers();
      },
      onChange: (change) => {
        if (change.kind === 'deleted') this.instances.remove(change.name);
        else {
          const instance = this.#decodeInstance(change.object);
          if (instance !== undefined) this.instances.put(instance);
        }
        this.#reportInstances();
      },
    });
  }

  #reportInstances(): void {
    this.options.onInstances(this.instances.list(), this.instances.listMissing());
  }

  /**
   * Lets a watcher find out at once whether the store answers it when another one has lost or regained contact, since its own
   * call may be lost as well.
   */
  #refreshOther(other: KindWatcher, change: ContactChange): void {
    const { clock, news } = this.options;
    switch (change.kind) {
      case 'lost':
        if (!news.isInOutage()) other.refresh(clock());
        return;
      case 'regained':
        other.refresh(change.startedAtMs);
        return;
    }
  }

  /** Makes the options that let a watcher follow other instances and hand on what it reads. */
  #makeSharing(kind: string) {
    const { news, checkSuspension } = this.options;
    return {
      checkSuspension,
      isFollowing: () => news.isFollowing(kind),
      onListed: () => {
        news.requestNews();
      },
      onRead: () => {
        news.reportChanges();
      },
      computeReadDelayMs: () => news.computeReadDelayMs(kind),
      computeNewEraDelayMs: () => news.computeNewEraDelayMs(),
      getMaxRetryIntervalMs: () => {
        if (kind === INSTANCE_KIND) return INSTANCE_RETRY_INTERVAL_MS;
        return news.isReader() ? READER_RETRY_INTERVAL_MS : FOLLOWER_RETRY_INTERVAL_MS;
      },
    };
  }

  /** @param isWritten whether the object has been written since it was read before */
  #handleBundleObject(object: StoredObject, isWritten: boolean): void {
    const { decoders, log, onBundle } = this.options;
    if (object.name !== decoders.bundleName) return;
    const parsed = decoders.decodeBundle(object.spec);
    if (parsed.ok) {
      this.#reportIgnored(object, parsed.ignored);
      this.eraBundles.observe(parsed.value.version, isWritten);
      onBundle(parsed.value, object.revision);
      return;
    }
    log.error('invalid configuration ignored; the current configuration stays in force', {
      revision: object.revision,
      findings: parsed.findings.map(formatFinding),
    });
  }

  /** Applies a change to the registry. A server whose entry can no longer be decoded is removed. */
  #applyServerChange(change: ObjectChange, position: StorePosition): void {
    const { registry, clock } = this.options;
    switch (change.kind) {
      case 'deleted':
        registry.remove(change.name, clock(), position);
        return;
      case 'put': {
        const entry = this.#decodeServer(change.object, position.era);
        if (entry === undefined) registry.remove(change.object.name, clock());
        else registry.put(entry.server, entry.position);
        return;
      }
    }
  }

  #decodeServer(object: StoredObject, era: StoreEra): ServerEntry | undefined {
    const { name, spec, revision } = object;
    const parsed = this.options.decoders.decodeServer(name, spec);
    if (parsed.ok) {
      this.#reportIgnored(object, parsed.ignored);
      return { server: parsed.value, position: { era, revision } };
    }
    this.options.log.warn('invalid entry of a backend server', {
      serverId: name,
      findings: parsed.findings.map(formatFinding),
    });
    return undefined;
  }

  #reportIgnored({ name, revision }: StoredObject, ignored: readonly Finding[] = []): void {
    if (ignored.length === 0) return;
    this.options.log.warn('invalid fields of an object ignored; the values before stay in force', {
      ...{ name, revision, findings: ignored.map(formatFinding) },
    });
  }

  #decodeInstance(object: StoredObject): PeerAddress | undefined {
    const spec = (object.spec ?? {}) as Record<string, unknown>;
    const { address, port, isWatchable, isReaderCandidate, failureDomain } = spec;
    const candidate = { address, port };
    if (!isUsableAddress(candidate)) {
      this.options.log.warn('invalid announcement of an instance ignored', { name: object.name });
      return undefined;
    }
    return {
      instanceId: object.name,
      ...candidate,
      isWatchable: isWatchable === true,
      isReaderCandidate: isReaderCandidate === true,
      ...(typeof failureDomain === 'string' ? { failureDomain } : {}),
    };
  }
}
