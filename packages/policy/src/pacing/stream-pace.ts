/** What a part of an event stream costs to read. */
export interface StreamPart {
  bytes: number;
  lines: number;
}

/** Bytes whose forwarding takes as long as taking in one part or one line, in addition to its bytes. */
const BYTES_PER_PART = 2_048;
const BYTES_PER_LINE = 2_048;
/** Cost that a stream may have at once, in bytes: 8 MiB, or some 1,000 events of three lines. */
const BURST_BYTES = 8 * 2 ** 20;
/** Cost that a stream may have in the long run, in bytes per millisecond: 2 MiB a second, or some 250 events. */
const BYTES_PER_MS = (2 * 2 ** 20) / 1_000;
/** Cost that a stream has available again when it is read on, in bytes, so that it does not stop at each of its parts. */
const RESUME_BYTES = 2 ** 18;

/**
 * Limits the rate at which one event stream is read, so that a server that sends events without end takes little processor
 * time. Streams of tokens stay far below it.
 */
export class StreamPace {
  private availableBytes = BURST_BYTES;
  private updatedAtMs: number;

  constructor(nowMs: number) {
    this.updatedAtMs = nowMs;
  }

  /** Records a part that was read and returns for how long reading must stop, in milliseconds; 0 if it need not. */
  recordPart({ bytes, lines }: StreamPart, nowMs: number): number {
    const refilled = this.availableBytes + (nowMs - this.updatedAtMs) * BYTES_PER_MS;
    const cost = BYTES_PER_PART + bytes + lines * BYTES_PER_LINE;
    this.availableBytes = Math.min(BURST_BYTES, refilled) - cost;
    this.updatedAtMs = nowMs;
    if (this.availableBytes >= 0) return 0;
    return (RESUME_BYTES - this.availableBytes) / BYTES_PER_MS;
  }
}
