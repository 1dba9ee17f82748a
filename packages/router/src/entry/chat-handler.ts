import type { Cause, Finish } from '@pollendrum/protocol';
import { buildChatCompletion, collectText } from '../backend/chunks';
import type { EngineClient } from '../backend/engine-client';
import { streamAttempt } from '../backend/stream-relay';
import type { AttemptResult, ChunkSink } from '../backend/stream-relay';
import { CallerWriter, EventStreamSink, NonStreamingSink } from './caller-writer';
import {
  buildEngineBody,
  buildPrefixText,
  computeChatFingerprint,
  estimatePromptTokens,
} from './chat-request';
import type { ChatRequest } from './chat-request';
import type { GrantClient } from './grant-client';
import type { HeldSlot, AttemptStats } from './held-slot';
import type { CallerIdentity, RequestContext } from './request-context';
import { RequestError } from './request-context';
import { SlotRequester } from './slot-requester';

/** Clients that the handlers of all chat requests share. */
export interface ChatHandlerClients {
  grants: GrantClient;
  engine: EngineClient;
}

/** An attempt that did not complete the response. */
interface FailedAttempt {
  cause: Cause;
  /** Whether the attempt may have generated tokens. */
  mayHaveRun: boolean;
}

export const DEFAULT_RETRY_BUDGET_PERCENT = 10;
const MAX_ATTEMPTS = 2;

/** Handles one chat request. Throws RequestError when the request ends with an error response. */
export class ChatHandler {
  readonly #slotRequester: SlotRequester;
  readonly #writer: CallerWriter;
  readonly #sink: ChunkSink;
  readonly #delivered: string[] = [];
  readonly #completionId: string;

