import type { Finish, Grant, HeldGrant } from '@pollendrum/protocol';
import type { GrantRequest } from './grant-request';

export interface HeldSlotOptions {
  grant: Grant;
  request: GrantRequest;
  shardIndex: number;
  shardCount: number;
  /** Instance whose dispatcher tracks the slot. */
  ownerId: string;
  /** In milliseconds of `performance.now()`. */
  grantedAtMs: number;
  handleFinish(finish: Finish): void;
}

/** Measurements of an attempt that are sent with its finish message. Times are in milliseconds. */
export interface AttemptStats {
  firstTokenMs?: number;
  meanGapMs?: number;
  outputTokens?: number;
}

/**
 * A slot granted to this entry. A slot is capacity for one request at a backend server; a grant permits one
 * attempt to use it. A slot must be released; releasing it again has no effect.
 */
export class HeldSlot {
  readonly attemptId: string;
  readonly serverId: string;
  readonly poolId: string;
  ownerId: string;
  /** Shard of the server; changes when the pool gets another number of shards. */
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
   * Marks the request as sent; called just before it is sent. Returns false when the grant has expired: the
   * dispatcher may have granted the slot to another attempt, so no request may be sent to the server.
   */
  markSent(nowMs: number): boolean {
    if (this.isExpired(nowMs)) return false;
    this.#isSent = true;
    return true;
  }

  /** Whether the grant's validity time passed before the request was marked as sent. */
  isExpired(nowMs: number): boolean {
    const { grant, grantedAtMs } = this.options;
    return !this.#isSent && nowMs - grantedAtMs > grant.validForMs;
  }

  /** Frees the slot and reports the result of the attempt to the dispatcher. */
  release(result: Finish['result'], stats: AttemptStats = {}): void {
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
      ...stats,
    });
  }
}

/** Builds the description of a slot for the dispatcher that takes over its shard. */
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
