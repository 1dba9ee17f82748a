import {
  countCrashes,
  hasAbsentSuspect,
  MIN_CRASH_INTERVAL_MS,
  QUARANTINE_CRASHES,
  selectCulprits,
} from './culprit-selection';
import type { Suspect } from './culprit-selection';
import type { RequestTrait } from './request-trait';

/** What an instance has seen of a trait and the others must know. Times are on this instance's monotonic clock. */
export type TraitFact =
  /** A server ended before it began to answer a request with the trait. `crashId` is the same for all observers. */
  | { kind: 'crash'; trait: RequestTrait; crashId: string; atMs: number }
  /** A server has begun to answer a request with the trait, which therefore does not crash servers. */
  | { kind: 'sound'; trait: RequestTrait; atMs: number };

export type CrashFact = Extract<TraitFact, { kind: 'crash' }>;

/** Crashes of a trait since a server last began to answer a request with it. */
export interface TraitCrashes {
  /** Crashes that can be put down to the trait rather than to what ended several servers together. */
  count: number;
  /** Time of each crash, in ascending order. */
  timesMs: readonly number[];
}

/** Time for which crashes count, from the last one of the trait, in milliseconds. */
const RETENTION_MS = 600_000;
/** Time for which a trait is held back, from its last crash, in milliseconds. */
export const QUARANTINE_RETENTION_MS = 3_600_000;
/** An answer that began this long before a crash still shows that its traits are sound, in milliseconds. */
const SOUND_BEFORE_CRASH_MS = 1_000;
/** Facts travel with their age, so that their times differ between instances by the time in transit, in milliseconds. */
const TIME_TOLERANCE_MS = 50;
/** A trait without crashes that was cleared less than this before is not news, in milliseconds. */
const SOUND_NEWS_INTERVAL_MS = 5_000;
const MAX_TRAITS = 4_096;
const MAX_ANSWERED_TRAITS = 16_384;
const MAX_CRASHES = 4_096;

interface TraitEvidence {
  crashes: Map<string, number>;
  soundAtMs: number;
}

/**
 * Collects which traits the requests had that servers were beginning to answer when they ended. A crash leaves several traits
 * under suspicion; each trait with which a server begins an answer is cleared of the crashes before it.
 */
export class CrashEvidence {
  private readonly traits = new Map<RequestTrait, TraitEvidence>();
  /** Time of the last answer that this instance has seen begin, in the order of these times. */
  private readonly answeredAtMs = new Map<RequestTrait, number>();
  /** Time of each known crash of any trait, in the order in which they were learnt. */
  private readonly crashedAtMs = new Map<string, number>();
  /** Undefined until it is selected anew. */
  private quarantined: ReadonlySet<RequestTrait> | undefined;

  /** Takes in that an answer has begun; returns the facts that are news. */
  recordAnswer(traits: readonly RequestTrait[], nowMs: number): TraitFact[] {
    return traits.flatMap((trait) => {
      this.answeredAtMs.delete(trait);
      this.answeredAtMs.set(trait, nowMs);
      discardOldest(this.answeredAtMs, MAX_ANSWERED_TRAITS);
      if (this.listCrashes(trait).count === 0) return [];
      return this.add({ kind: 'sound', trait, atMs: nowMs });
    });
  }

  /** Takes in a fact; returns the facts that are news, which can include that the trait is known to be sound. */
  add(fact: TraitFact, nowMs = fact.atMs): TraitFact[] {
    this.#expire(nowMs);
    if (fact.kind === 'crash') this.#recordCrash(fact);
    const { trait, atMs } = fact;
    const known = this.traits.get(trait) ?? {
      crashes: new Map<string, number>(),
      soundAtMs: -Infinity,
    };
    if (atMs <= known.soundAtMs + TIME_TOLERANCE_MS) return [];
    switch (fact.kind) {
      case 'crash': {
        if (known.crashes.has(fact.crashId)) return [];
        this.#put(trait, known);
        known.crashes.set(fact.crashId, atMs);
        this.#resetSelection(known);
        const answeredAtMs = this.answeredAtMs.get(trait);
        if (answeredAtMs === undefined) return [fact];
        const isRecent = answeredAtMs >= atMs - SOUND_BEFORE_CRASH_MS;
        const soundAtMs = isRecent ? Math.max(answeredAtMs, atMs) : answeredAtMs;
        return [fact, ...this.add({ kind: 'sound', trait, atMs: soundAtMs }, nowMs)];
      }
      case 'sound': {
        this.#resetSelection(known);
        const crashCount = known.crashes.size;
        for (const [crashId, crashAtMs] of known.crashes) {
          if (crashAtMs <= atMs + TIME_TOLERANCE_MS) known.crashes.delete(crashId);
        }
        // Several instances can clear a trait at about the same time; one of these facts is enough for the others.
        const isNews =
          known.crashes.size < crashCount || known.soundAtMs < atMs - SOUND_NEWS_INTERVAL_MS;
        this.#put(trait, known);
        known.soundAtMs = atMs;
        return isNews ? [fact] : [];
      }
    }
  }

  /** Lists the crashes of a trait that no later answer has cleared. */
  listCrashes(trait: RequestTrait): TraitCrashes {
    const crashes = this.traits.get(trait)?.crashes;
    if (crashes === undefined || crashes.size === 0) return { count: 0, timesMs: [] };
    const timesMs = [...crashes.values()].sort((a, b) => a - b);
    const hasUnrelatedCrash = (atMs: number) => this.#hasUnrelatedCrash(crashes, atMs);
    return { count: countCrashes({ trait, timesMs, hasUnrelatedCrash }), timesMs };
  }

