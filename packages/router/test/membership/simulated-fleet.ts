import type { Datagram, ListedInstance } from '@pollendrum/protocol';
import type { LinkEvidence } from '../../src/ports';
import { decodeDatagram, encodeDatagram } from '../../src/membership/datagram-codec';
import { MembershipState, type MembershipEffect } from '../../src/membership/index';

const CLUSTER_KEY = 'test-key';

export interface FleetOptions {
  size: number;
  seed: number;
  lossRatio?: number;
  maxDelayMs?: number;
}

interface SimulatedNode {
  id: string;
  state: MembershipState;
  nextWakeMs: number;
  isUp: boolean;
  sentBytes: number;
  effects: MembershipEffect[];
}

/** Returns a pseudo-random generator of numbers in [0, 1) with the given seed. */
export function createRandom(seed: number): () => number {
  let state = seed >>> 0;
  return () => {
    state = (state + 0x6d2b79f5) >>> 0;
    let mixed = Math.imul(state ^ (state >>> 15), state | 1);
    mixed ^= mixed + Math.imul(mixed ^ (mixed >>> 7), mixed | 61);
    return ((mixed ^ (mixed >>> 14)) >>> 0) / 2 ** 32;
  };
}

export function buildListed(index: number): ListedInstance {
  return {
    ...{ id: `instance-${index}`, role: 'router', address: '127.0.0.1', port: 9000 },
    ...{ peerPort: 10_000 + index, failureDomain: 'domain-1', region: 'region-1', state: 'live' },
  };
}

/** Membership state machines on a simulated network that drops, delays and reorders datagrams. */
export class SimulatedFleet {
  readonly nodes: SimulatedNode[] = [];
  readonly listedInstances: ListedInstance[];
  largestDatagramBytes = 0;
  nowMs = 0;
  isPartitioned: (fromIndex: number, toIndex: number) => boolean = () => false;
  readonly #inFlight = new Map<number, { from: number; to: number; bytes: Buffer }[]>();
  readonly #random: () => number;
  readonly #options: FleetOptions;

  constructor(options: FleetOptions) {
    this.#options = options;
    this.#random = createRandom(options.seed);
    this.listedInstances = Array.from({ length: options.size }, (_, index) => buildListed(index));
    for (const { id, address, port, peerPort = 0, failureDomain, region } of this.listedInstances) {
      const self = { instanceId: id, address, peerPort, adminPort: port, failureDomain, region };
      const state = new MembershipState({ self, random: this.#random });
      const wakeMs = this.#random() * 500;
      this.nodes.push({ id, state, nextWakeMs: wakeMs, isUp: true, sentBytes: 0, effects: [] });
    }
    for (const index of this.nodes.keys()) this.mergeList(index);
  }

  mergeList(index: number, instances: readonly ListedInstance[] = this.listedInstances): void {
    const node = this.getNode(index);
    this.applyEffects(index, node.state.mergeList(instances, this.nowMs));
  }

  reportUnreachable(index: number, instanceId: string, evidence: LinkEvidence): void {
    const { state } = this.getNode(index);
    this.applyEffects(index, state.reportUnreachable(instanceId, evidence, this.nowMs));
  }

  getNode(index: number): SimulatedNode {
    const node = this.nodes[index];
    if (node === undefined) throw new RangeError(`no node ${index}`);
    return node;
  }

  /** Returns the indices of running nodes whose view contains the member in one of the states. */
  findObservers(id: string, states: readonly string[]): number[] {
    return [...this.nodes.keys()].filter((index) => {
      const { state, isUp } = this.getNode(index);
      const member = state.getView().members.find(({ instanceId }) => instanceId === id);
      return isUp && states.includes(member?.state ?? 'absent');
    });
  }

  run(durationMs: number, isDone: () => boolean = () => false): boolean {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += 1;
      this.#runDeliveries();
      for (const [index, node] of this.nodes.entries()) {
        if (!node.isUp || node.nextWakeMs > this.nowMs) continue;
        this.applyEffects(index, node.state.handleTime(this.nowMs));
      }
      if (isDone()) return true;
    }
    return false;
  }

  applyEffects(index: number, effects: readonly MembershipEffect[]): void {
    const node = this.getNode(index);
    node.effects.push(...effects);
    for (const effect of effects) {
      // Stands for the control task, which fetches and applies a bundle with a higher number.
      if (effect.kind === 'bundle-number-raised') node.state.setBundleNumber(effect.bundleNumber);
      if (effect.kind === 'send') this.#send(index, effect.port - 10_000, effect.datagram);
    }
    if (node.nextWakeMs <= this.nowMs) node.nextWakeMs = node.state.getNextWakeMs();
    else node.nextWakeMs = Math.min(node.nextWakeMs, node.state.getNextWakeMs());
  }

  #send(from: number, to: number, datagram: Datagram): void {
    const bytes = encodeDatagram(datagram, CLUSTER_KEY);
    this.getNode(from).sentBytes += bytes.length;
    this.largestDatagramBytes = Math.max(this.largestDatagramBytes, bytes.length);
    if (this.#random() < (this.#options.lossRatio ?? 0) || this.isPartitioned(from, to)) return;
    const atMs = this.nowMs + 1 + Math.floor(this.#random() * (this.#options.maxDelayMs ?? 5));
    const due = this.#inFlight.get(atMs) ?? [];
    due.push({ from, to, bytes });
    this.#inFlight.set(atMs, due);
  }

  #runDeliveries(): void {
    const due = this.#inFlight.get(this.nowMs) ?? [];
    this.#inFlight.delete(this.nowMs);
    for (const { from, to, bytes } of due) {
      const node = this.getNode(to);
      if (!node.isUp) continue;
      const decoded = decodeDatagram(bytes, CLUSTER_KEY);
      if (decoded.kind === 'invalid') throw new Error(`datagram is ${decoded.fault}`);
      const source = { address: '127.0.0.1', port: 10_000 + from };
      this.applyEffects(to, node.state.handleDatagram(decoded.datagram, source, this.nowMs));
    }
  }
}
