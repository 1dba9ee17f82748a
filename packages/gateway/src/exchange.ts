import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AttemptAnswer } from './backend-attempt';
import type { GatewayTeam, Route } from './bundle';
import type { GatewayContext } from './gateway-context';
import type { RequestHead } from './header-codec';
import { sendRefusal } from './refusal';
import type { Refusal } from './refusal';
import type { AttemptRecord, RequestOutcome } from './request-log';

/** Time that a caller waits when it states none and its route neither, in milliseconds. */
const DEFAULT_DEADLINE_MS = 60_000;

/** A whole answer of a backend server. */
export interface WholeAnswer {
  answer: AttemptAnswer;
  body: Buffer;
}

/** What a matched request carries from its arrival to its end. */
export interface ExchangeInput {
  request: IncomingMessage;
  response: ServerResponse;
  head: RequestHead;
  route: Route;
  team: GatewayTeam | undefined;
  body: Buffer | undefined;
  arrivedAtMs: number;
  bundleVersion: number;
  /** Rank among the requests that share its servers, 0 first. */
  rank: number;
}

/** One request of a caller, its limits and the record of what was done for it. */
export class Exchange {
  readonly deadlineAtMs: number;
  readonly attempts: AttemptRecord[] = [];
  private outcome: RequestOutcome | undefined;
  private firstByteAtMs: number | undefined;
  private lastEventAtMs: number | undefined;
  private longestPauseMs: number | undefined;

  constructor(
    readonly context: GatewayContext,
    readonly input: ExchangeInput,
  ) {
    const { head, route, arrivedAtMs } = input;
    const deadlineMs = head.deadlineMs ?? DEFAULT_DEADLINE_MS;
    this.deadlineAtMs = arrivedAtMs + Math.min(deadlineMs, route.timeoutMs);
  }

  getRemainingMs(): number {
    return this.deadlineAtMs - this.context.clock();
  }

  isEnded(): boolean {
    return this.outcome !== undefined;
  }

  /** Writes the head of the answer; `Connection: close` sends callers of a stopping instance elsewhere. */
  writeHead(status: number, headers: string[]): void {
    const { response } = this.input;
    if (this.context.isDraining()) headers.push('Connection', 'close');
    response.writeHead(status, headers);
    this.markFirstByte();
  }

  /** Passes a server's whole answer on. */
  sendAnswer({ answer, body }: WholeAnswer): void {
    if (this.isEnded()) return;
    const headers = this.context.codec.encodeAnswer(answer.rawHeaders, body.length);
    this.writeHead(answer.status, headers);
    this.input.response.end(body);
    this.finish({ kind: 'answered', status: answer.status });
  }

  markFirstByte(): void {
    if (this.firstByteAtMs !== undefined) return;
    this.firstByteAtMs = this.context.clock();
    const elapsedMs = this.firstByteAtMs - this.input.arrivedAtMs;
    this.context.metrics.firstByteMs.observe({ route: this.input.route.name }, elapsedMs);
  }

  /** Notes that events of a stream were passed on; the longest pause tells a late stream from one on time. */
  markEvent(serverId: string): void {
    const nowMs = this.context.clock();
    if (this.lastEventAtMs !== undefined) {
      const pauseMs = nowMs - this.lastEventAtMs;
      this.longestPauseMs = Math.max(this.longestPauseMs ?? 0, pauseMs);
      this.context.chooser.recordPause(serverId, pauseMs, nowMs);
    }
    this.lastEventAtMs = nowMs;
  }

  /** Answers with a status of the gateway's own. */
  reject(refusal: Refusal): void {
    if (this.isEnded()) return;
    const { response } = this.input;
    const closesConnection = refusal.closesConnection ?? this.context.isDraining();
    sendRefusal(response, { ...refusal, closesConnection });
    this.finish({ kind: 'refused', status: refusal.status, reason: refusal.reason });
  }

  /** Ends an answer that has begun and cannot be completed, so that it does not look complete. */
  endAbruptly(reason: string): void {
    if (this.isEnded()) return;
    this.input.response.destroy();
    this.finish({ kind: 'cut-off', reason });
  }

  /** Records the outcome; the first one counts. */
  finish(outcome: RequestOutcome): void {
    if (this.outcome !== undefined) return;
    this.outcome = outcome;
    const { metrics, log, clock } = this.context;
    const { route, arrivedAtMs, head, team, bundleVersion } = this.input;
    const nowMs = clock();
    const elapsedMs = nowMs - arrivedAtMs;
    metrics.requests.inc({ route: route.name, outcome: outcome.kind });
    metrics.responseMs.observe({ route: route.name }, elapsedMs);
    metrics.openRequests.dec();
    const fields = {
      requestId: head.attemptId,
      route: route.name,
      team: team?.name,
      ...outcome,
      outcome: outcome.kind,
      elapsedMs: Math.round(elapsedMs),
      firstByteMs:
        this.firstByteAtMs === undefined ? undefined : Math.round(this.firstByteAtMs - arrivedAtMs),
      longestPauseMs:
        this.longestPauseMs === undefined ? undefined : Math.round(this.longestPauseMs),
      deadlineMs: Math.round(this.deadlineAtMs - arrivedAtMs),
      promptTokens: head.promptTokens || undefined,
      bundleVersion,
      attempts: this.attempts,
    };
    if (outcome.kind === 'answered') log.info('request answered', fields);
    else log.warn('request not answered', fields);
  }
}
