import { StreamPace } from '@pollendrum/policy';
import type { AnswerBuffer } from './answer-buffers';
import type { ResponseHead, AttemptEnd, RunningAttempt } from './backend-attempt';
import { computeOverdueAfterMs } from './request-dispatcher';
import type { Dispatch, RequestDispatcher } from './request-dispatcher';
import { EventSplitter, MAX_EVENT_BYTES } from './event-splitter';
import type { EventBatch } from './event-splitter';
import type { EventSequence } from './event-sequence';
import type { Exchange } from './exchange';
import type { DecodedResponse } from './header-codec';
import { makeServerKey } from './server-key';
import { resolveAttemptOutcome } from './attempt-outcome';

const OK = 200;
/** Multiple of a stream's longest time between two events after which it counts as stalled. */
const GAP_FACTOR = 2;
/**
 * Time before the end of a server that is taken back at which its streams go on elsewhere, in milliseconds. The time left is
 * known late by the age of the entry, and the streams of all instances move spread over `MOVE_SPREAD_MS`.
 */
const MOVE_MARGIN_MS = 300;
const MOVE_SPREAD_MS = 400;
const EVENT_STREAM_TYPE = /^\s*text\/event-stream\s*(;|$)/i;

/** Result of one attempt of a stream. */
export type StreamAttemptResult =
  | { kind: 'complete'; head: ResponseHead }
  | { kind: 'not-run'; reason: string }
  /** A complete response that is not an event stream, such as an error response. */
  | { kind: 'other-answer'; head: ResponseHead; body: Buffer }
  | { kind: 'broken'; reason: string }
  /** The request ended while the attempt ran. */
  | { kind: 'ended' };

export interface StreamAttemptOptions {
  exchange: Exchange;
  dispatcher: RequestDispatcher;
  dispatch: Dispatch;
  /** The stream resumes after this event; undefined starts at the first event. */
  lastEventId: string | undefined;
  /** Events that the caller has received from this and earlier attempts. */
  sequence: EventSequence;
  /**
   * Time without a further event after which the attempt is cancelled if the stream can go on at another server, in
   * milliseconds; longer for a stream whose events have come more slowly. Until the first event, the time of
   * `computeOverdueAfterMs` applies. Undefined disables both timeouts.
   */
  inactivityTimeoutMs: number | undefined;
  /** Whether the stream would go on at another server if this attempt were cancelled now. */
  canRepeat(): boolean;
  /** Forwards complete events; returning false stops reading the response until `resume` is called. */
  onEvents(events: EventBatch, head: ResponseHead): boolean;
}

/** Receives an event stream from one backend server. */
export class StreamAttempt {
  private readonly splitter = new EventSplitter();
  /** Body of an answer that is no event stream. */
  private otherBody: AnswerBuffer | undefined;
  private readonly pace: StreamPace;
  private paceTimer: NodeJS.Timeout | undefined;
  private readonly startedAtMs: number;
  private hasEvents = false;
  private isSettled = false;
  /** Whether an event is complete since reading has begun or has stopped last to limit its rate. */
  private hasProgress = false;
  /** Why reading has stopped; meanwhile missing data is no sign of a silent server. */
  private readonly pauses = new Set<'caller' | 'pace'>();
  private head: ResponseHead | undefined;
  private decoded: DecodedResponse | undefined;
  private inactivityTimer: NodeJS.Timeout | undefined;
  /** Time of the last event, or from which the next one is waited for; the wait for the first one is no gap. */
  private progressAtMs = Infinity;
  private longestGapMs = 0;
  private attempt: RunningAttempt | undefined;
  private moveTimer: NodeJS.Timeout | undefined;
  private endReclaimWatch: () => void = () => undefined;
  private settleRun: (result: StreamAttemptResult) => void = () => undefined;

  constructor(private readonly options: StreamAttemptOptions) {
    this.startedAtMs = options.exchange.context.clock();
    this.pace = new StreamPace(this.startedAtMs);
  }

  /** Sends the request and resolves when the attempt has ended. */
  run(): Promise<StreamAttemptResult> {
    const { dispatcher, dispatch, lastEventId } = this.options;
    return new Promise((resolve) => {
      this.settleRun = resolve;
      this.attempt = dispatcher.send(dispatch, lastEventId, {
        onResponse: (head) => {
          this.#handleResponse(head);
        },
        onData: (chunk) => this.#handleData(chunk),
        onEnd: (end) => {
          this.#settle(this.#resolveResult(end));
        },
      });
      this.#startInactivityTimer(computeOverdueAfterMs(dispatch.choice.predictedMs));
      this.#watchReclaim();
    });
  }

