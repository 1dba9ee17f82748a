import type { AttemptAnswer, AttemptEnd, RunningAttempt } from './backend-attempt';
import { RequestDispatcher } from './dispatcher';
import type { Dispatch, DispatchRefusal } from './dispatcher';
import { EventSplitter } from './event-splitter';
import type { Exchange } from './exchange';
import { describeRefusal } from './plain-flow';

/** Callers leave a stream after the longest of these: a fixed gap, several targets or several pauses. */
const PATIENCE_MS = 2_000;
const PATIENCE_TARGETS = 4;
const PATIENCE_PAUSES = 8;
/** When a caller may come back that found no server, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 300;
/** A resumable stream is continued elsewhere when its first event is this many predictions late. */
const LATE_FIRST_EVENT_FACTOR = 3;
const LATE_FIRST_EVENT_MARGIN_MS = 600;
/** A resumable stream is continued elsewhere after a pause of this many pause targets. */
const SILENT_PAUSES = 3;
const SHORTEST_SILENCE_MS = 1_000;
const DEFAULT_PAUSE_MS = 1_000;
const OK = 200;

/** What one attempt came to. */
type StreamVerdict =
  | { kind: 'complete' }
  | { kind: 'not-run'; reason: string }
  /** A complete answer that is not a stream, such as an error of the server. */
  | { kind: 'other-answer'; answer: AttemptAnswer; body: Buffer }
  | { kind: 'broken'; reason: string }
  | { kind: 'ended' };

/** Forwards a stream of events, and continues a resumable one at another server when its server fails. */
export class StreamFlow {
  private readonly dispatcher: RequestDispatcher;
  private readonly isResumable: boolean;
  private readonly patienceMs: number;
  private readonly silenceMs: number;
  private lastEventId: string | undefined;
  private attempt: RunningAttempt | undefined;
  private isHeadSent = false;
  private mayHaveRun = false;
  private runs = 0;
  private firstHead: { status: number; headers: string[] } | undefined;

  constructor(private readonly exchange: Exchange) {
    const { route, head } = exchange.input;
    const pauseMs = route.pauseTargetMs ?? DEFAULT_PAUSE_MS;
    this.dispatcher = new RequestDispatcher(exchange);
    this.isResumable = route.isResumable;
    this.lastEventId = head.lastEventId;
    this.patienceMs = Math.max(
      PATIENCE_MS,
      PATIENCE_TARGETS * route.targetLatencyMs,
      PATIENCE_PAUSES * pauseMs,
    );
    this.silenceMs = Math.max(SHORTEST_SILENCE_MS, SILENT_PAUSES * pauseMs);
  }

  /** Runs until the stream is complete or has failed. */
  async run(): Promise<void> {
    const timer = setTimeout(() => {
      this.#handleDeadline();
    }, this.exchange.getRemainingMs());
    try {
      while (!this.exchange.isEnded()) {
        const patienceMs = Math.min(this.patienceMs, this.exchange.getRemainingMs());
        const prepared = this.dispatcher.prepare(patienceMs);
        if (prepared.kind === 'refused') {
          this.#giveUp(prepared.refusal);
          return;
        }
        const verdict = await this.#send(prepared.dispatch);
        if (this.#handleVerdict(verdict, prepared.dispatch)) return;
      }
    } finally {
      clearTimeout(timer);
    }
  }

  handleCallerLeft(): void {
    if (this.exchange.isEnded()) return;
    this.exchange.finish({ kind: 'caller-left' });
    this.attempt?.cancel('caller-left');
  }

  handleCallerReady(): void {
    this.attempt?.resume();
  }

  #handleDeadline(): void {
    if (this.exchange.isEnded()) return;
    if (this.isHeadSent) {
      this.exchange.cutOff('the stream is not complete within the time limit');
    } else if (this.mayHaveRun || this.attempt !== undefined) {
      this.exchange.refuse({ status: 504, reason: 'no event within the time limit' });
    } else {
      this.exchange.refuse({ status: 503, reason: 'not sent within the time limit' });
    }
    this.attempt?.cancel('deadline');
  }

