import type { PeerMessage } from '@pollendrum/protocol';
import type { Member, MembershipPort, PeerPort, TelemetryPort } from '../../src/ports';

/** Delivers messages between fake peers in the same process and can disconnect them. */
export class FakeNetwork {
  readonly #peers = new Map<string, FakePeer>();
  readonly #disconnected = new Set<string>();
  /** Called for each delivered message. */
  observeMessage: ((to: string, message: PeerMessage) => void) | undefined;

  createPeer(instanceId: string): FakePeer {
    const peer = new FakePeer(instanceId, this);
    this.#peers.set(instanceId, peer);
    return peer;
  }

  /** Drops all messages from and to the instance and notifies all peers of the lost link. */
  stopInstance(instanceId: string): void {
    this.#disconnected.add(instanceId);
    for (const peer of this.#peers.values()) peer.notifyLinkLoss(instanceId);
  }

  /** Drops all messages from and to the instance without notifying any peer. */
  markSilent(instanceId: string): void {
    this.#disconnected.add(instanceId);
  }

  sendMessage(from: string, to: string, message: PeerMessage): boolean {
    const peer = this.#peers.get(to);
    if (peer === undefined) return false;
    if (this.#disconnected.has(to) || this.#disconnected.has(from)) return true;
    queueMicrotask(() => {
      this.observeMessage?.(to, message);
      peer.notifyMessage(from, message);
    });
    return true;
  }
}

export class FakePeer implements PeerPort {
  readonly #messageListeners = new Set<(instanceId: string, message: PeerMessage) => void>();
  readonly #linkLossListeners = new Set<(instanceId: string) => void>();

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
    this.#linkLossListeners.add(listener);
    return () => this.#linkLossListeners.delete(listener);
  }

  requestPings() {
    return () => undefined;
  }

  notifyMessage(from: string, message: PeerMessage): void {
    for (const listener of this.#messageListeners) listener(from, message);
  }

  notifyLinkLoss(instanceId: string): void {
    for (const listener of this.#linkLossListeners) listener(instanceId);
  }
}

/** Membership whose view is set by the test. */
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

/** Creates telemetry that counts metric increments and discards everything else. */
export function createFakeTelemetry(counts = new Map<string, number>()): TelemetryPort {
  const noop = () => undefined;
  return {
    log: { error: noop, warn: noop, info: noop, debug: noop },
    metrics: {
      increment: (name, _tags, value = 1) => counts.set(name, (counts.get(name) ?? 0) + value),
      gauge: noop,
      timing: noop,
    },
    trace: {
      startRequestSpan: () => {
        throw new Error('the fake telemetry does not support traces');
      },
    },
    [Symbol.asyncDispose]: () => Promise.resolve(),
  };
}

/** Chooses the instance whose id sorts first. */
export function chooseFirst(_key: string, instanceIds: readonly string[]): string | undefined {
  return [...instanceIds].sort()[0];
}
