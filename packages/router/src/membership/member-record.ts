import type { ListedInstance, MemberUpdate } from '@pollendrum/protocol';
import type { Member, MembershipView } from '../ports';
import type { DatagramAddress } from './membership-types';

/**
 * Suspicion timeout of a member that a link reported as refusing or silent and that failed a probe.
 * The link has already waited, so the timeout only leaves time for a refutation.
 */
export const SHORT_SUSPICION_TIMEOUT_MS = 500;
/** Time without a datagram and without a list entry after which a failed probe removes a member. */
export const UNLISTED_TIMEOUT_MS = 30_000;
/** Incarnation of a member known only from the list; any update from the member takes precedence. */
export const LISTED_INCARNATION = 0;
/** Incarnation of a process at its start. */
export const INITIAL_INCARNATION = 1;

/** State of another instance, with its probes, suspicion and list entry. */
export interface MemberRecord {
  /** Known state of the member: the update that takes precedence over all others so far. */
  known: MemberUpdate;
  /**
   * When a datagram from the member, or an ack that a relay forwarded for it, last arrived; -Infinity
   * if never.
   */
  lastHeardMs: number;
  /**
   * When the suspicion ends: the member is then removed or, if the suspicion was received by gossip,
   * probed. Undefined while the member is not suspected.
   */
  suspectUntilMs: number | undefined;
  /** Whether a probe by this instance failed; false for a suspicion received by gossip. */
  hasFailedProbe: boolean;
  isListed: boolean;
  /**
   * Whether the member's last update about itself is older than the known state or has another
   * address. Datagrams to the member then contain the known state, so that the member can refute it.
   */
  isRefutationNeeded: boolean;
  /** When a link last reported the member refusing or silent; -Infinity if never or acked since. */
  unreachableAtMs: number;
  /** When the last probe that a link report or a reported death caused started; -Infinity if never. */
  immediateProbeAtMs: number;
  /** Update that declares the member dead, until a local probe confirms or disproves it. */
  reportedDeath: MemberUpdate | undefined;
  /** First successful read of the list without the member; undefined while it is listed. */
  unlistedSinceMs: number | undefined;
}

// Of two updates with the same incarnation, the one with the higher rank takes precedence.
const STATE_RANK = { alive: 0, suspect: 1, leaving: 2, dead: 3 } as const;

/** Whether an update takes precedence over the known state. */
export function hasPrecedence(update: MemberUpdate, known: MemberUpdate): boolean {
  if (update.incarnation !== known.incarnation) return update.incarnation > known.incarnation;
  return STATE_RANK[update.state] > STATE_RANK[known.state];
}

export function hasSameAddress(update: MemberUpdate, other: MemberUpdate): boolean {
  return update.address === other.address && update.peerPort === other.peerPort;
}

export function createRecord(update: MemberUpdate): MemberRecord {
  return {
    known: update,
    lastHeardMs: -Infinity,
    suspectUntilMs: undefined,
    hasFailedProbe: false,
    isListed: false,
    isRefutationNeeded: false,
    unreachableAtMs: -Infinity,
    immediateProbeAtMs: -Infinity,
    reportedDeath: undefined,
    unlistedSinceMs: undefined,
  };
}

export function clearSuspicion(record: MemberRecord): void {
  record.suspectUntilMs = undefined;
  record.hasFailedProbe = false;
  record.unreachableAtMs = -Infinity;
  record.reportedDeath = undefined;
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
    ({ known }) => known.state !== 'dead' && !excludedIds.has(known.instanceId),
  );
  const chosen: MemberRecord[] = [];
  while (chosen.length < count && candidates.length > 0) {
    const index = Math.floor(random() * candidates.length);
    chosen.push(...candidates.splice(index, 1));
  }
  return chosen;
}

/**
 * Builds an update that declares a member suspect or dead. Its incarnation is at least
 * INITIAL_INCARNATION: instances that have received an update from the member would ignore an update
 * with LISTED_INCARNATION.
 */
export function buildFailureUpdate(update: MemberUpdate, state: 'suspect' | 'dead'): MemberUpdate {
  return { ...update, state, incarnation: Math.max(update.incarnation, INITIAL_INCARNATION) };
}

/** Limits the remaining suspicion of a member to the short timeout. */
export function setShortSuspicion(record: MemberRecord, nowMs: number): void {
  const untilMs = nowMs + SHORT_SUSPICION_TIMEOUT_MS;
  record.suspectUntilMs = Math.min(record.suspectUntilMs ?? untilMs, untilMs);
}

/** Whether the member has been unlisted and silent for so long that a failed probe removes it. */
export function isUnlistedTooLong(record: MemberRecord, nowMs: number): boolean {
  if (record.unlistedSinceMs === undefined) return false;
  return nowMs - Math.max(record.unlistedSinceMs, record.lastHeardMs) >= UNLISTED_TIMEOUT_MS;
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
  for (const { known } of records) members.push(toMember(known));
  return { version, members: members.filter((member) => member !== undefined) };
}

function toMember(update: MemberUpdate): Member | undefined {
  const { instanceId, address, peerPort, adminPort, failureDomain, region, state } = update;
  if (state === 'dead') return undefined;
  return { instanceId, address, peerPort, httpPort: adminPort, failureDomain, region, state };
}
