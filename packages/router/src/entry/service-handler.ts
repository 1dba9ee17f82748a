import { isUtf8 } from 'node:buffer';
import { randomUUID } from 'node:crypto';
import type { Cause, Finish, ServiceRoute } from '@pollendrum/protocol';
import { BackendCallError } from '../backend/backend-errors';
import { checkServer } from '../backend/server-pools';
import { selectRequestHeaders } from '../backend/service-client';
import type { ServiceCall, ServiceClient, ServiceResponse } from '../backend/service-client';
import type { ClaimReply, ClaimSettlement } from '../ports';
import { CallerWriter } from './caller-writer';
import { DEFAULT_RETRY_BUDGET_PERCENT } from './chat-handler';
import { hashToFingerprint } from './chat-request';
import type { GrantClient } from './grant-client';
import type { HeldSlot } from './held-slot';
import type { CallerIdentity, RequestContext } from './request-context';
import { RequestError } from './request-context';
import { sendServiceResponse } from './service-response';
import type { DeliveryResult } from './service-response';
import { computeKeyAgeMs, hashIdempotencyKey, isIdempotencyKey } from './service-routes';
import type { ServicePath } from './service-routes';
import { SlotRequester } from './slot-requester';
import type { SlotResult } from './slot-requester';

/** Clients that the handlers of all calls share. */
export interface ServiceHandlerClients {
  grants: GrantClient;
  service: ServiceClient;
}

/** Result of one attempt. `not-run`: the server refused it. `not-sent`: nothing was sent. `failed`: it may have run. */
type CallResult =
  | {
      kind: 'answered';
      status: number;
      contentType: string | undefined;
      isEncoded: boolean;
      delivery: DeliveryResult;
    }
  | { kind: 'not-run'; cause: Cause; isDraining: boolean }
  | { kind: 'not-sent'; cause: Cause }
  | { kind: 'failed'; cause: Cause; isCrash: boolean };

/** A key that this call has claimed; the nonce identifies the claim when it is settled. */
interface ClaimedKey {
  keyHash: string;
  nonce: string;
}

type CallSettlement = Omit<ClaimSettlement, 'keyHash' | 'nonce'>;

const MAX_STORED_BODY_BYTES = 1_024;

/** Handles one call, a request to an HTTP service. Throws RequestError when the call ends with an error response. */
export class ServiceHandler {
  readonly #slotRequester: SlotRequester;
  readonly #writer: CallerWriter;
  readonly #isIdempotent: boolean;

