import type { ListedInstance, MemberUpdate } from '@pollendrum/protocol';
import type { Member, MembershipView } from '../ports';
import type { DatagramAddress } from './membership-types';

/**
 * Suspicion of a member that a link found refusing or silent and that no probe reached: the link has
 * waited already, so only the time for a refutation is left.
 */
export const SHORT_SUSPICION_TIMEOUT_MS = 500;
/** How long a member is absent from a working list, and silent, before it is removed. */
export const LIST_ABSENCE_TIMEOUT_MS = 30_000;
/** Incarnation of a member known from the list only; whatever it says of itself is newer. */
export const LISTED_INCARNATION = 0;
/** Incarnation with which a process starts. */
export const INITIAL_INCARNATION = 1;

/** What is known about another instance. */
export interface MemberRecord {
  update: MemberUpdate;
  /** When a datagram of the member last arrived, -Infinity if never. */
  lastHeardMs: number;
  /** When an unanswered probe makes the member dead; undefined while it is not suspected. */
  deadAtMs: number | undefined;
  /** Whether this instance saw the probe fail itself, rather than hear of it. */
  hasFailedProbe: boolean;
  isListed: boolean;
  /** Whether the member's last word on itself differs from what is known, so that it has to be told. */
  isRefutationNeeded: boolean;
  /** When a link last found the member refusing or silent, -Infinity if never or answered since. */
  unreachableAtMs: number;
  /** When the member was last probed out of turn, -Infinity if never. */
  immediateProbeAtMs: number;
  /** Another member's word that this one is dead, until a probe from here confirms or denies it. */
  unconfirmedDeath: MemberUpdate | undefined;
  /** First reading of a working list without the member; undefined while it is listed. */
  absentSinceMs: number | undefined;
}

// Of two updates with the same incarnation, the one with the higher rank holds.
const STATE_RANK = { alive: 0, suspect: 1, leaving: 2, dead: 3 } as const;

/** Whether an update replaces what is known. */
export function isNewer(update: MemberUpdate, known: MemberUpdate): boolean {
  if (update.incarnation !== known.incarnation) return update.incarnation > known.incarnation;
  return STATE_RANK[update.state] > STATE_RANK[known.state];
}

/** Whether an update describes the process at the same place. */
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

/** Whether two updates say the same of a member. */
export function isEquivalent(update: MemberUpdate, other: MemberUpdate): boolean {
  const isSameState = update.incarnation === other.incarnation && update.state === other.state;
  return isSameState && hasSameAddress(update, other);
}

/** Picks members that are not dead at random, at most as many as there are. */
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
 * What this instance says against a member. A member known from the list only has announced at least
 * the first incarnation; a claim below it would be overruled by each member that has heard from it.
 */
export function buildFailureUpdate(update: MemberUpdate, state: 'suspect' | 'dead'): MemberUpdate {
  return { ...update, state, incarnation: Math.max(update.incarnation, INITIAL_INCARNATION) };
}

/** Lets a suspected member be removed after the short suspicion. */
export function advanceRemoval(record: MemberRecord, nowMs: number): void {
  const deadAtMs = nowMs + SHORT_SUSPICION_TIMEOUT_MS;
  record.deadAtMs = Math.min(record.deadAtMs ?? deadAtMs, deadAtMs);
}

/** Whether the member is absent from the list and silent for so long that a failed probe removes it. */
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

/** Address and port of the member's socket. */
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
