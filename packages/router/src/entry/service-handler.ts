import { isUtf8 } from 'node:buffer';
import { randomUUID } from 'node:crypto';
import type { Cause, Finish, ServiceRoute } from '@pollendrum/protocol';
import { BackendCallError } from '../backend/backend-errors';
import { checkServer } from '../backend/server-pools';
import { selectRequestHeaders } from '../backend/service-client';
import type { ServiceCall, ServiceClient, ServiceResponse } from '../backend/service-client';
import type { ClaimReply, ClaimSettlement } from '../ports';
import { CallerWriter } from './caller-writer';
import { DEFAULT_RETRY_PERCENT } from './chat-flow';
import { hashToFingerprint } from './chat-request';
import type { GrantClient } from './grant-client';
import type { HeldSlot } from './held-slot';
import type { Caller, RequestContext } from './request-context';
import { RequestError } from './request-context';
import { sendServiceResponse } from './service-response';
import type { DeliveryResult } from './service-response';
import { computeKeyAgeMs, hashClaimKey, isIdempotencyKey } from './service-routes';
import type { ServicePath } from './service-routes';
import { SlotRequester } from './slot-requester';
import type { SlotResult } from './slot-requester';

/** Services that all calls share. */
export interface ServiceHandlerClients {
  grants: GrantClient;
  client: ServiceClient;
}

/** How one attempt ended. */
type CallResult =
  | {
      kind: 'answered';
      status: number;
      contentType: string | undefined;
      isEncoded: boolean;
      end: DeliveryResult;
    }
  | { kind: 'not-run'; cause: Cause; isDraining: boolean }
  | { kind: 'not-sent'; cause: Cause }
  | { kind: 'failed'; cause: Cause; isCrash: boolean };

interface Claimed {
  keyHash: string;
  nonce: string;
}

type CallSettlement = Omit<ClaimSettlement, 'keyHash' | 'nonce'>;

const STORED_BODY_BYTES = 1_024;

/** Runs one call to a plain service to its end. Throws RequestError to end it with an error answer. */
export class ServiceHandler {
  readonly #source: SlotRequester;
  readonly #writer: CallerWriter;
  readonly #isIdempotent: boolean;

  constructor(
    readonly context: RequestContext,
    readonly caller: Caller,
    readonly target: ServicePath,
    readonly route: ServiceRoute,
    readonly body: Buffer,
    readonly services: ServiceHandlerClients,
    poolName: string,
  ) {
    const { lifecycle, request } = context;
    const { serviceClass } = caller;
    const isStricter = request.headers['x-idempotent'] === 'false';
    this.#isIdempotent = route.isIdempotent && !isStricter;
    this.#writer = new CallerWriter(context);
    const method = request.method ?? 'GET';
    const fingerprint = hashToFingerprint(
      Buffer.concat([Buffer.from(JSON.stringify([target.serviceName, method, target.path])), body]),
    );
    this.#source = new SlotRequester(context, services.grants, {
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
    else await this.#runOnce(this.#checkKey());
  }

