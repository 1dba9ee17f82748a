/** Log record of one attempt at a backend server. */
export interface AttemptRecord {
  serverId: string;
  /** Predicted time to the first byte when the server was chosen, in milliseconds. */
  predictedMs: number;
  /** Prefill time queued at the server when it was chosen, in milliseconds. */
  queuedMs: number;
  /** Server from which the chosen server was to fetch cached tokens; undefined when there is none. */
  cacheSourceId?: string;
  /** Number of tokens to fetch from `cacheSourceId`; undefined when there is none. */
  fetchedTokens?: number;
  result: string;
  /** Time from the send to the response head, in milliseconds; undefined when no response arrived. */
  firstByteMs?: number;
  elapsedMs: number;
}

/** How a request ended. */
export type RequestOutcome =
  | { kind: 'answered'; status: number }
  | { kind: 'refused'; status: number; reason: string }
  | { kind: 'cut-off'; reason: string }
  | { kind: 'caller-left' };
