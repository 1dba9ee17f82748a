import { hashName } from '../rendezvous';
import { computeReaderCount, listByReaderRank } from './reader-ranking';
import type { ReaderCandidate } from './reader-ranking';

/** Time for which a reader that has not answered is left out, in milliseconds. */
const SILENT_FOR_MS = 5_000;
/** Time for which a reader whose knowledge was old is asked only if all others are left out, in milliseconds. */
const OUTDATED_FOR_MS = 2_000;
/** Questions in a row without an answer after which a reader counts as silent; single datagrams are lost. */
const MAX_MISSES = 2;
/** Instances after the readers in rank that are asked when no reader has recent knowledge. */
const SPARE_READERS = 2;

/** Calls to the store of other instances while the readers have no contact with it. */
const PROBES_PER_READER_PER_SECOND = 2;
const MAX_SMALL_FLEET = 16;
const MS_PER_SECOND = 1_000;

/** `recent`: the answer held knowledge that is not old; `outdated`: the reader itself lacks contact with the store. */
export type ReaderAnswer = 'recent' | 'outdated';

/**
 * Decides which instances read the store and whom an instance asks for what they have read. No agreement is needed: instances
 * that differ in whom they see only read or ask more than necessary.
 */
export class ReaderContact {
  private ranked: readonly string[] = [];
  private readonly misses = new Map<string, number>();
  private readonly silentUntilMs = new Map<string, number>();
  private readonly outdatedUntilMs = new Map<string, number>();
  private preferred: string | undefined;

  constructor(private readonly instanceId: string) {}

  /** Takes in all instances that can read for others, which may include this one. */
  setCandidates(candidates: readonly ReaderCandidate[]): void {
    this.ranked = listByReaderRank(candidates);
    const known = new Set(this.ranked);
    for (const timesById of [this.misses, this.silentUntilMs, this.outdatedUntilMs]) {
      for (const instanceId of timesById.keys()) {
        if (!known.has(instanceId)) timesById.delete(instanceId);
      }
    }
  }

  /** Whether this instance reads the store, as one of the first in rank among those that are not silent. */
  isReader(nowMs: number): boolean {
    // An instance that is not known to the others yet reads for itself.
    if (!this.ranked.includes(this.instanceId)) return true;
    return this.#listResponsive(nowMs, computeReaderCount(this.ranked.length)).includes(
      this.instanceId,
    );
  }

  /**
   * Computes for how long an instance that is not a reader waits before it calls the store itself while the readers have no
   * contact, in milliseconds. The calls of the whole fleet are spread, so that their rate does not grow with it.
   *
   * @param random between 0 and 1
   */
  computeProbeDelayMs(random: number): number {
    const instanceCount = this.ranked.length;
    const probesPerSecond = PROBES_PER_READER_PER_SECOND * computeReaderCount(instanceCount);
    return (random * instanceCount * MS_PER_SECOND) / probesPerSecond;
  }

  /** Lists the first instances in rank that are not silent, this one included. */
  listReaders(nowMs: number, count: number): string[] {
    return this.#listResponsive(nowMs, count);
  }

  /** Whether all instances may call the store at once without a rush of calls. */
  isSmallFleet(): boolean {
    return this.ranked.length <= MAX_SMALL_FLEET;
  }

  /** Chooses the instance to ask; undefined if there is none. Keeps to one while that has recent knowledge. */
  choosePreferred(nowMs: number): string | undefined {
    const readerCount = computeReaderCount(this.ranked.length);
    const { recent, others } = this.#listAskable(nowMs);
    const readers = recent.filter((instanceId) => this.ranked.indexOf(instanceId) < readerCount);
    const choices = [readers, recent, others].find((list) => list.length > 0) ?? [];
    if (this.preferred === undefined || !choices.includes(this.preferred)) {
      this.preferred = choices[hashName(this.instanceId) % Math.max(1, choices.length)];
    }
    return this.preferred;
  }

  /** Chooses up to `count` instances to ask in place of those whose answers are missing or outdated. */
  chooseOthers(nowMs: number, asked: readonly string[], count: number): string[] {
    const { recent, others } = this.#listAskable(nowMs);
    const untried = [...recent, ...others].filter((instanceId) => !asked.includes(instanceId));
    return [...new Set([...untried, ...asked])].slice(0, count);
  }

  recordAnswer(instanceId: string, answer: ReaderAnswer, nowMs: number): void {
    this.misses.delete(instanceId);
    this.silentUntilMs.delete(instanceId);
    switch (answer) {
      case 'recent':
        this.outdatedUntilMs.delete(instanceId);
        return;
      case 'outdated':
        this.outdatedUntilMs.set(instanceId, nowMs + OUTDATED_FOR_MS);
        return;
    }
  }

  /** Records that an instance has not answered a question in time. */
  recordSilence(instanceId: string, nowMs: number): void {
    const misses = (this.misses.get(instanceId) ?? 0) + 1;
    this.misses.set(instanceId, misses);
    if (misses >= MAX_MISSES) this.silentUntilMs.set(instanceId, nowMs + SILENT_FOR_MS);
  }

  /** Lists the readers and a few more by whether their knowledge was recent. */
  #listAskable(nowMs: number): { recent: string[]; others: string[] } {
    const count = computeReaderCount(this.ranked.length) + SPARE_READERS;
    const recent: string[] = [];
    const others: string[] = [];
    for (const instanceId of this.#listResponsive(nowMs, count)) {
      if (instanceId === this.instanceId) continue;
      const isOutdated = nowMs < (this.outdatedUntilMs.get(instanceId) ?? -Infinity);
      if (isOutdated) others.push(instanceId);
      else recent.push(instanceId);
    }
    return { recent, others };
  }

  /** Lists the first instances in rank that are not silent; the cost does not grow with the fleet. */
  #listResponsive(nowMs: number, count: number): string[] {
    const responsive: string[] = [];
    for (const instanceId of this.ranked) {
      if (nowMs < (this.silentUntilMs.get(instanceId) ?? -Infinity)) continue;
      responsive.push(instanceId);
      if (responsive.length === count) break;
    }
    return responsive;
  }
}