  async #runIdempotent(): Promise<void> {
    const { serviceClass } = this.caller;
    const { retryBudget } = this.context.options;
    const first = await this.#takeSent();
    retryBudget.recordFirstAttempt(serviceClass.name, performance.now());
    const result = await this.#sendUnder(first, this.context.signal);
    if (!this.#isRetryable(result)) {
      this.#endWith(result);
      return;
    }
    const percent = serviceClass.retryBudgetPercent ?? DEFAULT_RETRY_PERCENT;
    if (!retryBudget.tryRetry(serviceClass.name, percent, performance.now())) {
      throw createFailure(result, {
        kind: 'retry-budget-exhausted',
        budgetPercent: percent,
        underlying: result.cause,
      });
    }
    this.context.lifecycle.recordHop('retry', performance.now(), first.serverId);
    this.#source.setRetry(first.serverId);
    const second = await this.#source.requestSlotForSending(this.context.signal);
    if (second.kind !== 'slot') {
      if (second.kind === 'stopped' && this.context.stopReason !== 'deadline')
        throw this.#createStopped();
      throw createFailure(result, result.cause);
    }
    const secondResult = await this.#sendUnder(second.slot, this.context.signal);
    const hasRun = result.kind === 'failed';
    if (hasRun && (secondResult.kind === 'not-run' || secondResult.kind === 'not-sent')) {
      throw new RequestError('failed', result.cause);
    }
    this.#endWith(secondResult);
  }

  #isRetryable(
    result: CallResult,
  ): result is Extract<CallResult, { kind: 'not-run' | 'not-sent' | 'failed' }> {
    if (this.context.signal.aborted) return false;
    return result.kind !== 'answered';
  }

  /** Grant, claim, send: a call that is shed costs no platform write, and a claimed key is sent at most once. */
  async #runOnce(key: string): Promise<void> {
    const taken = await this.#source.requestSlot(this.context.signal);
    if (taken.kind !== 'slot') throw this.#createRefusal(taken);
    try {
      const claimed = await this.#claimKey(key, taken.slot);
      if (claimed !== undefined) await this.#sendClaimed(claimed, taken.slot);
    } finally {
      taken.slot.release('not-sent');
    }
  }

  async #sendClaimed(claimed: Claimed, held: HeldSlot): Promise<void> {
    const { context, caller } = this;
    const sent = await this.#source.requestSlotForSending(context.signal, held);
    if (sent.kind !== 'slot') {
      this.#recordSettlement({ ...claimed, state: 'not-run' });
      throw this.#createRefusal(sent);
    }
    context.options.retryBudget.recordFirstAttempt(caller.serviceClass.name, performance.now());
    let settlement: CallSettlement = { state: 'unknown' };
    try {
      // The caller no longer decides: the call runs to its end so that the claim can tell a repeat about it.
      const result = await this.#sendUnder(sent.slot, context.deadlineSignal);
      settlement = toSettlement(result);
      this.#endWith(result);
    } finally {
      this.#recordSettlement({ ...claimed, ...settlement });
    }
  }

  #recordSettlement(settlement: ClaimSettlement): void {
    this.context.options.claims.recordSettlement(settlement);
  }

  #checkKey(): string {
    const key = this.context.request.headers['idempotency-key'];
    if (!isIdempotencyKey(key)) throw new RequestError('not-run', { kind: 'missing-key' });
    const retentionMs = this.context.limits.claimRetentionMs;
    const ageMs = computeKeyAgeMs(key, Date.now());
    if (ageMs !== undefined && ageMs > retentionMs) {
      throw new RequestError('not-run', { kind: 'key-expired', ageMs, retentionMs });
    }
    return key;
  }

  /** Undefined when a stored reply was sent. Throws RequestError when the call must not be sent. */
  async #claimKey(key: string, slot: HeldSlot): Promise<Claimed | undefined> {
    const { lifecycle, options, span } = this.context;
    const keyHash = hashClaimKey(this.caller.team, this.target.serviceName, key);
    const nonce = randomUUID();
    const startedAtMs = performance.now();
    using hop = span.startChild('claim');
    const reply = await options.claims.claimKey(keyHash, nonce, lifecycle.requestId);
    hop.setAttribute('result', reply.result);
    lifecycle.recordHop('claim', startedAtMs);
    switch (reply.result) {
      case 'claimed':
        lifecycle.setState({ kind: 'claimed', serverId: slot.serverId });
        return { keyHash, nonce };
      case 'duplicate':
        slot.release('not-sent');
        await this.#sendStoredReply(reply);
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

  async #sendStoredReply(reply: ClaimReply): Promise<void> {
    const { response } = this.context;
    const hasReply = reply.state === 'done' && reply.status !== undefined;
    if (!hasReply || reply.body === undefined) {
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
    if (!isDelivered) throw this.#createStopped();
    this.context.endRequest({ outcome: 'answered', status: response.statusCode });
  }

  async #takeSent(): Promise<HeldSlot> {
    const result = await this.#source.requestSlotForSending(this.context.signal);
    if (result.kind !== 'slot') throw this.#createRefusal(result);
    return result.slot;
  }

  async #sendUnder(slot: HeldSlot, signal: AbortSignal): Promise<CallResult> {
    const { span, lifecycle } = this.context;
    const startedAtMs = performance.now();
    using hop = span.startChild('service');
    hop.setAttribute('server', slot.serverId);
    const call = this.#buildCall(signal, hop.injectHeaders());
    const result = await this.#sendCall(slot, call).catch((error: unknown) => {
      slot.release('failed');
      throw error;
    });
    lifecycle.recordHop('stream', startedAtMs, slot.serverId);
    const firstTokenMs = performance.now() - startedAtMs;
    slot.release(
      toFinishResult(result, signal),
      result.kind === 'answered' ? { firstTokenMs } : {},
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
      const answer = await this.services.client.sendCall(server, call);
      return await this.#handleAnswer(slot, answer, call.signal);
    } catch (error) {
      if (!(error instanceof BackendCallError)) throw error;
      return await this.#createFailedResult(slot, error, call.signal);
    }
  }

  async #handleAnswer(
    slot: HeldSlot,
    answer: ServiceResponse,
    signal: AbortSignal,
  ): Promise<CallResult> {
    const { serverId, attemptId } = slot;
    const { lifecycle } = this.context;
    if (answer.isNotRun) {
      answer.body.resume();
      const cause: Cause = { kind: 'server-refused', serverId, attemptId, status: answer.status };
      return { kind: 'not-run', cause, isDraining: answer.isDraining };
    }
    lifecycle.setState({ kind: 'streaming', serverId });
    const end = await sendServiceResponse(this.context, this.#writer, answer);
    if (end.kind === 'broken' && !end.isStarted) {
      const error = new BackendCallError(true, 'answer broke off');
      return await this.#createFailedResult(slot, error, signal);
    }
    const contentType = answer.headers['content-type'];
    return {
      kind: 'answered',
      status: answer.status,
      contentType: typeof contentType === 'string' ? contentType : undefined,
      isEncoded: answer.headers['content-encoding'] !== undefined,
      end,
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

  /** Ends the request after its last attempt. */
  #endWith(result: CallResult): void {
    const { context } = this;
    if (result.kind === 'answered') {
      this.#endAnswered(result);
      return;
    }
    const isCallerGone = context.stopReason !== undefined && context.stopReason !== 'deadline';
    if (isCallerGone) throw this.#createStopped();
    if (result.kind !== 'failed') throw new RequestError('not-run', result.cause);
    throw new RequestError(this.#isIdempotent ? 'failed' : 'unknown', result.cause);
  }

  #endAnswered(result: Extract<CallResult, { kind: 'answered' }>): void {
    const { context } = this;
    switch (result.end.kind) {
      case 'delivered':
        context.endRequest({ outcome: 'answered', status: result.status });
        return;
      case 'caller-gone':
        throw this.#createStopped();
      case 'broken':
        throw new RequestError(this.#isIdempotent ? 'failed' : 'unknown', {
          kind: 'internal',
          message: 'the connection to the service failed during its answer',
        });
    }
  }

  #createRefusal(result: Exclude<SlotResult, { kind: 'slot' }>): RequestError {
    if (result.kind === 'stopped') return this.#createStopped();
    return new RequestError('not-run', result.cause, result.retryAfterMs);
  }

  #createStopped(): RequestError {
    const { context } = this;
    if (context.stopReason !== 'deadline') {
      return new RequestError('cancelled', context.buildCallerCause(this.#writer.getStalledMs()));
    }
    const waitedMs = performance.now() - context.lifecycle.startedAtMs;
    const cause: Cause = { kind: 'queue-timeout', waitedMs, usedSlotsByClass: {} };
    return new RequestError('not-run', cause);
  }
}

function createFailure(result: CallResult, cause: Cause): RequestError {
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
  const { status, contentType, end, isEncoded } = result;
  const body = end.kind === 'broken' ? undefined : end.body;
  // Claims hold text; a compressed or binary body would not survive.
  const isText = body !== undefined && !isEncoded && isUtf8(body);
  const isKept = isText && body.length <= STORED_BODY_BYTES;
  return {
    state: 'done',
    status,
    ...(contentType === undefined ? {} : { contentType }),
    ...(isKept ? { body: body.toString('utf8') } : {}),
  };
}

function toFinishResult(result: CallResult, signal: AbortSignal): Finish['result'] {
  switch (result.kind) {
    case 'answered':
      return result.end.kind === 'broken' ? 'failed' : 'completed';
    case 'not-run':
      return result.isDraining ? 'server-draining' : 'server-refused';
    case 'not-sent':
      return signal.aborted ? 'not-sent' : 'server-silent';
    case 'failed':
      if (result.isCrash) return 'server-crashed';
      return signal.aborted ? 'cancelled' : 'failed';
  }
}
