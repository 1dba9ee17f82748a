import type { IncomingMessage, ServerResponse } from 'node:http';
import type { RequestTrait } from '@pollendrum/policy';
import type { ResponseHead } from './backend-attempt';
import type { GatewayTeam, Route } from './bundle';
import type { GatewayContext } from './gateway-context';
import type { RequestHead } from './header-codec';
import { sendErrorResponse } from './error-response';
import type { ErrorResponse } from './error-response';
import type { AttemptRecord, RequestOutcome } from './request-log';
import { computeRepetitionTrait, listPartTraits } from './request-traits';
import type { TraitSource } from './request-traits';

/** Time limit of a request whose caller states none, in milliseconds; the timeout of the route also applies. */
const DEFAULT_REMAINING_MS = 60_000;

/** A complete response of a backend server. */
export interface BufferedResponse {
  head: ResponseHead;
  body: Buffer;
}

/** A request that matched a route, with the data that it needs until its end. */
export interface ExchangeInput {
  request: IncomingMessage;
  response: ServerResponse;
  head: RequestHead;
  route: Route;
  team: GatewayTeam | undefined;
  body: Buffer | undefined;
  arrivedAtMs: number;
  bundleVersion: number;
  /** Priority rank among the requests that share the same servers; 0 is served first. */
  rank: number;
}

/** A caller's request and its response, with the deadline, the attempts and the outcome. */
export class Exchange implements TraitSource {
  readonly deadlineAtMs: number;
  readonly attempts: AttemptRecord[] = [];
  private outcome: RequestOutcome | undefined;
  private firstByteAtMs: number | undefined;
  private lastEventAtMs: number | undefined;
  private longestPauseMs: number | undefined;
  private repetitionTrait: RequestTrait | undefined;

  constructor(
    readonly context: GatewayContext,
    readonly input: ExchangeInput,
  ) {
    const { head, route, arrivedAtMs } = input;
    const remainingMs = head.remainingMs ?? DEFAULT_REMAINING_MS;
    this.deadlineAtMs = arrivedAtMs + Math.min(remainingMs, route.timeoutMs);
  }

  getRemainingMs(): number {
    return this.deadlineAtMs - this.context.clock();
  }

  listPartTraits(): RequestTrait[] {
    return listPartTraits(this.input.head);
  }

  /** The trait that the request shares only with its repetitions; computed at the first use. */
  getRepetitionTrait(): RequestTrait {
    this.repetitionTrait ??= computeRepetitionTrait(this.input);
    return this.repetitionTrait;
  }

  /** Drops the body, which is not sent again. The response can still be on its way. */
  releaseBody(): void {
    this.input.body = undefined;
  }

  isEnded(): boolean {
    return this.outcome !== undefined;
  }

  /** Writes the response head; a draining instance adds `Connection: close` to move callers to other instances. */
  writeHead(status: number, headers: string[]): void {
    const { response } = this.input;
    if (this.context.isDraining()) headers.push('Connection', 'close');
    response.writeHead(status, headers);
    this.recordFirstByte();
  }

  /** Forwards a server's complete response. */
  sendResponse({ head, body }: BufferedResponse): void {
    if (this.isEnded()) return;
    const headers = this.context.codec.encodeResponse(head.rawHeaders, body.length);
    this.writeHead(head.status, headers);
    this.input.response.end(body);
    this.finish({ kind: 'answered', status: head.status });
  }

  /** Records the time at which a forwarded response to the caller begins. */
  recordFirstByte(): void {
    if (this.firstByteAtMs !== undefined) return;
    this.firstByteAtMs = this.context.clock();
    const elapsedMs = this.firstByteAtMs - this.input.arrivedAtMs;
    this.context.metrics.firstByteMs.observe({ route: this.input.route.name }, elapsedMs);
  }

  /** Records the time of forwarded events and the pause before them; the longest pause is logged with the outcome. */
  recordEvent(serverId: string): void {
    const nowMs = this.context.clock();
    if (this.lastEventAtMs !== undefined) {
      const pauseMs = nowMs - this.lastEventAtMs;
      this.longestPauseMs = Math.max(this.longestPauseMs ?? 0, pauseMs);
      this.context.chooser.recordPause(serverId, pauseMs, nowMs);
    }
    this.lastEventAtMs = nowMs;
  }

  /** Sends an error response of the gateway. */
  sendError(error: ErrorResponse): void {
    if (this.isEnded()) return;
    const { response } = this.input;
    const closesConnection = error.closesConnection ?? this.context.isDraining();
    sendErrorResponse(response, { ...error, closesConnection });
    this.finish({ kind: 'refused', status: error.status, reason: error.reason });
  }

  /** Closes the connection during a response that cannot be completed, so that the response does not look complete. */
  endAbruptly(reason: string): void {
    if (this.isEnded()) return;
    this.input.response.destroy();
    this.finish({ kind: 'cut-off', reason });
  }

  /** Records and logs the outcome; only the first call has an effect. */
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
      requestId: head.requestId,
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
