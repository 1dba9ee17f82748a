import type { ResponseHead, AttemptEnd } from './backend-attempt';
import { isNotRunStatus } from './header-codec';
import type { DecodedResponse } from './header-codec';

/** What the end of an attempt proves about whether the server has run the request. */
export type AttemptOutcome =
  /**
   * The server has not run the request. `observation` is the failure to record for the server, if any: `full` when the
   * server refused the request, for whatever reason.
   */
  | { kind: 'not-run'; observation: 'unreachable' | 'full' | undefined; reason: string }
  | { kind: 'may-have-run'; reason: string }
  /** The response has no signature, or has a not-run status other than 421 without the not-run header. */
  | { kind: 'unproven'; reason: string }
  /**
   * The response has a signature and no not-run status, so the server has run the request; the status may still be an
   * error.
   */
  | { kind: 'proven'; head: ResponseHead };

/** Resolves the outcome from the end of an attempt and its response, which is undefined when none arrived. */
export function resolveAttemptOutcome(
  end: AttemptEnd,
  head: ResponseHead | undefined,
  decoded: DecodedResponse | undefined,
): AttemptOutcome {
  switch (end.kind) {
    case 'not-sent':
      return { kind: 'not-run', observation: 'unreachable', reason: end.reason };
    case 'withdrawn':
      return { kind: 'not-run', observation: undefined, reason: end.reason };
    case 'broken':
      return { kind: 'may-have-run', reason: end.reason };
    case 'complete':
      break;
  }
  if (head === undefined || decoded === undefined) {
    return { kind: 'may-have-run', reason: 'an answer without a head' };
  }
  switch (decoded.kind) {
    case 'foreign':
      return { kind: 'may-have-run', reason: decoded.reason };
    case 'not-run':
      return {
        kind: 'not-run',
        observation: 'full',
        reason: `the server refused with ${decoded.status}`,
      };
    case 'answer':
      break;
  }
  if (!decoded.isSigned || isNotRunStatus(decoded.status)) {
    return { kind: 'unproven', reason: `the server answered ${decoded.status} without proof` };
  }
  return { kind: 'proven', head };
}
