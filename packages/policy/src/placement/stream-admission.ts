import type { StreamPlacement } from './stream-placement';

/** What admission knows of a stream beside its best placement. */
export interface AdmissionRequest {
  firstEventTargetMs: number;
  /** Time after which the caller leaves without a first event, in milliseconds. */
  firstEventTimeoutMs: number;
  /** Time that is left for the whole answer, in milliseconds. */
  remainingMs: number;
  /** Time that the operator allows for the whole answer, in milliseconds. */
  totalTimeoutMs: number;
  /** Whether no less urgent class of requests shares the servers. */
  isLowestTier: boolean;
}

export type Admission =
  { kind: 'admit' } | { kind: 'refuse'; predictedMs: number; retryAfterMs: number };

/** A prediction may use up this share of a caller's patience. */
const PATIENCE_SHARE = 0.9;
/**
 * Streams of the lowest tier are refused when they would be late: in lasting overload as many are served, but
 * on time, and the more urgent ones find room.
 */
const LOWEST_TIER_TARGET_SHARE = 0.9;
/** With a wait up to this share of the target a later try would not be sooner: the prompt itself takes the time. */
const SHORT_WAIT_SHARE = 0.2;
/** A caller with less than this share of the timeout left has been refused before; it is served late rather than never. */
const RETURNED_SHARE = 0.78;
/** A stream that would just miss its time limit may still make it, since predictions are cautious. */
const COMPLETION_SHARE = 1.15;
/** Callers honour a delay up to a third of the time that they have left. */
const LONGEST_DELAY_SHARE = 0.32;
const SHORTEST_DELAY_MS = 200;
/** Delays are spread by this share either way, so that refused callers do not return as one wave. */
const SPREAD = 0.3;

/** Decides whether a stream is sent to its best placement or told to come back. `random` is in 0 to 1. */
export function chooseAdmission(
  request: AdmissionRequest,
  placement: Pick<StreamPlacement, 'prefillMs' | 'firstEventMs' | 'completionMs'>,
  random: number,
): Admission {
  const limitMs = computeFirstEventLimitMs(request);
  const waitMs = placement.firstEventMs - placement.prefillMs;
  const isFirstEventInTime =
    placement.firstEventMs <= limitMs || waitMs <= request.firstEventTargetMs * SHORT_WAIT_SHARE;
  const isCompleteInTime = placement.completionMs <= request.remainingMs * COMPLETION_SHARE;
  if (isFirstEventInTime && isCompleteInTime) return { kind: 'admit' };
  const excessMs = Math.max(placement.firstEventMs - limitMs / 2, request.firstEventTargetMs / 2);
  const spreadMs = excessMs * (1 + SPREAD * (2 * random - 1));
  const longestMs = request.remainingMs * LONGEST_DELAY_SHARE;
  const retryAfterMs = Math.min(longestMs, Math.max(SHORTEST_DELAY_MS, spreadMs));
  return { kind: 'refuse', predictedMs: placement.firstEventMs, retryAfterMs };
}

function computeFirstEventLimitMs(request: AdmissionRequest): number {
  const patienceMs = Math.min(request.firstEventTimeoutMs, request.remainingMs) * PATIENCE_SHARE;
  const hasReturned = request.remainingMs < request.totalTimeoutMs * RETURNED_SHARE;
  if (!request.isLowestTier || hasReturned) return patienceMs;
  return Math.min(patienceMs, request.firstEventTargetMs * LOWEST_TIER_TARGET_SHARE);
}
