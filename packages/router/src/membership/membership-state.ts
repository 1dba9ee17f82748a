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
import { buildDatagram, createGossip, toMemberKey, type DatagramPurpose } from './datagram-builder';
import {
  setShortSuspicion,
  buildView,
  buildFailureUpdate,
  chooseRecords,
  clearSuspicion,
  createRecord,
  INITIAL_INCARNATION,
  hasPrecedence,
  isUnlistedTooLong,
  hasSameAddress,
  isEquivalent,
  LISTED_INCARNATION,
  toListedUpdate,
  toAddress,
  type MemberRecord,
} from './member-record';

/** Time from the start of a suspicion to the member's removal or, if received by gossip, to its probe. */
export const SUSPICION_TIMEOUT_MS = 1_500;
/** Default probe interval. */
export const PROBE_INTERVAL_MS = 500;

// Fraction of a probe's time limit to wait for a direct ack; the rest is left for the indirect probes.
const DIRECT_ACK_FRACTION = 0.4;
const INDIRECT_PROBE_COUNT = 2;
// Fraction of the probe interval after which a probe that a link report or a reported death caused
// fails. After a link report, direct and indirect probes are sent at once, so no second phase is needed.
const SHORT_PROBE_FRACTION = 0.5;
// Number of probe intervals for which a link report is valid; the probe that it starts ends earlier.
const EVIDENCE_VALIDITY_INTERVALS = 2;
// Number of members that receive an urgent update directly: gossip takes seconds at 530 members.
const PUSH_FANOUT = 3;
// Sequence number of an ack that answers no probe; no probe has this number.
const UNSOLICITED_SEQUENCE = 0;
// Probe intervals between probes of dead members; the probes reconnect partitions after mutual removal.
const DEAD_PROBE_INTERVALS = 10;
const TOMBSTONE_RETENTION_MS = 86_400_000; // since the last datagram of a dead, unlisted member

/**
 * SWIM membership protocol as a state machine without I/O. `nowMs` is the time of a monotonic clock
 * in milliseconds; methods that change the state return the effects that the caller must apply.
 */
export class MembershipState {
  readonly #options: MembershipStateOptions;
  readonly #probeIntervalMs: number;
  readonly #records = new Map<string, MemberRecord>();
  readonly #gossip = createGossip();
  readonly #crashes = new CrashStore();
  readonly #pendingProbes = new Map<number, PendingProbe>();
  readonly #relayedProbes = new Map<number, RelayedProbe>();
  readonly #unlistedIdsToProbe = new Set<string>();
  #self: MemberUpdate;
  #sequence = 0;
  #probeIntervalCount = 0;
  #nextProbeMs = -Infinity;
  #bundleNumber = 0;
  #highestBundleNumber = 0;
  #version = 1;
  #view: MembershipView | undefined;
  #effects: MembershipEffect[] = [];

