import type { RequestTrait } from './request-trait';

/** A trait that requests had with which servers ended. */
export interface Suspect {
  trait: RequestTrait;
  /** Whether a server is known to have begun to answer a request with the trait, before these crashes. */
  wasAnswered: boolean;
  /** Time by crash, in milliseconds. */
  crashes: ReadonlyMap<string, number>;
  /** Whether a server without a request with the trait ended less than `MIN_CRASH_INTERVAL_MS` from a time. */
  hasUnrelatedCrash(atMs: number): boolean;
}

/** Crashes after which requests with a trait are held back. */
export const QUARANTINE_CRASHES = 3;
/** Crashes after which a trait that no server has answered is held back, also if other suspects explain them. */
const MAX_UNANSWERED_CRASHES = 5;
/** Separate times of these crashes; servers that end together are no evidence. */
const MIN_UNANSWERED_TIMES = 2;
/**
 * Crashes of a part that are closer together than this count once, in milliseconds. Servers that end together, as in the loss
 * of a failure domain, would otherwise put the blame on whatever all of them were running. A request that comes again is at
 * few servers, so that each of its crashes counts, unless another server ends within this time without having the request.
 */
export const MIN_CRASH_INTERVAL_MS = 100;

/**
 * Selects the traits that crash servers. The parts that a bad one is sent with have crashes too, so that a trait is blamed only
 * for crashes that no better suspect explains: one that no server has answered, and of these the one with the most crashes.
 * Requests with different bad parts share crashes as well, so that after `MAX_UNANSWERED_CRASHES` this no longer counts.
 */
export function selectCulprits(suspects: readonly Suspect[]): Set<RequestTrait> {
  const culprits = new Set<RequestTrait>();
  const explained = new Set<string>();
  for (const peers of splitByRank([...suspects].sort(compareSuspects))) {
    const blamed = peers.filter((suspect) => {
      if (isUnansweredTooLong(suspect)) return true;
      const unexplained = [...suspect.crashes].filter(([crashId]) => !explained.has(crashId));
      const timesMs = unexplained.map(([, atMs]) => atMs);
      return countCrashes({ ...suspect, timesMs }) >= QUARANTINE_CRASHES;
    });
    for (const { trait, crashes } of blamed) {
      culprits.add(trait);
      for (const crashId of crashes.keys()) explained.add(crashId);
    }
  }
  return culprits;
}

/**
 * Whether a suspect that a request does not have explains all crashes of one that it has, so that the result of the request
 * tells which of the two crashes servers.
 */
export function hasAbsentSuspect(
  { crashes }: Suspect,
  requestTraits: readonly RequestTrait[],
  suspects: readonly Suspect[],
): boolean {
  return suspects.some(
    (other) =>
      !other.wasAnswered &&
      !requestTraits.includes(other.trait) &&
      [...crashes.keys()].every((crashId) => other.crashes.has(crashId)),
  );
}

/** Crashes of a trait, or some of them, and those of other servers. */
export interface CountedCrashes extends Pick<Suspect, 'trait' | 'hasUnrelatedCrash'> {
  timesMs: readonly number[];
}

/** Counts the crashes that can be put down to a trait rather than to what ended several servers together. */
export function countCrashes({ trait, timesMs, hasUnrelatedCrash }: CountedCrashes): number {
  if (trait.startsWith('part ')) return countSeparateCrashes(timesMs);
  const simultaneous = timesMs.filter((atMs) => hasUnrelatedCrash(atMs));
  return timesMs.length - simultaneous.length + countSeparateCrashes(simultaneous);
}

/** Counts the crashes that are at least `MIN_CRASH_INTERVAL_MS` apart. */
function countSeparateCrashes(timesMs: readonly number[]): number {
  let count = 0;
  let countedAtMs = -Infinity;
  for (const atMs of [...timesMs].sort((a, b) => a - b)) {
    if (atMs - countedAtMs < MIN_CRASH_INTERVAL_MS) continue;
    count += 1;
    countedAtMs = atMs;
  }
  return count;
}

/** Whether a trait has had so many crashes without an answer that it is blamed although others explain them. */
function isUnansweredTooLong({ crashes, wasAnswered }: Suspect): boolean {
  if (wasAnswered || crashes.size < MAX_UNANSWERED_CRASHES) return false;
  return countSeparateCrashes([...crashes.values()]) >= MIN_UNANSWERED_TIMES;
}

/** Orders suspects from the best to the worst; 0 when neither is better. */
function compareSuspects(a: Suspect, b: Suspect): number {
  return Number(a.wasAnswered) - Number(b.wasAnswered) || b.crashes.size - a.crashes.size;
}

/** Divides sorted suspects into groups of equal ones. */
function splitByRank(sorted: readonly Suspect[]): Suspect[][] {
  const groups: Suspect[][] = [];
  for (const suspect of sorted) {
    const group = groups.at(-1);
    const [first] = group ?? [];
    if (first !== undefined && compareSuspects(first, suspect) === 0) group?.push(suspect);
    else groups.push([suspect]);
  }
  return groups;
}
