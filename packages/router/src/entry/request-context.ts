import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Cause, OutcomeKind, ServiceClass } from '@pollendrum/protocol';
import type { ActiveBundle, TraceSpan } from '../ports';
import type { EntryLimits, EntryOptions } from './entry-options';
import { buildErrorBody, getErrorStatus } from './error-responses';
import type { ErrorResponse } from './error-responses';
import type { RequestEnd, RequestLifecycle } from './request-state';

/** Why the work on a request was stopped before its answer was whole. */
export type AbortReason = 'caller-disconnected' | 'caller-slow' | 'deadline';

/** Thrown by the steps of a request to end it with an error answer. */
export class RequestError extends Error {
  override readonly name = 'RequestError';
  readonly response: ErrorResponse;

  constructor(outcome: OutcomeKind, cause: Cause, retryAfterMs?: number) {
    super(cause.kind);
    const status = getErrorStatus(outcome, cause);
    this.response = {
      outcome,
      status,
      cause,
      ...(retryAfterMs === undefined ? {} : { retryAfterMs }),
    };
  }
}

/** Who sent a request and under which class it runs. */
export interface Caller {
  active: ActiveBundle;
  team: string;
  serviceClass: ServiceClass;
}

const DEFAULT_RETRY_AFTER_MS = 1_000;
const LINGER_MS = 1_000;

/** One request with its connection to the caller. */
export class RequestContext {
  readonly #callerGone = new AbortController();
  readonly #deadline = new AbortController();
  #deadlineTimer: NodeJS.Timeout | undefined;
  #abortReason: AbortReason | undefined;

  constructor(
    readonly options: EntryOptions,
    readonly limits: EntryLimits,
    readonly request: IncomingMessage,
    readonly response: ServerResponse,
    readonly lifecycle: RequestLifecycle,
    readonly span: TraceSpan,
  ) {
    response.once('close', () => {
      if (!response.writableFinished) this.closeCallerConnection('caller-disconnected');
    });
  }

  /** Aborted when the caller is gone or the time of the request is over. */
  readonly signal = AbortSignal.any([this.#callerGone.signal, this.#deadline.signal]);

  /** Aborted when the time of the request is over; work that must not be repeated outlives its caller. */
  readonly deadlineSignal = this.#deadline.signal;

  get abortReason(): AbortReason | undefined {
    return this.#abortReason;
  }

  /** Cuts off the caller. */
  closeCallerConnection(reason: 'caller-disconnected' | 'caller-slow'): void {
    if (this.#callerGone.signal.aborted) return;
    this.#abortReason ??= reason;
    this.#callerGone.abort(reason);
    this.response.destroy();
  }

  /** Bounds the request; `maxTotalMs` counts from its arrival. */
  startDeadline(maxTotalMs: number): void {
    const remainingMs = this.lifecycle.startedAtMs + maxTotalMs - performance.now();
    this.#deadlineTimer = setTimeout(
      () => {
        this.#abortReason ??= 'deadline';
        this.#deadline.abort('deadline');
      },
      Math.max(0, remainingMs),
    );
  }

  /** Cause of a stop by the caller. */
  buildCancellationCause(stalledMs: number): Cause {
    const deliveredTokens = this.lifecycle.meter.tokens;
    return this.#abortReason === 'caller-slow'
      ? { kind: 'caller-slow', deliveredTokens, stalledMs }
      : { kind: 'caller-disconnected', deliveredTokens };
  }

  /** Ends the request with an error answer, or an error event when the stream has begun. */
  sendError(reply: ErrorResponse): void {
    const { response, lifecycle } = this;
    const status = response.headersSent ? response.statusCode : reply.status;
    this.endRequest({ outcome: reply.outcome, status, cause: reply.cause });
    if (response.destroyed || response.writableEnded) return;
    if (reply.status === 0) {
      response.destroy();
      return;
    }
    const body = JSON.stringify(buildErrorBody(reply, lifecycle.requestId));
    if (response.headersSent) {
      this.#sendErrorEvent(body);
      return;
    }
    this.#sendErrorBody(reply, body);
  }

  #sendErrorEvent(body: string): void {
    const isEventStream = this.response.getHeader('content-type') === 'text/event-stream';
    if (isEventStream) this.response.end(`data: ${body}\n\n`);
    else this.response.destroy();
  }

  #sendErrorBody(reply: ErrorResponse, body: string): void {
    const { response, request } = this;
    response.statusCode = reply.status;
    response.setHeader('content-type', 'application/json');
    response.setHeader('content-length', Buffer.byteLength(body));
    if (reply.status === 429 || reply.status === 503) {
      const retryAfterMs = reply.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
      response.setHeader('retry-after', Math.max(1, Math.ceil(retryAfterMs / 1_000)));
    }
    if (request.complete || !isBodyExpected(request)) {
      response.end(body);
      return;
    }
    // Closing with unread bytes resets the connection, and the caller could lose the answer.
    response.setHeader('connection', 'close');
    response.write(body);
    request.resume();
    const timer = setTimeout(() => response.end(), LINGER_MS);
    request.once('end', () => {
      clearTimeout(timer);
      response.end();
    });
  }

  /** Records the end; later calls have no effect. */
  endRequest(end: RequestEnd): void {
    if (!this.lifecycle.endRequest(end)) return;
    clearTimeout(this.#deadlineTimer);
    this.#reportEnd(end);
  }

  #reportEnd(end: RequestEnd): void {
    const { metrics, log } = this.options.telemetry;
    const record = this.lifecycle.getRecord();
    if (record === undefined) return;
    const { className, team, requestId } = record;
    const tags = { class: className, outcome: end.outcome };
    metrics.increment('requests', record.cause ? { ...tags, cause: record.cause.kind } : tags);
    metrics.timing('request.total', record.totalMs, tags);
    if (record.firstTokenMs !== undefined) {
      metrics.timing('request.first_token', record.firstTokenMs, tags);
    }
    this.span.setAttribute('outcome', end.outcome);
    if (record.cause !== undefined) this.span.setAttribute('cause', record.cause.kind);
    if (end.outcome === 'failed' || end.outcome === 'unknown') this.span.fail(end.outcome);
    this.span[Symbol.dispose]();
    const fields = { requestId, className, team, outcome: end.outcome, cause: record.cause };
    if (record.onTime) log.debug('request ended', fields);
    else log.info('request ended', fields);
  }
}

function isBodyExpected(request: IncomingMessage): boolean {
  if (request.headers['transfer-encoding'] !== undefined) return true;
  return Number(request.headers['content-length'] ?? 0) > 0;
}