  constructor(options: MembershipStateOptions) {
    this.#options = options;
    this.#probeIntervalMs = options.probeIntervalMs ?? PROBE_INTERVAL_MS;
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

  listCrashReports(nowMs: number): CrashReport[] {
    return this.#crashes.list(nowMs);
  }

  /** Returns the time at which `handleTime` must run next. */
  getNextWakeMs(): number {
    let nextMs = this.#nextProbeMs;
    for (const probe of this.#pendingProbes.values()) {
      nextMs = Math.min(nextMs, probe.indirectProbesAtMs, probe.failsAtMs);
    }
    for (const { suspectUntilMs } of this.#records.values())
      nextMs = Math.min(nextMs, suspectUntilMs ?? nextMs);
    return nextMs;
  }

  /** Handles expired probes and suspicions, and probes the next member after each probe interval. */
  handleTime(nowMs: number): MembershipEffect[] {
    if (nowMs - this.getNextWakeMs() > this.#probeIntervalMs) this.#resetDeadlines(nowMs);
    for (const [sequence, probe] of this.#pendingProbes) {
      if (probe.failsAtMs <= nowMs) this.#failProbe(sequence, probe, nowMs);
      else if (probe.indirectProbesAtMs <= nowMs) this.#sendIndirectProbes(sequence, probe, nowMs);
    }
    for (const record of this.#records.values()) {
      if (record.suspectUntilMs !== undefined && record.suspectUntilMs <= nowMs) {
        this.#endSuspicion(record, nowMs);
      }
    }
    if (this.#nextProbeMs <= nowMs) this.#startProbeInterval(nowMs);
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

  /** Merges a successful read of the platform's list; only such a read shows that a member is unlisted. */
  mergeList(instances: readonly ListedInstance[], nowMs: number): MembershipEffect[] {
    const listedIds = new Set<string>();
    for (const instance of instances) {
      if (instance.role !== 'router' || instance.peerPort === undefined) continue;
      if (instance.id === this.#self.instanceId) continue;
      listedIds.add(instance.id);
      const record =
        this.#records.get(instance.id) ??
        this.#addRecord(toListedUpdate(instance, instance.peerPort));
      if (record.known.state === 'dead') {
        // A replacement process may have the same id and another address.
        const { address, peerPort } = instance;
        record.known = { ...record.known, address, peerPort };
      }
      record.isListed = true;
      record.unlistedSinceMs = undefined;
    }
    for (const [instanceId, record] of this.#records) {
      if (listedIds.has(instanceId)) continue;
      record.isListed = false;
      record.unlistedSinceMs ??= nowMs;
      if (isUnlistedTooLong(record, nowMs) && record.known.state !== 'dead')
        this.#unlistedIdsToProbe.add(instanceId);
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

  publishCrashReport(report: CrashReport, nowMs: number): MembershipEffect[] {
    this.#applyCrashReport(report, nowMs);
    return this.#takeEffects();
  }

  /** Records a failure that a link observed and probes the member immediately. */
  reportUnreachable(instanceId: string, evidence: LinkEvidence, nowMs: number): MembershipEffect[] {
    const record = this.#records.get(instanceId);
    if (record === undefined || record.known.state === 'dead') return [];
    // A reset does not shorten a suspicion: a proxy or a restarted link can cause it, and only the next
    // connection attempt shows whether the member is reachable.
    if (evidence !== 'reset') {
      record.unreachableAtMs = nowMs;
      if (record.hasFailedProbe) setShortSuspicion(record, nowMs);
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
      hasPrecedence(record.known, selfUpdate) || !hasSameAddress(record.known, selfUpdate);
  }

  /** Drops probes and restarts suspicions after a pause of this process: received acks are unread. */
  #resetDeadlines(nowMs: number): void {
    this.#pendingProbes.clear();
    for (const record of this.#records.values()) {
      if (record.suspectUntilMs !== undefined) record.suspectUntilMs = nowMs + SUSPICION_TIMEOUT_MS;
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
          expiresAtMs: nowMs + this.#probeIntervalMs,
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
      record.reportedDeath = undefined;
      // The suspicion of a leaving member is not sent to it, so the member cannot refute it.
      if (record.known.state === 'leaving') clearSuspicion(record);
      return;
    }
    const relayed = this.#relayedProbes.get(sequence);
    if (relayed?.targetInstanceId !== from) return;
    this.#relayedProbes.delete(sequence);
    this.#sendAck(from, relayed.origin, relayed.origin.sequence, nowMs);
  }

  #startProbeInterval(nowMs: number): void {
    // After a pause, the process sends one probe and skips the missed ones.
    this.#nextProbeMs = Math.max(
      this.#nextProbeMs + this.#probeIntervalMs,
      nowMs + this.#probeIntervalMs / 2,
    );
    this.#probeIntervalCount += 1;
    for (const [sequence, { expiresAtMs }] of this.#relayedProbes) {
      if (expiresAtMs <= nowMs) this.#relayedProbes.delete(sequence);
    }
    for (const record of this.#records.values()) {
      if (record.hasFailedProbe && record.known.state !== 'dead') this.#startProbe(record, nowMs);
    }
    const target = this.#takeUnlistedMember() ?? this.#chooseMembers(1, new Set())[0];
    if (target !== undefined) this.#startProbe(target, nowMs);
    if (this.#probeIntervalCount % DEAD_PROBE_INTERVALS === 0) this.#probeDead(nowMs);
  }

  #takeUnlistedMember(): MemberRecord | undefined {
    const [instanceId] = this.#unlistedIdsToProbe;
    if (instanceId === undefined) return undefined;
    this.#unlistedIdsToProbe.delete(instanceId);
    const record = this.#records.get(instanceId);
    return record?.known.state === 'dead' ? undefined : record;
  }

  #probeDead(nowMs: number): void {
    const dead = [...this.#records].filter(([, { known }]) => known.state === 'dead');
    for (const [instanceId, { lastHeardMs, isListed }] of dead) {
      if (!isListed && nowMs - lastHeardMs > TOMBSTONE_RETENTION_MS)
        this.#records.delete(instanceId);
    }
    const listed = dead.filter(([, { isListed }]) => isListed).map(([, record]) => record);
    const record = listed[Math.floor(this.#options.random() * listed.length)];
    if (record !== undefined) this.#startProbe(record, nowMs);
  }

  #startProbe(record: MemberRecord, nowMs: number, limitMs = this.#probeIntervalMs): number {
    const { instanceId } = record.known;
    const sequence = this.#takeSequence();
    this.#pendingProbes.set(sequence, {
      targetInstanceId: instanceId,
      allowedSenderIds: new Set([instanceId]),
      indirectProbesAtMs: nowMs + limitMs * DIRECT_ACK_FRACTION,
      failsAtMs: nowMs + limitMs,
    });
    this.#send({ kind: 'probe' }, instanceId, toAddress(record.known), sequence, nowMs);
    return sequence;
  }

  /** Probes a member immediately, both directly and through relays. */
  #startImmediateProbe(record: MemberRecord, nowMs: number): void {
    record.immediateProbeAtMs = nowMs;
    const sequence = this.#startProbe(record, nowMs, this.#probeIntervalMs * SHORT_PROBE_FRACTION);
    const probe = this.#pendingProbes.get(sequence);
    if (probe !== undefined) this.#sendIndirectProbes(sequence, probe, nowMs);
  }

  #isImmediateProbeRunning(record: MemberRecord, nowMs: number): boolean {
    return nowMs - record.immediateProbeAtMs < this.#probeIntervalMs * SHORT_PROBE_FRACTION;
  }

  /** A single observer may be wrong, so a reported death is accepted only if a local probe fails. */
  #verifyDeath(record: MemberRecord, deadUpdate: MemberUpdate, nowMs: number): void {
    record.immediateProbeAtMs = nowMs;
    record.reportedDeath = deadUpdate;
    this.#startProbe(record, nowMs, this.#probeIntervalMs * SHORT_PROBE_FRACTION);
  }

  // At 530 members a refutation can take longer than the suspicion timeout. A suspicion that was
  // received by gossip is therefore verified with a probe before the member is removed.
  #endSuspicion(record: MemberRecord, nowMs: number): void {
    if (record.hasFailedProbe) {
      this.#markDead(record, nowMs);
      return;
    }
    record.suspectUntilMs = nowMs + SUSPICION_TIMEOUT_MS;
    this.#verifyDeath(record, buildFailureUpdate(record.known, 'dead'), nowMs);
  }

  /** Sends the state of a member directly to a few other members. */
  #sendUpdateDirectly(subjectId: string, nowMs: number): void {
    const targets = this.#chooseMembers(PUSH_FANOUT, new Set([subjectId]));
    for (const { known } of targets) {
      this.#sendAck(subjectId, toAddress(known), UNSOLICITED_SEQUENCE, nowMs);
    }
  }

