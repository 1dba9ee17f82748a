import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Cause, OutcomeKind, ServiceClass } from '@pollendrum/protocol';
import type { ActiveBundle, TraceSpan } from '../ports';
import type { BodyMemoryAccount } from './body-memory';
import type { EntryLimits, EntryOptions } from './entry-options';
import { buildErrorBody, getErrorStatus } from './error-responses';
import type { ErrorResponse } from './error-responses';
import type { RequestEnd, RequestLifecycle } from './request-state';

/** Why a request was aborted before its response was complete. */
export type AbortReason = 'caller-disconnected' | 'caller-slow' | 'deadline';

/** Thrown while a request is handled to end it with an error response. */
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

/** Team and service class of a request, and the bundle that defines them. */
export interface CallerIdentity {
  active: ActiveBundle;
  team: string;
  serviceClass: ServiceClass;
}

const DEFAULT_RETRY_AFTER_MS = 1_000;
const LINGERING_CLOSE_MS = 1_000;

/** A request in progress with its response, lifecycle and abort signals. */
export class RequestContext {
  readonly #callerAbort = new AbortController();
  readonly #deadlineAbort = new AbortController();
  #deadlineTimer: NodeJS.Timeout | undefined;
  #abortReason: AbortReason | undefined;

  constructor(
    readonly options: EntryOptions,
    readonly limits: EntryLimits,
    readonly request: IncomingMessage,
    readonly response: ServerResponse,
    readonly lifecycle: RequestLifecycle,
    readonly span: TraceSpan,
    readonly account: BodyMemoryAccount,
  ) {
    response.once('close', () => {
      if (!response.writableFinished) this.closeCallerConnection('caller-disconnected');
    });
  }

  /** Aborted when the connection to the caller is closed or the deadline of the request passes. */
  readonly signal = AbortSignal.any([this.#callerAbort.signal, this.#deadlineAbort.signal]);

  /** Aborted only at the deadline; a call that must not be sent twice continues after its caller disconnects. */
  readonly deadlineSignal = this.#deadlineAbort.signal;

  get abortReason(): AbortReason | undefined {
    return this.#abortReason;
  }

  /** Closes the connection to the caller and aborts `signal`. */
  closeCallerConnection(reason: 'caller-disconnected' | 'caller-slow'): void {
    if (this.#callerAbort.signal.aborted) return;
    this.#abortReason ??= reason;
    this.#callerAbort.abort(reason);
    this.response.destroy();
  }

  /** Starts the deadline timer; `maxTotalMs` counts from the arrival of the request. */
  startDeadline(maxTotalMs: number): void {
    const remainingMs = this.lifecycle.startedAtMs + maxTotalMs - performance.now();
    this.#deadlineTimer = setTimeout(
      () => {
        this.#abortReason ??= 'deadline';
        this.#deadlineAbort.abort('deadline');
      },
      Math.max(0, remainingMs),
    );
  }

  /** Builds the cause of a request that ends because its caller disconnected or was too slow. */
  buildCancellationCause(stalledMs: number): Cause {
    const deliveredTokens = this.lifecycle.meter.tokens;
    return this.#abortReason === 'caller-slow'
      ? { kind: 'caller-slow', deliveredTokens, stalledMs }
      : { kind: 'caller-disconnected', deliveredTokens };
  }

  /** Ends the request with an error response, or with an error event when the stream has already started. */
  sendError(errorResponse: ErrorResponse): void {
    const { response, lifecycle } = this;
    const status = response.headersSent ? response.statusCode : errorResponse.status;
    this.endRequest({ outcome: errorResponse.outcome, status, cause: errorResponse.cause });
    if (response.destroyed || response.writableEnded) return;
    if (errorResponse.status === 0) {
      response.destroy();
      return;
    }
    const body = JSON.stringify(buildErrorBody(errorResponse, lifecycle.requestId));
    if (response.headersSent) {
      this.#sendErrorEvent(body);
      return;
    }
    this.#sendErrorBody(errorResponse, body);
  }

  #sendErrorEvent(body: string): void {
    const isEventStream = this.response.getHeader('content-type') === 'text/event-stream';
    if (isEventStream) this.response.end(`data: ${body}\n\n`);
    else this.response.destroy();
  }

  #sendErrorBody(errorResponse: ErrorResponse, body: string): void {
    const { response, request } = this;
    response.statusCode = errorResponse.status;
    response.setHeader('content-type', 'application/json');
    response.setHeader('content-length', Buffer.byteLength(body));
    if (errorResponse.status === 429 || errorResponse.status === 503) {
      const retryAfterMs = errorResponse.retryAfterMs ?? DEFAULT_RETRY_AFTER_MS;
      response.setHeader('retry-after', Math.max(1, Math.ceil(retryAfterMs / 1_000)));
    }
    if (request.complete || !isBodyExpected(request)) {
      response.end(body);
      return;
    }
    // Closing a socket with unread bytes resets the connection, and the caller could lose the response.
    response.setHeader('connection', 'close');
    response.write(body);
    request.resume();
    const timer = setTimeout(() => response.end(), LINGERING_CLOSE_MS);
    request.once('end', () => {
      clearTimeout(timer);
      response.end();
    });
  }

  /** Ends the request and reports its outcome; later calls have no effect. */
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
