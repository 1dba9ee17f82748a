import type { Cause, OutcomeKind } from '@pollendrum/protocol';

/** Body of an error answer. */
export interface ErrorBody {
  error: {
    code: string;
    message: string;
    request_id: string;
    cause: Cause;
    /** Null when it is not known whether the request ran. */
    not_run: boolean | null;
  };
}

/** An error answer to a caller. */
export interface ErrorReply {
  outcome: OutcomeKind;
  /** HTTP status; 0 when the caller is gone. */
  status: number;
  cause: Cause;
  /** For 429 and 503, in milliseconds. */
  retryAfterMs?: number;
}

const STATUS_CLIENT_GONE = 0;

/** HTTP status of an error answer. */
export function getStatus(outcome: OutcomeKind, cause: Cause): number {
  if (outcome === 'unknown') return 504;
  switch (cause.kind) {
    case 'bad-request':
    case 'missing-key':
      return 400;
    case 'unauthorized':
      return 401;
    case 'forbidden-class':
      return 403;
    case 'unknown-model':
    case 'unknown-service':
      return 404;
    case 'duplicate-key':
    case 'key-expired':
      return 409;
    case 'body-too-large':
      return 413;
    case 'poison-request':
      return 422;
    case 'team-limit':
      return 429;
    case 'caller-disconnected':
    case 'caller-slow':
      return STATUS_CLIENT_GONE;
    case 'server-slow':
    case 'server-silent':
      return 504;
    case 'server-crashed':
    case 'backend-error':
    case 'internal':
      return outcome === 'not-run' ? 503 : 502;
    case 'retry-budget-exhausted':
      return getStatus(outcome, cause.underlying);
    case 'server-refused':
    case 'queue-wait-over-budget':
    case 'queue-full':
    case 'queue-timeout':
    case 'no-healthy-server':
    case 'platform-unavailable':
    case 'dispatcher-moved':
    case 'dispatcher-lost':
    case 'entry-lost':
    case 'instance-draining':
    case 'no-bundle':
      // 503 invites the caller to repeat, which only a request that did not run allows.
      return outcome === 'failed' ? 502 : 503;
  }
}

/** Machine-readable code of an error answer. */
export function getCode(outcome: OutcomeKind, cause: Cause): string {
  if (outcome === 'unknown') return 'outcome_unknown';
  if (cause.kind === 'poison-request') return 'request_crashes_servers';
  if (cause.kind !== 'duplicate-key') return cause.kind.replaceAll('-', '_');
  switch (cause.state) {
    case 'in-progress':
      return 'in_progress';
    case 'unknown':
      return 'outcome_unknown';
    case 'done':
      return 'already_done';
  }
}

/** Builds the body of an error answer. */
export function buildErrorBody(reply: ErrorReply, requestId: string): ErrorBody {
  return {
    error: {
      code: getCode(reply.outcome, reply.cause),
      message: describeCause(reply.cause),
      request_id: requestId,
      cause: reply.cause,
      not_run: isNotRun(reply),
    },
  };
}

function isNotRun(reply: ErrorReply): boolean | null {
  if (reply.outcome === 'unknown') return null;
  // The repeat did not run, but the call that claimed the key has run or may have run.
  if (reply.cause.kind === 'duplicate-key') return null;
  return reply.outcome === 'not-run';
}

/** Describes a cause in one sentence for callers. */
export function describeCause(cause: Cause): string {
  switch (cause.kind) {
    case 'queue-wait-over-budget':
      return `estimated wait ${Math.round(cause.estimatedWaitMs)} ms is over the budget of ${cause.budgetMs} ms`;
    case 'queue-full':
      return `the queue holds ${cause.queueLength} requests, its limit`;
    case 'team-limit':
      return `the team reached its limit of ${cause.limitValue} (${cause.limit})`;
    case 'queue-timeout':
      return `no slot became free within ${Math.round(cause.waitedMs)} ms`;
    case 'no-healthy-server':
      return 'no healthy backend server';
    case 'platform-unavailable':
      return `the platform did not answer (${cause.operation})`;
    case 'server-crashed':
      return `backend server ${cause.serverId} crashed`;
    case 'server-refused':
      return `backend server ${cause.serverId} refused the request with status ${cause.status}`;
    case 'server-slow':
      return `backend server ${cause.serverId} was slow`;
    case 'server-silent':
      return `backend server ${cause.serverId} sent nothing for ${Math.round(cause.silentMs)} ms`;
    case 'poison-request':
      return `backend servers crashed under this request: ${cause.crashedServerIds.join(', ')}`;
    case 'retry-budget-exhausted':
      return `no further attempt within the retry budget; ${describeCause(cause.underlying)}`;
    case 'dispatcher-moved':
    case 'dispatcher-lost':
      return 'the dispatcher of this pool is changing; try again';
    case 'entry-lost':
      return 'the instance that held the request was lost';
    case 'instance-draining':
      return 'this instance is stopping';
    case 'no-bundle':
      return 'this instance has no configuration yet';
    case 'duplicate-key':
      return `the idempotency key is in use by request ${cause.firstRequestId} (${cause.state})`;
    case 'missing-key':
      return 'a non-idempotent call needs the header Idempotency-Key with 1 to 255 visible ASCII characters';
    case 'key-expired':
      return 'the idempotency key is older than the retention of claims';
    case 'bad-request':
      return `the request has ${cause.findings.length} problem(s)`;
    case 'unauthorized':
      return 'missing or unknown bearer key';
    case 'forbidden-class':
      return `the team may not use class ${cause.className}`;
    case 'unknown-model':
      return `unknown model ${cause.model}`;
    case 'unknown-service':
      return `unknown service or route ${cause.service}`;
    case 'body-too-large':
      return `the body is larger than ${cause.limitBytes} bytes`;
    case 'caller-disconnected':
      return 'the caller disconnected';
    case 'caller-slow':
      return 'the caller did not read or send in time';
    case 'backend-error':
      return `backend server ${cause.serverId} answered with status ${cause.status}`;
    case 'internal':
      return 'internal error';
  }
}
