/** Load that one instance, or all instances together, have put on a backend server. */
export interface ServerLoad {
  /** Total prefill time of streams without a first event, in milliseconds. */
  queuedPrefillMs: number;
  /** Number of requests without a first byte of the response. */
  waiting: number;
  /** Number of incomplete streams that have sent their first event. */
  streaming: number;
  /** Number of streams in `streaming` that a long prefill on the same server can make late. */
  pauseSensitive: number;
  /** Prompt and response tokens that running requests hold in the engine's KV cache. */
  heldTokens: number;
  /** Recent utilization of the server by prefills of short prompts. */
  shortShare: number;
  /** Recent utilization of the server by prefills of long prompts. */
  longShare: number;
  /** Longest time that a waiting request is past its expected first byte, in milliseconds. */
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
