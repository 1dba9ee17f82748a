import type {
  Cause,
  HopTiming,
  OutcomeKind,
  OutcomeRecord,
  ServiceClass,
} from '@pollendrum/protocol';
import type { OutcomePort } from '../ports';
import { TokenMeter } from '../backend/token-meter';

/** State of a request in the entry that accepted it. */
export type RequestState =
  | { kind: 'received' }
  | { kind: 'queued' }
  | { kind: 'granted'; serverId: string }
  | { kind: 'claimed'; serverId: string }
  | { kind: 'sent'; serverId: string }
  | { kind: 'streaming'; serverId: string }
  | { kind: 'ended'; outcome: OutcomeKind };

type StateKind = RequestState['kind'];

// A request returns to the queue when its grant expires unused, and from sent or streaming for a retry.
const ALLOWED_TRANSITIONS: Record<StateKind, readonly StateKind[]> = {
  received: ['queued', 'ended'],
  queued: ['granted', 'ended'],
  granted: ['claimed', 'sent', 'queued', 'ended'],
  claimed: ['sent', 'queued', 'ended'],
  sent: ['streaming', 'queued', 'ended'],
  streaming: ['queued', 'ended'],
  ended: [],
};

/** Thrown for a state transition that the request lifecycle does not allow. */
export class StateError extends Error {
  override readonly name = 'StateError';
}

/** How a request ended. */
export interface RequestEnd {
  outcome: OutcomeKind;
  /** HTTP status sent to the caller, 0 if none. */
  status: number;
  cause?: Cause;
}

/** Class, team and requested target; set before the target is looked up. */
export interface RequestAttributes {
  serviceClass: ServiceClass;
  team: string;
  target: string;
  /** Whether latency targets apply to tokens (models) or to the complete response (plain services). */
  isModel: boolean;
}

export interface LifecycleOptions {
  requestId: string;
  instanceId: string;
  bundleNumber: number;
  outcomes: Pick<OutcomePort, 'recordOutcome'>;
  /**
   * Upper bound of the time that the request waited unread while the process was paused, in milliseconds.
   * @default 0
   */
  pausedMs?: number;
}

/** Tracks one request from arrival to its end, which yields exactly one outcome and one record. */
export class RequestLifecycle {
  readonly startedAtMs = performance.now();
  readonly meter = new TokenMeter(this.startedAtMs);
  readonly #receivedAtMs = Date.now();
  readonly #hops: HopTiming[] = [];
  readonly #serverIds: string[] = [];
  #state: RequestState = { kind: 'received' };
  #attributes: RequestAttributes | undefined;
  #record: OutcomeRecord | undefined;
  #attemptId = '';

  constructor(readonly options: LifecycleOptions) {}

  get requestId(): string {
    return this.options.requestId;
  }

  getState(): RequestState {
    return this.#state;
  }

  getRecord(): OutcomeRecord | undefined {
    return this.#record;
  }

  setAttributes(attributes: RequestAttributes): void {
    this.#attributes = attributes;
  }

  /** Records an attempt and its server; the cause of a late response refers to the last attempt. */
  recordAttempt(attemptId: string, serverId: string): void {
    this.#attemptId = attemptId;
    this.#serverIds.push(serverId);
  }

  recordHop(hop: HopTiming['hop'], startedAtMs: number, detail?: string): void {
    const elapsedMs = Math.max(0, performance.now() - startedAtMs);
    this.#hops.push({ hop, elapsedMs, ...(detail === undefined ? {} : { detail }) });
  }

