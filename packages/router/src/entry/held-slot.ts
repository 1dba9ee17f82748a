import type { Finish, Grant, HeldGrant } from '@pollendrum/protocol';
import type { GrantRequest } from './grant-request';

export interface HeldSlotOptions {
  grant: Grant;
  request: GrantRequest;
  shardIndex: number;
  shardCount: number;
  /** Dispatcher that counts the slot. */
  ownerId: string;
  /** On the clock of `performance.now`, in milliseconds. */
  grantedAtMs: number;
  handleFinish(finish: Finish): void;
}

/** What the entry saw of an attempt, reported with its end. Times in milliseconds. */
export interface AttemptStats {
  firstTokenMs?: number;
  meanGapMs?: number;
  outputTokens?: number;
}

/** A grant in use; it must be finished exactly once, and later calls have no effect. */
export class HeldSlot {
  readonly attemptId: string;
  readonly serverId: string;
  readonly poolId: string;
  ownerId: string;
  /** Place of the server; changes when the pool is divided anew. */
  shardIndex: number;
  shardCount: number;
  #isSent = false;
  #isFinished = false;

  constructor(readonly options: HeldSlotOptions) {
    this.attemptId = options.grant.attemptId;
    this.serverId = options.grant.serverId;
    this.poolId = options.request.poolId;
    this.ownerId = options.ownerId;
    this.shardIndex = options.shardIndex;
    this.shardCount = options.shardCount;
  }

  get isSent(): boolean {
    return this.#isSent;
  }

  /**
   * Marks the grant as used. False when it is void: its dispatcher may have given the slot away, so
   * nothing may be sent under it.
   */
  markSent(nowMs: number): boolean {
    if (this.isExpired(nowMs)) return false;
    this.#isSent = true;
    return true;
  }

  isExpired(nowMs: number): boolean {
    const { grant, grantedAtMs } = this.options;
    return !this.#isSent && nowMs - grantedAtMs > grant.validForMs;
  }

  /** Reports the end of the attempt and frees the slot. */
  release(result: Finish['result'], timings: AttemptStats = {}): void {
    if (this.#isFinished) return;
    this.#isFinished = true;
    this.options.handleFinish({
      kind: 'finish',
      attemptId: this.attemptId,
      poolId: this.poolId,
      shardIndex: this.shardIndex,
      serverId: this.serverId,
      fingerprint: this.options.request.fingerprint,
      result,
      ...timings,
    });
  }
}

/** Describes a held grant to a dispatcher that takes over. */
export function toHeldGrant(slot: HeldSlot): HeldGrant {
  const { request, grantedAtMs } = slot.options;
  return {
    attemptId: slot.attemptId,
    requestId: request.requestId,
    poolId: slot.poolId,
    shardIndex: slot.shardIndex,
    shardCount: slot.shardCount,
    serverId: slot.serverId,
    className: request.className,
    team: request.team,
    fingerprint: request.fingerprint,
    heldForMs: Math.max(0, Math.round(performance.now() - grantedAtMs)),
    isSent: slot.isSent,
  };
}
