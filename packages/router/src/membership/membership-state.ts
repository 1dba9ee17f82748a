import type {
  Datagram,
  ListedInstance,
  MembershipUpdate,
  MemberUpdate,
} from '@pollendrum/protocol';
import type { CrashReport, LinkEvidence, MembershipView } from '../ports';
import type {
  DatagramAddress,
  MembershipEffect,
  MembershipStateOptions,
  PendingProbe,
  RelayedProbe,
} from './membership-types';
import { CrashStore } from './crash-store';
import { buildDatagram, toMemberKey, type DatagramPurpose } from './datagram-builder';
import { GossipQueue } from './gossip-queue';
import {
  advanceRemoval,
  buildView,
  buildFailureUpdate,
  chooseRecords,
  clearSuspicion,
  createRecord,
  INITIAL_INCARNATION,
  isNewer,
  isAbsentTooLong,
  hasSameAddress,
  isEquivalent,
  LISTED_INCARNATION,
  toListedUpdate,
  toAddress,
  type MemberRecord,
} from './member-record';

/** Time from the start of a suspicion to the removal of the member. */
export const SUSPICION_TIMEOUT_MS = 1_500;
/** Default probe period. */
export const PROBE_INTERVAL_MS = 500;

// Fraction of the probe period to wait for a direct ack; the rest is left for the indirect probes.
const DIRECT_ACK_FRACTION = 0.4;
const INDIRECT_PROBE_COUNT = 2;
// An immediate probe is sent directly and through relays at once, so it needs no second phase.
const IMMEDIATE_PROBE_FRACTION = 0.5;
// Link evidence is valid for as long as the probe that it started may still be running.
const EVIDENCE_VALIDITY_INTERVALS = 2;
// Number of members that receive an urgent update directly: gossip takes seconds at 530 members.
const PUSH_FANOUT = 3;
// Sequence number of an ack that answers no probe; no probe has this number.
const UNSOLICITED_SEQUENCE = 0;
// Probe periods between probes of dead members; reconnects partitions that removed each other.
const DEAD_PROBE_INTERVALS = 10;
const TOMBSTONE_RETENTION_MS = 86_400_000;

/**
 * SWIM membership protocol as a state machine without I/O. `nowMs` is the time of a monotonic clock
 * in milliseconds; methods that change the state return the effects that the caller must apply.
 */
export class MembershipState {
  readonly #options: MembershipStateOptions;
  readonly #intervalMs: number;
  readonly #records = new Map<string, MemberRecord>();
  readonly #gossip = new GossipQueue();
  readonly #crashes = new CrashStore();
  readonly #pendingProbes = new Map<number, PendingProbe>();
  readonly #relayedProbes = new Map<number, RelayedProbe>();
  readonly #priorityProbes = new Set<string>();
  #self: MemberUpdate;
  #sequence = 0;
  #intervalCount = 0;
  #nextProbeMs = -Infinity;
  #bundleNumber = 0;
  #highestBundleNumber = 0;
  #version = 1;
  #view: MembershipView | undefined;
  #effects: MembershipEffect[] = [];

