import { hashName } from '../rendezvous';

/** Largest number of instances that report their loads to each other; more would need older or more costly reports. */
const MAX_GROUP_SIZE = 48;
/** Groups are merged only when they would be this much smaller than the maximum, so that one restart changes nothing. */
const MERGE_SHARE = 0.8;
/** Services with fewer servers for each group are used by all groups, since few servers balance load badly. */
const MIN_SERVERS_PER_GROUP = 8;

/**
 * Divides the instances into groups that report their loads to each other, and the servers of large services between
 * the groups. Instances derive the same groups from the same lists, and a list that changes by one entry moves at most
 * one entry across each border. After the fleet has shrunk to between the sizes of merging and dividing, an instance that
 * starts may count one group less than the others; it then knows the loads of its servers only in part.
 */
export class InstanceGroups {
  private groupCount = 1;
  private ownIndex = 0;
  private instanceCount = 1;
  private ownSize = 1;
  private changeCount = 0;

  constructor(private readonly ownId: string) {}

  /** Takes in the announced instances. */
  update(instanceIds: readonly string[]): void {
    this.changeCount += 1;
    const ids = sortByHash(instanceIds, (id) => id);
    this.instanceCount = Math.max(1, ids.length);
    this.groupCount = computeGroupCount(this.instanceCount, this.groupCount);
    const ownRank = ids.indexOf(this.ownId);
    this.ownIndex = computeGroupIndex(Math.max(0, ownRank), this.instanceCount, this.groupCount);
    this.ownSize = Math.max(1, this.#selectOwnShare(ids).length);
  }

  /** Increases with each update, so that what is derived from the groups can be kept until then. */
  countChanges(): number {
    return this.changeCount;
  }

  /** Selects the members of this instance's group. */
  selectMembers<T extends { instanceId: string }>(instances: readonly T[]): T[] {
    return this.#selectOwnShare(sortByHash(instances, ({ instanceId }) => instanceId));
  }

  /** Counts the members of this instance's group, this one included. */
  countMembers(): number {
    return this.ownSize;
  }

  /** Selects the servers of a service that this instance's group uses. */
  selectServers<T extends { serverId: string }>(servers: readonly T[]): readonly T[] {
    if (!this.isDivided(servers.length)) return servers;
    return this.#selectOwnShare(sortByHash(servers, ({ serverId }) => serverId));
  }

  /** Whether a service with this number of servers is divided between the groups. */
  isDivided(serverCount: number): boolean {
    return this.groupCount > 1 && serverCount >= this.groupCount * MIN_SERVERS_PER_GROUP;
  }

  /**
   * Factor from the load that members of the group report to the load of all other instances, for the servers that all
   * groups use.
   */
  getPeerFactor(): number {
    if (this.ownSize < 2) return 1;
    return (this.instanceCount - 1) / (this.ownSize - 1);
  }

  #selectOwnShare<T>(sorted: readonly T[]): T[] {
    if (this.groupCount === 1) return [...sorted];
    return sorted.filter(
      (_, rank) => computeGroupIndex(rank, sorted.length, this.groupCount) === this.ownIndex,
    );
  }
}

function computeGroupCount(instanceCount: number, currentCount: number): number {
  const needed = Math.ceil(instanceCount / MAX_GROUP_SIZE);
  if (needed >= currentCount) return needed;
  return Math.min(currentCount, Math.ceil(instanceCount / (MAX_GROUP_SIZE * MERGE_SHARE)));
}

function computeGroupIndex(rank: number, length: number, groupCount: number): number {
  return Math.floor((rank * groupCount) / length);
}

/** Sorts by the hash of the id, so that failure domains and start times are spread over the groups. */
function sortByHash<T>(items: readonly T[], getId: (item: T) => string): T[] {
  return [...items].sort((one, other) => {
    const [oneId, otherId] = [getId(one), getId(other)];
    return hashName(oneId) - hashName(otherId) || (oneId < otherId ? -1 : 1);
  });
}
