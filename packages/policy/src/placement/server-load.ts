/** Load that one instance, or all of them, have put on one backend server. */
export interface ServerLoad {
  /** Prefill time of streams that have not sent an event yet, in milliseconds. */
  queuedPrefillMs: number;
  /** Requests that have not sent anything yet. */
  waiting: number;
  /** Streams that have sent an event and are not complete. */
  streaming: number;
  /** The part of `streaming` that a long prefill beside it would make late. */
  pauseSensitive: number;
  /** Tokens of prompts and answers that running requests hold in the engine's memory. */
  heldTokens: number;
  /** Share of the server's recent time that prefills of short prompts take. */
  shortShare: number;
  /** The same for long prompts. */
  longShare: number;
  /** How far the oldest waiting request is past its expected first byte, in milliseconds. */
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

/** Adds a load to a total, or takes it away with the sign -1. Delays are no sums and are left alone. */
export function addLoad(total: ServerLoad, load: ServerLoad, sign: 1 | -1): void {
  total.queuedPrefillMs += sign * load.queuedPrefillMs;
  total.waiting += sign * load.waiting;
  total.streaming += sign * load.streaming;
  total.pauseSensitive += sign * load.pauseSensitive;
  total.heldTokens += sign * load.heldTokens;
  total.shortShare += sign * load.shortShare;
  total.longShare += sign * load.longShare;
}
