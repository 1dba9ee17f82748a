import type { MembershipPort } from '../ports';

/**
 * Chooses the owner of a key among instances; undefined when there are none. Two instances with
 * the same list choose the same owner.
 */
export type ChooseOwner = (key: string, instanceIds: readonly string[]) => string | undefined;

/** Instances that may own a key range, the own one if no other is alive. */
export function listCandidates(membership: MembershipPort, ownInstanceId: string): string[] {
  const { members } = membership.getView();
  const alive = members
    .filter(({ state }) => state === 'alive')
    .map(({ instanceId }) => instanceId);
  const isOwnListed = members.some(({ instanceId }) => instanceId === ownInstanceId);
  if (!isOwnListed || alive.length === 0) alive.push(ownInstanceId);
  return alive;
}

/** Key that decides the owner of a range. */
export function toRangeKey(rangeIndex: number): string {
  return `claims/${rangeIndex}`;
}
