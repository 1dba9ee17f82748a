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

/** Bounds further attempts to a share of first attempts. */
export interface RetryBudget {
  recordFirstAttempt(className: string, nowMs: number): void;
  /** Whether one further attempt is within the budget; counts it if so. */
  takeRetry(className: string, percent: number, nowMs: number): boolean;
}

/** PEM texts. */
export interface TlsCredentials {
  certificate: string;
  key: string;
  /** Authorities that may sign the other side; undefined: none are named. */
  ca?: string;
}

/** What the entry needs from the other tasks. */
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
  /** Reasons why the instance is not ready besides those that the entry sees itself. */
  listUnreadyReasons?: () => string[];
  /** Answer of `GET /admin/status`. */
  describeStatus?: () => object;
  /**
   * Cluster key, from which the operator token is derived; without it the operator endpoint is closed.
   * @default settings.clusterKey
   */
  clusterKey?: string;
  /** Serves callers over TLS; with `ca`, only callers with a certificate signed by it. Undefined: plain TCP. */
  callerTls?: TlsCredentials;
  /** Silence of an engine before its stream is checked. @default 2000 */
  stallMs?: number;
}

/** Settings of the entry with defaults filled in. */
export interface EntryLimits {
  maxBodyBytes: number;
  maxConnections: number;
  callerIdleTimeoutMs: number;
  claimRetentionMs: number;
}

/** Fills in the defaults of settings.schema.json. */
export function resolveEntryLimits(settings: Settings): EntryLimits {
  return {
    maxBodyBytes: settings.maxBodyBytes ?? 4_194_304,
    maxConnections: settings.maxConnections ?? 10_000,
    callerIdleTimeoutMs: settings.callerIdleTimeoutMs ?? 60_000,
    claimRetentionMs: settings.claimRetentionMs ?? 86_400_000,
  };
}
