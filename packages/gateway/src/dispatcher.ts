import { chooseAdmission } from '@pollendrum/policy';
import type { PlacedRequest } from '@pollendrum/policy';
import type { HeldConnection } from './backend-connections';
import { startAttempt } from './backend-attempt';
import type { AttemptAnswer, AttemptEnd, AttemptEvents, RunningAttempt } from './backend-attempt';
import type { Exchange } from './exchange';
import { recordPrompt } from './gateway-context';
import type { AttemptRecord } from './request-log';
import type { ServerChoice } from './server-chooser';
import type { Service } from './bundle';

/** A first byte is overdue when it is this many predictions late. */
const OVERDUE_FACTOR = 3;
/** Added to that time in milliseconds, since predictions of short prompts are a few milliseconds. */
const OVERDUE_MARGIN_MS = 600;
/** Share of the allowed retry ratio that is used, since windows of the ratio are not aligned. */
const RETRY_RATIO_SHARE = 0.75;

/** Why nothing could be sent. */
export type DispatchRefusal =
  /** No backend server of the service is listed that was not tried. */
  | { kind: 'no-server' }
  /** All connections that the instance may use are in use. */
  | { kind: 'no-connection' }
  /** The shared budget for repeated sends is used up. */
  | { kind: 'no-budget' }
  /** The first byte would come after the caller has given up. */
  | { kind: 'too-late'; predictedMs: number; retryAfterMs: number };

/** A request on its way to a chosen server. */
export interface Dispatch {
  choice: ServerChoice;
  record: AttemptRecord;
  placed: PlacedRequest;
  connection: HeldConnection;
}

export type DispatchResult =
  { kind: 'dispatch'; dispatch: Dispatch } | { kind: 'refused'; refusal: DispatchRefusal };

/** Chooses servers for one request and accounts for what was sent to them. */
export class RequestDispatcher {
  private readonly triedServerIds = new Set<string>();
  private readonly serviceName: string;
  private readonly service: Service | undefined;
  private sends = 0;

  constructor(private readonly exchange: Exchange) {
    const { route } = exchange.input;
    this.serviceName = chooseService(route.services);
    this.service = exchange.context.getRouteTable()?.getService(this.serviceName);
  }

  /**
   * Chooses a server and takes a connection to it.
   *
   * @param patienceMs time after which the caller leaves without a first byte, in milliseconds
   */
  selectServer(patienceMs: number): DispatchResult {
    const { context, input } = this.exchange;
    const nowMs = context.clock();
    const choice = context.chooser.choose(
      {
        route: input.route,
        service: this.service,
        serviceName: this.serviceName,
        head: input.head,
        tightestPauseMs: context.getRouteTable()?.getTightestPauseTargetMs(this.serviceName),
        remainingMs: this.exchange.getRemainingMs(),
        excludedServerIds: this.triedServerIds,
      },
      nowMs,
    );
    if (choice === undefined) return { kind: 'refused', refusal: { kind: 'no-server' } };
    const refusal = this.#checkAdmission(choice, patienceMs);
    if (refusal !== undefined) return { kind: 'refused', refusal };
    if (!this.#takeBudget(nowMs)) return { kind: 'refused', refusal: { kind: 'no-budget' } };
    const mayRepeat = input.route.kind !== 'non-idempotent';
    const connection = context.backendPool.takeConnection(choice.server, this.service, mayRepeat);
    if (connection === undefined) {
      return { kind: 'refused', refusal: { kind: 'no-connection' } };
    }
    return { kind: 'dispatch', dispatch: this.#recordDispatch(choice, connection, nowMs) };
  }

  /** Sends the request. `onEnd` is called after the end has been accounted for. */
  send(dispatch: Dispatch, lastEventId: string | undefined, events: AttemptEvents): RunningAttempt {
    const { context, input } = this.exchange;
    const { choice, record, connection } = dispatch;
    const startedAtMs = context.clock();
    const overdueTimer = this.#startOverdueTimer(choice);
    const headers = context.codec.encodeRequest(input.request.rawHeaders, {
      remainingMs: this.exchange.getRemainingMs(),
      serverId: choice.server.serverId,
      teamName: input.team?.name,
      lastEventId,
      enginePriority: input.route.kind === 'stream' ? input.rank : undefined,
      cacheSource: choice.cacheSource,
    });
    const attempt = startAttempt(
      connection,
      {
        method: input.request.method ?? 'GET',
        path: input.request.url ?? '/',
        headers,
        body: input.body,
      },
      {
        onAnswer: (answer: AttemptAnswer) => {
          record.firstByteMs ??= Math.round(context.clock() - startedAtMs);
          events.onAnswer(answer);
        },
        onData: (chunk) => {
          clearTimeout(overdueTimer);
          return events.onData(chunk);
        },
        onEnd: (end: AttemptEnd) => {
          clearTimeout(overdueTimer);
          this.#settle(dispatch, end.kind === 'complete' ? record.result : end.kind, startedAtMs);
          events.onEnd(end);
        },
      },
    );
    return {
      cancel: (reason) => {
        clearTimeout(overdueTimer);
        attempt.cancel(reason);
        this.#settle(dispatch, reason, startedAtMs);
      },
      resume: () => {
        attempt.resume();
      },
    };
  }

  /** A server that took a request and says nothing counts as failing long before the caller gives up. */
  #startOverdueTimer({ server, predictedMs }: ServerChoice): NodeJS.Timeout {
    const { failures, clock, log } = this.exchange.context;
    return setTimeout(() => {
      failures.observe(server.serverId, 'overdue', clock());
      log.warn('backend server is overdue', {
        serverId: server.serverId,
        requestId: this.exchange.input.head.attemptId,
        predictedMs: Math.round(predictedMs),
      });
    }, computeOverdueMs(predictedMs));
  }

  #settle(dispatch: Dispatch, result: string, startedAtMs: number): void {
    const { context } = this.exchange;
    dispatch.record.result = result;
    dispatch.record.elapsedMs = Math.round(context.clock() - startedAtMs);
    context.loads.remove(dispatch.placed);
    context.metrics.attempts.inc({ service: this.serviceName, result });
  }