  /** Cancels the attempt because the request has ended. */
  cancel(reason: string): void {
    this.attempt?.cancel(reason);
    this.#settle({ kind: 'ended' });
  }

  /** Continues to read the response after `onEvents` has returned false. */
  resume(): void {
    this.#endPause('caller');
  }

  #handleResponse(head: ResponseHead): void {
    const { exchange, dispatch } = this.options;
    this.head = head;
    this.decoded = exchange.context.codec.decodeResponse(
      head.status,
      head.headers,
      exchange.input.head.requestId,
    );
    dispatch.record.result = this.decoded.kind;
    if (this.decoded.kind === 'foreign') this.#failAttempt(this.decoded.reason);
  }

  #handleData(chunk: Buffer): boolean {
    const { dispatch, dispatcher, onEvents } = this.options;
    if (this.head === undefined || !this.#isStream()) {
      this.#getOtherBody().add(chunk);
      return true;
    }
    if (!dispatch.placed.isStreaming) this.#recordFirstEvent();
    const events = this.splitter.readEvents(chunk);
    // Comments and parts of an event also come from a server that has stalled.
    if (events.ids.length > 0) this.#recordProgress();
    const error = this.#findResumptionError(events);
    if (error !== undefined) {
      this.#failAttempt(error);
      return true;
    }
    if (events.bytes.length > 0) {
      if (!dispatch.hasAnswerBegun) dispatcher.recordAnswerBegun(dispatch);
      this.hasProgress = true;
      if (!onEvents(events, this.head)) this.pauses.add('caller');
    }
    if (events.isMalformed) {
      this.#failAttempt('the stream contains text that is not an event');
      return true;
    }
    if (this.splitter.isEventTooLarge()) {
      this.#failAttempt(`an event is larger than ${MAX_EVENT_BYTES} bytes`);
      return true;
    }
    this.#startPacePause(chunk.length, events.lineCount);
    if (this.pauses.size === 0) return true;
    clearTimeout(this.inactivityTimer);
    return false;
  }

  #recordProgress(): void {
    const nowMs = this.options.exchange.context.clock();
    this.longestGapMs = Math.max(this.longestGapMs, nowMs - this.progressAtMs);
    this.progressAtMs = nowMs;
    this.#startInactivityTimer(this.#computeInactivityTimeoutMs());
  }

  /** Slow streams stay at their server: another one would be as slow, or would take longer to begin. */
  #computeInactivityTimeoutMs(): number {
    return Math.max(this.options.inactivityTimeoutMs ?? 0, GAP_FACTOR * this.longestGapMs);
  }

  #startPacePause(bytes: number, lines: number): void {
    const delayMs = this.pace.recordPart({ bytes, lines }, this.options.exchange.context.clock());
    if (delayMs === 0) return;
    if (!this.hasProgress) {
      this.#failAttempt('an event arrives in too many parts');
      return;
    }
    this.hasProgress = false;
    this.pauses.add('pace');
    clearTimeout(this.paceTimer);
    this.paceTimer = setTimeout(() => {
      this.#endPause('pace');
    }, delayMs);
  }

  #endPause(pause: 'caller' | 'pace'): void {
    if (!this.pauses.delete(pause) || this.pauses.size > 0) return;
    this.progressAtMs = this.options.exchange.context.clock();
    this.#startInactivityTimer(this.#computeInactivityTimeoutMs());
    this.attempt?.resume();
  }

  #getOtherBody(): AnswerBuffer {
    if (this.otherBody !== undefined) return this.otherBody;
    const { context, input } = this.options.exchange;
    const body = context.answerBuffers.createBuffer((reason) => {
      this.#failAttempt(reason);
    });
    input.response.once('close', () => {
      body.release();
    });
    this.otherBody = body;
    return body;
  }

  #isStream(): boolean {
    const isSuccess =
      this.decoded?.kind === 'answer' && this.decoded.isSigned && this.decoded.status === OK;
    return isSuccess && this.head !== undefined && hasEventStreamType(this.head);
  }

  /** Checks that the attempt's first event follows the last event of the earlier attempts, and adds the events. */
  #findResumptionError({ ids }: EventBatch): string | undefined {
    if (ids.length === 0) return undefined;
    const { sequence } = this.options;
    const error = this.hasEvents ? undefined : sequence.findResumptionError(ids[0]);
    this.hasEvents = true;
    if (error === undefined) sequence.recordEvents(ids);
    return error;
  }

  #recordFirstEvent(): void {
    const { exchange, dispatch } = this.options;
    const { loads, chooser, clock } = exchange.context;
    loads.markStreaming(dispatch.placed);
    const { placement, hasEmptyQueue } = dispatch.choice;
    if (placement === undefined || !hasEmptyQueue) return;
    chooser.recordFirstEvent(clock() - this.startedAtMs, placement);
  }

  #startInactivityTimer(delayMs: number): void {
    clearTimeout(this.inactivityTimer);
    if (this.options.inactivityTimeoutMs === undefined) return;
    this.inactivityTimer = setTimeout(() => {
      const { exchange, dispatch, canRepeat } = this.options;
      // The server may still answer, and nothing else can.
      if (!canRepeat()) {
        this.#startInactivityTimer(delayMs);
        return;
      }
      exchange.context.backendPool.discardIdle(dispatch.choice.server.serverId);
      this.#failAttempt('silent');
    }, delayMs);
  }

  /** A stream on a server that is taken back goes on elsewhere before the server is gone, if it has not ended by then. */
  #watchReclaim(): void {
    const { exchange, dispatch, inactivityTimeoutMs, canRepeat } = this.options;
    if (inactivityTimeoutMs === undefined || this.isSettled) return;
    const { availability, clock } = exchange.context;
    const serverKey = makeServerKey(dispatch.choice.server);
    const marginMs = MOVE_MARGIN_MS + Math.random() * MOVE_SPREAD_MS;
    this.endReclaimWatch = availability.reclaimed.watch(serverKey, (leavesAtMs) => {
      clearTimeout(this.moveTimer);
      this.moveTimer = setTimeout(
        () => {
          if (canRepeat()) this.#failAttempt('the server is taken back');
        },
        Math.max(0, leavesAtMs - marginMs - clock()),
      );
    });
  }

  #failAttempt(reason: string): void {
    this.attempt?.cancel(reason);
    this.#settle({ kind: 'broken', reason });
  }

  #settle(result: StreamAttemptResult): void {
    clearTimeout(this.inactivityTimer);
    clearTimeout(this.paceTimer);
    clearTimeout(this.moveTimer);
    this.isSettled = true;
    this.endReclaimWatch();
    this.pauses.clear();
    if (result.kind !== 'other-answer') this.otherBody?.release();
    this.settleRun(this.options.exchange.isEnded() ? { kind: 'ended' } : result);
  }

  #resolveResult(end: AttemptEnd): StreamAttemptResult {
    const outcome = resolveAttemptOutcome(end, this.head, this.decoded);
    switch (outcome.kind) {
      case 'not-run':
        this.#observe(outcome.observation);
        return { kind: 'not-run', reason: outcome.reason };
      case 'may-have-run':
        return { kind: 'broken', reason: outcome.reason };
      case 'unproven':
        this.#observe('error');
        return { kind: 'broken', reason: outcome.reason };
      case 'proven':
        return this.#resolveProvenResult(outcome.head);
    }
  }

  #resolveProvenResult(head: ResponseHead): StreamAttemptResult {
    if (!this.#isStream()) {
      this.#observe('error');
      return { kind: 'other-answer', head, body: this.#getOtherBody().finish() };
    }
    const reason = this.#findBreak(head);
    if (reason !== undefined) {
      this.options.dispatcher.observeBrokenAttempt(this.options.dispatch);
      return { kind: 'broken', reason };
    }
    return { kind: 'complete', head };
  }

  /** Finds out why a stream whose connection ended in order is not complete. */
  #findBreak(head: ResponseHead): string | undefined {
    if (this.splitter.hasPartialEvent()) return 'the stream ended inside an event';
    const isEmpty = !this.options.dispatch.hasAnswerBegun;
    return isEmpty && !isFramed(head) ? 'the stream ended before its first event' : undefined;
  }

  #observe(observation: 'unreachable' | 'full' | 'error' | undefined): void {
    if (observation === undefined) return;
    const { exchange, dispatch } = this.options;
    const { failures, clock } = exchange.context;
    failures.observe(dispatch.choice.server.serverId, observation, clock());
  }
}

/** Whether the content type is an event stream; a response without a content type counts as one. */
function hasEventStreamType({ headers }: ResponseHead): boolean {
  const type = headers['content-type'];
  return type === undefined || EVENT_STREAM_TYPE.test(Array.isArray(type) ? type.join() : type);
}

/** Whether the end of a response is marked by a length or by chunks, rather than by the end of its connection. */
function isFramed({ headers }: ResponseHead): boolean {
  return headers['content-length'] !== undefined || headers['transfer-encoding'] !== undefined;
}
