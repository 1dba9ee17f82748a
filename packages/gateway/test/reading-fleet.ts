import type { BackendServer, RouteBundle } from '../src';
import { InstanceAnnouncement } from '../src/instance-announcement';
import { KeyFreshness } from '../src/key-freshness';
import type { PeerSocket } from '../src/peer-socket';
import { ServerRegistry } from '../src/server-registry';
import { StoreEraWatch } from '../src/store-era-watch';
import { StoreNews } from '../src/store-news';
import { INSTANCE_KIND, StoreWatchers } from '../src/store-watchers';
import { SuspensionDetector } from '../src/suspension-detector';
import { createTestLog, makeBundle, makeServer } from './gateway-fixture';
import type { LossyNetwork } from './lossy-network';
import type { StoreContact, VirtualStore } from './virtual-store';

/** How an instance reaches the others. `frozen` instances do nothing and take in what has arrived when they go on. */
export type PeerContact = 'reaches' | 'cut' | 'sends-only' | 'receives-only' | 'frozen';

/** An instance that reads the store as a gateway does. */
export interface ReadingInstance extends AsyncDisposable {
  instanceId: string;
  failureDomain: string;
  registry: ServerRegistry;
  keyFreshness: KeyFreshness;
  news: StoreNews;
  storeContact: StoreContact;
  /** Whether requests may go to the servers of the registry. */
  isServerListUsable(): boolean;
  /** Version of the configuration in force; undefined before the first one. */
  version: number | undefined;
  /** Bytes of all datagrams sent, without headers. */
  sentBytes: number;
  setPeerContact(contact: PeerContact): void;
  isFrozen(): boolean;
  /** Adds to the time of day without adding to the monotonic clock. */
  setClockStep(stepMs: number): void;
  /** Time of the instance's monotonic clock. */
  readClock(): number;
}

const FAILURE_DOMAINS = 5;
const KEY_REVOCATION_MS = 5_000;
const DECODERS = {
  bundleKind: 'config',
  bundleName: 'main',
  decodeBundle: (spec: unknown) => ({ ok: true as const, value: spec as RouteBundle }),
  serverKind: 'servers',
  decodeServer: (_: string, spec: unknown) => ({ ok: true as const, value: spec as BackendServer }),
};

/** Starts an instance; `port` distinguishes it and is at least 1. */
export function startReadingInstance(
  store: VirtualStore,
  network: LossyNetwork,
  port: number,
): ReadingInstance {
  const instanceId = `entry-${port}`;
  const failureDomain = `domain-${port % FAILURE_DOMAINS}`;
  let peerContact: PeerContact = 'reaches';
  let frozenAtMs: number | undefined;
  let suspendedMs = 0;
  let stepMs = 0;
  const held: (() => void)[] = [];
  const clock = () => (frozenAtMs ?? performance.now()) - suspendedMs;
  const socket = network.createSocket(port);
  const guarded: Pick<PeerSocket, 'setHandler' | 'send'> = {
    setHandler: (kind, handler) => {
      socket.setHandler(kind, (bytes, sender) => {
        if (peerContact === 'frozen') held.push(() => void handler(bytes, sender));
        else if (peerContact === 'reaches' || peerContact === 'receives-only')
          handler(bytes, sender);
      });
    },
    send: (bytes, receivers) => {
      instance.sentBytes += bytes.length * receivers.length;
      if (peerContact === 'reaches' || peerContact === 'sends-only') socket.send(bytes, receivers);
    },
  };
  const suspension = new SuspensionDetector(() => suspendedMs + stepMs);
  const checkSuspension = () => {
    if (suspension.checkSuspension()) watchers.discardSync();
  };
  const log = createTestLog([]);
  const registry = new ServerRegistry(() => undefined);
  const keyFreshness = new KeyFreshness(
    { isKeyRevocationStrict: true, keyRevocationMs: KEY_REVOCATION_MS },
    checkSuspension,
  );
  const eras = new StoreEraWatch({ clock, log });
  const news = new StoreNews({
    ...{ instanceId, socket: guarded, clock, log, checkSuspension },
    onEra: (era) => {
      eras.observeEra(era);
    },
    getSinceNewEraMs: (nowMs) => eras.getSinceNewEraMs(nowMs),
    onOutage: (untilMs) => {
      registry.recordOutage(untilMs);
    },
  });
  const view = store.createView(() =>
    peerContact === 'frozen' ? 'silent' : instance.storeContact,
  );
  const watchers: StoreWatchers = new StoreWatchers({
    ...{ store: view, decoders: DECODERS, log, clock, registry, keyFreshness, eras, news },
    checkSuspension,
    onBundle: ({ version }) => {
      instance.version = Math.max(instance.version ?? 0, version);
    },
    onRegain: () => undefined,
    onInstances: (instances, missing) => {
      news.setInstances(instances);
      announcement.checkAnnounced(instances, missing);
    },
  });
  const instance: ReadingInstance = {
    ...{ instanceId, failureDomain, registry, keyFreshness, news },
    ...{ storeContact: 'answers', version: undefined, sentBytes: 0, readClock: clock },
    setPeerContact: (contact) => {
      if (contact === 'frozen') frozenAtMs = performance.now();
      else if (frozenAtMs !== undefined) {
        suspendedMs += performance.now() - frozenAtMs;
        frozenAtMs = undefined;
      }
      peerContact = contact;
      for (const deliver of held.splice(0)) deliver();
    },
    isServerListUsable: () => watchers.isServerListUsable(clock()),
    isFrozen: () => frozenAtMs !== undefined,
    setClockStep: (step) => {
      stepMs = step;
    },
    async [Symbol.asyncDispose]() {
      announcement.stop();
      await Promise.all([watchers[Symbol.asyncDispose](), news[Symbol.asyncDispose]()]);
    },
  };
  const announcement = new InstanceAnnouncement({
    ...{ instanceId, kind: INSTANCE_KIND, store: view, log },
    spec: {
      ...{ address: '127.0.0.1', port, failureDomain },
      ...{ isWatchable: true, isReaderCandidate: true },
    },
  });
  void announcement.announce().finally(() => {
    watchers.start();
  });
  return instance;
}

/** Writes a version of the configuration with `routes` routes. */
export function putBundle(store: VirtualStore, version: number, routes = 20): void {
  const bundle = makeBundle({ version });
  const [route] = bundle.routes;
  const more = Array.from({ length: routes }, (_, index) => ({ ...route, name: `route-${index}` }));
  store.put('config', 'main', { ...bundle, routes: [...bundle.routes, ...more] });
}

export function putServer(
  store: VirtualStore,
  serverId: string,
  state: 'ready' | 'draining' = 'ready',
  heartbeats?: number,
): void {
  const counted = heartbeats === undefined ? {} : { heartbeats };
  store.put('servers', serverId, { ...makeServer(serverId, 'desk', 1), state, ...counted });
}
