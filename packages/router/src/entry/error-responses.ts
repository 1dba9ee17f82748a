import { describeCause } from '@pollendrum/protocol';
import type { Cause, OutcomeKind } from '@pollendrum/protocol';

/** Body of an error response. */
export interface ErrorBody {
  error: {
    code: string;
    message: string;
    request_id: string;
    cause: Cause;
    /** Null when it is unknown whether the request ran. */
    not_run: boolean | null;
  };
}

/** An error response to a caller. */
export interface ErrorResponse {
  outcome: OutcomeKind;
  /** HTTP status; 0 when the connection to the caller is closed. */
  status: number;
  cause: Cause;
  /** Value of the Retry-After header for 429 and 503, in milliseconds. */
  retryAfterMs?: number;
}

const STATUS_NO_RESPONSE = 0;

/** Returns the HTTP status of an error response. */
export function getErrorStatus(outcome: OutcomeKind, cause: Cause): number {
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
      return STATUS_NO_RESPONSE;
    case 'server-slow':
    case 'server-silent':
      return 504;
    case 'server-crashed':
    case 'backend-error':
    case 'internal':
      return outcome === 'not-run' ? 503 : 502;
    case 'retry-budget-exhausted':
      return getErrorStatus(outcome, cause.underlying);
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
    case 'instance-paused':
    case 'no-bundle':
    case 'body-memory-full':
      // 503 invites the caller to retry, which is safe only if the request did not run.
      return outcome === 'failed' ? 502 : 503;
  }
}

/** Returns the machine-readable code of an error response. */
export function getErrorCode(outcome: OutcomeKind, cause: Cause): string {
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

/** Builds the body of an error response. */
export function buildErrorBody(response: ErrorResponse, requestId: string): ErrorBody {
  return {
    error: {
      code: getErrorCode(response.outcome, response.cause),
      message: describeForCaller(response.cause),
      request_id: requestId,
      cause: response.cause,
      not_run: isNotRun(response),
    },
  };
}

function isNotRun(response: ErrorResponse): boolean | null {
  if (response.outcome === 'unknown') return null;
  // The duplicate did not run, but the call that claimed the key has run or may have run.
  if (response.cause.kind === 'duplicate-key') return null;
  return response.outcome === 'not-run';
}

/** Describes a cause in one sentence; the details of internal errors are not exposed to callers. */
function describeForCaller(cause: Cause): string {
  return cause.kind === 'internal' ? 'internal error' : describeCause(cause);
}