  constructor(
    readonly context: RequestContext,
    readonly caller: CallerIdentity,
    readonly chat: ChatRequest,
    readonly clients: ChatHandlerClients,
    poolName: string,
  ) {
    const { lifecycle, options } = context;
    const { serviceClass } = caller;
    this.#writer = new CallerWriter(context);
    this.#sink = chat.isStreamed
      ? new EventStreamSink(context, this.#writer)
      : new NonStreamingSink();
    this.#completionId = `chatcmpl-${lifecycle.requestId}`;
    this.#slotRequester = new SlotRequester(context, clients.grants, {
      requestId: lifecycle.requestId,
      poolId: `model:${poolName}`,
      className: serviceClass.name,
      tier: serviceClass.tier,
      team: caller.team,
      fingerprint: computeChatFingerprint(chat),
      prefixHash: options.hashToUint32(buildPrefixText(chat)),
      promptTokens: estimatePromptTokens(chat),
      maxOutputTokens: chat.maxOutputTokens,
      arrivedAtMs: lifecycle.startedAtMs,
      expiresAtMs: lifecycle.startedAtMs + serviceClass.maxTotalMs,
      maxQueueMs: serviceClass.maxQueueMs,
      bundleNumber: caller.active.bundle.number,
    });
  }

  async run(): Promise<void> {
    const { serviceClass } = this.caller;
    const { retryBudget } = this.context.options;
    let failed: FailedAttempt | undefined;
    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      const slot = await this.#requestSlot(failed);
      if (attempt === 0) retryBudget.recordFirstAttempt(serviceClass.name, performance.now());
      const startedAtMs = performance.now();
      const result = await this.#runAttempt(slot).catch((error: unknown) => {
        slot.release('failed');
        throw error;
      });
      this.context.lifecycle.recordHop('stream', startedAtMs, slot.serverId);
      slot.release(toFinishResult(result), this.#getStats(attempt, startedAtMs));
      const next = await this.#handleResult(result, slot, failed);
      if (next === undefined) return;
      failed = next;
      if (attempt + 1 < MAX_ATTEMPTS) this.#startRetry(slot, failed);
    }
    if (failed !== undefined) throw createRequestError(failed);
  }

  async #requestSlot(failed: FailedAttempt | undefined): Promise<HeldSlot> {
    const result = await this.#slotRequester.requestSlotForSending(this.context.signal);
    switch (result.kind) {
      case 'slot':
        return result.slot;
      case 'stopped':
        throw this.#createAbortError(undefined, failed?.mayHaveRun ?? false);
      case 'rejected':
        if (failed?.mayHaveRun) throw createRequestError(failed);
        throw new RequestError('not-run', result.cause, result.retryAfterMs);
    }
  }

  async #runAttempt(slot: HeldSlot): Promise<AttemptResult> {
    const { context, chat } = this;
    const { lifecycle, span, options } = context;
    const { grant } = slot.options;
    const generatedText = collectText(this.#delivered);
    using attemptSpan = span.startChild('engine');
    attemptSpan.setAttribute('server', slot.serverId);
    const sentAtMs = performance.now();
    return await streamAttempt({
      engine: this.clients.engine,
      server: { address: grant.address, port: grant.port },
      attemptId: slot.attemptId,
      completionId: this.#completionId,
      body: buildEngineBody(chat, grant.priority, generatedText, lifecycle.meter.tokens),
      headers: attemptSpan.injectHeaders(),
      sink: this.#sink,
      meter: lifecycle.meter,
      delivered: this.#delivered,
      signal: context.signal,
      onOpened: () => {
        lifecycle.recordHop('connect', sentAtMs, slot.serverId);
        lifecycle.setState({ kind: 'streaming', serverId: slot.serverId });
      },
      onResumed: (elapsedMs) => {
        lifecycle.recordHop('resume', performance.now() - elapsedMs, slot.serverId);
      },
      ...(options.stallMs === undefined ? {} : { stallMs: options.stallMs }),
    });
  }

  /** Handles the result of an attempt; returns undefined when the request has ended. */
  async #handleResult(
    result: AttemptResult,
    slot: HeldSlot,
    previous: FailedAttempt | undefined,
  ): Promise<FailedAttempt | undefined> {
    const previousMayHaveRun = previous?.mayHaveRun ?? false;
    switch (result.kind) {
      case 'completed':
        await this.#finishResponse();
        return undefined;
      case 'aborted':
        throw this.#createAbortError(slot, true);
      case 'error-status':
        if (result.status < 500) {
          await this.#sendEngineError(result.status, result.body, result.contentType);
          return undefined;
        }
        return { cause: toCause(result, slot, this.#countTokens()), mayHaveRun: true };
      case 'not-sent':
        if (this.context.signal.aborted) throw this.#createAbortError(slot, previousMayHaveRun);
        return this.#createNotRunAttempt(result, slot, previous);
      case 'not-run':
        return this.#createNotRunAttempt(result, slot, previous);
      case 'crashed':
      case 'silent':
      case 'lost':
        return { cause: toCause(result, slot, this.#countTokens()), mayHaveRun: true };
    }
  }

  // If an earlier attempt ran, the request reports the cause of that failure, not the later refusal.
  #createNotRunAttempt(
    result: Extract<AttemptResult, { kind: 'not-run' | 'not-sent' }>,
    slot: HeldSlot,
    previous: FailedAttempt | undefined,
  ): FailedAttempt {
    if (previous?.mayHaveRun) return previous;
    return { cause: toCause(result, slot, this.#countTokens()), mayHaveRun: false };
  }

  #startRetry(slot: HeldSlot, failed: FailedAttempt): void {
    const { serviceClass } = this.caller;
    const percent = serviceClass.retryBudgetPercent ?? DEFAULT_RETRY_BUDGET_PERCENT;
    const { retryBudget } = this.context.options;
    if (!retryBudget.takeRetry(serviceClass.name, percent, performance.now())) {
      const { cause, mayHaveRun } = failed;
      throw createRequestError({
        cause: { kind: 'retry-budget-exhausted', budgetPercent: percent, underlying: cause },
        mayHaveRun,
      });
    }
    this.context.lifecycle.recordHop('retry', performance.now(), slot.serverId);
    this.#slotRequester.setRetry(slot.serverId);
  }

  async #finishResponse(): Promise<void> {
    const { response } = this.context;
    if (this.#sink instanceof EventStreamSink) {
      this.#sink.writeChunk('[DONE]');
      this.#sink.flush();
      await this.#endResponse(undefined);
      return;
    }
    const { model } = this.chat;
    const body = buildChatCompletion(
      this.#delivered,
      this.#completionId,
      model,
      this.#countTokens(),
    );
    response.setHeader('content-type', 'application/json');
    response.setHeader('content-length', Buffer.byteLength(body));
    await this.#endResponse(body);
  }

  async #sendEngineError(status: number, body: string, contentType: string): Promise<void> {
    const { response } = this.context;
    if (response.headersSent) {
      throw new RequestError('failed', { kind: 'internal', message: `engine answered ${status}` });
    }
    response.statusCode = status;
    response.setHeader('content-type', contentType);
    response.setHeader('content-length', Buffer.byteLength(body));
    await this.#endResponse(body);
  }

  async #endResponse(body: string | undefined): Promise<void> {
    const isDelivered = await this.#writer.endResponse(body);
    if (!isDelivered) throw this.#createAbortError(undefined, true);
    this.context.endRequest({ outcome: 'answered', status: this.context.response.statusCode });
  }

  #createAbortError(slot: HeldSlot | undefined, mayHaveRun: boolean): RequestError {
    const { context } = this;
    if (context.abortReason !== 'deadline') {
      return new RequestError(
        'cancelled',
        context.buildCancellationCause(this.#writer.getStalledMs()),
      );
    }
    const elapsedMs = performance.now() - context.lifecycle.startedAtMs;
    if (!mayHaveRun) {
      const cause: Cause = { kind: 'queue-timeout', waitedMs: elapsedMs, usedSlotsByClass: {} };
      return new RequestError('not-run', cause);
    }
    const { meter } = context.lifecycle;
    return new RequestError('failed', {
      kind: 'server-slow',
      serverId: slot?.serverId ?? '',
      attemptId: slot?.attemptId ?? '',
      firstTokenMs: meter.firstTokenMs ?? elapsedMs,
      longestGapMs: meter.longestGapMs,
    });
  }

  #countTokens(): number {
    return this.context.lifecycle.meter.tokens;
  }

  // Latencies are reported for first attempts only: a retry may continue a response whose first token came from
  // another server.
  #getStats(attempt: number, sentAtMs: number): AttemptStats {
    const { meter } = this.context.lifecycle;
    const outputTokens = meter.tokens;
    if (attempt > 0 || meter.firstTokenMs === undefined) return { outputTokens };
    const meanGapMs = meter.getMeanGapMs();
    const firstTokenMs = Math.max(0, meter.firstTokenMs - (sentAtMs - meter.startedAtMs));
    return { firstTokenMs, outputTokens, ...(meanGapMs === undefined ? {} : { meanGapMs }) };
  }
}

