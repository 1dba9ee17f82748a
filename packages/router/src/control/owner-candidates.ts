import type { MembershipPort } from '../ports';

/**
 * Chooses the owner of a key among instances; returns undefined when there are none.
 * Deterministic: two instances with the same list choose the same owner.
 */
export type ChooseOwner = (key: string, instanceIds: readonly string[]) => string | undefined;

/**
 * Lists the instances that may own a key range: all alive members, and the local instance if it is
 * not a member or no member is alive.
 */
export function listOwnerCandidates(membership: MembershipPort, localInstanceId: string): string[] {
  const { members } = membership.getView();
  const alive = members
    .filter(({ state }) => state === 'alive')
    .map(({ instanceId }) => instanceId);
  const isLocalListed = members.some(({ instanceId }) => instanceId === localInstanceId);
  if (!isLocalListed || alive.length === 0) alive.push(localInstanceId);
  return alive;
}

/** Returns the key by which the owner of a range is chosen. */
export function toRangeKey(rangeIndex: number): string {
  return `claims/${rangeIndex}`;
}
