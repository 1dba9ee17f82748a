import type { Datagram, ListedInstance } from '@pollendrum/protocol';
import { mersenne, unsafeUniformIntDistribution } from 'pure-rand';
import { decodeDatagram, encodeDatagram } from '../../../router/src/membership/datagram-codec';
import { MembershipState, type MembershipEffect } from '../../../router/src/membership';

const KEY = 'capacity-cluster-key';
const FIRST_PORT = 10_000;
const MAX_DELAY_MS = 5;
const PROBE_INTERVAL_MS = 500;
const RANDOM_STEPS = 2 ** 32;

/** One simulated member and what it has sent and received. */
export interface SimulatedMember {
  id: string;
  state: MembershipState;
  wakeMs: number;
  isUp: boolean;
  messages: number;
  bytes: number;
  viewChanges: number;
  bundleNumber: number;
}

/** Membership state machines joined by a network in virtual time; every datagram is encoded. */
export class SimulatedFleet {
  readonly members: SimulatedMember[] = [];
  nowMs = 0;
  isCut: (fromIndex: number, toIndex: number) => boolean = () => false;
  readonly #listed: ListedInstance[];
  readonly #inFlight = new Map<number, { from: number; to: number; bytes: Buffer }[]>();
  readonly #random: () => number;

  constructor(size: number, seed: number) {
    const generator = mersenne(seed);
    this.#random = () =>
      unsafeUniformIntDistribution(0, RANDOM_STEPS - 1, generator) / RANDOM_STEPS;
    this.#listed = Array.from({ length: size }, (_, index) => buildListed(index));
    for (const listed of this.#listed) this.members.push(this.#createMember(listed));
    for (const [index, { state }] of this.members.entries()) {
      this.#applyEffects(index, state.mergeList(this.#listed, 0));
    }
  }

  getMember(index: number): SimulatedMember {
    const member = this.members[index];
    if (member === undefined) throw new RangeError(`no member ${index}`);
    return member;
  }

  /** Runs until the virtual time is over or `isDone`; returns whether it was done. */
  run(durationMs: number, isDone: () => boolean = () => false): boolean {
    const endMs = this.nowMs + durationMs;
    while (this.nowMs < endMs) {
      this.nowMs += 1;
      this.#runDeliveries();
      for (const [index, member] of this.members.entries()) {
        if (!member.isUp || member.wakeMs > this.nowMs) continue;
        this.#applyEffects(index, member.state.handleTime(this.nowMs));
      }
      if (this.nowMs % 100 === 0 && isDone()) return true;
    }
    return false;
  }

  #createMember({ id, address, port, peerPort = 0, failureDomain, region }: ListedInstance) {
    const self = { instanceId: id, address, peerPort, adminPort: port, failureDomain, region };
    return {
      ...{ id, isUp: true, messages: 0, bytes: 0, viewChanges: 0, bundleNumber: 0 },
      state: new MembershipState({ self, random: this.#random }),
      wakeMs: this.#random() * PROBE_INTERVAL_MS,
    };
  }

  #applyEffects(index: number, effects: readonly MembershipEffect[]): void {
    const member = this.getMember(index);
    for (const effect of effects) this.#applyEffect(index, member, effect);
    const nextMs = member.state.getNextWakeMs();
    member.wakeMs = member.wakeMs <= this.nowMs ? nextMs : Math.min(member.wakeMs, nextMs);
  }

  #applyEffect(index: number, member: SimulatedMember, effect: MembershipEffect): void {
    switch (effect.kind) {
      case 'send':
        this.#sendDatagram(index, effect.port - FIRST_PORT, effect.datagram);
        return;
      case 'view-changed':
        member.viewChanges += 1;
        // The routing task reads the view at each change.
        member.state.getView();
        return;
      case 'bundle-number-raised':
        member.bundleNumber = effect.bundleNumber;
        member.state.setBundleNumber(effect.bundleNumber);
        return;
      case 'crash-reported':
    }
  }

  #sendDatagram(from: number, to: number, datagram: Datagram): void {
    const bytes = encodeDatagram(datagram, KEY);
    recordMessage(this.getMember(from), bytes);
    if (this.isCut(from, to)) return;
    const atMs = this.nowMs + 1 + Math.floor(this.#random() * MAX_DELAY_MS);
    const due = this.#inFlight.get(atMs) ?? [];
    due.push({ from, to, bytes });
    this.#inFlight.set(atMs, due);
  }

  #runDeliveries(): void {
    const due = this.#inFlight.get(this.nowMs) ?? [];
    this.#inFlight.delete(this.nowMs);
    for (const { from, to, bytes } of due) {
      const member = this.getMember(to);
      if (!member.isUp) continue;
      recordMessage(member, bytes);
      const decoded = decodeDatagram(bytes, KEY);
      if (decoded.kind === 'invalid') throw new Error(`datagram is ${decoded.fault}`);
      const source = { address: '127.0.0.1', port: FIRST_PORT + from };
      this.#applyEffects(to, member.state.handleDatagram(decoded.datagram, source, this.nowMs));
    }
  }
}

function recordMessage(member: SimulatedMember, bytes: Buffer): void {
  member.messages += 1;
  member.bytes += bytes.length;
}

function buildListed(index: number): ListedInstance {
  return {
    ...{ id: `instance-${index}`, role: 'router', address: '127.0.0.1', port: 9_000 },
    ...{ peerPort: FIRST_PORT + index, failureDomain: `domain-${index % 15}` },
    ...{ region: `region-${index % 6}`, state: 'live' },
  };
}