  constructor(
    readonly context: RequestContext,
    readonly caller: CallerIdentity,
    readonly target: ServicePath,
    readonly route: ServiceRoute,
    readonly body: Buffer,
    readonly clients: ServiceHandlerClients,
    poolName: string,
  ) {
    const { lifecycle, request } = context;
    const { serviceClass } = caller;
    const isMarkedNonIdempotent = request.headers['x-idempotent'] === 'false';
    this.#isIdempotent = route.isIdempotent && !isMarkedNonIdempotent;
    this.#writer = new CallerWriter(context);
    const method = request.method ?? 'GET';
    const fingerprint = hashToFingerprint(
      Buffer.concat([Buffer.from(JSON.stringify([target.serviceName, method, target.path])), body]),
    );
    this.#slotRequester = new SlotRequester(context, clients.grants, {
      requestId: lifecycle.requestId,
      poolId: `service:${poolName}`,
      className: serviceClass.name,
      tier: serviceClass.tier,
      team: caller.team,
      fingerprint,
      prefixHash: 0,
      promptTokens: 0,
      maxOutputTokens: 0,
      arrivedAtMs: lifecycle.startedAtMs,
      expiresAtMs: lifecycle.startedAtMs + serviceClass.maxTotalMs,
      maxQueueMs: serviceClass.maxQueueMs,
      bundleNumber: caller.active.bundle.number,
    });
  }

  async run(): Promise<void> {
    if (this.#isIdempotent) await this.#runIdempotent();
    else await this.#runNonIdempotent(this.#readIdempotencyKey());
  }

  async #runIdempotent(): Promise<void> {
    const { serviceClass } = this.caller;
    const { retryBudget } = this.context.options;
    const firstSlot = await this.#requestSlotForSending();
    retryBudget.recordFirstAttempt(serviceClass.name, performance.now());
    const firstResult = await this.#runAttempt(firstSlot, this.context.signal);
    if (!this.#isRetryable(firstResult)) {
      this.#endRequest(firstResult);
      return;
    }
    const percent = serviceClass.retryBudgetPercent ?? DEFAULT_RETRY_BUDGET_PERCENT;
    if (!retryBudget.takeRetry(serviceClass.name, percent, performance.now())) {
      throw createRequestError(firstResult, {
        kind: 'retry-budget-exhausted',
        budgetPercent: percent,
        underlying: firstResult.cause,
      });
    }
    this.context.lifecycle.recordHop('retry', performance.now(), firstSlot.serverId);
    this.#slotRequester.setRetry(firstSlot.serverId);
    const retrySlot = await this.#slotRequester.requestSlotForSending(this.context.signal);
    if (retrySlot.kind !== 'slot') {
      if (retrySlot.kind === 'stopped' && this.context.abortReason !== 'deadline')
        throw this.#createAbortError();
      throw createRequestError(firstResult, firstResult.cause);
    }
    const retryResult = await this.#runAttempt(retrySlot.slot, this.context.signal);
    const mayHaveRun = firstResult.kind === 'failed';
    if (mayHaveRun && (retryResult.kind === 'not-run' || retryResult.kind === 'not-sent')) {
      throw new RequestError('failed', firstResult.cause);
    }
    this.#endRequest(retryResult);
  }

  #isRetryable(
    result: CallResult,
  ): result is Extract<CallResult, { kind: 'not-run' | 'not-sent' | 'failed' }> {
    if (this.context.signal.aborted) return false;
    return result.kind !== 'answered';
  }

  /**
   * Waits for a grant, then claims the key, then sends the call. A call that gets no grant causes no write
   * on the platform, and a call is sent at most once for each claimed key.
   */
  async #runNonIdempotent(key: string): Promise<void> {
    const granted = await this.#slotRequester.requestSlot(this.context.signal);
    if (granted.kind !== 'slot') throw this.#createSlotError(granted);
    try {
      const claimed = await this.#claimKey(key, granted.slot);
      if (claimed !== undefined) await this.#sendClaimed(claimed, granted.slot);
    } finally {
      granted.slot.release('not-sent');
    }
  }

  async #sendClaimed(claimed: ClaimedKey, heldSlot: HeldSlot): Promise<void> {
    const { context, caller } = this;
    const requested = await this.#slotRequester.requestSlotForSending(context.signal, heldSlot);
    if (requested.kind !== 'slot') {
      this.#recordSettlement({ ...claimed, state: 'not-run' });
      throw this.#createSlotError(requested);
    }
    context.options.retryBudget.recordFirstAttempt(caller.serviceClass.name, performance.now());
    let settlement: CallSettlement = { state: 'unknown' };
    try {
      // From here on a disconnect of the caller doesn't abort the call, so that the claim records its result
      // for later requests with the same key.
      const result = await this.#runAttempt(requested.slot, context.deadlineSignal);
      settlement = toSettlement(result);
      this.#endRequest(result);
    } finally {
      this.#recordSettlement({ ...claimed, ...settlement });
    }
  }

  #recordSettlement(settlement: ClaimSettlement): void {
    this.context.options.claims.recordSettlement(settlement);
  }

  #readIdempotencyKey(): string {
    const key = this.context.request.headers['idempotency-key'];
    if (!isIdempotencyKey(key)) throw new RequestError('not-run', { kind: 'missing-key' });
    const retentionMs = this.context.limits.claimRetentionMs;
    const ageMs = computeKeyAgeMs(key, Date.now());
    if (ageMs !== undefined && ageMs > retentionMs) {
      throw new RequestError('not-run', { kind: 'key-expired', ageMs, retentionMs });
    }
    return key;
  }

  /**
   * Claims the key. Returns undefined after sending the response stored for the key; throws RequestError
   * when the call must not be sent.
   */
  async #claimKey(key: string, slot: HeldSlot): Promise<ClaimedKey | undefined> {
    const { lifecycle, options, span } = this.context;
    const keyHash = hashIdempotencyKey(this.caller.team, this.target.serviceName, key);
    const nonce = randomUUID();
    const startedAtMs = performance.now();
    using claimSpan = span.startChild('claim');
    const reply = await options.claims.claimKey(keyHash, nonce, lifecycle.requestId);
    claimSpan.setAttribute('result', reply.result);
    lifecycle.recordHop('claim', startedAtMs);
    switch (reply.result) {
      case 'claimed':
        lifecycle.setState({ kind: 'claimed', serverId: slot.serverId });
        return { keyHash, nonce };
      case 'duplicate':
        slot.release('not-sent');
        await this.#sendStoredResponse(reply);
        return undefined;
      case 'unavailable':
      case 'not-owner': {
        slot.release('not-sent');
        const { elapsedMs } = reply;
        const cause: Cause = { kind: 'platform-unavailable', operation: 'claim', elapsedMs };
        throw new RequestError('not-run', cause);
      }
    }
  }

  async #sendStoredResponse(reply: ClaimReply): Promise<void> {
    const { response } = this.context;
    const hasStoredResponse = reply.state === 'done' && reply.status !== undefined;
    if (!hasStoredResponse || reply.body === undefined) {
      throw new RequestError('not-run', {
        kind: 'duplicate-key',
        state: reply.state ?? 'unknown',
        firstRequestId: reply.firstRequestId ?? '',
      });
    }
    response.statusCode = reply.status ?? 200;
    if (reply.contentType !== undefined) response.setHeader('content-type', reply.contentType);
    response.setHeader('x-original-request-id', reply.firstRequestId ?? '');
    const isDelivered = await this.#writer.endResponse(reply.body);
    if (!isDelivered) throw this.#createAbortError();
    this.context.endRequest({ outcome: 'answered', status: response.statusCode });
  }

  async #requestSlotForSending(): Promise<HeldSlot> {
    const result = await this.#slotRequester.requestSlotForSending(this.context.signal);
    if (result.kind !== 'slot') throw this.#createSlotError(result);
    return result.slot;
  }

  async #runAttempt(slot: HeldSlot, signal: AbortSignal): Promise<CallResult> {
    const { span, lifecycle } = this.context;
    const startedAtMs = performance.now();
    using attemptSpan = span.startChild('service');
    attemptSpan.setAttribute('server', slot.serverId);
    const call = this.#buildCall(signal, attemptSpan.injectHeaders());
    const result = await this.#sendCall(slot, call).catch((error: unknown) => {
      slot.release('failed');
      throw error;
    });
    lifecycle.recordHop('stream', startedAtMs, slot.serverId);
    // A service response has no tokens; its total time is reported instead of the time to the first token.
    const totalMs = performance.now() - startedAtMs;
    slot.release(
      toFinishResult(result, signal),
      result.kind === 'answered' ? { firstTokenMs: totalMs } : {},
    );
    return result;
  }

  #buildCall(signal: AbortSignal, traceHeaders: Record<string, string>): ServiceCall {
    const { request, lifecycle } = this.context;
    return {
      method: request.method ?? 'GET',
      path: this.target.path,
      headers: {
        ...selectRequestHeaders(request.headers),
        ...traceHeaders,
        'x-request-id': lifecycle.requestId,
      },
      body: this.body,
      isIdempotent: this.#isIdempotent,
      signal,
    };
  }

  async #sendCall(slot: HeldSlot, call: ServiceCall): Promise<CallResult> {
    const { grant } = slot.options;
    const server = { address: grant.address, port: grant.port };
    try {
      const response = await this.clients.service.sendCall(server, call);
      return await this.#handleResponse(slot, response, call.signal);
    } catch (error) {
      if (!(error instanceof BackendCallError)) throw error;
      return await this.#createFailedResult(slot, error, call.signal);
    }
  }

  async #handleResponse(
    slot: HeldSlot,
    response: ServiceResponse,
    signal: AbortSignal,
  ): Promise<CallResult> {
    const { serverId, attemptId } = slot;
    const { lifecycle } = this.context;
    if (response.isNotRun) {
      response.body.resume();
      const cause: Cause = { kind: 'server-refused', serverId, attemptId, status: response.status };
      return { kind: 'not-run', cause, isDraining: response.isDraining };
    }
    lifecycle.setState({ kind: 'streaming', serverId });
    const delivery = await sendServiceResponse(this.context, this.#writer, response);
    if (delivery.kind === 'broken' && !delivery.isStarted) {
      const error = new BackendCallError(
        true,
        'the connection failed before the response was complete',
      );
      return await this.#createFailedResult(slot, error, signal);
    }
    const contentType = response.headers['content-type'];
    return {
      kind: 'answered',
      status: response.status,
      contentType: typeof contentType === 'string' ? contentType : undefined,
      isEncoded: response.headers['content-encoding'] !== undefined,
      delivery,
    };
  }

  async #createFailedResult(
    slot: HeldSlot,
    error: BackendCallError,
    signal: AbortSignal,
  ): Promise<CallResult> {
    const { serverId, attemptId } = slot;
    if (!error.isSent) {
      return {
        kind: 'not-sent',
        cause: { kind: 'server-refused', serverId, attemptId, status: 0 },
      };
    }
    if (signal.aborted) {
      const silentMs = performance.now() - this.context.lifecycle.startedAtMs;
      const cause: Cause = {
        kind: 'server-silent',
        serverId,
        attemptId,
        silentMs,
        deliveredTokens: 0,
      };
      return { kind: 'failed', cause, isCrash: false };
    }
    const { grant } = slot.options;
    const isAlive = await checkServer({ address: grant.address, port: grant.port });
    if (isAlive) {
      const cause: Cause = { kind: 'backend-error', serverId, attemptId, status: 0 };
      return { kind: 'failed', cause, isCrash: false };
    }
    const cause: Cause = { kind: 'server-crashed', serverId, attemptId, deliveredTokens: 0 };
    return { kind: 'failed', cause, isCrash: true };
  }

  /** Ends the request with the result of its last attempt. */
  #endRequest(result: CallResult): void {
    const { context } = this;
    if (result.kind === 'answered') {
      this.#endAnswered(result);
      return;
    }
    const isCallerDisconnected =
      context.abortReason !== undefined && context.abortReason !== 'deadline';
    if (isCallerDisconnected) throw this.#createAbortError();
    if (result.kind !== 'failed') throw new RequestError('not-run', result.cause);
    throw new RequestError(this.#isIdempotent ? 'failed' : 'unknown', result.cause);
  }

  #endAnswered(result: Extract<CallResult, { kind: 'answered' }>): void {
    const { context } = this;
    switch (result.delivery.kind) {
      case 'delivered':
        context.endRequest({ outcome: 'answered', status: result.status });
        return;
      case 'caller-gone':
        throw this.#createAbortError();
      case 'broken':
        throw new RequestError(this.#isIdempotent ? 'failed' : 'unknown', {
          kind: 'internal',
          message: 'the connection to the service failed during its answer',
        });
    }
  }

  #createSlotError(result: Exclude<SlotResult, { kind: 'slot' }>): RequestError {
    if (result.kind === 'stopped') return this.#createAbortError();
    return new RequestError('not-run', result.cause, result.retryAfterMs);
  }

  #createAbortError(): RequestError {
    const { context } = this;
    if (context.abortReason !== 'deadline') {
      return new RequestError(
        'cancelled',
        context.buildCancellationCause(this.#writer.getStalledMs()),
      );
    }
    const waitedMs = performance.now() - context.lifecycle.startedAtMs;
    const cause: Cause = { kind: 'queue-timeout', waitedMs, usedSlotsByClass: {} };
    return new RequestError('not-run', cause);
  }
}

