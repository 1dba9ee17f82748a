import type { Cause } from '@pollendrum/protocol';
import type { GrantClient } from './grant-client';
import type { GrantRequest } from './grant-request';
import type { HeldSlot } from './held-slot';
import type { RequestContext } from './request-context';

/** A slot, or why there is none. */
export type SlotResult =
  | { kind: 'slot'; slot: HeldSlot }
  | { kind: 'rejected'; cause: Cause; retryAfterMs: number }
  | { kind: 'stopped' };

/** What stays the same for all attempts of one request. */
export type SlotRequest = Omit<GrantRequest, 'excludedServerIds' | 'isRetry'>;

// Void grants come from pauses of this process; three in a row mean that it cannot keep up.
const MAX_VOID_GRANTS = 3;
const RETRY_AFTER_MS = 1_000;

/** Takes grants for one request. */
export class SlotRequester {
  readonly #excludedServerIds: string[] = [];
  #isRetry = false;

  constructor(
    readonly context: RequestContext,
    readonly grants: GrantClient,
    readonly request: SlotRequest,
  ) {}

  /** The next grants are for a further attempt on another server. */
  setRetry(failedServerId: string): void {
    this.#isRetry = true;
    this.#excludedServerIds.push(failedServerId);
  }

  /** Waits for a grant. */
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

  /** Waits for a grant and marks it as used; a grant that is void by then is replaced. */
  async requestSlotForSending(signal: AbortSignal, held?: HeldSlot): Promise<SlotResult> {
    let slot = held;
    for (let voids = 0; voids < MAX_VOID_GRANTS; voids += 1) {
      if (slot === undefined) {
        const result = await this.requestSlot(signal);
        if (result.kind !== 'slot') return result;
        slot = result.slot;
      }
      if (signal.aborted) {
        slot.release('not-sent');
        return { kind: 'stopped' };
      }
      if (slot.markSent(performance.now())) return this.#markSent(slot);
      slot.release('not-sent');
      slot = undefined;
    }
    const elapsedMs = performance.now() - this.context.lifecycle.startedAtMs;
    const cause: Cause = { kind: 'dispatcher-lost', instanceId: '', elapsedMs };
    return { kind: 'rejected', cause, retryAfterMs: RETRY_AFTER_MS };
  }

  #markSent(slot: HeldSlot): SlotResult {
    const { lifecycle } = this.context;
    lifecycle.setAttempt(slot.attemptId, slot.serverId);
    lifecycle.setState({ kind: 'sent', serverId: slot.serverId });
    return { kind: 'slot', slot };
  }
}
