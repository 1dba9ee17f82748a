import type {
  Datagram,
  ListedInstance,
  MembershipUpdate,
  MemberUpdate,
} from '@pollendrum/protocol';
import type { CrashReport, LinkEvidence, MembershipView } from '../ports';
import type {
  DatagramSource,
  MembershipEffect,
  MembershipStateOptions,
  PendingProbe,
  RelayedProbe,
} from './membership-types';
import { CrashStore } from './crash-store';
import { buildDatagram, toMemberTopic, type DatagramPurpose } from './datagram-builder';
import { GossipQueue } from './gossip-queue';
import {
  advanceRemoval,
  buildView,
  buildClaim,
  chooseRecords,
  clearSuspicion,
  createRecord,
  FIRST_INCARNATION,
  isNewer,
  isOverdue,
  isSamePlace,
  isSameWord,
  LISTED_INCARNATION,
  toListedUpdate,
  toTarget,
  type MemberRecord,
} from './member-table';

/** Time between the start of a suspicion and the removal of the member. */
export const SUSPICION_MS = 1_500;
/** Default probe period. */
export const PROBE_INTERVAL_MS = 500;

// The rest of the probe period is left for the indirect probes.
const DIRECT_ACK_SHARE = 0.4;
const INDIRECT_PROBERS = 2;
// A probe out of turn asks the member and the helpers at the same time, so it needs no second phase.
const CHECK_SHARE = 0.5;
// Evidence counts while the probe that it started may still be running.
const EVIDENCE_INTERVALS = 2;
// Members that are told of a death at once; gossip alone takes seconds at 530 members.
const PUSH_TARGETS = 3;
// News need no answer; no probe carries this number.
const NO_PROBE_SEQUENCE = 0;
// Finds the other side again after a partition in which both sides removed each other.
const DEAD_CONTACT_INTERVALS = 10;
const TOMBSTONE_RETENTION_MS = 86_400_000;

/**
 * SWIM membership without input or output. Every method takes the time of a monotonic clock in
 * milliseconds and returns the effects to carry out.
 */
export class MembershipState {
  readonly #options: MembershipStateOptions;
  readonly #intervalMs: number;
  readonly #records = new Map<string, MemberRecord>();
  readonly #gossip = new GossipQueue();
  readonly #crashes = new CrashStore();
  readonly #pending = new Map<number, PendingProbe>();
  readonly #relayed = new Map<number, RelayedProbe>();
  readonly #checks = new Set<string>();
  #self: MemberUpdate;
  #sequence = 0;
  #intervals = 0;
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
      incarnation: FIRST_INCARNATION,
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

