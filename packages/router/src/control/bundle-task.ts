import { setTimeout as sleep } from 'node:timers/promises';
import {
  formatFinding,
  isValidBundle,
  isValidBundleEnvelope,
  parseJson,
} from '@pollendrum/protocol';
import type {
  Bundle,
  BundleEnvelope,
  BundleHead,
  PeerMessage,
  TrustedOperator,
} from '@pollendrum/protocol';
import {
  BUNDLE_HEAD_KEY,
  BundleStore,
  hashContent,
  parseHead,
  verifyEnvelope,
} from '@pollendrum/platform';
import type { PlatformClient } from '@pollendrum/platform';
import type {
  ActiveBundle,
  BundlePort,
  MembershipPort,
  PeerPort,
  TelemetryPort,
  Unsubscribe,
} from '../ports';
import { ChangeWatcher } from './change-watcher';
import { PeerQueries, listPeerIds } from './peer-queries';

/** Options of createBundleTask. */
export interface BundleTaskOptions {
  client: Pick<PlatformClient, 'getObject' | 'putObject' | 'watchObject'>;
  membership: MembershipPort;
  peers: PeerPort;
  telemetry: TelemetryPort;
  /** Operators whose signatures are accepted. */
  trustedOperators: readonly TrustedOperator[];
  /** Number of valid signatures that a bundle needs, at least 1. */
  requiredSignatures: number;
  /**
   * Interval at which the bundle head (number and digest of the accepted bundle) is polled, in
   * milliseconds.
   * @default 4_500
   */
  pollIntervalMs?: number;
  /**
   * Delay before peers are queried again while there is no bundle, in milliseconds.
   * @default 1_000
   */
  retryDelayMs?: number;
  /**
   * Unix time in milliseconds.
   * @default Date.now
   */
  now?: () => number;
}

export interface BundleTask extends BundlePort, AsyncDisposable {}

/** A bundle whose signatures, digest and schema have been verified. */
interface VerifiedBundle {
  envelope: BundleEnvelope;
  bundle: Bundle;
  digest: string;
}

const PEER_QUERY_TIMEOUT_MS = 2_000;
const RETRY_DELAY_MS = 1_000;

/** Creates and starts the task that keeps the latest accepted bundle active on this instance. */
export function createBundleTask(options: BundleTaskOptions): BundleTask {
  const task = new BundleUpdater(options);
  task.start();
  return {
    getActive: () => task.getActive(),
    watchActive: (listener) => task.watchActive(listener),
    [Symbol.asyncDispose]: () => task[Symbol.asyncDispose](),
  };
}

class BundleUpdater implements BundleTask {
  readonly #store: BundleStore;
  readonly #peerQueries: PeerQueries<string>;
  readonly #listeners = new Set<(active: ActiveBundle) => void>();
  readonly #unsubscribes: Unsubscribe[] = [];
  readonly #watcher: ChangeWatcher<BundleHead>;
  readonly #abortController = new AbortController();
  readonly #now: () => number;
  #active: ActiveBundle | undefined;
  /** Envelope of the active bundle as JSON; empty while there is no active bundle. */
  #envelopeText = '';
  #firstBundle: Promise<void> | undefined;
  #isPlatformDown = false;

