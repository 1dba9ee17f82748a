import type { ResponseHead } from './backend-attempt';
import { describeRejection, RequestDispatcher, resolveRetryAfterMs } from './request-dispatcher';
import type { Dispatch, DispatchRejection } from './request-dispatcher';
import { makeShutdownError, SHUTDOWN_REASON } from './error-response';
import { EventSequence } from './event-sequence';
import type { EventBatch } from './event-splitter';
import type { Exchange } from './exchange';
import { runRetryLoop } from './retry-loop';
import { StreamAttempt } from './stream-attempt';
import type { StreamAttemptResult } from './stream-attempt';

/**
 * A caller without a first byte is assumed to disconnect after the longest of three times: a fixed time in
 * milliseconds, a multiple of the latency target and a multiple of the pause target.
 */
const MIN_FIRST_BYTE_TIMEOUT_MS = 2_000;
const FIRST_BYTE_TIMEOUT_LATENCY_FACTOR = 4;
const FIRST_BYTE_TIMEOUT_PAUSE_FACTOR = 8;
/** Sent as `retry-after` when no server can take the stream, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 300;
/**
 * A resumable stream is resumed at another server after this multiple of the pause target without a further event; until
 * the first event, the time of `computeOverdueAfterMs` applies.
 */
const INACTIVITY_TIMEOUT_FACTOR = 3;
/**
 * Lower bound of the time without a further event, in milliseconds; the pause of a stream whose server restarts its
 * connections is shorter than this bound.
 */
const MIN_INACTIVITY_TIMEOUT_MS = 1_000;
/** Pause target of a route that states none, in milliseconds. */
const DEFAULT_PAUSE_TARGET_MS = 1_000;
const OK = 200;

/** Forwards an event stream; when the server fails, a resumable stream is resumed at another server. */
export class StreamRequestHandler {
  private readonly dispatcher: RequestDispatcher;
  private readonly isResumable: boolean;
  private readonly firstByteTimeoutMs: number;
  private readonly inactivityTimeoutMs: number | undefined;
  private readonly sequence = new EventSequence();
  private lastEventId: string | undefined;
  private attempt: StreamAttempt | undefined;
  private isHeadSent = false;
  /** Number of attempts in which a server may have run the request. */
  private runCount = 0;

  constructor(private readonly exchange: Exchange) {
    const { route, head } = exchange.input;
    const pauseTargetMs = route.pauseTargetMs ?? DEFAULT_PAUSE_TARGET_MS;
    this.dispatcher = new RequestDispatcher(exchange);
    this.isResumable = route.isResumable;
    this.lastEventId = head.lastEventId;
    this.firstByteTimeoutMs = Math.max(
      MIN_FIRST_BYTE_TIMEOUT_MS,
      FIRST_BYTE_TIMEOUT_LATENCY_FACTOR * route.targetLatencyMs,
      FIRST_BYTE_TIMEOUT_PAUSE_FACTOR * pauseTargetMs,
    );
    this.inactivityTimeoutMs = this.isResumable
      ? Math.max(MIN_INACTIVITY_TIMEOUT_MS, INACTIVITY_TIMEOUT_FACTOR * pauseTargetMs)
      : undefined;
  }

  /** Runs until the stream is complete or has failed. */
  async run(): Promise<void> {
    await runRetryLoop({
      exchange: this.exchange,
      dispatcher: this.dispatcher,
      firstByteTimeoutMs: this.firstByteTimeoutMs,
      send: (dispatch) => this.#send(dispatch),
      handleResult: (result, dispatch) => this.#handleResult(result, dispatch),
      handleRejection: (rejection) => {
        this.#handleRejection(rejection);
      },
      handleDeadline: () => {
        this.#handleDeadline();
      },
    });
  }

  handleCallerDisconnect(): void {
    if (this.exchange.isEnded()) return;
    this.attempt?.cancel('caller-left');
    this.exchange.finish({ kind: 'caller-left' });
  }

  /** Ends the stream before the instance stops; one that has begun must not look complete. */
  handleShutdown(): void {
    if (this.exchange.isEnded()) return;
    const mayHaveRun = this.runCount > 0 || this.attempt !== undefined;
    this.attempt?.cancel('shutdown');
    if (this.isHeadSent) this.exchange.endAbruptly(SHUTDOWN_REASON);
    else this.exchange.sendError(makeShutdownError(mayHaveRun));
  }

