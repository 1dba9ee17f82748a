import type { Cause } from '@pollendrum/protocol';
import type { GrantClient } from './grant-client';
import type { GrantRequest } from './grant-request';
import type { HeldSlot } from './held-slot';
import type { RequestContext } from './request-context';

/** A slot, or the reason why none was granted. `stopped`: the signal was aborted. */
export type SlotResult =
  | { kind: 'slot'; slot: HeldSlot }
  | { kind: 'rejected'; cause: Cause; retryAfterMs: number }
  | { kind: 'stopped' };

/** Parameters that all attempts of one request share. */
export type SlotRequest = Omit<GrantRequest, 'excludedServerIds' | 'isRetry'>;

// A grant expires when this process pauses or a claim is slow; after three expired grants in a row this process
// is considered overloaded, and the request is rejected.
const MAX_EXPIRED_GRANTS = 3;
const RETRY_AFTER_MS = 1_000;

/** Requests slots for the attempts of one request. */
export class SlotRequester {
  readonly #excludedServerIds: string[] = [];
  #isRetry = false;

  constructor(
    readonly context: RequestContext,
    readonly grants: GrantClient,
    readonly request: SlotRequest,
  ) {}

  /** Marks the next grants as a retry and excludes the failed server from them. */
  setRetry(failedServerId: string): void {
    this.#isRetry = true;
    this.#excludedServerIds.push(failedServerId);
  }

  /** Waits for a grant of a slot. */
  async requestSlot(signal: AbortSignal): Promise<SlotResult> {
    const { lifecycle } = this.context;
    lifecycle.setState({ kind: 'queued' });
    const startedAtMs = performance.now();
    const result = await this.grants.requestGrant(
      { ...this.request, excludedServerIds: this.#excludedServerIds, isRetry: this.#isRetry },
      signal,
    );
    lifecycle.recordHop('queue', startedAtMs, this.request.poolId);
    switch (result.kind) {
      case 'withdrawn':
        return { kind: 'stopped' };
      case 'rejected':
        return result;
      case 'granted':
        lifecycle.setState({ kind: 'granted', serverId: result.slot.serverId });
        return { kind: 'slot', slot: result.slot };
    }
  }

  /**
   * Returns a slot and marks the request as sent; called just before it is sent. The slot is `heldSlot` if it is
   * given, else a newly granted slot. A slot whose grant has expired is returned to the dispatcher, and another is
   * requested.
   */
  async requestSlotForSending(signal: AbortSignal, heldSlot?: HeldSlot): Promise<SlotResult> {
    let slot = heldSlot;
    for (let expiredGrants = 0; expiredGrants < MAX_EXPIRED_GRANTS; expiredGrants += 1) {
      if (slot === undefined) {
        const result = await this.requestSlot(signal);
        if (result.kind !== 'slot') return result;
        slot = result.slot;
      }
      if (signal.aborted) {
        slot.release('not-sent');
        return { kind: 'stopped' };
      }
      if (slot.markSent(performance.now())) return this.#recordSent(slot);
      slot.release('not-sent');
      slot = undefined;
    }
    const elapsedMs = performance.now() - this.context.lifecycle.startedAtMs;
    const cause: Cause = { kind: 'dispatcher-lost', instanceId: '', elapsedMs };
    return { kind: 'rejected', cause, retryAfterMs: RETRY_AFTER_MS };
  }

  #recordSent(slot: HeldSlot): SlotResult {
    const { lifecycle } = this.context;
    lifecycle.recordAttempt(slot.attemptId, slot.serverId);
    lifecycle.setState({ kind: 'sent', serverId: slot.serverId });
    return { kind: 'slot', slot };
  }
}
