import type { Settings } from '@pollendrum/protocol';
import type {
  BundlePort,
  ClaimsPort,
  OutcomePort,
  PeerPort,
  RoutingPort,
  TelemetryPort,
} from '../ports';
import type { ChooseShard } from './grant-client';

/** Limits retries to a percentage of first attempts. */
export interface RetryBudget {
  recordFirstAttempt(className: string, nowMs: number): void;
  /** Counts a retry and returns true if the budget allows it; otherwise returns false. */
  takeRetry(className: string, percent: number, nowMs: number): boolean;
}

/** Certificate, private key and certificate authorities in PEM format. */
export interface TlsCredentials {
  certificate: string;
  key: string;
  /** Certificate authorities that may sign the peer's certificate. */
  ca?: string;
}

/** Dependencies and settings of the entry. */
export interface EntryOptions {
  settings: Settings;
  telemetry: TelemetryPort;
  peers: PeerPort;
  routing: RoutingPort;
  bundles: BundlePort;
  claims: ClaimsPort;
  outcomes: OutcomePort;
  chooseShard: ChooseShard;
  retryBudget: RetryBudget;
  hashToUint32(text: string): number;
  /** Lists reasons why the instance is not ready, in addition to those that the entry checks. */
  listUnreadyReasons?: () => string[];
  /** Builds the response body of `GET /admin/status`. */
  describeStatus?: () => object;
  /**
   * Cluster key from which the operator token is derived; without it all operator requests are rejected.
   * @default settings.clusterKey
   */
  clusterKey?: string;
  /**
   * Credentials for serving callers over TLS; with `ca`, callers need a certificate signed by it.
   * Without them callers are served over plain TCP.
   */
  callerTls?: TlsCredentials;
  /** Time in milliseconds without data from an engine after which its stream is checked. @default 2000 */
  stallMs?: number;
}

/** Limits from the settings, with defaults applied. */
export interface EntryLimits {
  maxBodyBytes: number;
  maxHeldBodyBytes: number;
  maxConnections: number;
  callerIdleTimeoutMs: number;
  claimRetentionMs: number;
}

/** Applies the defaults that settings.schema.json documents. */
export function resolveEntryLimits(settings: Settings): EntryLimits {
  return {
    maxBodyBytes: settings.maxBodyBytes ?? 4_194_304,
    maxHeldBodyBytes: settings.maxHeldBodyBytes ?? 67_108_864,
    maxConnections: settings.maxConnections ?? 10_000,
    callerIdleTimeoutMs: settings.callerIdleTimeoutMs ?? 60_000,
    claimRetentionMs: settings.claimRetentionMs ?? 86_400_000,
  };
}
