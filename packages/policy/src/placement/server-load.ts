/** Load that one instance, or all instances together, have put on a backend server. */
export interface ServerLoad {
  /** Total prefill time of streams without a first event, in milliseconds. */
  queuedPrefillMs: number;
  /** Number of streams without a first event, plus non-streaming requests without a complete response. */
  waiting: number;
  /** Number of incomplete streams that have sent their first event. */
  streaming: number;
  /** Number of streams in `streaming` that can miss their pause target because of a long prefill on the server. */
  pauseSensitive: number;
  /**
   * Tokens of prompts and responses in the engine's KV cache that the waiting and streaming requests hold or will hold.
   */
  heldTokens: number;
  /** Recent utilization of the server by prefills of short prompts. */
  shortShare: number;
  /** Recent utilization of the server by prefills of long prompts. */
  longShare: number;
  /**
   * Time by which the most overdue waiting request has passed its expected first event (streams) or complete response
   * (non-streaming requests), in milliseconds; 0 if none is overdue.
   */
  overdueMs: number;
}

export const NO_LOAD: ServerLoad = {
  queuedPrefillMs: 0,
  waiting: 0,
  streaming: 0,
  pauseSensitive: 0,
  heldTokens: 0,
  shortShare: 0,
  longShare: 0,
  overdueMs: 0,
};

/** Adds a load to a total, or subtracts it if `sign` is -1. Leaves `overdueMs` unchanged, as it is a maximum. */
export function addLoad(total: ServerLoad, load: ServerLoad, sign: 1 | -1): void {
  total.queuedPrefillMs += sign * load.queuedPrefillMs;
  total.waiting += sign * load.waiting;
  total.streaming += sign * load.streaming;
  total.pauseSensitive += sign * load.pauseSensitive;
  total.heldTokens += sign * load.heldTokens;
  total.shortShare += sign * load.shortShare;
  total.longShare += sign * load.longShare;
}
