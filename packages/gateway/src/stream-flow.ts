import type { AttemptAnswer } from './backend-attempt';
import { describeRefusal, RequestDispatcher } from './dispatcher';
import type { Dispatch, DispatchRefusal } from './dispatcher';
import type { SplitEvents } from './event-splitter';
import type { Exchange } from './exchange';
import { runRequestLoop } from './request-loop';
import { StreamAttempt } from './stream-attempt';
import type { StreamVerdict } from './stream-attempt';

/** Callers leave a stream after the longest of these: a fixed gap, several targets or several pauses. */
const PATIENCE_MS = 2_000;
const PATIENCE_TARGETS = 4;
const PATIENCE_PAUSES = 8;
/** When a caller may come back that found no server, in milliseconds. */
const DEFAULT_RETRY_AFTER_MS = 300;
/** A resumable stream is continued elsewhere after a pause of this many pause targets. */
const SILENT_PAUSES = 3;
/** Shortest such pause, in milliseconds; a server that restarts its connections needs less. */
const SHORTEST_SILENCE_MS = 1_000;
/** Pause target of a route that states none, in milliseconds. */
const DEFAULT_PAUSE_MS = 1_000;
const OK = 200;

/** Forwards a stream of events, and continues a resumable one at another server when its server fails. */
export class StreamFlow {
  private readonly dispatcher: RequestDispatcher;
  private readonly isResumable: boolean;
  private readonly patienceMs: number;
  private readonly silenceMs: number | undefined;
  private lastEventId: string | undefined;
  private attempt: StreamAttempt | undefined;
  private isHeadSent = false;
  private runs = 0;

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
    this.silenceMs = this.isResumable
      ? Math.max(SHORTEST_SILENCE_MS, SILENT_PAUSES * pauseMs)
      : undefined;
  }

  /** Runs until the stream is complete or has failed. */
  async run(): Promise<void> {
    await runRequestLoop({
      exchange: this.exchange,
      dispatcher: this.dispatcher,
      patienceMs: this.patienceMs,
      send: (dispatch) => this.#send(dispatch),
      handleVerdict: (verdict, dispatch) => this.#handleVerdict(verdict, dispatch),
      handleRefusal: (refusal) => {
        this.#settleRefusal(refusal);
      },
      handleDeadline: () => {
        this.#handleDeadline();
      },
    });
  }

  handleCallerLeft(): void {
    if (this.exchange.isEnded()) return;
    this.attempt?.cancel('caller-left');
    this.exchange.finish({ kind: 'caller-left' });
  }

  handleCallerReady(): void {
    this.attempt?.resume();
  }

  async #send(dispatch: Dispatch): Promise<StreamVerdict> {
    const attempt = new StreamAttempt({
      exchange: this.exchange,
      dispatcher: this.dispatcher,
      dispatch,
      lastEventId: this.lastEventId,
      silenceMs: this.silenceMs,
      onEvents: (events, answer) => {
        this.exchange.markEvent(dispatch.choice.server.serverId);
        return this.#sendEvents(events, answer);
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
    const mayHaveRun = this.runs > 0 || this.attempt !== undefined;
    this.attempt?.cancel('deadline');
    if (this.isHeadSent) {
      this.exchange.endAbruptly('the stream is not complete within the time limit');
    } else if (mayHaveRun) {
      this.exchange.reject({ status: 504, reason: 'no event within the time limit' });
    } else {
      this.exchange.reject({ status: 503, reason: 'not sent within the time limit' });
    }
  }

  /** True when the request is finished. */
  #handleVerdict(verdict: StreamVerdict, dispatch: Dispatch): boolean {
    const { context, input } = this.exchange;
    const { serverId } = dispatch.choice.server;
    switch (verdict.kind) {
      case 'ended':
        return true;
      case 'complete':
        context.failures.observe(serverId, 'success', context.clock());
        this.#endStream();
        return true;
      case 'other-answer':
        this.#sendOtherAnswer(verdict.answer, verdict.body);
        return true;
      case 'not-run':
        return false;
      case 'broken':
        this.runs += 1;
        context.failures.observe(serverId, 'broken-answer', context.clock());
        if (this.isResumable && this.runs < input.route.maxAttempts) return false;
        this.#fail(verdict.reason);
        return true;
    }
  }

  #settleRefusal(refusal: DispatchRefusal): void {
    if (this.exchange.isEnded()) return;
    const reason = describeRefusal(refusal);
    if (this.isHeadSent || this.runs > 0) {
      this.#fail(reason);
      return;
    }
    const retryAfterMs =
      refusal.kind === 'too-late' ? refusal.retryAfterMs : DEFAULT_RETRY_AFTER_MS;
    this.exchange.reject({ status: 503, reason, retryAfterMs });
  }

  #fail(reason: string): void {
    if (this.isHeadSent) this.exchange.endAbruptly(reason);
    else this.exchange.reject({ status: 502, reason });
  }

  #endStream(): void {
    this.exchange.input.response.end();
    this.exchange.finish({ kind: 'answered', status: OK });
  }

  #sendOtherAnswer(answer: AttemptAnswer, body: Buffer): void {
    if (this.isHeadSent) {
      this.exchange.endAbruptly(`the server answered ${answer.status} to a continuation`);
      return;
    }
    this.exchange.sendAnswer({ answer, body });
  }

  /** The head waits for the first event, so that an attempt that fails before it can be repeated unseen. */
  #sendEvents(events: SplitEvents, answer: AttemptAnswer): boolean {
    this.lastEventId = events.lastEventId ?? this.lastEventId;
    if (!this.isHeadSent) {
      this.isHeadSent = true;
      const headers = this.exchange.context.codec.encodeAnswer(answer.rawHeaders);
      this.exchange.writeHead(answer.status, headers);
    }
    return this.exchange.input.response.write(events.bytes);
  }
}
