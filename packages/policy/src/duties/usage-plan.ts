import type { WindowCoverage } from './usage-counts';

/** Time after the end of a window before which it is not reported, in milliseconds, so that late counts are in. */
export const MIN_REPORT_DELAY_MS = 3_000;
/** Part of the delay at which a report is due after which missing counts are no longer waited for. */
const MAX_WAIT_SHARE = 0.8;
/** Part of the instances whose counts must be known; if fewer are, it is this instance that is cut off. */
const MIN_COVERAGE = 0.5;

export type WindowJudgement = 'wait' | 'report' | 'omit';

/** What decides about the report of a window. */
export interface WindowState {
  /** Time since the end of the window in milliseconds. */
  sinceEndMs: number;
  /** Time after the end of the window at which its report is due, in milliseconds. */
  dueAfterMs: number;
  coverage: WindowCoverage;
  /** Whether this process ran during the whole window, so that what it has not heard of has not been counted. */
  wasPresent: boolean;
  /** Whether another holder may have reported the window and its record is lost. */
  mayBeReported: boolean;
}

/** Judges whether a window that has no record yet is reported. */
export function judgeWindow(state: WindowState): WindowJudgement {
  const { sinceEndMs, dueAfterMs, coverage, wasPresent, mayBeReported } = state;
  // A missed report is better than two different ones.
  if (mayBeReported) return 'omit';
  if (sinceEndMs < Math.min(MIN_REPORT_DELAY_MS, dueAfterMs * MAX_WAIT_SHARE)) return 'wait';
  if (coverage.missing.length === 0) return 'report';
  if (sinceEndMs < dueAfterMs * MAX_WAIT_SHARE) return 'wait';
  const share = coverage.complete / (coverage.complete + coverage.missing.length);
  // An instance that is still silent has most likely stopped, and nothing ran there since its last counts.
  return wasPresent && share >= MIN_COVERAGE ? 'report' : 'omit';
}