  #sendIndirectProbes(sequence: number, probe: PendingProbe, nowMs: number): void {
    probe.indirectProbesAtMs = Infinity;
    const target = this.#records.get(probe.targetInstanceId)?.known;
    if (target === undefined || target.state === 'dead') return;
    const relays = this.#chooseMembers(INDIRECT_PROBE_COUNT, new Set([probe.targetInstanceId]));
    for (const { known } of relays) {
      probe.allowedSenderIds.add(known.instanceId);
      this.#send(
        { kind: 'indirect-probe', target },
        known.instanceId,
        toAddress(known),
        sequence,
        nowMs,
      );
    }
  }

  #failProbe(sequence: number, probe: PendingProbe, nowMs: number): void {
    this.#pendingProbes.delete(sequence);
    const record = this.#records.get(probe.targetInstanceId);
    if (record === undefined || record.known.state === 'dead') return;
    if (record.unlistedSinceMs !== undefined && isUnlistedTooLong(record, nowMs)) {
      this.#markDead(record, nowMs);
      return;
    }
    if (record.reportedDeath !== undefined && hasPrecedence(record.reportedDeath, record.known)) {
      this.#setKnownState(record, record.reportedDeath, nowMs);
      return;
    }
    if (record.hasFailedProbe) return;
    record.hasFailedProbe = true;
    record.suspectUntilMs ??= nowMs + SUSPICION_TIMEOUT_MS;
    const evidenceAgeMs = nowMs - record.unreachableAtMs;
    const isEvidenceRecent = evidenceAgeMs <= this.#probeIntervalMs * EVIDENCE_VALIDITY_INTERVALS;
    // A leaving member stays leaving: as a suspect it would own shards again.
    if (record.known.state === 'alive') {
      this.#setKnownState(record, buildFailureUpdate(record.known, 'suspect'), nowMs);
    }
    this.#startProbe(record, nowMs);
    if (!isEvidenceRecent) return;
    setShortSuspicion(record, nowMs);
    this.#sendUpdateDirectly(record.known.instanceId, nowMs);
  }

  #markDead(record: MemberRecord, nowMs: number): void {
    this.#setKnownState(record, buildFailureUpdate(record.known, 'dead'), nowMs);
    this.#sendUpdateDirectly(record.known.instanceId, nowMs);
  }

  #applyUpdate(update: MembershipUpdate, nowMs: number): void {
    switch (update.kind) {
      case 'member':
        this.#applyMember(update, nowMs);
        return;
      case 'crash':
        this.#applyCrashReport(update, nowMs);
        return;
      case 'crash-cleared':
        this.#applyCrashReport({ ...update, kind: 'cleared' }, nowMs);
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
      this.#setKnownState(this.#addRecord(update), update, nowMs);
      this.#putMemberGossip(update);
      return;
    }
    if (!hasPrecedence(update, record.known)) return;
    if (update.state !== 'dead' || record.hasFailedProbe) {
      this.#setKnownState(record, update, nowMs);
      return;
    }
    if (this.#isImmediateProbeRunning(record, nowMs)) return;
    this.#verifyDeath(record, update, nowMs);
    // The other members verify the death at the same time.
    this.#putMemberGossip(update);
    this.#sendUpdateDirectly(update.instanceId, nowMs);
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

  #setKnownState(record: MemberRecord, update: MemberUpdate, nowMs: number): void {
    const isViewChanged =
      JSON.stringify({ ...record.known, incarnation: 0 }) !==
      JSON.stringify({ ...update, incarnation: 0 });
    const hasHigherIncarnation = update.incarnation > record.known.incarnation;
    const previous = record.known;
    const hasStartedLeaving = update.state === 'leaving' && previous.state === 'alive';
    record.known = update;
    if (update.state === 'suspect') {
      record.suspectUntilMs = hasHigherIncarnation
        ? nowMs + SUSPICION_TIMEOUT_MS
        : (record.suspectUntilMs ?? nowMs + SUSPICION_TIMEOUT_MS);
    } else if (hasHigherIncarnation || update.state === 'dead') {
      clearSuspicion(record);
    }
    // The first update of a listed member adds nothing to the list. If 530 members started together
    // and forwarded these updates, their datagrams would be full for minutes.
    if (isViewChanged || previous.incarnation !== LISTED_INCARNATION) this.#putMemberGossip(update);
    // Instances that receive this update send requests to the next owners, which must have it by then.
    if (hasStartedLeaving) this.#sendUpdateDirectly(update.instanceId, nowMs);
    if (isViewChanged) this.#markChanged();
  }

  #addRecord(update: MemberUpdate): MemberRecord {
    const record = createRecord(update);
    this.#records.set(update.instanceId, record);
    this.#markChanged();
    return record;
  }

  #applyCrashReport(report: CrashReport, nowMs: number): void {
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

  #sendAck(subjectId: string, destination: DatagramAddress, sequence: number, nowMs: number): void {
    this.#send({ kind: 'probe-ack' }, subjectId, destination, sequence, nowMs);
  }

  // Sends a datagram with the known state or the reported death of the member `subjectId`, unless
  // it is `alive` and needs no refutation. If that member is the receiver, it can refute the state.
  #send(
    purpose: DatagramPurpose,
    subjectId: string,
    destination: DatagramAddress,
    sequence: number,
    nowMs: number,
  ): void {
    const priorityUpdates = [this.#self];
    const subject = this.#records.get(subjectId);
    const known = subject?.reportedDeath ?? subject?.known;
    if (known && (subject?.isRefutationNeeded === true || known.state !== 'alive')) {
      priorityUpdates.push(known);
    }
    const content = {
      ...{ self: this.#self, sequence, bundleNumber: this.#bundleNumber, priorityUpdates },
      memberCount: this.#records.size + 1,
    };
    const datagram = buildDatagram(purpose, content, this.#gossip, nowMs);
    this.#effects.push({ kind: 'send', ...destination, datagram });
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