  /** A stream that has begun is continued however late; only a first send can be refused. */
  #checkAdmission(choice: ServerChoice, patienceMs: number): DispatchRefusal | undefined {
    const { input, context } = this.exchange;
    if (choice.placement === undefined || this.sends > 0) return undefined;
    const { priority } = input.route;
    const lowest = context.getRouteTable()?.getLowestStreamPriority(this.serviceName) ?? priority;
    const admission = chooseAdmission(
      {
        firstEventTargetMs: input.route.targetLatencyMs,
        firstEventTimeoutMs: patienceMs,
        remainingMs: this.exchange.getRemainingMs(),
        totalTimeoutMs: input.route.timeoutMs,
        isLowestTier: priority >= lowest,
      },
      choice.placement,
      Math.random(),
    );
    switch (admission.kind) {
      case 'admit':
        return undefined;
      case 'refuse':
        return {
          kind: 'too-late',
          predictedMs: admission.predictedMs,
          retryAfterMs: admission.retryAfterMs,
        };
    }
  }

  #takeBudget(nowMs: number): boolean {
    const { retryBudget, settings } = this.exchange.context;
    if (this.sends === 0) {
      retryBudget.recordFirstAttempt(this.serviceName, nowMs);
      return true;
    }
    const percent = settings.retryRatio * RETRY_RATIO_SHARE * 100;
    return retryBudget.takeRetry(this.serviceName, nowMs, percent);
  }

  #recordDispatch(choice: ServerChoice, connection: HeldConnection, nowMs: number): Dispatch {
    const { context, input } = this.exchange;
    this.sends += 1;
    this.triedServerIds.add(choice.server.serverId);
    const placed: PlacedRequest = {
      serverId: choice.server.serverId,
      prefillMs: choice.prefillMs,
      heldTokens: choice.heldTokens,
      isPauseSensitive: choice.isPauseSensitive,
      hasLongPrompt: choice.isLong,
      expectedFirstByteAtMs: nowMs + choice.predictedMs,
      isStreaming: false,
    };
    const record: AttemptRecord = {
      serverId: choice.server.serverId,
      predictedMs: Math.round(choice.predictedMs),
      queuedMs: Math.round(choice.queuedMs),
      ...describeFetch(choice),
      result: 'complete',
      elapsedMs: 0,
    };
    context.loads.add(placed, nowMs);
    this.exchange.attempts.push(record);
    const engine = this.service?.engine;
    if (engine !== undefined) {
      const { serverId } = placed;
      const { parts } = input.head;
      recordPrompt(context, { serverId, parts }, engine.kvTokens);
      context.reportPrompt(serverId, parts.slice(0, -1));
    }
    return { choice, record, placed, connection };
  }
}

/** Time after a send at which its first byte is overdue, in milliseconds. */
export function computeOverdueMs(predictedMs: number): number {
  return OVERDUE_FACTOR * predictedMs + OVERDUE_MARGIN_MS;
}

function chooseService(services: readonly { service: string; weight: number }[]): string {
  const total = services.reduce((sum, { weight }) => sum + weight, 0);
  let rest = Math.random() * total;
  for (const { service, weight } of services) {
    rest -= weight;
    if (rest < 0) return service;
  }
  return services[0]?.service ?? '';
}

function describeFetch({ placement, cacheSource }: ServerChoice): Partial<AttemptRecord> {
  if (placement === undefined || cacheSource === undefined) return {};
  return { cacheSourceId: cacheSource.serverId, fetchedTokens: placement.fetchedTokens };
}

/** Words for a refusal, for callers and logs. */
export function describeRefusal(refusal: DispatchRefusal): string {
  switch (refusal.kind) {
    case 'no-server':
      return 'no backend server is left to try';
    case 'no-connection':
      return 'all connections to the backend server are in use';
    case 'no-budget':
      return 'the budget for repeated sends is used up';
    case 'too-late':
      return `the first byte is expected only in ${Math.round(refusal.predictedMs)} ms`;
  }
}
