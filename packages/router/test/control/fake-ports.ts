import type { PeerMessage } from '@pollendrum/protocol';
import type { Member, MembershipPort, PeerPort, TelemetryPort } from '../../src/ports';

/** Delivers messages between instances in the same process; links can be cut. */
export class FakeNetwork {
  readonly #peers = new Map<string, FakePeer>();
  readonly #cut = new Set<string>();
  /** Called for each delivered message. */
  observeMessage: ((to: string, message: PeerMessage) => void) | undefined;

  createPeer(instanceId: string): FakePeer {
    const peer = new FakePeer(instanceId, this);
    this.#peers.set(instanceId, peer);
    return peer;
  }

  /** The instance answers nothing any more; the others are told that the link was lost. */
  stopInstance(instanceId: string): void {
    this.#cut.add(instanceId);
    for (const peer of this.#peers.values()) peer.notifyLost(instanceId);
  }

  /** The instance receives messages and answers nothing, and nobody is told. */
  markSilent(instanceId: string): void {
    this.#cut.add(instanceId);
  }

  sendMessage(from: string, to: string, message: PeerMessage): boolean {
    const peer = this.#peers.get(to);
    if (peer === undefined) return false;
    if (this.#cut.has(to) || this.#cut.has(from)) return true;
    queueMicrotask(() => {
      this.observeMessage?.(to, message);
      peer.notifyMessage(from, message);
    });
    return true;
  }
}

export class FakePeer implements PeerPort {
  readonly #messageListeners = new Set<(instanceId: string, message: PeerMessage) => void>();
  readonly #lostListeners = new Set<(instanceId: string) => void>();

  constructor(
    readonly instanceId: string,
    private readonly network: FakeNetwork,
  ) {}

  sendMessage(instanceId: string, message: PeerMessage): boolean {
    return this.network.sendMessage(this.instanceId, instanceId, message);
  }

  watchMessages(listener: (instanceId: string, message: PeerMessage) => void) {
    this.#messageListeners.add(listener);
    return () => this.#messageListeners.delete(listener);
  }

  watchLinkLoss(listener: (instanceId: string) => void) {
    this.#lostListeners.add(listener);
    return () => this.#lostListeners.delete(listener);
  }

  requestPings() {
    return () => undefined;
  }

  notifyMessage(from: string, message: PeerMessage): void {
    for (const listener of this.#messageListeners) listener(from, message);
  }

  notifyLost(instanceId: string): void {
    for (const listener of this.#lostListeners) listener(instanceId);
  }
}

/** Membership with a view set by the test. */
export class FakeMembership implements MembershipPort {
  members: Member[];
  bundleNumber = 0;
  readonly #bundleListeners = new Set<(bundleNumber: number, instanceId: string) => void>();

  constructor(instanceIds: readonly string[]) {
    this.members = instanceIds.map((instanceId) => ({
      instanceId,
      address: '127.0.0.1',
      peerPort: 1,
      httpPort: 1,
      failureDomain: 'caruaru',
      region: 'nordeste',
      state: 'alive',
    }));
  }

  getView() {
    return { version: 1, members: this.members };
  }

  setBundleNumber(bundleNumber: number): void {
    this.bundleNumber = bundleNumber;
  }

  watchBundleNumber(listener: (bundleNumber: number, instanceId: string) => void) {
    this.#bundleListeners.add(listener);
    return () => this.#bundleListeners.delete(listener);
  }

  notifyBundleNumber(bundleNumber: number, instanceId: string): void {
    for (const listener of this.#bundleListeners) listener(bundleNumber, instanceId);
  }

  readonly watchView = () => () => undefined;
  readonly mergeList = () => undefined;
  readonly publishLeaving = () => undefined;
  readonly publishCrash = () => undefined;
  readonly publishCrashCleared = () => undefined;
  readonly reportUnreachable = () => undefined;
  readonly watchCrashes = () => () => undefined;
  readonly listCrashes = () => [];
}

/** Telemetry that counts metrics and drops the rest. */
export function createTelemetry(counts = new Map<string, number>()): TelemetryPort {
  const ignore = () => undefined;
  return {
    log: { error: ignore, warn: ignore, info: ignore, debug: ignore },
    metrics: {
      increment: (name, _tags, value = 1) => counts.set(name, (counts.get(name) ?? 0) + value),
      gauge: ignore,
      timing: ignore,
    },
    trace: {
      startRequestSpan: () => {
        throw new Error('not used in tests');
      },
    },
    [Symbol.asyncDispose]: () => Promise.resolve(),
  };
}

/** Chooses the first instance by name. */
export function chooseFirst(_key: string, instanceIds: readonly string[]): string | undefined {
  return [...instanceIds].sort()[0];
}
