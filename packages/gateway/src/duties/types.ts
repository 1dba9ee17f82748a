import type { StoreEra } from '../object-store';

/** Calls to the platform that one instance makes for the whole fleet. */
export type DutyKind = 'usage-reports' | 'server-orders';

/** Proof that an instance holds the duties; the token rises with each change of the holder. */
export interface Fence {
  owner: string;
  token: number;
  era: StoreEra;
}

/** Tells whether this instance holds the duties. */
export interface DutyHolder {
  /** Returns the proof that this instance holds the duties now; undefined if it does not. Asked before each call. */
  getFence(): Fence | undefined;
  /** Takes in that the platform has refused the fence, so that it is not used again. */
  recordRefusal(fence: Fence): void;
  /**
   * Renews the lease and resolves with whether this instance still holds the duties under the same fence. For a refused order,
   * which may also mean that no such servers are to be had.
   */
  verifyFence(fence: Fence): Promise<boolean>;
  /** Returns the instance that holds the duties, as far as known. */
  getHolderId(): string | undefined;
  /** Calls the listener when this instance becomes the holder or stops being it. */
  onChange(listener: (isHolder: boolean) => void): void;
}

/** Requests of each team that servers began to run in a window. */
export interface UsageReport {
  windowId: number;
  counts: ReadonlyMap<string, number>;
}

/** Orders a number of servers of one kind for a service in a failure domain. */
export interface ServerOrder {
  service: string;
  failureDomain: string;
  count: number;
  isPreemptible: boolean;
}

/**
 * `refused`: a higher token has been seen or, for an order, no such servers are to be had; `throttled`: too many calls;
 * `unknown`: the call may have been carried out or may be later.
 */
export type DutyCallResult =
  | { kind: 'accepted' }
  | { kind: 'refused' }
  | { kind: 'throttled' }
  | { kind: 'unknown'; error: string };

/** Calls of the platform that only the holder of the duties makes. They do not reject. */
export interface DutyCalls {
  reportUsage(fence: Fence, report: UsageReport): Promise<DutyCallResult>;
  orderServers(fence: Fence, order: ServerOrder): Promise<DutyCallResult>;
}