  /** When `handleTime` has to run next. */
  getNextWakeMs(): number {
    let nextMs = this.#nextProbeMs;
    for (const probe of this.#pending.values()) {
      nextMs = Math.min(nextMs, probe.indirectAtMs, probe.failsAtMs);
    }
    for (const { deadAtMs } of this.#records.values())
      nextMs = Math.min(nextMs, deadAtMs ?? nextMs);
    return nextMs;
  }

  /** Ends probes and suspicions that are due, and probes the next member. */
  handleTime(nowMs: number): MembershipEffect[] {
    if (nowMs - this.getNextWakeMs() > this.#intervalMs) this.#resetDeadlines(nowMs);
    for (const [sequence, probe] of this.#pending) {
      if (probe.failsAtMs <= nowMs) this.#failProbe(sequence, probe, nowMs);
      else if (probe.indirectAtMs <= nowMs) this.#sendIndirectProbes(sequence, probe, nowMs);
    }
    for (const record of this.#records.values()) {
      if (record.deadAtMs !== undefined && record.deadAtMs <= nowMs) {
        this.#endSuspicion(record, nowMs);
      }
    }
    if (this.#nextProbeMs <= nowMs) this.#startInterval(nowMs);
    return this.#takeEffects();
  }

  handleDatagram(datagram: Datagram, source: DatagramSource, nowMs: number): MembershipEffect[] {
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

  /** Takes in one reading of the platform's list; readings count as proof that the platform works. */
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
        // The replacement of a dead process may have another address under the same id.
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
      if (isOverdue(record, nowMs) && record.update.state !== 'dead') this.#checks.add(instanceId);
    }
    return this.#takeEffects();
  }

  /** Announces that this instance is stopping, to a few members at once and to the rest by gossip. */
  publishLeaving(nowMs: number): MembershipEffect[] {
    if (this.#self.state === 'leaving') return [];
    this.#setSelf({ ...this.#self, state: 'leaving', incarnation: this.#self.incarnation + 1 });
    const targets = this.#chooseMembers(INDIRECT_PROBERS + 1, new Set());
    for (const target of targets) this.#startProbe(target, nowMs);
    return this.#takeEffects();
  }

  publishCrash(report: CrashReport, nowMs: number): MembershipEffect[] {
    this.#applyCrash(report, nowMs);
    return this.#takeEffects();
  }

  /** Takes in what a link saw of a member, and probes the member at once. */
  reportUnreachable(instanceId: string, evidence: LinkEvidence, nowMs: number): MembershipEffect[] {
    const record = this.#records.get(instanceId);
    if (record === undefined || record.update.state === 'dead') return [];
    // A reset alone may be a proxy or a restart of the link; only the next attempt shows which.
    if (evidence !== 'reset') {
      record.strongEvidenceMs = nowMs;
      if (record.isSuspectedHere) advanceRemoval(record, nowMs);
    }
    if (!this.#isChecked(record, nowMs)) this.#startCheck(record, nowMs);
    return this.#takeEffects();
  }

  /** Sets the number sent with each datagram. Peers' lower or equal numbers are no news from now on. */
  setBundleNumber(bundleNumber: number): void {
    this.#bundleNumber = Math.max(this.#bundleNumber, bundleNumber);
    this.#highestBundleNumber = Math.max(this.#highestBundleNumber, bundleNumber);
  }

  #observeSender(datagram: Datagram, nowMs: number): void {
    const record = this.#records.get(datagram.from);
    if (record === undefined) return;
    record.lastHeardMs = nowMs;
    const own = datagram.updates.find(
      (update) => update.kind === 'member' && update.instanceId === datagram.from,
    );
    if (own?.kind !== 'member') return;
    record.isContradicted = isNewer(record.update, own) || !isSamePlace(record.update, own);
  }

  /** After a pause of this process the answers are still unread, so nobody is blamed for silence. */
  #resetDeadlines(nowMs: number): void {
    this.#pending.clear();
    for (const record of this.#records.values()) {
      if (record.deadAtMs !== undefined) record.deadAtMs = nowMs + SUSPICION_MS;
    }
  }

  #handleKind(datagram: Datagram, source: DatagramSource, nowMs: number): void {
    switch (datagram.kind) {
      case 'probe':
        this.#sendAck(datagram.from, source, datagram.sequence, nowMs);
        return;
      case 'probe-ack':
        this.#handleAck(datagram.sequence, datagram.from, nowMs);
        return;
      case 'indirect-probe': {
        const sequence = this.#takeSequence();
        this.#relayed.set(sequence, {
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
    const probe = this.#pending.get(sequence);
    if (probe?.allowedFrom.has(from) === true) {
      this.#pending.delete(sequence);
      const record = this.#records.get(probe.targetInstanceId);
      if (record === undefined) return;
      record.lastHeardMs = nowMs;
      record.strongEvidenceMs = -Infinity;
      record.deathClaim = undefined;
      // Nobody else was told of this suspicion, so there is nothing that the member would refute.
      if (record.update.state === 'leaving') clearSuspicion(record);
      return;
    }
    const relayed = this.#relayed.get(sequence);
    if (relayed?.targetInstanceId !== from) return;
    this.#relayed.delete(sequence);
    this.#sendAck(from, relayed.origin, relayed.origin.sequence, nowMs);
  }

  #startInterval(nowMs: number): void {
    // A paused process continues with one probe instead of making up for the missed ones.
    this.#nextProbeMs = Math.max(
      this.#nextProbeMs + this.#intervalMs,
      nowMs + this.#intervalMs / 2,
    );
    this.#intervals += 1;
    for (const [sequence, { expiresAtMs }] of this.#relayed) {
      if (expiresAtMs <= nowMs) this.#relayed.delete(sequence);
    }
    for (const record of this.#records.values()) {
      if (record.isSuspectedHere && record.update.state !== 'dead') this.#startProbe(record, nowMs);
    }
    const target = this.#takeCheck() ?? this.#chooseMembers(1, new Set())[0];
    if (target !== undefined) this.#startProbe(target, nowMs);
    if (this.#intervals % DEAD_CONTACT_INTERVALS === 0) this.#probeDead(nowMs);
  }

  #takeCheck(): MemberRecord | undefined {
    const [instanceId] = this.#checks;
    if (instanceId === undefined) return undefined;
    this.#checks.delete(instanceId);
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
    this.#pending.set(sequence, {
      targetInstanceId: instanceId,
      allowedFrom: new Set([instanceId]),
      indirectAtMs: nowMs + limitMs * DIRECT_ACK_SHARE,
      failsAtMs: nowMs + limitMs,
    });
    this.#send({ kind: 'probe' }, instanceId, toTarget(record.update), sequence, nowMs);
    return sequence;
  }

  /** Probes a member out of turn, directly and through others at the same time. */
  #startCheck(record: MemberRecord, nowMs: number): void {
    record.checkedAtMs = nowMs;
    const sequence = this.#startProbe(record, nowMs, this.#intervalMs * CHECK_SHARE);
    const probe = this.#pending.get(sequence);
    if (probe !== undefined) this.#sendIndirectProbes(sequence, probe, nowMs);
  }

  #isChecked(record: MemberRecord, nowMs: number): boolean {
    return nowMs - record.checkedAtMs < this.#intervalMs * CHECK_SHARE;
  }

  /**
   * One observer may be wrong, so another member's word on a death only starts a probe from here, and
   * the claim holds when it fails.
   */
  #checkDeath(record: MemberRecord, claim: MemberUpdate, nowMs: number): void {
    record.checkedAtMs = nowMs;
    record.deathClaim = claim;
    this.#startProbe(record, nowMs, this.#intervalMs * CHECK_SHARE);
  }

  /**
   * At 530 members a refutation can take longer than the suspicion. Members that only heard of the
   * suspicion therefore ask the member itself before they remove it.
   */
  #endSuspicion(record: MemberRecord, nowMs: number): void {
    if (record.isSuspectedHere) {
      this.#markDead(record, nowMs);
      return;
    }
    record.deadAtMs = nowMs + SUSPICION_MS;
    this.#checkDeath(record, buildClaim(record.update, 'dead'), nowMs);
  }

  /** Tells a few members at once what is held against another one. */
  #sendNews(aboutInstanceId: string, nowMs: number): void {
    const targets = this.#chooseMembers(PUSH_TARGETS, new Set([aboutInstanceId]));
    for (const { update } of targets) {
      this.#sendAck(aboutInstanceId, toTarget(update), NO_PROBE_SEQUENCE, nowMs);
    }
  }

  #sendIndirectProbes(sequence: number, probe: PendingProbe, nowMs: number): void {
    probe.indirectAtMs = Infinity;
    const target = this.#records.get(probe.targetInstanceId)?.update;
    if (target === undefined || target.state === 'dead') return;
    const helpers = this.#chooseMembers(INDIRECT_PROBERS, new Set([probe.targetInstanceId]));
    for (const { update } of helpers) {
      probe.allowedFrom.add(update.instanceId);
      this.#send(
        { kind: 'indirect-probe', target },
        update.instanceId,
        toTarget(update),
        sequence,
        nowMs,
      );
    }
  }

  #failProbe(sequence: number, probe: PendingProbe, nowMs: number): void {
    this.#pending.delete(sequence);
    const record = this.#records.get(probe.targetInstanceId);
    if (record === undefined || record.update.state === 'dead') return;
    if (record.absentSinceMs !== undefined && isOverdue(record, nowMs)) {
      this.#markDead(record, nowMs);
      return;
    }
    if (record.deathClaim !== undefined && isNewer(record.deathClaim, record.update)) {
      this.#setRecord(record, record.deathClaim, nowMs);
      return;
    }
    if (record.isSuspectedHere) return;
    record.isSuspectedHere = true;
    record.deadAtMs ??= nowMs + SUSPICION_MS;
    const evidenceAgeMs = nowMs - record.strongEvidenceMs;
    const isStrong = evidenceAgeMs <= this.#intervalMs * EVIDENCE_INTERVALS;
    // A leaving member stays leaving, otherwise it would own shards again while it is suspected.
    if (record.update.state === 'alive') {
      this.#setRecord(record, buildClaim(record.update, 'suspect'), nowMs);
    }
    this.#startProbe(record, nowMs);
    if (!isStrong) return;
    advanceRemoval(record, nowMs);
    this.#sendNews(record.update.instanceId, nowMs);
  }

  #markDead(record: MemberRecord, nowMs: number): void {
    this.#setRecord(record, buildClaim(record.update, 'dead'), nowMs);
    this.#sendNews(record.update.instanceId, nowMs);
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
    if (update.state !== 'dead' || record.isSuspectedHere) {
      this.#setRecord(record, update, nowMs);
      return;
    }
    if (this.#isChecked(record, nowMs)) return;
    this.#checkDeath(record, update, nowMs);
    // The others check it, too, and at the same time.
    this.#putMemberGossip(update);
    this.#sendNews(update.instanceId, nowMs);
  }

  /** Anything said of this instance that it did not say itself is answered with a higher incarnation. */
  #updateIncarnation(update: MemberUpdate): void {
    if (update.incarnation < this.#self.incarnation || isSameWord(update, this.#self)) return;
    this.#setSelf({ ...this.#self, incarnation: update.incarnation + 1 });
  }

  #setSelf(update: MemberUpdate): void {
    const isChanged = update.state !== this.#self.state;
    this.#self = update;
    this.#putMemberGossip(update);
    if (isChanged) this.#markChanged();
  }

  #setRecord(record: MemberRecord, update: MemberUpdate, nowMs: number): void {
    const isVisible =
      JSON.stringify({ ...record.update, incarnation: 0 }) !==
      JSON.stringify({ ...update, incarnation: 0 });
    const isRefuted = update.incarnation > record.update.incarnation;
    const previous = record.update;
    const isLeavingNews = update.state === 'leaving' && previous.state === 'alive';
    record.update = update;
    if (update.state === 'suspect') {
      record.deadAtMs = isRefuted
        ? nowMs + SUSPICION_MS
        : (record.deadAtMs ?? nowMs + SUSPICION_MS);
    } else if (isRefuted || update.state === 'dead') {
      clearSuspicion(record);
    }
    // The first word of a listed member tells the others nothing that the list does not; 530 members
    // that start together would fill each other's datagrams with it for minutes.
    if (isVisible || previous.incarnation !== LISTED_INCARNATION) this.#putMemberGossip(update);
    // Entries move to the next owner at this news, which has to know that it is the owner by then.
    if (isLeavingNews) this.#sendNews(update.instanceId, nowMs);
    if (isVisible) this.#markChanged();
  }

  #addRecord(update: MemberUpdate): MemberRecord {
    const record = createRecord(update);
    this.#records.set(update.instanceId, record);
    this.#markChanged();
    return record;
  }

  #applyCrash(report: CrashReport, nowMs: number): void {
    const topic = this.#crashes.add(report, nowMs);
    if (topic === undefined) return;
    this.#effects.push({ kind: 'crash-reported', report });
    this.#gossip.put(topic, (atMs) => {
      const stored = this.#crashes.get(topic, atMs);
      if (stored?.kind !== 'cleared') return stored;
      return { ...stored, kind: 'crash-cleared' };
    });
  }

  #putMemberGossip(update: MemberUpdate): void {
    this.#gossip.put(toMemberTopic(update.instanceId), () => update);
  }

  #chooseMembers(count: number, excludedIds: ReadonlySet<string>): MemberRecord[] {
    return chooseRecords(this.#records.values(), count, excludedIds, this.#options.random);
  }

  #sendAck(aboutInstanceId: string, target: DatagramSource, sequence: number, nowMs: number): void {
    this.#send({ kind: 'probe-ack' }, aboutInstanceId, target, sequence, nowMs);
  }

  /** `aboutInstanceId` is told what is held against it, so that it can refute it. */
  #send(
    purpose: DatagramPurpose,
    aboutInstanceId: string,
    target: DatagramSource,
    sequence: number,
    nowMs: number,
  ): void {
    const directUpdates = [this.#self];
    const about = this.#records.get(aboutInstanceId);
    const held = about?.deathClaim ?? about?.update;
    if (held && (about?.isContradicted === true || held.state !== 'alive')) {
      directUpdates.push(held);
    }
    const content = {
      ...{ self: this.#self, sequence, bundleNumber: this.#bundleNumber, directUpdates },
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
