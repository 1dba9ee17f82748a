import type { Cause } from '../generated/types';
import { formatFinding } from '../findings/findings';

/**
 * Describes in one sentence why a request was shed, late or failed or has an unknown outcome, for
 * error bodies and the `explain` command.
 */
export function describeCause(cause: Cause): string {
  switch (cause.kind) {
    case 'queue-wait-over-budget':
      return `the estimated wait of ${formatMs(cause.estimatedWaitMs)} was over the budget of ${formatMs(cause.budgetMs)}; slots were used by ${formatCounts(cause.usedSlotsByClass)}`;
    case 'queue-full':
      return `the queue held ${cause.queueLength} of ${cause.queueLimit} requests; slots were used by ${formatCounts(cause.usedSlotsByClass)}`;
    case 'team-limit':
      return `the team reached its limit of ${cause.limitValue} ${cause.limit.replaceAll('-', ' ')}`;
    case 'queue-timeout':
      return `the request waited ${formatMs(cause.waitedMs)} in the queue; slots were used by ${formatCounts(cause.usedSlotsByClass)}`;
    case 'no-healthy-server':
      return `no backend server could take the request (${formatCounts(cause.serversByState)})`;
    case 'platform-unavailable':
      return `the platform did not answer "${cause.operation}" within ${formatMs(cause.elapsedMs)}`;
    case 'server-crashed':
      return `backend server ${cause.serverId} crashed after ${cause.deliveredTokens} tokens (attempt ${cause.attemptId})`;
    case 'server-refused':
      return `backend server ${cause.serverId} refused the request with status ${cause.status}`;
    case 'server-slow':
      return `backend server ${cause.serverId} was slow: first token after ${formatMs(cause.firstTokenMs)}, longest gap ${formatMs(cause.longestGapMs)}`;
    case 'server-silent':
      return `the connection to backend server ${cause.serverId} was silent for ${formatMs(cause.silentMs)} after ${cause.deliveredTokens} tokens`;
    case 'poison-request':
      return `backend servers ${cause.crashedServerIds.join(', ')} crashed while running this request`;
    case 'retry-budget-exhausted':
      return `the retry budget of ${cause.budgetPercent}% was used up; before that, ${describeCause(cause.underlying)}`;
    case 'dispatcher-moved':
      return `the shard moved away from instance ${cause.instanceId}; ${formatMs(cause.elapsedMs)} were lost`;
    case 'dispatcher-lost':
      return `instance ${cause.instanceId}, the dispatcher of the shard, was lost; ${formatMs(cause.elapsedMs)} were lost`;
    case 'entry-lost':
      return `instance ${cause.instanceId}, which held the request, was lost ${formatMs(cause.elapsedMs)} after it arrived`;
    case 'instance-draining':
      return `instance ${cause.instanceId} has been shutting down for ${formatMs(cause.sinceMs)}`;
    case 'instance-paused':
      return `instance ${cause.instanceId} was paused for ${formatMs(cause.pausedMs)} before it read the request, which may have waited that long`;
    case 'no-bundle':
      return `instance ${cause.instanceId} has no configuration bundle yet`;
    case 'duplicate-key':
      return `the idempotency key was claimed before by request ${cause.firstRequestId} (${cause.state})`;
    case 'missing-key':
      return 'the route is not idempotent and the request had no Idempotency-Key header';
    case 'key-expired':
      return `the idempotency key is ${formatMs(cause.ageMs)} old, over the retention of ${formatMs(cause.retentionMs)}`;
    case 'bad-request':
      return `the request is invalid: ${cause.findings.map(formatFinding).join('; ')}`;
    case 'unauthorized':
      return 'the bearer key is missing or unknown';
    case 'forbidden-class':
      return `the team may not use class ${cause.className}`;
    case 'unknown-model':
      return `there is no model ${cause.model}`;
    case 'unknown-service':
      return `there is no service or route ${cause.service}`;
    case 'body-too-large':
      return `the body is over the limit of ${cause.limitBytes} bytes`;
    case 'body-memory-full':
      return `the bodies of all requests take ${cause.limitBytes} bytes, which is the limit`;
    case 'caller-disconnected':
      return `the caller disconnected after ${cause.deliveredTokens} tokens`;
    case 'caller-slow':
      return `the caller did not read for ${formatMs(cause.stalledMs)} after ${cause.deliveredTokens} tokens`;
    case 'backend-error':
      return `backend server ${cause.serverId} answered with status ${cause.status}`;
    case 'internal':
      return `internal error: ${cause.message}`;
  }
}

function formatMs(valueMs: number): string {
  return valueMs >= 10_000 ? `${(valueMs / 1000).toFixed(1)} s` : `${Math.round(valueMs)} ms`;
}

function formatCounts(counts: Record<string, number>): string {
  const entries = Object.entries(counts).filter(([, count]) => count > 0);
  if (entries.length === 0) return 'nothing';
  return entries.map(([name, count]) => `${name}: ${count}`).join(', ');
}
