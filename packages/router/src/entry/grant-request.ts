/** Parameters of a request for a grant. Times are in milliseconds of `performance.now()`. */
export interface GrantRequest {
  requestId: string;
  poolId: string;
  className: string;
  tier: number;
  team: string;
  fingerprint: string;
  /** 0 when there is no prompt prefix. */
  prefixHash: number;
  promptTokens: number;
  /** 0 when the caller set no limit. */
  maxOutputTokens: number;
  arrivedAtMs: number;
  expiresAtMs: number;
  maxQueueMs: number;
  excludedServerIds: readonly string[];
  isRetry: boolean;
  bundleNumber: number;
}