  handleCallerWritable(): void {
    this.attempt?.resume();
  }

  async #send(dispatch: Dispatch): Promise<StreamAttemptResult> {
    const attempt = new StreamAttempt({
      exchange: this.exchange,
      dispatcher: this.dispatcher,
      dispatch,
      lastEventId: this.lastEventId,
      sequence: this.sequence,
      inactivityTimeoutMs: this.inactivityTimeoutMs,
      canRepeat: () => this.#hasFurtherAttempt(1) && this.dispatcher.isRepetitionPossible(),
      onEvents: (events, head) => {
        this.exchange.recordEvent(dispatch.choice.server.serverId);
        return this.#sendEvents(events, head);
      },
    });
    this.attempt = attempt;
    try {
      return await attempt.run();
    } finally {
      this.attempt = undefined;
    }
  }

  #handleDeadline(): void {
    const mayHaveRun = this.runCount > 0 || this.attempt !== undefined;
    this.attempt?.cancel('deadline');
    if (this.isHeadSent) {
      this.exchange.endAbruptly('the stream is not complete within the time limit');
    } else if (mayHaveRun) {
      this.exchange.sendError({ status: 504, reason: 'no event within the time limit' });
    } else {
      this.exchange.sendError({ status: 503, reason: 'not sent within the time limit' });
    }
  }

  /** Returns true when the request is finished. */
  #handleResult(result: StreamAttemptResult, dispatch: Dispatch): boolean {
    const { context } = this.exchange;
    const { serverId } = dispatch.choice.server;
    switch (result.kind) {
      case 'ended':
        return true;
      case 'complete':
        context.failures.observe(serverId, 'success', context.clock());
        this.#endStream(result.head);
        return true;
      case 'other-answer':
        this.#sendOtherResponse(result.head, result.body);
        return true;
      case 'not-run':
        return false;
      case 'broken':
        this.runCount += 1;
        context.failures.observe(serverId, 'broken-answer', context.clock());
        if (this.#hasFurtherAttempt()) return false;
        this.#fail(result.reason);
        return true;
    }
  }

  /**
   * Whether the route and the events that were sent allow another attempt.
   *
   * @param openRuns attempts that have not ended; 0 by default
   */
  #hasFurtherAttempt(openRuns = 0): boolean {
    const { maxAttempts } = this.exchange.input.route;
    const hasRun = this.runCount + openRuns < maxAttempts;
    return this.isResumable && hasRun && this.sequence.isResumable();
  }

  #handleRejection(rejection: DispatchRejection): void {
    if (this.exchange.isEnded()) return;
    const reason = describeRejection(rejection);
    if (this.isHeadSent || this.runCount > 0) {
      this.#fail(reason);
      return;
    }
    const retryAfterMs = resolveRetryAfterMs(rejection, DEFAULT_RETRY_AFTER_MS);
    this.exchange.sendError({ status: 503, reason, retryAfterMs });
  }

  #fail(reason: string): void {
    if (this.isHeadSent) this.exchange.endAbruptly(reason);
    else this.exchange.sendError({ status: 502, reason });
  }

  #endStream(head: ResponseHead): void {
    this.#sendHead(head);
    this.exchange.input.response.end();
    this.exchange.finish({ kind: 'answered', status: OK });
  }

  #sendOtherResponse(head: ResponseHead, body: Buffer): void {
    if (this.isHeadSent) {
      this.exchange.endAbruptly(`the server answered ${head.status} when the stream was resumed`);
      return;
    }
    this.exchange.sendResponse({ head: head, body });
  }

  /** Sends the head only with the first event, so that the caller does not notice a retry before the first event. */
  #sendEvents(events: EventBatch, head: ResponseHead): boolean {
    this.lastEventId = events.lastEventId ?? this.lastEventId;
    this.#sendHead(head);
    return this.exchange.input.response.write(events.bytes);
  }

  #sendHead(head: ResponseHead): void {
    if (this.isHeadSent) return;
    this.isHeadSent = true;
    const headers = this.exchange.context.codec.encodeResponse(head.rawHeaders);
    this.exchange.writeHead(head.status, headers);
  }
}
