import type { ListedInstance, MemberUpdate } from '@pollendrum/protocol';
import type { Member, MembershipView } from '../ports';
import type { DatagramAddress } from './membership-types';

/**
 * Suspicion timeout of a member that a link reported as refusing or silent and that failed a probe.
 * The link has already waited, so the timeout only leaves time for a refutation.
 */
export const SHORT_SUSPICION_TIMEOUT_MS = 500;
/** Time without a datagram and without a list entry after which a failed probe removes a member. */
export const LIST_ABSENCE_TIMEOUT_MS = 30_000;
/** Incarnation of a member known only from the list; any update from the member is newer. */
export const LISTED_INCARNATION = 0;
/** Incarnation of a process at its start. */
export const INITIAL_INCARNATION = 1;

/** State of another instance, with its probes, suspicion and list entry. */
export interface MemberRecord {
  update: MemberUpdate;
  /** When a datagram from the member last arrived; -Infinity if never. */
  lastHeardMs: number;
  /** When the suspicion times out; undefined while the member is not suspected. */
  deadAtMs: number | undefined;
  /** Whether a probe by this instance failed; false for a suspicion received by gossip. */
  hasFailedProbe: boolean;
  isListed: boolean;
  /** Whether the member's last update is outdated: it must receive the known state to refute it. */
  isRefutationNeeded: boolean;
  /** When a link last reported the member refusing or silent; -Infinity if never or acked since. */
  unreachableAtMs: number;
  /** When the last immediate probe of the member started; -Infinity if never. */
  immediateProbeAtMs: number;
  /** Update that declares the member dead, until a local probe confirms or disproves it. */
  unconfirmedDeath: MemberUpdate | undefined;
  /** First successful read of the list without the member; undefined while it is listed. */
  absentSinceMs: number | undefined;
}

// Of two updates with the same incarnation, the one with the higher rank takes precedence.
const STATE_RANK = { alive: 0, suspect: 1, leaving: 2, dead: 3 } as const;

/** Whether an update takes precedence over the known state. */
export function isNewer(update: MemberUpdate, known: MemberUpdate): boolean {
  if (update.incarnation !== known.incarnation) return update.incarnation > known.incarnation;
  return STATE_RANK[update.state] > STATE_RANK[known.state];
}

export function hasSameAddress(update: MemberUpdate, other: MemberUpdate): boolean {
  return update.address === other.address && update.peerPort === other.peerPort;
}

export function createRecord(update: MemberUpdate): MemberRecord {
  return {
    update,
    lastHeardMs: -Infinity,
    deadAtMs: undefined,
    hasFailedProbe: false,
    isListed: false,
    isRefutationNeeded: false,
    unreachableAtMs: -Infinity,
    immediateProbeAtMs: -Infinity,
    unconfirmedDeath: undefined,
    absentSinceMs: undefined,
  };
}

export function clearSuspicion(record: MemberRecord): void {
  record.deadAtMs = undefined;
  record.hasFailedProbe = false;
  record.unreachableAtMs = -Infinity;
  record.unconfirmedDeath = undefined;
}

/** Whether two updates agree in incarnation, state and address. */
export function isEquivalent(update: MemberUpdate, other: MemberUpdate): boolean {
  const isSameState = update.incarnation === other.incarnation && update.state === other.state;
  return isSameState && hasSameAddress(update, other);
}

/** Selects up to `count` random members that are not dead. */
export function chooseRecords(
  records: Iterable<MemberRecord>,
  count: number,
  excludedIds: ReadonlySet<string>,
  random: () => number,
): MemberRecord[] {
  const candidates = [...records].filter(
    ({ update }) => update.state !== 'dead' && !excludedIds.has(update.instanceId),
  );
  const chosen: MemberRecord[] = [];
  while (chosen.length < count && candidates.length > 0) {
    const index = Math.floor(random() * candidates.length);
    chosen.push(...candidates.splice(index, 1));
  }
  return chosen;
}

/**
 * Builds an update that declares a member suspect or dead. Its incarnation is at least the initial
 * one: with the lower incarnation of a member known only from the list, every instance that has
 * received an update by the member would ignore it.
 */
export function buildFailureUpdate(update: MemberUpdate, state: 'suspect' | 'dead'): MemberUpdate {
  return { ...update, state, incarnation: Math.max(update.incarnation, INITIAL_INCARNATION) };
}

/** Limits the remaining suspicion of a member to the short timeout. */
export function advanceRemoval(record: MemberRecord, nowMs: number): void {
  const deadAtMs = nowMs + SHORT_SUSPICION_TIMEOUT_MS;
  record.deadAtMs = Math.min(record.deadAtMs ?? deadAtMs, deadAtMs);
}

/** Whether the member has been absent and silent for so long that a failed probe removes it. */
export function isAbsentTooLong(record: MemberRecord, nowMs: number): boolean {
  if (record.absentSinceMs === undefined) return false;
  return nowMs - Math.max(record.absentSinceMs, record.lastHeardMs) >= LIST_ABSENCE_TIMEOUT_MS;
}

export function toListedUpdate(instance: ListedInstance, peerPort: number): MemberUpdate {
  const { id, address, port, failureDomain, region } = instance;
  return {
    ...{ kind: 'member', instanceId: id, address, peerPort, adminPort: port },
    ...{ failureDomain, region, incarnation: LISTED_INCARNATION },
    state: instance.state === 'leaving' ? 'leaving' : 'alive',
  };
}

/** Returns the address and port of the member's UDP socket. */
export function toAddress({ address, peerPort }: MemberUpdate): DatagramAddress {
  return { address, port: peerPort };
}

export function buildView(
  self: MemberUpdate,
  records: Iterable<MemberRecord>,
  version: number,
): MembershipView {
  const members = [toMember(self)];
  for (const { update } of records) members.push(toMember(update));
  return { version, members: members.filter((member) => member !== undefined) };
}

function toMember(update: MemberUpdate): Member | undefined {
  const { instanceId, address, peerPort, adminPort, failureDomain, region, state } = update;
  if (state === 'dead') return undefined;
  return { instanceId, address, peerPort, httpPort: adminPort, failureDomain, region, state };
}
