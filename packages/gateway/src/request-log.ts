/** What one attempt at a backend server came to. */
export interface AttemptRecord {
  serverId: string;
  /** Predicted time to the first byte when the server was chosen, in milliseconds. */
  predictedMs: number;
  /** Prefill time queued at the server when it was chosen, in milliseconds. */
  queuedMs: number;
  /** Server from which cached tokens were to be fetched; undefined when none. */
  cacheSourceId?: string;
  /** Tokens that were to be fetched; undefined when none. */
  fetchedTokens?: number;
  result: string;
  /** From the send to the first byte, in milliseconds; undefined when none came. */
  firstByteMs?: number;
  elapsedMs: number;
}

/** How a request ended. */
export type RequestOutcome =
  | { kind: 'answered'; status: number }
  | { kind: 'refused'; status: number; reason: string }
  | { kind: 'cut-off'; reason: string }
  | { kind: 'caller-left' };