  /** True when the request is finished. */
  #handleVerdict(verdict: StreamVerdict, dispatch: Dispatch): boolean {
    const { context, input } = this.exchange;
    const { serverId } = dispatch.choice.server;
    const nowMs = context.clock();
    switch (verdict.kind) {
      case 'ended':
        return true;
      case 'complete':
        context.failures.observe(serverId, 'success', nowMs);
        input.response.end();
        this.exchange.finish({ kind: 'answered', status: OK });
        return true;
      case 'other-answer':
        this.#sendOtherAnswer(verdict.answer, verdict.body);
        return true;
      case 'not-run':
        return false;
      case 'broken':
        this.runs += 1;
        this.mayHaveRun = true;
        context.failures.observe(serverId, 'broken-answer', nowMs);
        if (this.isResumable && this.runs < input.route.maxAttempts) return false;
        this.#fail(verdict.reason);
        return true;
    }
  }

  #giveUp(refusal: DispatchRefusal): void {
    if (this.exchange.isEnded()) return;
    const reason = describeRefusal(refusal);
    if (this.isHeadSent || this.mayHaveRun) {
      this.#fail(reason);
      return;
    }
    const retryAfterMs =
      refusal.kind === 'too-late' ? refusal.retryAfterMs : DEFAULT_RETRY_AFTER_MS;
    this.exchange.refuse({ status: 503, reason, retryAfterMs });
  }

  #fail(reason: string): void {
    if (this.isHeadSent) this.exchange.cutOff(reason);
    else this.exchange.refuse({ status: 502, reason });
  }

  #sendOtherAnswer(answer: AttemptAnswer, body: Buffer): void {
    if (this.isHeadSent) {
      this.exchange.cutOff(`the server answered ${answer.status} to a continuation`);
      return;
    }
    const headers = this.exchange.context.codec
      .encodeAnswer(answer.rawHeaders)
      .filter((_, index, all) => all[index - (index % 2)]?.toLowerCase() !== 'content-length');
    headers.push('Content-Length', String(body.length));
    this.exchange.writeHead(answer.status, headers);
    this.exchange.input.response.end(body);
    this.exchange.finish({ kind: 'answered', status: answer.status });
  }

  #send(dispatch: Dispatch): Promise<StreamVerdict> {
    const { context } = this.exchange;
    return new Promise((resolve) => {
      const startedAtMs = context.clock();
      const splitter = new EventSplitter();
      const otherChunks: Buffer[] = [];
      let received: AttemptAnswer | undefined;
      let isStream = false;
      let refusedReason: string | undefined;
      let foreignReason: string | undefined;
      let silenceTimer: NodeJS.Timeout | undefined;
      const settle = (verdict: StreamVerdict) => {
        clearTimeout(silenceTimer);
        this.attempt = undefined;
        resolve(this.exchange.isEnded() ? { kind: 'ended' } : verdict);
      };
      const breakOff = (reason: string) => {
        attempt.cancel(reason);
        settle({ kind: 'broken', reason });
      };
      const armSilenceTimer = (ms: number) => {
        clearTimeout(silenceTimer);
        if (!this.isResumable) return;
        silenceTimer = setTimeout(() => {
          if (this.exchange.isEnded()) return;
          context.backends.dropIdle(dispatch.choice.server.serverId);
          breakOff('silent');
        }, ms);
      };
      const attempt = this.dispatcher.send(dispatch, this.lastEventId, {
        onAnswer: (answer) => {
          received = answer;
          const head = context.codec.decodeAnswer(
            answer.status,
            answer.headers,
            this.exchange.input.head.attemptId,
          );
          dispatch.record.result = head.kind;
          if (head.kind === 'not-run') refusedReason = `the server refused with ${head.status}`;
          else if (head.kind === 'foreign') foreignReason = head.reason;
          else if (!head.isSigned) foreignReason = `an unsigned answer with status ${head.status}`;
          else isStream = head.status === OK;
        },
        onData: (chunk) => {
          if (!isStream) {
            otherChunks.push(chunk);
            return true;
          }
          if (!dispatch.placed.isStreaming) this.#recordFirstEvent(dispatch, startedAtMs);
          armSilenceTimer(this.silenceMs);
          return this.#relay(dispatch.choice.server.serverId, splitter, chunk, received);
        },
        onEnd: (end) => {
          settle(
            this.#judge(end, dispatch, {
              answer: received,
              isStream,
              refusedReason,
              foreignReason,
              hasRest: splitter.hasRest(),
              body: Buffer.concat(otherChunks),
            }),
          );
        },
      });
      this.attempt = attempt;
      armSilenceTimer(
        LATE_FIRST_EVENT_FACTOR * dispatch.choice.predictedMs + LATE_FIRST_EVENT_MARGIN_MS,
      );
    });
  }

  #recordFirstEvent(dispatch: Dispatch, startedAtMs: number): void {
    const { context } = this.exchange;
    const nowMs = context.clock();
    context.loads.markStreaming(dispatch.placed);
    const { placement, isUnqueued } = dispatch.choice;
    if (placement === undefined || !isUnqueued) return;
    context.chooser.recordFirstEvent(nowMs - startedAtMs, placement);
  }

  /** Passes whole events on; a stream that cannot be continued needs no splitting. */
  #relay(
    serverId: string,
    splitter: EventSplitter,
    chunk: Buffer,
    answer: AttemptAnswer | undefined,
  ): boolean {
    const { response } = this.exchange.input;
    const events = splitter.readEvents(chunk);
    this.lastEventId = events.lastEventId ?? this.lastEventId;
    if (events.bytes.length === 0) return true;
    this.exchange.markEvent(serverId);
    if (!this.isHeadSent && answer !== undefined) {
      this.isHeadSent = true;
      this.firstHead ??= {
        status: answer.status,
        headers: this.exchange.context.codec.encodeAnswer(answer.rawHeaders),
      };
      const headers = this.firstHead.headers.filter(
        (_, index, all) => all[index - (index % 2)]?.toLowerCase() !== 'content-length',
      );
      this.exchange.writeHead(this.firstHead.status, headers);
    }
    return response.write(events.bytes);
  }

  #judge(
    end: AttemptEnd,
    dispatch: Dispatch,
    seen: {
      answer: AttemptAnswer | undefined;
      isStream: boolean;
      refusedReason: string | undefined;
      foreignReason: string | undefined;
      hasRest: boolean;
      body: Buffer;
    },
  ): StreamVerdict {
    const { context } = this.exchange;
    const { serverId } = dispatch.choice.server;
    const nowMs = context.clock();
    if (end.kind === 'not-sent') {
      context.failures.observe(serverId, 'unreachable', nowMs);
      return { kind: 'not-run', reason: end.reason };
    }
    if (end.kind === 'broken') return { kind: 'broken', reason: end.reason };
    if (seen.refusedReason !== undefined) {
      context.failures.observe(serverId, 'full', nowMs);
      return { kind: 'not-run', reason: seen.refusedReason };
    }
    if (seen.foreignReason !== undefined) return { kind: 'broken', reason: seen.foreignReason };
    if (seen.answer === undefined) return { kind: 'broken', reason: 'an answer without a head' };
    if (!seen.isStream) {
      context.failures.observe(serverId, 'error', nowMs);
      return { kind: 'other-answer', answer: seen.answer, body: seen.body };
    }
    if (seen.hasRest) return { kind: 'broken', reason: 'the stream ended inside an event' };
    return { kind: 'complete' };
  }
}