  constructor(private readonly options: BundleTaskOptions) {
    this.#now = options.now ?? Date.now;
    this.#store = new BundleStore(options);
    this.#peerQueries = new PeerQueries(options.peers);
    this.#watcher = new ChangeWatcher({
      readValue: () => this.#readHead(),
      watchValue: (afterVersion, signal) => this.#watchHead(afterVersion, signal),
      handleChange: (head) => this.#applyHead(head),
      handleRead: (head) => this.#checkHead(head),
      handleError: (error) => {
        this.#handlePlatformError(error);
      },
      pollIntervalMs: options.pollIntervalMs,
    });
  }

  start(): void {
    const { peers, membership } = this.options;
    this.#unsubscribes.push(
      peers.watchMessages((instanceId, message) => {
        this.#handleMessage(instanceId, message);
      }),
      membership.watchBundleNumber((bundleNumber, instanceId) => {
        void this.#handleGossip(bundleNumber, instanceId);
      }),
    );
    this.#watcher.start();
    this.#firstBundle = this.#waitForFirstBundle();
  }

  getActive(): ActiveBundle | undefined {
    return this.#active;
  }

  watchActive(listener: (active: ActiveBundle) => void): Unsubscribe {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#abortController.abort();
    for (const unsubscribe of this.#unsubscribes) unsubscribe();
    this.#peerQueries[Symbol.dispose]();
    await Promise.all([this.#watcher[Symbol.asyncDispose](), this.#firstBundle]);
  }

  async #readHead() {
    const stored = await this.#store.readHead();
    return stored === undefined ? undefined : { version: stored.version, value: stored.head };
  }

  async #watchHead(afterVersion: number, signal: AbortSignal) {
    const watch = { afterVersion, signal };
    const object = await this.options.client.watchObject(BUNDLE_HEAD_KEY, watch);
    if (object === undefined) return undefined;
    const { head, version } = parseHead(object);
    return { version, value: head };
  }

  async #applyHead(head: BundleHead): Promise<void> {
    if (head.number <= (this.#active?.bundle.number ?? 0)) return;
    const verified =
      (await this.#fetchFromPlatform(head)) ?? (await this.#fetchHeadFromPeers(head));
    if (verified === undefined) {
      this.options.telemetry.log.error('could not fetch the accepted bundle', {
        bundleNumber: head.number,
      });
      return;
    }
    this.#applyBundle(verified, true);
  }

  // Runs after every read of the head, so a bundle that could not be fetched when the head changed
  // is fetched again here.
  async #checkHead(head: BundleHead | undefined): Promise<void> {
    this.#isPlatformDown = false;
    if (head === undefined) return;
    await this.#applyHead(head);
    const active = this.#active;
    if (active === undefined) return;
    const isNewest = active.bundle.number === head.number && active.digest === head.digest;
    if (isNewest) {
      this.#active = { ...active, confirmedByPlatform: true, confirmedAtMs: this.#now() };
      return;
    }
    if (head.number > active.bundle.number) {
      this.#active = { ...active, confirmedByPlatform: false };
    }
  }

  #handlePlatformError(error: unknown): void {
    this.#isPlatformDown = true;
    this.options.telemetry.log.warn('could not read the bundle head from the platform', {
      error: String(error),
    });
    // Peers gossip their bundle numbers, so while any peer is reachable the active bundle counts as
    // the latest of the reachable peers, and `confirmedAtMs` is renewed.
    const { peers, membership } = this.options;
    const hasReachablePeer = listPeerIds(membership, peers.instanceId).length > 0;
    if (this.#active === undefined || !hasReachablePeer) return;
    this.#active = { ...this.#active, confirmedAtMs: this.#now() };
  }

  async #handleGossip(bundleNumber: number, instanceId: string): Promise<void> {
    if (bundleNumber <= (this.#active?.bundle.number ?? 0)) return;
    await this.#watcher.refresh();
    if (bundleNumber <= (this.#active?.bundle.number ?? 0)) return;
    await this.#applyHighestFromPeers([instanceId]);
  }

  // Lets a newly started instance serve with the highest bundle of its peers while the platform is
  // down.
  async #waitForFirstBundle(): Promise<void> {
    const { peers, membership } = this.options;
    const retryDelayMs = this.options.retryDelayMs ?? RETRY_DELAY_MS;
    while (this.#active === undefined && !this.#abortController.signal.aborted) {
      if (this.#isPlatformDown)
        await this.#applyHighestFromPeers(listPeerIds(membership, peers.instanceId));
      if (this.#active !== undefined) return;
      const wait = sleep(retryDelayMs, undefined, { signal: this.#abortController.signal });
      await wait.catch(() => undefined);
    }
  }

  async #applyHighestFromPeers(instanceIds: readonly string[]): Promise<void> {
    const bundles = await this.#fetchFromPeers(instanceIds);
    for (const verified of bundles) this.#applyBundle(verified, false);
  }

  async #fetchFromPlatform(head: BundleHead): Promise<VerifiedBundle | undefined> {
    try {
      const envelope = await this.#store.readBundle(head.number, head.digest);
      return envelope === undefined ? undefined : this.#verifyBundle(envelope, 'platform');
    } catch (error) {
      this.options.telemetry.log.warn('could not read the bundle from the platform', {
        error: String(error),
      });
      return undefined;
    }
  }

  async #fetchHeadFromPeers(head: BundleHead): Promise<VerifiedBundle | undefined> {
    const { peers, membership } = this.options;
    const bundles = await this.#fetchFromPeers(listPeerIds(membership, peers.instanceId));
    return bundles.find(
      ({ bundle, digest }) => bundle.number === head.number && digest === head.digest,
    );
  }

  async #fetchFromPeers(instanceIds: readonly string[]): Promise<VerifiedBundle[]> {
    const { replies } = await this.#peerQueries.requestAll(
      instanceIds,
      PEER_QUERY_TIMEOUT_MS,
      (queryId) => ({
        kind: 'fetch-bundle',
        queryId,
      }),
    );
    const verifiedBundles: VerifiedBundle[] = [];
    for (const text of replies) {
      if (text === '') continue;
      const envelope = parseJson(text, isValidBundleEnvelope);
      const bundle = envelope.ok ? this.#verifyBundle(envelope.value, 'peer') : undefined;
      if (bundle !== undefined) verifiedBundles.push(bundle);
    }
    return verifiedBundles;
  }

  #verifyBundle(envelope: BundleEnvelope, source: string): VerifiedBundle | undefined {
    const { trustedOperators, requiredSignatures, telemetry } = this.options;
    const result = verifyEnvelope(envelope, trustedOperators, requiredSignatures);
    if (result.kind === 'unverified') {
      telemetry.log.error('bundle rejected: not enough valid signatures', { source });
      return undefined;
    }
    const parsed = parseJson(envelope.content, isValidBundle);
    if (!parsed.ok) {
      const findings = parsed.findings.map(formatFinding);
      telemetry.log.error('bundle rejected: content does not match the schema', {
        source,
        findings,
      });
      return undefined;
    }
    return { envelope, bundle: parsed.value, digest: hashContent(envelope.content) };
  }

  /** Makes a bundle the active bundle if its number is higher than that of the active bundle. */
  #applyBundle(verified: VerifiedBundle, confirmedByPlatform: boolean): void {
    const { envelope, bundle, digest } = verified;
    if (this.#abortController.signal.aborted) return;
    if (bundle.number <= (this.#active?.bundle.number ?? 0)) return;
    const active: ActiveBundle = {
      bundle,
      digest,
      classesByName: new Map(
        bundle.classes.map((serviceClass) => [serviceClass.name, serviceClass]),
      ),
      teamsByName: new Map(bundle.teams.map((team) => [team.name, team])),
      teamsByKeySha256: new Map(
        bundle.teams.flatMap((team) => team.keySha256.map((hash) => [hash, team] as const)),
      ),
      confirmedByPlatform,
      confirmedAtMs: this.#now(),
    };
    this.#active = active;
    this.#envelopeText = JSON.stringify(envelope);
    this.options.membership.setBundleNumber(bundle.number);
    this.options.telemetry.log.info('bundle activated', { bundleNumber: bundle.number });
    for (const listener of this.#listeners) listener(active);
  }

  #handleMessage(instanceId: string, message: PeerMessage): void {
    if (message.kind === 'fetch-bundle') {
      const { queryId } = message;
      const envelope = this.#envelopeText;
      this.options.peers.sendMessage(instanceId, { kind: 'bundle-reply', queryId, envelope });
    }
    if (message.kind === 'bundle-reply') {
      this.#peerQueries.handleReply(instanceId, message.queryId, message.envelope);
    }
  }
}