  /** Changes the state; throws StateError when the transition is not allowed. */
  setState(next: Exclude<RequestState, { kind: 'ended' }>): void {
    if (!ALLOWED_TRANSITIONS[this.#state.kind].includes(next.kind)) {
      throw new StateError(`request cannot go from ${this.#state.kind} to ${next.kind}`);
    }
    this.#state = next;
  }

  /** Ends the request and records its outcome; returns false when the request had already ended. */
  endRequest(end: RequestEnd): boolean {
    if (this.#state.kind === 'ended') return false;
    this.#state = { kind: 'ended', outcome: end.outcome };
    this.#record = this.#buildRecord(end);
    this.options.outcomes.recordOutcome(this.#record);
    return true;
  }

  #buildRecord(end: RequestEnd): OutcomeRecord {
    const totalMs = performance.now() - this.startedAtMs;
    const { pausedMs = 0 } = this.options;
    const isOnTimeWithoutPause = end.outcome === 'answered' && this.#isOnTime(totalMs, 0);
    const onTime = isOnTimeWithoutPause && this.#isOnTime(totalMs, pausedMs);
    const isLate = end.outcome === 'answered' && !onTime && this.#attributes !== undefined;
    const pause: Cause = {
      kind: 'instance-paused',
      instanceId: this.options.instanceId,
      pausedMs,
    };
    const lateCause = isOnTimeWithoutPause ? pause : this.#computeLateCause(totalMs);
    const cause = end.cause ?? (isLate ? lateCause : undefined);
    const { meter } = this;
    const meanGapMs = meter.getMeanGapMs();
    return {
      requestId: this.requestId,
      entryInstanceId: this.options.instanceId,
      recordedBy: this.options.instanceId,
      receivedAtMs: this.#receivedAtMs,
      className: this.#attributes?.serviceClass.name ?? '',
      tier: this.#attributes?.serviceClass.tier ?? 0,
      team: this.#attributes?.team ?? '',
      target: this.#attributes?.target ?? '',
      bundleNumber: this.options.bundleNumber,
      outcome: end.outcome,
      status: end.status,
      onTime,
      ...(cause === undefined ? {} : { cause }),
      hops: this.#hops,
      serverIds: this.#serverIds,
      ...(meter.firstTokenMs === undefined ? {} : { firstTokenMs: meter.firstTokenMs }),
      ...(meanGapMs === undefined ? {} : { longestGapMs: meter.longestGapMs, meanGapMs }),
      totalMs,
      outputTokens: meter.tokens,
      wastedTokens: end.outcome === 'answered' ? 0 : meter.tokens,
    };
  }

  #isOnTime(elapsedMs: number, pausedMs: number): boolean {
    if (this.#attributes === undefined) return false;
    const { serviceClass, isModel } = this.#attributes;
    const totalMs = elapsedMs + pausedMs;
    const firstByteMs = isModel ? (this.meter.firstTokenMs ?? elapsedMs) + pausedMs : totalMs;
    if (firstByteMs > serviceClass.targetFirstByteMs || totalMs > serviceClass.maxTotalMs)
      return false;
    const targetGapMs = serviceClass.targetTokenGapMs;
    return targetGapMs === undefined || (this.meter.getMeanGapMs() ?? 0) <= targetGapMs;
  }

  // A late first byte is attributed to the hop that took longest, a later delay to the server.
  #computeLateCause(totalMs: number): Cause {
    const queuedMs = this.#computeHopMs('queue');
    const claimMs = this.#computeHopMs('claim');
    const serverTotalMs = totalMs - queuedMs - claimMs;
    const firstByteMs = this.meter.firstTokenMs ?? totalMs;
    const isFirstByteLate = firstByteMs > (this.#attributes?.serviceClass.targetFirstByteMs ?? 0);
    const serverMs = isFirstByteLate ? firstByteMs - queuedMs - claimMs : serverTotalMs;
    if (isFirstByteLate && queuedMs >= Math.max(claimMs, serverMs)) {
      return { kind: 'queue-timeout', waitedMs: queuedMs, usedSlotsByClass: {} };
    }
    if (isFirstByteLate && claimMs > serverMs) {
      return { kind: 'platform-unavailable', operation: 'claim', elapsedMs: claimMs };
    }
    return {
      kind: 'server-slow',
      serverId: this.#serverIds.at(-1) ?? '',
      attemptId: this.#attemptId,
      firstTokenMs: firstByteMs,
      longestGapMs: this.meter.longestGapMs,
    };
  }

  #computeHopMs(hop: HopTiming['hop']): number {
    return this.#hops
      .filter((timing) => timing.hop === hop)
      .reduce((sum, timing) => sum + timing.elapsedMs, 0);
  }
}
