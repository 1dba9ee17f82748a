import { compareByHash, computeScore, hashName } from '../rendezvous';
import type { PromptPart } from './prefix-cache-tracker';
import type { PromptLengthPartition } from './prompt-length-partition';
import type { ServerLoad } from './server-load';
import type { PlacementScope } from './stream-placement';

/** Number of servers that are sampled for a request in its partition, and outside of it. */
export const SAMPLED_IN_PARTITION = 16;
export const SAMPLED_OUTSIDE_PARTITION = 4;

const UINT32_RANGE = 2 ** 32;

/** Utilization of a server by prefills, as last seen. */
type SeenUtilization = Pick<ServerLoad, 'shortShare' | 'longShare'>;

interface PooledServer<T> {
  server: T;
  /** Position in the order that all instances share. */
  rank: number;
  seen: SeenUtilization | undefined;
}

/**
 * Servers of a service that an instance chooses from. The work for a request is bounded, whatever the number of servers:
 * a random sample is considered, and the utilization of all servers is summed up from the samples of earlier requests.
 */
export class ServerPool<T extends { serverId: string }> {
  private byId = new Map<string, PooledServer<T>>();
  /** Servers for short and for long prompts; sampling changes the order. */
  private shortServers: PooledServer<T>[] = [];
  private longServers: PooledServer<T>[] = [];
  /** Servers in the order that all instances share. */
  private ordered: PooledServer<T>[] = [];
  private shortSum = 0;
  private longSum = 0;
  private seenCount = 0;
  private shortCount = -1;

  constructor(readonly partition: PromptLengthPartition) {}

  /** Replaces the servers. What was seen of those that stay is kept, so that the partition does not change. */
  setServers(servers: readonly T[]): void {
    const known = this.byId;
    const sorted = [...servers].sort((one, other) => compareByHash(one.serverId, other.serverId));
    this.ordered = sorted.map((server, rank) => {
      return { server, rank, seen: known.get(server.serverId)?.seen };
    });
    this.byId = new Map(this.ordered.map((pooled) => [pooled.server.serverId, pooled]));
    const seen = this.ordered.flatMap((pooled) => pooled.seen ?? []);
    this.seenCount = seen.length;
    this.shortSum = seen.reduce((sum, { shortShare }) => sum + shortShare, 0);
    this.longSum = seen.reduce((sum, { longShare }) => sum + longShare, 0);
    this.shortCount = -1;
    this.#updatePartition();
  }

  get(serverId: string): T | undefined {
    return this.byId.get(serverId)?.server;
  }

  /** Lists all servers, in the order that all instances share. */
  listServers(): T[] {
    return this.ordered.map(({ server }) => server);
  }

  /** Takes in the load of a server that was considered for a request. */
  observeLoad(serverId: string, { shortShare, longShare }: SeenUtilization): void {
    const pooled = this.byId.get(serverId);
    if (pooled === undefined) return;
    if (pooled.seen === undefined) this.seenCount += 1;
    this.shortSum += shortShare - (pooled.seen?.shortShare ?? 0);
    this.longSum += longShare - (pooled.seen?.longShare ?? 0);
    pooled.seen = { shortShare, longShare };
  }

  /** Makes the scope of a request with this kind of prompt, after the loads of its candidates were observed. */
  makeScope(isLong: boolean, parts: readonly PromptPart[]): PlacementScope {
    this.#updatePartition();
    const { byId, shortCount, seenCount } = this;
    const utilization = (this.shortSum + this.longSum) / Math.max(1, seenCount);
    return {
      isInPartition: (serverId) => (byId.get(serverId)?.rank ?? 0) >= shortCount === isLong,
      affinityId: this.findAffinityServer(isLong, parts)?.serverId,
      meanUtilization: Math.min(1, Math.max(0, utilization)),
    };
  }

  /**
   * Finds the server where the prompt's last shared part is prefilled first. All instances with the same partition find
   * the same server. The last part of a prompt is specific to the request, so the second to last part is the key.
   */
  findAffinityServer(isLong: boolean, parts: readonly PromptPart[]): T | undefined {
    const sharedPart = parts.at(-2);
    if (sharedPart === undefined) return undefined;
    // Both partitions are counted from the end that stays when their border moves.
    const { ordered, shortCount } = this;
    const shortSize = Math.min(shortCount, ordered.length);
    const bucket = chooseBucket(
      hashName(sharedPart.id),
      isLong ? ordered.length - shortSize : shortSize,
    );
    return ordered[isLong ? ordered.length - 1 - bucket : bucket]?.server;
  }

  /** Samples usable servers for a stream, most of them in the partition for this kind of prompt. */
  sampleForStream(
    isLong: boolean,
    isUsable: (server: T) => boolean,
    sampleRandom: () => number,
  ): T[] {
    const [own, other] = isLong
      ? [this.longServers, this.shortServers]
      : [this.shortServers, this.longServers];
    const sampled: T[] = [];
    sampleInto(sampled, own, SAMPLED_IN_PARTITION, isUsable, sampleRandom);
    const missing = SAMPLED_IN_PARTITION - sampled.length;
    const outside = SAMPLED_OUTSIDE_PARTITION + missing;
    sampleInto(sampled, other, outside, isUsable, sampleRandom);
    return sampled;
  }

  /** Samples usable servers for a request without a prompt. */
  sampleForPlainRequest(isUsable: (server: T) => boolean, sampleRandom: () => number): T[] {
    const sampled: T[] = [];
    const limit = SAMPLED_IN_PARTITION + SAMPLED_OUTSIDE_PARTITION;
    sampleInto(sampled, this.ordered, limit, isUsable, sampleRandom);
    return sampled;
  }

  #updatePartition(): void {
    const count = this.ordered.length;
    const scale = count / Math.max(1, this.seenCount);
    const totals = { shortLoad: this.shortSum * scale, longLoad: this.longSum * scale };
    const shortCount = this.partition.updateFromTotals(count, totals);
    if (shortCount === this.shortCount) return;
    this.shortCount = shortCount;
    this.shortServers = this.ordered.slice(0, shortCount);
    this.longServers = this.ordered.slice(shortCount);
  }
}

/**
 * Moves a random choice of usable servers to the front of `pool` and adds them to `sampled`; servers are only examined
 * until the limit is reached.
 */
function sampleInto<T>(
  sampled: T[],
  pool: PooledServer<T>[],
  limit: number,
  isUsable: (server: T) => boolean,
  sampleRandom: () => number,
): void {
  let added = 0;
  for (let index = 0; index < pool.length && added < limit; index += 1) {
    const other = index + Math.floor(sampleRandom() * (pool.length - index));
    const [current, chosen] = [pool[index], pool[other]];
    if (current === undefined || chosen === undefined) return;
    pool[index] = chosen;
    pool[other] = current;
    if (!isUsable(chosen.server)) continue;
    sampled.push(chosen.server);
    added += 1;
  }
}

/**
 * Chooses one of `count` buckets by a hash (jump consistent hashing by Lamping and Veach, with a 32-bit generator): when
 * the count changes by one, only the keys of the last bucket move. The work grows with the logarithm of the count.
 */
function chooseBucket(keyHash: number, count: number): number {
  let state = keyHash;
  let bucket = 0;
  for (let next = 0; next < count;) {
    bucket = next;
    state = computeScore(state, bucket);
    next = Math.floor((bucket + 1) * (UINT32_RANGE / (state + 1)));
  }
  return bucket;
}
