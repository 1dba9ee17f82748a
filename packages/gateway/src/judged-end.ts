import type { AttemptAnswer, AttemptEnd } from './backend-attempt';
import { isNotRunStatus } from './header-codec';
import type { AnswerHead } from './header-codec';

/** What the end of an attempt proves about the request. */
export type JudgedEnd =
  /** The server has not run the request; `observation` tells why. */
  | { kind: 'not-run'; observation: 'unreachable' | 'full'; reason: string }
  | { kind: 'may-have-run'; reason: string }
  /** An answer came that the server did not prove to be its own, or a refusal without its mark. */
  | { kind: 'unproven'; reason: string }
  | { kind: 'proven'; answer: AttemptAnswer };

/** Judges an attempt by its end and by the head of its answer, each undefined when none came. */
export function judgeEnd(
  end: AttemptEnd,
  answer: AttemptAnswer | undefined,
  head: AnswerHead | undefined,
): JudgedEnd {
  switch (end.kind) {
    case 'not-sent':
      return { kind: 'not-run', observation: 'unreachable', reason: end.reason };
    case 'broken':
      return { kind: 'may-have-run', reason: end.reason };
    case 'complete':
      break;
  }
  if (answer === undefined || head === undefined) {
    return { kind: 'may-have-run', reason: 'an answer without a head' };
  }
  switch (head.kind) {
    case 'foreign':
      return { kind: 'may-have-run', reason: head.reason };
    case 'not-run':
      return {
        kind: 'not-run',
        observation: 'full',
        reason: `the server refused with ${head.status}`,
      };
    case 'answer':
      break;
  }
  if (!head.isSigned || isNotRunStatus(head.status)) {
    return { kind: 'unproven', reason: `the server answered ${head.status} without proof` };
  }
  return { kind: 'proven', answer };
}