  /** Lists the same crashes as facts, in the order of their times. */
  listCrashFacts(trait: RequestTrait): CrashFact[] {
    const crashes = [...(this.traits.get(trait)?.crashes ?? [])];
    return crashes
      .sort(([, a], [, b]) => a - b)
      .map(([crashId, atMs]) => ({ kind: 'crash', trait, crashId, atMs }));
  }

  /** Whether a server is known to have begun to answer a request with the trait. */
  hasBeenAnswered(trait: RequestTrait): boolean {
    return (this.traits.get(trait)?.soundAtMs ?? -Infinity) > -Infinity;
  }

  isQuarantined(trait: RequestTrait): boolean {
    return this.getQuarantined().has(trait);
  }

  /** The traits that are held back; another set after each change. */
  getQuarantined(): ReadonlySet<RequestTrait> {
    this.quarantined ??= selectCulprits(this.#listSuspects());
    return this.quarantined;
  }

  /** Whether a request with a suspect trait lacks another one that may be the one to blame. */
  hasAbsentSuspect(trait: RequestTrait, requestTraits: readonly RequestTrait[]): boolean {
    const suspects = this.#listSuspects();
    const suspect = suspects.find((candidate) => candidate.trait === trait);
    return suspect !== undefined && hasAbsentSuspect(suspect, requestTraits, suspects);
  }

  /** Whether requests that are sent again are under suspicion, so that their trait is worth computing. */
  hasSuspectRepetitions(): boolean {
    for (const [trait, { crashes }] of this.traits) {
      if (crashes.size > 0 && trait.startsWith('request ')) return true;
    }
    return false;
  }

  /** Lists all facts for an instance that may have missed some: traits with the most crashes first, then the newest. */
  listFacts(nowMs: number): TraitFact[] {
    this.#expire(nowMs);
    const entries = [...this.traits].map(([trait, { crashes, soundAtMs }]) => ({
      trait,
      crashes: [...crashes],
      soundAtMs,
      lastAtMs: Math.max(soundAtMs, ...crashes.values()),
    }));
    entries.sort((a, b) => b.crashes.length - a.crashes.length || b.lastAtMs - a.lastAtMs);
    return entries.flatMap(({ trait, crashes, soundAtMs }): TraitFact[] => [
      ...crashes.map(([crashId, atMs]): TraitFact => ({ kind: 'crash', trait, crashId, atMs })),
      ...(soundAtMs > -Infinity ? [{ kind: 'sound' as const, trait, atMs: soundAtMs }] : []),
    ]);
  }

  /** Whether a fact that was news still holds. */
  isCurrent(fact: TraitFact): boolean {
    const known = this.traits.get(fact.trait);
    switch (fact.kind) {
      case 'crash':
        return known?.crashes.has(fact.crashId) ?? false;
      case 'sound':
        return known !== undefined && known.soundAtMs >= fact.atMs;
    }
  }

  #listSuspects(): Suspect[] {
    return [...this.traits]
      .filter(([, { crashes }]) => crashes.size >= QUARANTINE_CRASHES)
      .map(([trait, { crashes }]) => ({
        ...{ trait, crashes },
        wasAnswered: this.hasBeenAnswered(trait),
        hasUnrelatedCrash: (atMs) => this.#hasUnrelatedCrash(crashes, atMs),
      }));
  }

  /** Records that a server ended; it may have ended together with those of any trait. */
  #recordCrash({ crashId, atMs }: CrashFact): void {
    if (this.crashedAtMs.has(crashId)) return;
    this.crashedAtMs.set(crashId, atMs);
    discardOldest(this.crashedAtMs, MAX_CRASHES);
    this.quarantined = undefined;
  }

  /** Stops at the first one, since thousands of servers can end together. */
  #hasUnrelatedCrash(crashes: ReadonlyMap<string, number>, atMs: number): boolean {
    for (const [crashId, otherAtMs] of this.crashedAtMs) {
      const isClose = Math.abs(otherAtMs - atMs) < MIN_CRASH_INTERVAL_MS;
      if (isClose && !crashes.has(crashId)) return true;
    }
    return false;
  }

  #put(trait: RequestTrait, evidence: TraitEvidence): void {
    this.traits.delete(trait);
    this.traits.set(trait, evidence);
    this.#resetSelection(discardOldest(this.traits, MAX_TRAITS));
  }

  /** Selects the quarantined traits anew at the next use if a change of this trait can change them. */
  #resetSelection(evidence: TraitEvidence | undefined): void {
    if (evidence !== undefined && evidence.crashes.size >= QUARANTINE_CRASHES) {
      this.quarantined = undefined;
    }
  }

  /** Discards old traits, which come first, since a trait moves to the end with each fact. */
  #expire(nowMs: number): void {
    for (const [crashId, atMs] of this.crashedAtMs) {
      if (nowMs - atMs < QUARANTINE_RETENTION_MS) break;
      this.crashedAtMs.delete(crashId);
    }
    for (const [trait, evidence] of this.traits) {
      const ageMs = nowMs - Math.max(evidence.soundAtMs, ...evidence.crashes.values());
      if (ageMs < RETENTION_MS) return;
      if (ageMs < QUARANTINE_RETENTION_MS && this.isQuarantined(trait)) continue;
      this.traits.delete(trait);
      this.#resetSelection(evidence);
    }
  }
}

/** Removes the first entry of a map that has too many; returns its value. */
function discardOldest<K, V>(map: Map<K, V>, maxEntries: number): V | undefined {
  if (map.size <= maxEntries) return undefined;
  const [oldest] = map;
  if (oldest === undefined) return undefined;
  map.delete(oldest[0]);
  return oldest[1];
}