function createRequestError(result: CallResult, cause: Cause): RequestError {
  return new RequestError(result.kind === 'failed' ? 'failed' : 'not-run', cause);
}

function toSettlement(result: CallResult): CallSettlement {
  switch (result.kind) {
    case 'not-run':
    case 'not-sent':
      return { state: 'not-run' };
    case 'failed':
      return { state: 'unknown' };
    case 'answered':
      return toDoneSettlement(result);
  }
}

function toDoneSettlement(result: Extract<CallResult, { kind: 'answered' }>): CallSettlement {
  const { status, contentType, delivery, isEncoded } = result;
  const body = delivery.kind === 'broken' ? undefined : delivery.body;
  // Claims store the body as text; a compressed or binary body would be corrupted.
  const isText = body !== undefined && !isEncoded && isUtf8(body);
  const isStored = isText && body.length <= MAX_STORED_BODY_BYTES;
  return {
    state: 'done',
    status,
    ...(contentType === undefined ? {} : { contentType }),
    ...(isStored ? { body: body.toString('utf8') } : {}),
  };
}

function toFinishResult(result: CallResult, signal: AbortSignal): Finish['result'] {
  switch (result.kind) {
    case 'answered':
      return result.delivery.kind === 'broken' ? 'failed' : 'completed';
    case 'not-run':
      return result.isDraining ? 'server-draining' : 'server-refused';
    case 'not-sent':
      return signal.aborted ? 'not-sent' : 'server-silent';
    case 'failed':
      if (result.isCrash) return 'server-crashed';
      return signal.aborted ? 'cancelled' : 'failed';
  }
}
