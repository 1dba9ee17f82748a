/** Log record of one attempt at a backend server. */
export interface AttemptRecord {
  serverId: string;
  /** `predictedMs` of the server choice, rounded. */
  predictedMs: number;
  /** Prefill time queued at the server when it was chosen, in milliseconds. */
  queuedMs: number;
  /** Server from which the chosen server was to fetch cached tokens; undefined when there is none. */
  cacheSourceId?: string;
  /** Number of tokens to fetch from `cacheSourceId`; undefined when there is none. */
  fetchedTokens?: number;
  /** Kind of the decoded response or of the end of the attempt, or the reason for which the attempt was cancelled. */
  result: string;
  /** Time from the send to the response head, in milliseconds; undefined when no response arrived. */
  firstByteMs?: number;
  /** Time from the send to the end of the attempt, in milliseconds. */
  elapsedMs: number;
}

/** How a request ended. */
export type RequestOutcome =
  | { kind: 'answered'; status: number }
  /** The gateway sent an error response; with 502 or 504 a server may have run the request. */
  | { kind: 'refused'; status: number; reason: string }
  | { kind: 'cut-off'; reason: string }
  | { kind: 'caller-left' };
