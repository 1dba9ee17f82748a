import type { StreamPlacement } from './stream-placement';

/** Time limits and tier of a stream for admission control. */
export interface AdmissionRequest {
  /** Latency target for the first event, in milliseconds. */
  firstEventTargetMs: number;
  /** Time after which the caller disconnects if there is no first event, in milliseconds. */
  firstEventTimeoutMs: number;
  /** Time left for the whole response, in milliseconds. */
  remainingMs: number;
  /** Configured time limit for the whole response, in milliseconds. */
  totalTimeoutMs: number;
  /** Whether the stream belongs to the lowest tier that uses these servers. */
  isLowestTier: boolean;
}

export type AdmissionDecision =
  { kind: 'admit' } | { kind: 'refuse'; predictedMs: number; retryAfterMs: number };

/** Maximum share of the caller's timeout that the predicted time to the first event may take. */
const FIRST_EVENT_TIMEOUT_SHARE = 0.9;
/**
 * Streams of the lowest tier are refused if the predicted time to the first event exceeds this share of its target.
 * Under sustained overload, as many streams are served as without this limit, but on time, and higher tiers keep
 * capacity.
 */
const LOWEST_TIER_TARGET_SHARE = 0.9;
/**
 * A stream is not refused for its first event if the predicted time without the prefill is at most this share of the
 * target: the prefill takes most of the time, so a later retry would not be faster.
 */
const SHORT_WAIT_SHARE = 0.2;
/**
 * A stream with less than this share of the total timeout left is taken as a caller's retry after a refusal. For a
 * retry, only the caller's timeout and the remaining time limit the first event, not the lowest tier's limit;
 * otherwise the retry could be refused again and again until its time is up.
 */
const MAX_RETRY_REMAINING_SHARE = 0.78;
/** Maximum ratio of the predicted completion to the remaining time; above 1 because predictions are conservative. */
const COMPLETION_TOLERANCE = 1.15;
/** Callers honor a retry delay of up to a third of their remaining time. */
const MAX_RETRY_DELAY_SHARE = 0.32;
const MIN_RETRY_DELAY_MS = 200;
/** Retry delays vary by up to this share in both directions, so that refused callers do not all retry at once. */
const RETRY_JITTER = 0.3;

/** Admits a stream to its best placement, or refuses it with a retry delay. `random` ranges from 0 to 1. */
export function chooseAdmission(
  request: AdmissionRequest,
  placement: Pick<StreamPlacement, 'prefillMs' | 'firstEventMs' | 'completionMs'>,
  random: number,
): AdmissionDecision {
  const limitMs = computeFirstEventLimitMs(request);
  const waitMs = placement.firstEventMs - placement.prefillMs;
  const isFirstEventInTime =
    placement.firstEventMs <= limitMs || waitMs <= request.firstEventTargetMs * SHORT_WAIT_SHARE;
  const isCompleteInTime = placement.completionMs <= request.remainingMs * COMPLETION_TOLERANCE;
  if (isFirstEventInTime && isCompleteInTime) return { kind: 'admit' };
  const baseDelayMs = Math.max(
    placement.firstEventMs - limitMs / 2,
    request.firstEventTargetMs / 2,
  );
  const jitteredMs = baseDelayMs * (1 + RETRY_JITTER * (2 * random - 1));
  const maxDelayMs = request.remainingMs * MAX_RETRY_DELAY_SHARE;
  const retryAfterMs = Math.min(maxDelayMs, Math.max(MIN_RETRY_DELAY_MS, jitteredMs));
  return { kind: 'refuse', predictedMs: placement.firstEventMs, retryAfterMs };
}

function computeFirstEventLimitMs(request: AdmissionRequest): number {
  const timeoutMs =
    Math.min(request.firstEventTimeoutMs, request.remainingMs) * FIRST_EVENT_TIMEOUT_SHARE;
  const isRetry = request.remainingMs < request.totalTimeoutMs * MAX_RETRY_REMAINING_SHARE;
  if (!request.isLowestTier || isRetry) return timeoutMs;
  return Math.min(timeoutMs, request.firstEventTargetMs * LOWEST_TIER_TARGET_SHARE);
}
