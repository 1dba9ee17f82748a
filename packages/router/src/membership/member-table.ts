import type { MemberUpdate } from '@pollendrum/protocol';
import type { Member, MembershipView } from '../ports';

/** What is known about another instance. */
export interface MemberRecord {
  update: MemberUpdate;
  /** When a datagram of the member last arrived, -Infinity if never. */
  lastHeardMs: number;
  /** When an unanswered probe makes the member dead; undefined while it is not suspected. */
  deadAtMs: number | undefined;
  /** Whether this instance saw the probe fail itself, rather than hear of it. */
  isSuspectedHere: boolean;
  isListed: boolean;
  /** Whether the member's last word on itself differs from what is known, so that it has to be told. */
  isContradicted: boolean;
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
export function isSamePlace(update: MemberUpdate, other: MemberUpdate): boolean {
  return update.address === other.address && update.peerPort === other.peerPort;
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