function createRequestError(failed: FailedAttempt): RequestError {
  return new RequestError(failed.mayHaveRun ? 'failed' : 'not-run', failed.cause);
}

function toCause(
  result: Exclude<AttemptResult, { kind: 'completed' | 'aborted' }>,
  slot: HeldSlot,
  deliveredTokens: number,
): Cause {
  const { serverId, attemptId } = slot;
  switch (result.kind) {
    case 'not-sent':
      return { kind: 'server-refused', serverId, attemptId, status: 0 };
    case 'not-run':
      return { kind: 'server-refused', serverId, attemptId, status: result.status };
    case 'error-status':
      return { kind: 'backend-error', serverId, attemptId, status: result.status };
    case 'crashed':
      return { kind: 'server-crashed', serverId, attemptId, deliveredTokens };
    case 'silent': {
      const { silentMs } = result;
      return { kind: 'server-silent', serverId, attemptId, silentMs, deliveredTokens };
    }
    case 'lost':
      return { kind: 'backend-error', serverId, attemptId, status: 0 };
  }
}

function toFinishResult(result: AttemptResult): Finish['result'] {
  switch (result.kind) {
    case 'completed':
      return 'completed';
    case 'aborted':
      return 'cancelled';
    case 'crashed':
      return 'server-crashed';
    case 'silent':
    case 'not-sent':
      // `not-sent`: no connection could be opened, so the server is treated as down; this request did not crash it.
      return 'server-silent';
    case 'not-run':
      return result.isDraining ? 'server-draining' : 'server-refused';
    case 'error-status':
    case 'lost':
      return 'failed';
  }
}
