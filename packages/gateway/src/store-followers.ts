import { formatFinding } from '@pollendrum/protocol';
import type { ParseResult } from '@pollendrum/protocol';
import type { BackendServer, RouteBundle } from './bundle';
import { KEY_WATCH_WAIT_MS } from './key-freshness';
import type { KeyFreshness } from './key-freshness';
import { KindWatcher } from './kind-watcher';
import type { PeerAddress } from './load-exchange';
import type { Clock, GatewayLog } from './ports';
import type { ServerRegistry } from './server-registry';
import type { ObjectChange, ObjectStore, StoredObject } from './store-port';

/** How the platform's objects are read. */
export interface ObjectDecoders {
  bundleKind: string;
  bundleName: string;
  decodeBundle(spec: unknown): ParseResult<RouteBundle>;
  serverKind: string;
  decodeServer(name: string, spec: unknown): ParseResult<BackendServer>;
}

export interface StoreFollowersOptions {
  store: ObjectStore;
  decoders: ObjectDecoders;
  log: GatewayLog;
  clock: Clock;
  registry: ServerRegistry;
  freshness: KeyFreshness;
  /** A valid configuration was read, possibly one that was read before. */
  onBundle(bundle: RouteBundle, revision: number): void;
  /** All announced instances, this one included. */
  onInstances(instances: readonly PeerAddress[]): void;
}

/** Kind of the store under which instances announce where they receive load reports. */
export const INSTANCE_KIND = 'instances';
/** Wait of the watch for other instances, in milliseconds; late news of one costs only placements. */
const INSTANCE_WAIT_MS = 15_000;

/** Follows the configuration, the backend servers and the other instances in the store. */
export class StoreFollowers implements AsyncDisposable {
  private readonly watchers: readonly KindWatcher[];
  private readonly instances = new Map<string, PeerAddress>();

  constructor(private readonly options: StoreFollowersOptions) {
    this.watchers = [
      this.#createBundleWatcher(),
      this.#createServerWatcher(),
      this.#createInstanceWatcher(),
    ];
  }

  start(): void {
    for (const watcher of this.watchers) watcher.start();
  }

  countInstances(): number {
    return this.instances.size;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    for (const watcher of this.watchers) await watcher[Symbol.asyncDispose]();
  }

  #createBundleWatcher(): KindWatcher {
    const { store, log, clock, decoders, freshness } = this.options;
    return new KindWatcher({
      ...{ store, log, clock, kind: decoders.bundleKind, waitMs: KEY_WATCH_WAIT_MS },
      onListing: ({ objects }) => {
        for (const object of objects) this.#readBundle(object);
      },
      onChange: (change) => {
        if (change.kind === 'put') this.#readBundle(change.object);
      },
      onContact: (provenAtMs) => {
        freshness.recordProof(provenAtMs);
      },
    });
  }

  #createServerWatcher(): KindWatcher {
    const { store, log, clock, decoders, registry } = this.options;
    return new KindWatcher({
      ...{ store, log, clock, kind: decoders.serverKind },
      onListing: ({ objects }) => {
        const servers = objects.map((object) => this.#readServer(object));
        registry.replaceAll(
          servers.filter((server) => server !== undefined),
          clock(),
        );
      },
      onChange: (change) => {
        this.#applyServerChange(change);
      },
      onRegained: () => {
        registry.startRemovalHold(clock());
      },
    });
  }

  #createInstanceWatcher(): KindWatcher {
    const { store, log, clock, onInstances } = this.options;
    return new KindWatcher({
      ...{ store, log, clock, kind: INSTANCE_KIND, waitMs: INSTANCE_WAIT_MS },
      onListing: ({ objects }) => {
        this.instances.clear();
        for (const object of objects) this.#putInstance(object);
        onInstances([...this.instances.values()]);
      },
      onChange: (change) => {
        if (change.kind === 'put') this.#putInstance(change.object);
        else this.instances.delete(change.name);
        onInstances([...this.instances.values()]);
      },
    });
  }

  #readBundle(object: StoredObject): void {
    const { decoders, log, onBundle } = this.options;
    if (object.name !== decoders.bundleName) return;
    const parsed = decoders.decodeBundle(object.spec);
    if (parsed.ok) {
      onBundle(parsed.value, object.revision);
      return;
    }
    log.error('configuration is not valid; the one in force stays', {
      revision: object.revision,
      findings: parsed.findings.map(formatFinding),
    });
  }

  /** An entry that cannot be read any more names no server to use. */
  #applyServerChange(change: ObjectChange): void {
    const { registry, clock } = this.options;
    const server = change.kind === 'put' ? this.#readServer(change.object) : undefined;
    if (server !== undefined) registry.put(server);
    else registry.remove(change.kind === 'put' ? change.object.name : change.name, clock());
  }

  #readServer(object: StoredObject): BackendServer | undefined {
    const parsed = this.options.decoders.decodeServer(object.name, object.spec);
    if (parsed.ok) return parsed.value;
    this.options.log.warn('entry of a backend server is not readable', {
      serverId: object.name,
      findings: parsed.findings.map(formatFinding),
    });
    return undefined;
  }

  #putInstance(object: StoredObject): void {
    const { address, port } = (object.spec ?? {}) as { address?: unknown; port?: unknown };
    if (typeof address !== 'string' || typeof port !== 'number') {
      this.options.log.warn('announcement of an instance is not readable', { name: object.name });
      return;
    }
    this.instances.set(object.name, { instanceId: object.name, address, port });
  }
}
