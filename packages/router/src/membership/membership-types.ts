import type { Datagram, MemberUpdate } from '@pollendrum/protocol';
import type { CrashReport } from '../ports';

/** This instance as the others are told of it. */
export type SelfDescription = Omit<MemberUpdate, 'kind' | 'incarnation' | 'state'>;

export interface MembershipStateOptions {
  self: SelfDescription;
  /** Uniform in [0, 1). */
  random: () => number;
  /**
   * Period of probes in milliseconds.
   * @default 500
   */
  probeIntervalMs?: number;
}

/** What the caller has to carry out. */
export type MembershipEffect =
  | { kind: 'send'; address: string; port: number; datagram: Datagram }
  | { kind: 'view-changed' }
  | { kind: 'crash-reported'; report: CrashReport }
  | { kind: 'bundle-number-raised'; bundleNumber: number; instanceId: string };

/** Where a datagram came from. */
export interface DatagramAddress {
  address: string;
  port: number;
}

/** A probe of this instance without an answer so far. */
export interface PendingProbe {
  targetInstanceId: string;
  allowedSenderIds: Set<string>;
  indirectProbesAtMs: number;
  failsAtMs: number;
}

/** A probe on behalf of another member. */
export interface RelayedProbe {
  targetInstanceId: string;
  origin: { address: string; port: number; sequence: number };
  expiresAtMs: number;
}
