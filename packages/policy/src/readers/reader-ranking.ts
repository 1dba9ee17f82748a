import { computeScore, hashName } from '../rendezvous';

/** An instance that can read the store for others. */
export interface ReaderCandidate {
  instanceId: string;
  /** Undefined in announcements of older versions. */
  failureDomain: string | undefined;
}

/** Fewest readers of a fleet, so that one of them may be lost. */
const MIN_READERS = 2;
/** Instances that a reader serves, itself included. */
const INSTANCES_PER_READER = 40;
const RANKING_HASH = hashName('readers');

/** Computes how many instances of a fleet read the store. */
export function computeReaderCount(instanceCount: number): number {
  return Math.max(MIN_READERS, Math.ceil(instanceCount / INSTANCES_PER_READER));
}

/**
 * Ranks instances in the order in which they become readers, the same on all instances that know the same candidates. Failure
 * domains take turns, so that the loss of one leaves readers in the others.
 */
export function listByReaderRank(candidates: readonly ReaderCandidate[]): string[] {
  const byDomain = new Map<string, { instanceId: string; score: number }[]>();
  for (const { instanceId, failureDomain = '' } of candidates) {
    const scored = { instanceId, score: computeScore(RANKING_HASH, hashName(instanceId)) };
    const members = byDomain.get(failureDomain);
    if (members === undefined) byDomain.set(failureDomain, [scored]);
    else members.push(scored);
  }
  const domains = [...byDomain.values()];
  for (const members of domains) members.sort(compareScores);
  const turns = Math.max(0, ...domains.map((members) => members.length));
  return Array.from({ length: turns }, (_, turn) =>
    domains
      .flatMap((members) => members[turn] ?? [])
      .sort(compareScores)
      .map(({ instanceId }) => instanceId),
  ).flat();
}

/** Ties go to the lower id. */
function compareScores(
  one: { instanceId: string; score: number },
  other: { instanceId: string; score: number },
): number {
  if (one.score !== other.score) return other.score - one.score;
  return one.instanceId < other.instanceId ? -1 : 1;
}
