import type { Decision, QueuedRequest } from '@pollendrum/policy';
import type { Enqueue, Grant, ListedInstance, OutcomeRecord, Reject } from '@pollendrum/protocol';
import type { Attempt } from './attempt-table';
import { GRANT_VALID_MS } from './dispatcher-options';

/** Converts an enqueue message to a queued request; its relative times become times on the dispatcher's clock. */
export function toQueuedRequest(message: Enqueue, nowMs: number): QueuedRequest {
  const { attemptId, requestId, className, team, fingerprint, prefixHash } = message;
  const { promptTokens, maxOutputTokens, excludedServerIds, isRetry, failureDomain } = message;
  return {
    ...{ attemptId, requestId, className, team, fingerprint, prefixHash },
    ...{ promptTokens, maxOutputTokens, excludedServerIds, isRetry, failureDomain },
    arrivedAtMs: nowMs - message.arrivedAgoMs,
    expiresAtMs: nowMs + message.remainingMs,
  };
}

export function buildGrant(
  decision: Extract<Decision, { kind: 'grant' }>,
  server: ListedInstance,
): Grant {
  const { attemptId, serverId, queuedMs, tier } = decision;
  const { address, port } = server;
  return {
    ...{ kind: 'grant', attemptId, serverId, address, port },
    ...{ validForMs: GRANT_VALID_MS, queuedMs, priority: tier },
  };
}

export function buildReject(decision: Extract<Decision, { kind: 'shed' }>): Reject {
  const { attemptId, cause, retryAfterMs } = decision;
  return { kind: 'reject', attemptId, cause, retryAfterMs };
}

/**
 * Builds the outcome record of a request whose entry died. A granted attempt may have run, an attempt that
 * was still queued has not.
 */
export function buildEntryLostRecord(
  attempt: Attempt,
  recordedBy: string,
  tier: number,
  nowMs: number,
): OutcomeRecord {
  const { requestId, entryInstanceId, className, team, bundleNumber, shard, state } = attempt;
  const elapsedMs = Math.max(0, nowMs - attempt.arrivedAtMs);
  const isGranted = state.kind === 'granted';
  return {
    ...{ requestId, entryInstanceId, recordedBy, className, tier, team, bundleNumber },
    receivedAtMs: Math.round(Date.now() - elapsedMs),
    target: shard.route.poolId.slice(shard.route.poolId.indexOf(':') + 1),
    outcome: isGranted ? 'unknown' : 'not-run',
    ...{ status: 0, onTime: false },
    cause: { kind: 'entry-lost', instanceId: entryInstanceId, elapsedMs },
    hops: [],
    serverIds: isGranted ? [state.serverId] : [],
    ...{ totalMs: elapsedMs, outputTokens: 0, wastedTokens: 0 },
  };
}
