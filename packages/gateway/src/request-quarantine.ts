import {
  computeInstanceRank,
  computeProbeDueAtMs,
  CrashEvidence,
  isProber,
} from '@pollendrum/policy';
import type { CrashFact, RankedInstance, RequestTrait, TraitFact } from '@pollendrum/policy';
import type { ObservedCrash } from './crash-observer';
import type { FleetGossip, Urgency } from './fleet-gossip';
import { toAgedFact, toTraitFact } from './gossip-codec';
import type { AgedTraitFact, ProbeFact } from './gossip-codec';
import type { Clock, GatewayLog } from './log-and-clock';
import type { TraitSource } from './request-traits';

/** Whether a request may be sent to a server. */
export type SendJudgement =
  | { kind: 'allowed' }
  /** The request may be sent to find out whether these traits still end servers; the send is recorded as a probe. */
  | { kind: 'probe'; traits: readonly RequestTrait[] }
  /** A trait of the request ends servers; `retryAfterMs` is the time until a request with it may be sent as a probe. */
  | { kind: 'held-back'; trait: RequestTrait; retryAfterMs: number };

export interface RequestQuarantineOptions {
  instanceId: string;
  /** Spreads what this instance sees. */
  publish: FleetGossip['publish'];
  /** Called when a trait begins or ceases to be held back, or crashes another server meanwhile. */
  onChange(trait: RequestTrait): void;
  clock: Clock;
  log: GatewayLog;
}

/** Where a fact was learnt: from the end of an attempt, or from another instance. */
type FactSource = 'attempt' | 'instance';

/** Crashes of a trait from which a request is not repeated at another server. */
const MAX_CRASHES_FOR_REPEAT = 1;
/** Time after which a probe without a result is followed by another one, in milliseconds. It may wait in a server's queue. */
const PROBE_RESULT_TIMEOUT_MS = 10_000;
/** Time from the last crash of a trait until a request that tells it from another suspect may be sent, in milliseconds. */
const COMPARISON_DELAY_MS = 500;
/** Differences between the times of the same probe at several instances, in milliseconds. */
const PROBE_TIME_TOLERANCE_MS = 500;
const MIN_RETRY_AFTER_MS = 1_000;

/** Holds back requests that crash backend servers, by what all instances have seen. */
export class RequestQuarantine {
  private readonly evidence = new CrashEvidence();
  /** Time of the last probe of any instance. */
  private readonly probedAtMs = new Map<RequestTrait, number>();
  /** The traits of which it was reported that they are held back. */
  private reported: ReadonlySet<RequestTrait> = new Set();
  private instanceIds: readonly string[] = [];

  constructor(private readonly options: RequestQuarantineOptions) {}

  /** Takes in the ids of the announced instances. */
  setInstances(instanceIds: readonly string[]): void {
    this.instanceIds = instanceIds;
  }

  /** Takes in a fact of another instance. */
  mergeFact(fact: AgedTraitFact | ProbeFact): void {
    const nowMs = this.options.clock();
    switch (fact.kind) {
      case 'crash':
      case 'sound':
        this.#add(toTraitFact(fact, nowMs), 'instance');
        return;
      case 'probe':
        this.#recordProbe(fact.trait, nowMs - fact.ageMs, 'normal');
        return;
    }
  }

  listFacts(): AgedTraitFact[] {
    const nowMs = this.options.clock();
    return this.evidence.listFacts(nowMs).map((fact) => toAgedFact(fact, nowMs));
  }

  /** Lists the crashes for which a trait is held back; empty when it is not. */
  listHeldBackCrashes(trait: RequestTrait): CrashFact[] {
    return this.evidence.isQuarantined(trait) ? this.evidence.listCrashFacts(trait) : [];
  }

  /** Lists the traits that are held back. */
  listHeldBack(): RequestTrait[] {
    return [...this.evidence.getQuarantined()];
  }

