/** Bounds for the time that a body may take. */
export interface BodyPaceBounds {
  /** Longest time without a byte, in milliseconds; also the time after which the rate is judged. */
  maxStallMs: number;
  minBytesPerSecond: number;
}

/** What has been received of a body. */
export interface BodyProgress {
  receivedBytes: number;
  /** Time for which the caller could send, without the time in which reading was stopped, in milliseconds. */
  activeMs: number;
  /** Time since the last byte, in milliseconds. */
  stalledMs: number;
}

export type BodyJudgement = 'in-time' | 'stalled' | 'slow';

const MS_PER_SECOND = 1_000;

/** Judges whether a body arrives fast enough to be waited for. */
export function judgeBodyProgress(progress: BodyProgress, bounds: BodyPaceBounds): BodyJudgement {
  const { receivedBytes, activeMs, stalledMs } = progress;
  if (stalledMs > bounds.maxStallMs) return 'stalled';
  if (activeMs <= bounds.maxStallMs) return 'in-time';
  const bytesPerSecond = (receivedBytes * MS_PER_SECOND) / activeMs;
  return bytesPerSecond < bounds.minBytesPerSecond ? 'slow' : 'in-time';
}
