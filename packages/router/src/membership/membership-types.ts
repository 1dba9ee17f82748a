import type { Datagram, MemberUpdate } from '@pollendrum/protocol';
import type { CrashReport } from '../ports';

/** Identity, address and location of this instance, as announced to the other instances. */
export type SelfDescription = Omit<MemberUpdate, 'kind' | 'incarnation' | 'state'>;

export interface MembershipStateOptions {
  self: SelfDescription;
  /** Random numbers, uniform in [0, 1). */
  random: () => number;
  /**
   * Probe interval in milliseconds.
   * @default 500
   */
  probeIntervalMs?: number;
}

/** Action that the caller of the state machine must perform. */
export type MembershipEffect =
  | { kind: 'send'; address: string; port: number; datagram: Datagram }
  | { kind: 'view-changed' }
  | { kind: 'crash-reported'; report: CrashReport }
  | { kind: 'bundle-number-raised'; bundleNumber: number; instanceId: string };

/** Address and port of a member's UDP socket. */
export interface DatagramAddress {
  address: string;
  port: number;
}

/** Probe by this instance that is not acked yet. */
export interface PendingProbe {
  targetInstanceId: string;
  allowedSenderIds: Set<string>;
  indirectProbesAtMs: number;
  failsAtMs: number;
}

/** Probe on behalf of another member, which receives the ack. */
export interface RelayedProbe {
  targetInstanceId: string;
  origin: { address: string; port: number; sequence: number };
  expiresAtMs: number;
}
