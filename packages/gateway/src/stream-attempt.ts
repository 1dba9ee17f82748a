import type { AttemptAnswer, AttemptEnd, RunningAttempt } from './backend-attempt';
import { computeOverdueMs } from './dispatcher';
import type { Dispatch, RequestDispatcher } from './dispatcher';
import { EventSplitter } from './event-splitter';
import type { SplitEvents } from './event-splitter';
import type { Exchange } from './exchange';
import type { AnswerHead } from './header-codec';
import { judgeEnd } from './judged-end';

const OK = 200;

/** What one attempt of a stream came to. */
export type StreamVerdict =
  | { kind: 'complete' }
  | { kind: 'not-run'; reason: string }
  /** A complete answer that is not a stream, such as an error of the server. */
  | { kind: 'other-answer'; answer: AttemptAnswer; body: Buffer }
  | { kind: 'broken'; reason: string }
  /** The request ended while the attempt ran. */
  | { kind: 'ended' };

export interface StreamAttemptOptions {
  exchange: Exchange;
  dispatcher: RequestDispatcher;
  dispatch: Dispatch;
  /** The stream goes on after this event; undefined for one from its start. */
  lastEventId: string | undefined;
  /** Pause after which the attempt is broken off, in milliseconds; undefined when it must not be. */
  silenceMs: number | undefined;
  /** Passes whole events on; false asks for a pause. */
  onEvents(events: SplitEvents, answer: AttemptAnswer): boolean;
}

/** Receives a stream from one backend server. */
export class StreamAttempt {
  private readonly splitter = new EventSplitter();
  private readonly otherChunks: Buffer[] = [];
  private readonly startedAtMs: number;
  private answer: AttemptAnswer | undefined;
  private head: AnswerHead | undefined;
  private silenceTimer: NodeJS.Timeout | undefined;
  private attempt: RunningAttempt | undefined;
  private resolveVerdict: (verdict: StreamVerdict) => void = () => undefined;

  constructor(private readonly options: StreamAttemptOptions) {
    this.startedAtMs = options.exchange.context.clock();
  }

  /** Sends the request and resolves when the attempt has ended. */
  run(): Promise<StreamVerdict> {
    const { dispatcher, dispatch, lastEventId } = this.options;
    return new Promise((resolve) => {
      this.resolveVerdict = resolve;
      this.attempt = dispatcher.send(dispatch, lastEventId, {
        onAnswer: (answer) => {
          this.#handleAnswer(answer);
        },
        onData: (chunk) => this.#handleData(chunk),
        onEnd: (end) => {
          this.#settle(this.#resolveVerdict(end));
        },
      });
      this.#startSilenceTimer(computeOverdueMs(dispatch.choice.predictedMs));
    });
  }

  /** Stops the server's work because the request has ended. */
  cancel(reason: string): void {
    this.attempt?.cancel(reason);
    this.#settle({ kind: 'ended' });
  }

  /** Goes on after a pause that `onEvents` asked for. */
  resume(): void {
    this.attempt?.resume();
  }

  #handleAnswer(answer: AttemptAnswer): void {
    const { exchange, dispatch } = this.options;
    this.answer = answer;
    this.head = exchange.context.codec.decodeAnswer(
      answer.status,
      answer.headers,
      exchange.input.head.attemptId,
    );
    dispatch.record.result = this.head.kind;
    if (this.head.kind === 'foreign') this.#endAttempt(this.head.reason);
  }

  #handleData(chunk: Buffer): boolean {
    const { dispatch, silenceMs, onEvents } = this.options;
    if (this.answer === undefined || !this.#isStream()) {
      this.otherChunks.push(chunk);
      return true;
    }
    if (!dispatch.placed.isStreaming) this.#recordFirstEvent();
    if (silenceMs !== undefined) this.#startSilenceTimer(silenceMs);
    const events = this.splitter.readEvents(chunk);
    return events.bytes.length === 0 || onEvents(events, this.answer);
  }

  #isStream(): boolean {
    return this.head?.kind === 'answer' && this.head.isSigned && this.head.status === OK;
  }

  #recordFirstEvent(): void {
    const { exchange, dispatch } = this.options;
    const { loads, chooser, clock } = exchange.context;
    loads.markStreaming(dispatch.placed);
    const { placement, isUnqueued } = dispatch.choice;
    if (placement === undefined || !isUnqueued) return;
    chooser.recordFirstEvent(clock() - this.startedAtMs, placement);
  }

  #startSilenceTimer(delayMs: number): void {
    clearTimeout(this.silenceTimer);
    if (this.options.silenceMs === undefined) return;
    this.silenceTimer = setTimeout(() => {
      const { exchange, dispatch } = this.options;
      exchange.context.backendPool.discardIdle(dispatch.choice.server.serverId);
      this.#endAttempt('silent');
    }, delayMs);
  }

  #endAttempt(reason: string): void {
    this.attempt?.cancel(reason);
    this.#settle({ kind: 'broken', reason });
  }

  #settle(verdict: StreamVerdict): void {
    clearTimeout(this.silenceTimer);
    this.resolveVerdict(this.options.exchange.isEnded() ? { kind: 'ended' } : verdict);
  }

  #resolveVerdict(end: AttemptEnd): StreamVerdict {
    const judged = judgeEnd(end, this.answer, this.head);
    switch (judged.kind) {
      case 'not-run':
        this.#observe(judged.observation);
        return { kind: 'not-run', reason: judged.reason };
      case 'may-have-run':
        return { kind: 'broken', reason: judged.reason };
      case 'unproven':
        this.#observe('error');
        return { kind: 'broken', reason: judged.reason };
      case 'proven':
        return this.#resolveProven(judged.answer);
    }
  }

  #resolveProven(answer: AttemptAnswer): StreamVerdict {
    if (!this.#isStream()) {
      this.#observe('error');
      return { kind: 'other-answer', answer, body: Buffer.concat(this.otherChunks) };
    }
    if (!this.splitter.hasRest()) return { kind: 'complete' };
    return { kind: 'broken', reason: 'the stream ended inside an event' };
  }

  #observe(observation: 'unreachable' | 'full' | 'error'): void {
    const { exchange, dispatch } = this.options;
    const { failures, clock } = exchange.context;
    failures.observe(dispatch.choice.server.serverId, observation, clock());
  }
}
