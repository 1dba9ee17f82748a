/** Requests and utilization that one instance, or all instances together, have put on a backend server. */
export interface PlacedLoad {
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
}

/** Load of a backend server. */
export interface ServerLoad extends PlacedLoad {
  /**
   * Time by which the most overdue waiting request has passed its expected first event (streams) or complete response
   * (non-streaming requests), in milliseconds; 0 if none is overdue.
   */
  overdueMs: number;
}

/** Load of one instance on a backend server, as reported to its peers. It stays valid as time passes. */
export interface ReportedLoad extends PlacedLoad {
  /**
   * Time until the earliest expected first event or complete response among the waiting requests, in milliseconds;
   * negative if it is overdue, undefined without waiting requests.
   */
  dueInMs: number | undefined;
}

export const NO_PLACED_LOAD: PlacedLoad = {
  queuedPrefillMs: 0,
  waiting: 0,
  streaming: 0,
  pauseSensitive: 0,
  heldTokens: 0,
  shortShare: 0,
  longShare: 0,
};

export const NO_LOAD: ServerLoad = { ...NO_PLACED_LOAD, overdueMs: 0 };

/** Adds the requests of a load to a total, or subtracts them if `factor` is -1. Utilizations are left unchanged. */
export function addRequests(total: PlacedLoad, load: PlacedLoad, factor: number): void {
  total.queuedPrefillMs += factor * load.queuedPrefillMs;
  total.waiting += factor * load.waiting;
  total.streaming += factor * load.streaming;
  total.pauseSensitive += factor * load.pauseSensitive;
  total.heldTokens += factor * load.heldTokens;
}