  /** Position of this instance in the order of a trait, by which instances divide the work that one of them can do. */
  computeInstanceRank(trait: RequestTrait): number {
    return computeInstanceRank(trait, this.#getRankedInstance());
  }

  countQuarantined(): number {
    return this.evidence.getQuarantined().size;
  }

  /** Judges whether a request may be sent. */
  judgeSend(request: TraitSource, isRepeat: boolean): SendJudgement {
    const nowMs = this.options.clock();
    const traits = this.#listTraits(request);
    const quarantined = traits.filter((trait) => this.evidence.isQuarantined(trait));
    if (quarantined.length === 0) return isRepeat ? this.#judgeRepeat(traits) : { kind: 'allowed' };
    for (const trait of quarantined) {
      const { timesMs } = this.evidence.listCrashes(trait);
      if (!isRepeat && this.#isProbeAllowed(trait, traits, nowMs)) continue;
      const waitMs = computeProbeDueAtMs(timesMs) - nowMs;
      return { kind: 'held-back', trait, retryAfterMs: Math.max(MIN_RETRY_AFTER_MS, waitMs) };
    }
    return { kind: 'probe', traits: quarantined };
  }

  /** Takes in that a request is sent as a probe, so that no instance sends another one until the result is due. */
  recordProbe(traits: readonly RequestTrait[]): void {
    const nowMs = this.options.clock();
    for (const trait of traits) this.#recordProbe(trait, nowMs, 'urgent');
    this.options.log.info('request is sent as a probe', { traits });
  }

  /** Takes in that a server has begun to answer a request. */
  recordAnswer(request: TraitSource): void {
    const traits = [...request.listPartTraits(), request.getRepetitionTrait()];
    const facts = this.evidence.recordAnswer(traits, this.options.clock());
    for (const fact of facts) this.#publish(fact);
    if (facts.length > 0) this.#reportChanges();
  }

  recordCrash({ crashId, traits, atMs }: ObservedCrash): void {
    for (const trait of traits) this.#add({ kind: 'crash', trait, crashId, atMs }, 'attempt');
  }

  #judgeRepeat(traits: readonly RequestTrait[]): SendJudgement {
    const trait = traits.find(
      (candidate) =>
        this.evidence.listCrashes(candidate).count > MAX_CRASHES_FOR_REPEAT &&
        !this.evidence.hasBeenAnswered(candidate),
    );
    if (trait === undefined) return { kind: 'allowed' };
    return { kind: 'held-back', trait, retryAfterMs: MIN_RETRY_AFTER_MS };
  }

  #isProbeAllowed(
    trait: RequestTrait,
    requestTraits: readonly RequestTrait[],
    nowMs: number,
  ): boolean {
    const probedAtMs = this.probedAtMs.get(trait) ?? -Infinity;
    const { timesMs } = this.evidence.listCrashes(trait);
    const crashedAtMs = timesMs.at(-1) ?? -Infinity;
    // A crash after the probe is its result.
    if (crashedAtMs <= probedAtMs && nowMs - probedAtMs < PROBE_RESULT_TIMEOUT_MS) return false;
    if (isProber(trait, computeProbeDueAtMs(timesMs), this.#getRankedInstance(), nowMs))
      return true;
    if (nowMs - crashedAtMs < COMPARISON_DELAY_MS) return false;
    return this.evidence.hasAbsentSuspect(trait, requestTraits);
  }

  /** Records a probe of any instance. */
  #recordProbe(trait: RequestTrait, atMs: number, urgency: Urgency): void {
    if (!this.evidence.isQuarantined(trait)) return;
    const knownAtMs = this.probedAtMs.get(trait) ?? -Infinity;
    // The same probe arrives several times, each with another time in transit.
    if (atMs < knownAtMs + PROBE_TIME_TOLERANCE_MS) return;
    this.probedAtMs.set(trait, atMs);
    this.options.publish(
      `probe ${trait}`,
      (nowMs) => {
        const ageMs = nowMs - atMs;
        return ageMs < PROBE_RESULT_TIMEOUT_MS ? { kind: 'probe', trait, ageMs } : undefined;
      },
      urgency,
    );
  }

  #getRankedInstance(): RankedInstance {
    return { instanceId: this.options.instanceId, instanceIds: this.instanceIds };
  }

  #listTraits(request: TraitSource): RequestTrait[] {
    const traits = request.listPartTraits();
    if (this.evidence.hasSuspectRepetitions()) traits.push(request.getRepetitionTrait());
    return traits;
  }

  #add(fact: TraitFact, source: FactSource): void {
    const news = this.evidence.add(fact, this.options.clock());
    for (const entry of news) {
      this.#publish(entry);
      if (entry.kind === 'crash') this.#reportCrash(entry, source);
    }
    this.#reportChanges();
    if (news.length > 0 && this.reported.has(fact.trait)) this.options.onChange(fact.trait);
  }

  #reportCrash({ trait, crashId }: CrashFact, source: FactSource): void {
    const { count, timesMs } = this.evidence.listCrashes(trait);
    const crashes = timesMs.length;
    this.options.log.info('crash recorded', { trait, crashId, source, crashes, counted: count });
  }

  #publish(fact: TraitFact): void {
    const key = fact.kind === 'crash' ? `${fact.trait} ${fact.crashId}` : `sound ${fact.trait}`;
    this.options.publish(key, (nowMs) =>
      this.evidence.isCurrent(fact) ? toAgedFact(fact, nowMs) : undefined,
    );
  }

  /** Reports which traits have begun or ceased to be held back; a fact about one trait can change that of others. */
  #reportChanges(): void {
    const { log, onChange } = this.options;
    const before = this.reported;
    const quarantined = this.evidence.getQuarantined();
    if (quarantined === before) return;
    this.reported = quarantined;
    for (const trait of quarantined) {
      if (before.has(trait)) continue;
      const crashes = this.evidence.listCrashes(trait).timesMs.length;
      log.warn('requests that crash servers are held back', { trait, crashes });
      onChange(trait);
    }
    for (const trait of before) {
      if (quarantined.has(trait)) continue;
      this.probedAtMs.delete(trait);
      log.info('requests are no longer held back', { trait });
      onChange(trait);
    }
  }
}