  constructor(options: MembershipStateOptions) {
    this.#options = options;
    this.#intervalMs = options.probeIntervalMs ?? PROBE_INTERVAL_MS;
    this.#self = {
      kind: 'member',
      ...options.self,
      incarnation: INITIAL_INCARNATION,
      state: 'alive',
    };
    this.#putMemberGossip(this.#self);
  }

  getView(): MembershipView {
    this.#view ??= buildView(this.#self, this.#records.values(), this.#version);
    return this.#view;
  }

  listCrashes(nowMs: number): CrashReport[] {
    return this.#crashes.list(nowMs);
  }

  /** Returns the time at which `handleTime` must run next. */
  getNextWakeMs(): number {
    let nextMs = this.#nextProbeMs;
    for (const probe of this.#pendingProbes.values()) {
      nextMs = Math.min(nextMs, probe.indirectProbesAtMs, probe.failsAtMs);
    }
    for (const { deadAtMs } of this.#records.values())
      nextMs = Math.min(nextMs, deadAtMs ?? nextMs);
    return nextMs;
  }

  /** Handles expired probes and suspicions, and probes the next member when a period is over. */
  handleTime(nowMs: number): MembershipEffect[] {
    if (nowMs - this.getNextWakeMs() > this.#intervalMs) this.#resetDeadlines(nowMs);
    for (const [sequence, probe] of this.#pendingProbes) {
      if (probe.failsAtMs <= nowMs) this.#failProbe(sequence, probe, nowMs);
      else if (probe.indirectProbesAtMs <= nowMs) this.#sendIndirectProbes(sequence, probe, nowMs);
    }
    for (const record of this.#records.values()) {
      if (record.deadAtMs !== undefined && record.deadAtMs <= nowMs) {
        this.#endSuspicion(record, nowMs);
      }
    }
    if (this.#nextProbeMs <= nowMs) this.#startInterval(nowMs);
    return this.#takeEffects();
  }

  handleDatagram(datagram: Datagram, source: DatagramAddress, nowMs: number): MembershipEffect[] {
    const { from, bundleNumber } = datagram;
    if (from === this.#self.instanceId) return [];
    for (const update of datagram.updates) this.#applyUpdate(update, nowMs);
    this.#observeSender(datagram, nowMs);
    if (bundleNumber > this.#highestBundleNumber) {
      this.#highestBundleNumber = bundleNumber;
      this.#effects.push({ kind: 'bundle-number-raised', bundleNumber, instanceId: from });
    }
    this.#handleKind(datagram, source, nowMs);
    return this.#takeEffects();
  }

  /** Merges one successful read of the platform's list; only these reads count towards absences. */
  mergeList(instances: readonly ListedInstance[], nowMs: number): MembershipEffect[] {
    const listedIds = new Set<string>();
    for (const instance of instances) {
      if (instance.role !== 'router' || instance.peerPort === undefined) continue;
      if (instance.id === this.#self.instanceId) continue;
      listedIds.add(instance.id);
      const record =
        this.#records.get(instance.id) ??
        this.#addRecord(toListedUpdate(instance, instance.peerPort));
      if (record.update.state === 'dead') {
        // A replacement process may have the same id and another address.
        const { address, peerPort } = instance;
        record.update = { ...record.update, address, peerPort };
      }
      record.isListed = true;
      record.absentSinceMs = undefined;
    }
    for (const [instanceId, record] of this.#records) {
      if (listedIds.has(instanceId)) continue;
      record.isListed = false;
      record.absentSinceMs ??= nowMs;
      if (isAbsentTooLong(record, nowMs) && record.update.state !== 'dead')
        this.#priorityProbes.add(instanceId);
    }
    return this.#takeEffects();
  }

  /** Announces that this instance is stopping: directly to a few members, by gossip to the rest. */
  publishLeaving(nowMs: number): MembershipEffect[] {
    if (this.#self.state === 'leaving') return [];
    this.#setSelf({ ...this.#self, state: 'leaving', incarnation: this.#self.incarnation + 1 });
    const targets = this.#chooseMembers(INDIRECT_PROBE_COUNT + 1, new Set());
    for (const target of targets) this.#startProbe(target, nowMs);
    return this.#takeEffects();
  }

  publishCrash(report: CrashReport, nowMs: number): MembershipEffect[] {
    this.#applyCrash(report, nowMs);
    return this.#takeEffects();
  }

  /** Records a failure that a link observed and probes the member immediately. */
  reportUnreachable(instanceId: string, evidence: LinkEvidence, nowMs: number): MembershipEffect[] {
    const record = this.#records.get(instanceId);
    if (record === undefined || record.update.state === 'dead') return [];
    // A proxy or a restarted link can cause a reset; only the next connection attempt can tell.
    if (evidence !== 'reset') {
      record.unreachableAtMs = nowMs;
      if (record.hasFailedProbe) advanceRemoval(record, nowMs);
    }
    if (!this.#isImmediateProbeRunning(record, nowMs)) this.#startImmediateProbe(record, nowMs);
    return this.#takeEffects();
  }

  /** Sets the number to send with each datagram; received numbers up to it are then ignored. */
  setBundleNumber(bundleNumber: number): void {
    this.#bundleNumber = Math.max(this.#bundleNumber, bundleNumber);
    this.#highestBundleNumber = Math.max(this.#highestBundleNumber, bundleNumber);
  }

  #observeSender(datagram: Datagram, nowMs: number): void {
    const record = this.#records.get(datagram.from);
    if (record === undefined) return;
    record.lastHeardMs = nowMs;
    const selfUpdate = datagram.updates.find(
      (update) => update.kind === 'member' && update.instanceId === datagram.from,
    );
    if (selfUpdate?.kind !== 'member') return;
    record.isRefutationNeeded =
      isNewer(record.update, selfUpdate) || !hasSameAddress(record.update, selfUpdate);
  }

  /** Drops probes and restarts suspicions after a pause of this process: acks are still unread. */
  #resetDeadlines(nowMs: number): void {
    this.#pendingProbes.clear();
    for (const record of this.#records.values()) {
      if (record.deadAtMs !== undefined) record.deadAtMs = nowMs + SUSPICION_TIMEOUT_MS;
    }
  }

  #handleKind(datagram: Datagram, source: DatagramAddress, nowMs: number): void {
    switch (datagram.kind) {
      case 'probe':
        this.#sendAck(datagram.from, source, datagram.sequence, nowMs);
        return;
      case 'probe-ack':
        this.#handleAck(datagram.sequence, datagram.from, nowMs);
        return;
      case 'indirect-probe': {
        const sequence = this.#takeSequence();
        this.#relayedProbes.set(sequence, {
          targetInstanceId: datagram.targetInstanceId,
          origin: { ...source, sequence: datagram.sequence },
          expiresAtMs: nowMs + this.#intervalMs,
        });
        const target = { address: datagram.targetAddress, port: datagram.targetPort };
        this.#send({ kind: 'probe' }, datagram.targetInstanceId, target, sequence, nowMs);
      }
    }
  }

  #handleAck(sequence: number, from: string, nowMs: number): void {
    const probe = this.#pendingProbes.get(sequence);
    if (probe?.allowedSenderIds.has(from) === true) {
      this.#pendingProbes.delete(sequence);
      const record = this.#records.get(probe.targetInstanceId);
      if (record === undefined) return;
      record.lastHeardMs = nowMs;
      record.unreachableAtMs = -Infinity;
      record.unconfirmedDeath = undefined;
      // The suspicion of a leaving member is not published, so the member cannot refute it.
      if (record.update.state === 'leaving') clearSuspicion(record);
      return;
    }
    const relayed = this.#relayedProbes.get(sequence);
    if (relayed?.targetInstanceId !== from) return;
    this.#relayedProbes.delete(sequence);
    this.#sendAck(from, relayed.origin, relayed.origin.sequence, nowMs);
  }

  #startInterval(nowMs: number): void {
    // After a pause, the process sends one probe and skips the missed ones.
    this.#nextProbeMs = Math.max(
      this.#nextProbeMs + this.#intervalMs,
      nowMs + this.#intervalMs / 2,
    );
    this.#intervalCount += 1;
    for (const [sequence, { expiresAtMs }] of this.#relayedProbes) {
      if (expiresAtMs <= nowMs) this.#relayedProbes.delete(sequence);
    }
    for (const record of this.#records.values()) {
      if (record.hasFailedProbe && record.update.state !== 'dead') this.#startProbe(record, nowMs);
    }
    const target = this.#takePriorityProbe() ?? this.#chooseMembers(1, new Set())[0];
    if (target !== undefined) this.#startProbe(target, nowMs);
    if (this.#intervalCount % DEAD_PROBE_INTERVALS === 0) this.#probeDead(nowMs);
  }

  #takePriorityProbe(): MemberRecord | undefined {
    const [instanceId] = this.#priorityProbes;
    if (instanceId === undefined) return undefined;
    this.#priorityProbes.delete(instanceId);
    const record = this.#records.get(instanceId);
    return record?.update.state === 'dead' ? undefined : record;
  }

  #probeDead(nowMs: number): void {
    const dead = [...this.#records].filter(([, { update }]) => update.state === 'dead');
    for (const [instanceId, { lastHeardMs, isListed }] of dead) {
      if (!isListed && nowMs - lastHeardMs > TOMBSTONE_RETENTION_MS)
        this.#records.delete(instanceId);
    }
    const listed = dead.filter(([, { isListed }]) => isListed).map(([, record]) => record);
    const record = listed[Math.floor(this.#options.random() * listed.length)];
    if (record !== undefined) this.#startProbe(record, nowMs);
  }

  #startProbe(record: MemberRecord, nowMs: number, limitMs = this.#intervalMs): number {
    const { instanceId } = record.update;
    const sequence = this.#takeSequence();
    this.#pendingProbes.set(sequence, {
      targetInstanceId: instanceId,
      allowedSenderIds: new Set([instanceId]),
      indirectProbesAtMs: nowMs + limitMs * DIRECT_ACK_FRACTION,
      failsAtMs: nowMs + limitMs,
    });
    this.#send({ kind: 'probe' }, instanceId, toAddress(record.update), sequence, nowMs);
    return sequence;
  }

  /** Probes a member immediately, both directly and through relays. */
  #startImmediateProbe(record: MemberRecord, nowMs: number): void {
    record.immediateProbeAtMs = nowMs;
    const sequence = this.#startProbe(record, nowMs, this.#intervalMs * IMMEDIATE_PROBE_FRACTION);
    const probe = this.#pendingProbes.get(sequence);
    if (probe !== undefined) this.#sendIndirectProbes(sequence, probe, nowMs);
  }

  #isImmediateProbeRunning(record: MemberRecord, nowMs: number): boolean {
    return nowMs - record.immediateProbeAtMs < this.#intervalMs * IMMEDIATE_PROBE_FRACTION;
  }

  /** One observer may be wrong, so a reported death is accepted only if a local probe fails. */
  #verifyDeath(record: MemberRecord, deadUpdate: MemberUpdate, nowMs: number): void {
    record.immediateProbeAtMs = nowMs;
    record.unconfirmedDeath = deadUpdate;
    this.#startProbe(record, nowMs, this.#intervalMs * IMMEDIATE_PROBE_FRACTION);
  }

  /**
   * At 530 members a refutation can take longer than the suspicion timeout. A suspicion that was
   * received by gossip is therefore verified with a probe before the member is removed.
   */
  #endSuspicion(record: MemberRecord, nowMs: number): void {
    if (record.hasFailedProbe) {
      this.#markDead(record, nowMs);
      return;
    }
    record.deadAtMs = nowMs + SUSPICION_TIMEOUT_MS;
    this.#verifyDeath(record, buildFailureUpdate(record.update, 'dead'), nowMs);
  }

  /** Sends the state of a member directly to a few other members. */
  #publishUpdate(subjectId: string, nowMs: number): void {
    const targets = this.#chooseMembers(PUSH_FANOUT, new Set([subjectId]));
    for (const { update } of targets) {
      this.#sendAck(subjectId, toAddress(update), UNSOLICITED_SEQUENCE, nowMs);
    }
  }

  #sendIndirectProbes(sequence: number, probe: PendingProbe, nowMs: number): void {
    probe.indirectProbesAtMs = Infinity;
    const target = this.#records.get(probe.targetInstanceId)?.update;
    if (target === undefined || target.state === 'dead') return;
    const relays = this.#chooseMembers(INDIRECT_PROBE_COUNT, new Set([probe.targetInstanceId]));
    for (const { update } of relays) {
      probe.allowedSenderIds.add(update.instanceId);
      this.#send(
        { kind: 'indirect-probe', target },
        update.instanceId,
        toAddress(update),
        sequence,
        nowMs,
      );
    }
  }

  #failProbe(sequence: number, probe: PendingProbe, nowMs: number): void {
    this.#pendingProbes.delete(sequence);
    const record = this.#records.get(probe.targetInstanceId);
    if (record === undefined || record.update.state === 'dead') return;
    if (record.absentSinceMs !== undefined && isAbsentTooLong(record, nowMs)) {
      this.#markDead(record, nowMs);
      return;
    }
    if (record.unconfirmedDeath !== undefined && isNewer(record.unconfirmedDeath, record.update)) {
      this.#setRecord(record, record.unconfirmedDeath, nowMs);
      return;
    }
    if (record.hasFailedProbe) return;
    record.hasFailedProbe = true;
    record.deadAtMs ??= nowMs + SUSPICION_TIMEOUT_MS;
    const evidenceAgeMs = nowMs - record.unreachableAtMs;
    const isEvidenceRecent = evidenceAgeMs <= this.#intervalMs * EVIDENCE_VALIDITY_INTERVALS;
    // A leaving member stays leaving: as a suspect it would own shards again.
    if (record.update.state === 'alive') {
      this.#setRecord(record, buildFailureUpdate(record.update, 'suspect'), nowMs);
    }
    this.#startProbe(record, nowMs);
    if (!isEvidenceRecent) return;
    advanceRemoval(record, nowMs);
    this.#publishUpdate(record.update.instanceId, nowMs);
  }

  #markDead(record: MemberRecord, nowMs: number): void {
    this.#setRecord(record, buildFailureUpdate(record.update, 'dead'), nowMs);
    this.#publishUpdate(record.update.instanceId, nowMs);
  }

  #applyUpdate(update: MembershipUpdate, nowMs: number): void {
    switch (update.kind) {
      case 'member':
        this.#applyMember(update, nowMs);
        return;
      case 'crash':
        this.#applyCrash(update, nowMs);
        return;
      case 'crash-cleared':
        this.#applyCrash({ ...update, kind: 'cleared' }, nowMs);
    }
  }

  #applyMember(update: MemberUpdate, nowMs: number): void {
    if (update.instanceId === this.#self.instanceId) {
      this.#updateIncarnation(update);
      return;
    }
    const record = this.#records.get(update.instanceId);
    if (record === undefined) {
      if (update.state === 'dead') return;
      this.#setRecord(this.#addRecord(update), update, nowMs);
      this.#putMemberGossip(update);
      return;
    }
    if (!isNewer(update, record.update)) return;
    if (update.state !== 'dead' || record.hasFailedProbe) {
      this.#setRecord(record, update, nowMs);
      return;
    }
    if (this.#isImmediateProbeRunning(record, nowMs)) return;
    this.#verifyDeath(record, update, nowMs);
    // The other members verify the death at the same time.
    this.#putMemberGossip(update);
    this.#publishUpdate(update.instanceId, nowMs);
  }

  /** Refutes an update that contradicts the state of this instance, with a higher incarnation. */
  #updateIncarnation(update: MemberUpdate): void {
    if (update.incarnation < this.#self.incarnation || isEquivalent(update, this.#self)) return;
    this.#setSelf({ ...this.#self, incarnation: update.incarnation + 1 });
  }

  #setSelf(update: MemberUpdate): void {
    const isChanged = update.state !== this.#self.state;
    this.#self = update;
    this.#putMemberGossip(update);
    if (isChanged) this.#markChanged();
  }

  #setRecord(record: MemberRecord, update: MemberUpdate, nowMs: number): void {
    const isViewChanged =
      JSON.stringify({ ...record.update, incarnation: 0 }) !==
      JSON.stringify({ ...update, incarnation: 0 });
    const hasHigherIncarnation = update.incarnation > record.update.incarnation;
    const previous = record.update;
    const hasStartedLeaving = update.state === 'leaving' && previous.state === 'alive';
    record.update = update;
    if (update.state === 'suspect') {
      record.deadAtMs = hasHigherIncarnation
        ? nowMs + SUSPICION_TIMEOUT_MS
        : (record.deadAtMs ?? nowMs + SUSPICION_TIMEOUT_MS);
    } else if (hasHigherIncarnation || update.state === 'dead') {
      clearSuspicion(record);
    }
    // The first update of a listed member adds nothing to the list. If 530 members started together
    // and forwarded these updates, their datagrams would be full for minutes.
    if (isViewChanged || previous.incarnation !== LISTED_INCARNATION) this.#putMemberGossip(update);
    // Entries send requests to the next owner after this update, which the owner must know by then.
    if (hasStartedLeaving) this.#publishUpdate(update.instanceId, nowMs);
    if (isViewChanged) this.#markChanged();
  }

  #addRecord(update: MemberUpdate): MemberRecord {
    const record = createRecord(update);
    this.#records.set(update.instanceId, record);
    this.#markChanged();
    return record;
  }

  #applyCrash(report: CrashReport, nowMs: number): void {
    const key = this.#crashes.add(report, nowMs);
    if (key === undefined) return;
    this.#effects.push({ kind: 'crash-reported', report });
    this.#gossip.put(key, (atMs) => {
      const stored = this.#crashes.get(key, atMs);
      if (stored?.kind !== 'cleared') return stored;
      return { ...stored, kind: 'crash-cleared' };
    });
  }

  #putMemberGossip(update: MemberUpdate): void {
    this.#gossip.put(toMemberKey(update.instanceId), () => update);
  }

  #chooseMembers(count: number, excludedIds: ReadonlySet<string>): MemberRecord[] {
    return chooseRecords(this.#records.values(), count, excludedIds, this.#options.random);
  }

  #sendAck(subjectId: string, target: DatagramAddress, sequence: number, nowMs: number): void {
    this.#send({ kind: 'probe-ack' }, subjectId, target, sequence, nowMs);
  }

  /** Adds the known state of the subject; if the subject receives it, it can refute it. */
  #send(
    purpose: DatagramPurpose,
    subjectId: string,
    target: DatagramAddress,
    sequence: number,
    nowMs: number,
  ): void {
    const priorityUpdates = [this.#self];
    const subject = this.#records.get(subjectId);
    const known = subject?.unconfirmedDeath ?? subject?.update;
    if (known && (subject?.isRefutationNeeded === true || known.state !== 'alive')) {
      priorityUpdates.push(known);
    }
    const content = {
      ...{ self: this.#self, sequence, bundleNumber: this.#bundleNumber, priorityUpdates },
      memberCount: this.#records.size + 1,
    };
    const datagram = buildDatagram(purpose, content, this.#gossip, nowMs);
    this.#effects.push({ kind: 'send', ...target, datagram });
  }

  #takeSequence(): number {
    this.#sequence += 1;
    return this.#sequence;
  }

  #markChanged(): void {
    this.#version += 1;
    this.#view = undefined;
    if (!this.#effects.some(({ kind }) => kind === 'view-changed')) {
      this.#effects.push({ kind: 'view-changed' });
    }
  }

  #takeEffects(): MembershipEffect[] {
    const effects = this.#effects;
    this.#effects = [];
    return effects;
  }
}
