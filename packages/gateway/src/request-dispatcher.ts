import { setTimeout as sleep } from 'node:timers/promises';
import { chooseAdmission } from '@pollendrum/policy';
import type { PlacedRequest, RequestTrait, ReturningSend } from '@pollendrum/policy';
import type { LeasedConnection } from './backend-connections';
import { startAttempt } from './backend-attempt';
import type { ResponseHead, AttemptEnd, AttemptHandlers, RunningAttempt } from './backend-attempt';
import { RunEvidence } from './duties/run-evidence';
import type { AttemptEvidence } from './duties/run-evidence';
import type { Exchange } from './exchange';
import { recordPrompt } from './gateway-context';
import type { AttemptRecord } from './request-log';
import { decodeRetryAfter } from './retry-after';
import type { ServerChoice } from './server-chooser';
import { makeServerKey } from './server-key';
import type { BackendServer, Service } from './bundle';

/**
 * The first byte of the response body is overdue after this multiple of the predicted time, plus `OVERDUE_MARGIN_MS`.
 * A failure of the server is then recorded, and an attempt of a resumable stream is cancelled. `ServerLoad.overdueMs`
 * counts from the predicted time instead.
 */
const OVERDUE_FACTOR = 3;
/** Added to this threshold, in milliseconds, since predictions for short prompts are a few milliseconds. */
const OVERDUE_MARGIN_MS = 600;
/** Another server answers under the address. */
const MISDIRECTED_REQUEST = 421;
const SERVICE_UNAVAILABLE = 503;
/** Share of the configured retry ratio that is used; the rest is a margin, as windows of the ratio are not aligned. */
const RETRY_RATIO_SHARE = 0.75;
/** Longest wait for whether a server has ended before the request is repeated, in milliseconds. */
const MAX_CRASH_CHECK_WAIT_MS = 50;

/** Why a request was not sent to a server. */
export type DispatchRejection =
  /** No untried backend server of the service is ready. */
  | { kind: 'no-server' }
  /** Servers of the service are listed, and none of them takes requests of this instance now. */
  | { kind: 'unavailable'; retryAfterMs: number }
  /** The limits of the service's servers leave no room, or leave it to more urgent requests. */
  | { kind: 'limited'; retryAfterMs: number }
  /** All connections to the server that the instance may open are in use. */
  | { kind: 'no-connection' }
  /** The service's retry budget, which all requests share, is used up. */
  | { kind: 'no-budget' }
  /** A trait of the request has crashed several servers. */
  | { kind: 'held-back'; trait: RequestTrait; retryAfterMs: number }
  /** The first event or the completion of a stream is predicted too late for the caller. */
  | { kind: 'too-late'; predictedMs: number; retryAfterMs: number };

/** An attempt that is ready to be sent: the chosen server, the leased connection and the records of the attempt. */
export interface Dispatch {
  choice: ServerChoice;
  record: AttemptRecord;
  placed: PlacedRequest;
  /** Set when the server returns from a pause. */
  returningSend: ReturningSend | undefined;
  connection: LeasedConnection;
  evidence: AttemptEvidence;
  /** Whether the server has begun its answer: an event of a stream, or a complete plain response, has arrived. */
  hasAnswerBegun: boolean;
}

export type DispatchResult =
  { kind: 'dispatch'; dispatch: Dispatch } | { kind: 'refused'; rejection: DispatchRejection };

/** Chooses servers for a request, sends the request to them, and records load, retry budget and metrics. */
export class RequestDispatcher {
  private readonly triedServerIds = new Set<string>();
  private readonly serviceName: string;
  private readonly service: Service | undefined;
  private sendCount = 0;
  /** Whether the retry budget has a send for this request that was withdrawn. */
  private hasUnusedSend = false;
  private crashCheck: Promise<void> | undefined;
  private readonly evidence: RunEvidence;

  constructor(private readonly exchange: Exchange) {
    this.evidence = new RunEvidence(exchange);
    const { route } = exchange.input;
    this.serviceName = chooseService(route.services);
    this.service = exchange.context.getRouteTable()?.getService(this.serviceName);
  }

  /** Waits until it is known whether the server of a broken attempt has ended, which decides about a repetition. */
  async waitForCrashCheck(): Promise<void> {
    if (this.crashCheck === undefined) return;
    await Promise.race([this.crashCheck, sleep(MAX_CRASH_CHECK_WAIT_MS)]);
    this.crashCheck = undefined;
  }

  /**
   * Chooses a server, checks admission and the retry budget, and leases a connection to the server.
   *
   * @param firstByteTimeoutMs time after which a caller without a first byte is assumed to disconnect, in milliseconds
   */
  createDispatch(firstByteTimeoutMs: number): DispatchResult {
    const { context, input } = this.exchange;
    const nowMs = context.clock();
    const judgement = context.quarantine.judgeSend(this.exchange, this.sendCount > 0);
    if (judgement.kind === 'held-back') return { kind: 'refused', rejection: judgement };
    const choice = this.#chooseServer(nowMs);
    if (choice === undefined)
      return { kind: 'refused', rejection: this.#rejectWithoutServer(nowMs) };
    const rejection = this.#checkAdmission(choice, firstByteTimeoutMs);
    if (rejection !== undefined) return { kind: 'refused', rejection };
    if (!this.#takeRetryBudget(nowMs)) return { kind: 'refused', rejection: { kind: 'no-budget' } };
    const allowsLongIdle = input.route.kind !== 'non-idempotent';
    const connection = context.backendPool.takeConnection(
      choice.server,
      this.service,
      allowsLongIdle,
    );
    if (connection === undefined) {
      return { kind: 'refused', rejection: { kind: 'no-connection' } };
    }
    if (judgement.kind === 'probe') context.quarantine.recordProbe(judgement.traits);
    return { kind: 'dispatch', dispatch: this.#recordDispatch(choice, connection, nowMs) };
  }

  /** Whether a repetition of the request would be sent to another server now. */
  isRepetitionPossible(): boolean {
    const { retryBudget, clock } = this.exchange.context;
    const nowMs = clock();
    const percent = this.#computeRetryPercent();
    return (
      retryBudget.hasRetry(this.serviceName, nowMs, percent) &&
      this.#chooseServer(nowMs) !== undefined
    );
  }

  #chooseServer(nowMs: number): ServerChoice | undefined {
    const { context, input } = this.exchange;
    return context.chooser.choose(
      {
        route: input.route,
        service: this.service,
        serviceName: this.serviceName,
        head: input.head,
        tightestPauseTargetMs: context.getRouteTable()?.getTightestPauseTargetMs(this.serviceName),
        remainingMs: this.exchange.getRemainingMs(),
        excludedServerIds: this.triedServerIds,
        avoidsRestrictedServers: context.limitedAdmissions
          .get(this.serviceName)
          .hasToYield(input.rank, nowMs),
      },
      nowMs,
    );
  }

  #rejectWithoutServer(nowMs: number): DispatchRejection {
    const { registry, availability, limitSharing, limitedAdmissions } = this.exchange.context;
    const ready = registry.listReady(this.serviceName);
    const available = ready.filter(
      (server) => availability.judge(server, nowMs).kind === 'available',
    );
    const isTried = ({ serverId }: BackendServer) => this.triedServerIds.has(serverId);
    // A tried server counts as well if none of the tried ones is available to the caller's next request.
    const candidates = available.some(isTried) ? ready.filter((server) => !isTried(server)) : ready;
    const limitRoom = limitSharing.estimateRoom(
      available.filter((server) => !isTried(server)),
      nowMs,
    );
    const otherRoom = availability.estimateRoom(candidates, nowMs);
    const isLimited = (limitRoom?.roomInMs ?? Infinity) <= (otherRoom?.roomInMs ?? Infinity);
    const room = isLimited ? limitRoom : otherRoom;
    if (room === undefined) return { kind: 'no-server' };
    const remainingMs = this.exchange.getRemainingMs();
    const retryAfterMs = limitedAdmissions
      .get(this.serviceName)
      .recordRefusal(this.exchange.input.rank, { ...room, remainingMs }, nowMs);
    return { kind: isLimited ? 'limited' : 'unavailable', retryAfterMs };
  }

  /** Sends the request. `onEnd` is called after the load, the attempt record and the metrics have been updated. */
  send(
    dispatch: Dispatch,
    lastEventId: string | undefined,
    handlers: AttemptHandlers,
  ): RunningAttempt {
    const { context, input } = this.exchange;
    const { choice, record, connection, evidence } = dispatch;
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
        onResponse: (head: ResponseHead) => {
          record.firstByteMs ??= Math.round(context.clock() - startedAtMs);
          this.#observeHead(dispatch, head);
          evidence.recordHead(head);
          handlers.onResponse(head);
        },
        checkSend: () => {
          const reason = this.#checkSend(choice.server);
          if (reason === undefined) evidence.recordSent();
          return reason;
        },
        onData: (chunk) => {
          clearTimeout(overdueTimer);
          return handlers.onData(chunk);
        },
        onEnd: (end: AttemptEnd) => {
          clearTimeout(overdueTimer);
          evidence.recordEnd(end);
          if (end.kind === 'broken') this.observeBrokenAttempt(dispatch);
          if (end.kind === 'withdrawn') this.#recordWithdrawal();
          this.#recordResult(
            dispatch,
            end.kind === 'complete' ? record.result : end.kind,
            startedAtMs,
          );
          handlers.onEnd(end);
        },
      },
    );
    return {
      cancel: (reason) => {
        clearTimeout(overdueTimer);
        attempt.cancel(reason);
        evidence.recordCancel();
        this.#recordResult(dispatch, reason, startedAtMs);
      },
      resume: () => {
        attempt.resume();
      },
    };
  }

  /** Records that the server has begun its answer, so that the request cannot be what ends the server later. */
  recordAnswerBegun(dispatch: Dispatch): void {
    dispatch.hasAnswerBegun = true;
    dispatch.evidence.recordAnswer();
    this.exchange.context.quarantine.recordAnswer(this.exchange);
  }

  /** Returns why a request that waited for its connection is not sent any more; undefined if it is. */
  #checkSend(server: BackendServer): string | undefined {
    const { availability, clock, registry } = this.exchange.context;
    const listed = registry.get(server.serverId);
    if (listed === undefined || makeServerKey(listed) !== makeServerKey(server)) {
      return 'the server is no longer listed';
    }
    const judgement = availability.judge(server, clock());
    switch (judgement.kind) {
      case 'available':
      case 'returning':
      case 'returning-full':
        return undefined;
      case 'paused':
        return 'the server has asked for a pause';
      case 'leaving':
        return 'the server leaves';
    }
  }

  /** The server got nothing, so that the send does not count. */
  #recordWithdrawal(): void {
    this.sendCount -= 1;
    this.hasUnusedSend = true;
  }

  /** Counts a request to a server that names a limit or returns from a pause. */
  #recordRestrictedSend(server: BackendServer, nowMs: number): ReturningSend | undefined {
    const { availability, limitSharing, limitedAdmissions } = this.exchange.context;
    const isLimited = limitSharing.judge(server, nowMs).kind !== 'unlimited';
    if (isLimited) limitSharing.recordSend(server);
    const returningSend = availability.recordSend(server);
    if (isLimited || returningSend !== undefined) {
      limitedAdmissions.get(this.serviceName).recordAdmission(this.exchange.input.rank, nowMs);
    }
    return returningSend;
  }

  /**
   * Takes in what the server says about itself in the head of an answer. That it leaves or wants a pause counts also without
   * proof or with another request's id; an answer with 421 is that of another server.
   */
  #observeHead({ choice, returningSend }: Dispatch, { status, headers }: ResponseHead): void {
    if (status === MISDIRECTED_REQUEST) return;
    const { server } = choice;
    const { codec, availability, availabilityObserver, limitObserver } = this.exchange.context;
    const { requestId } = this.exchange.input.head;
    const decoded = codec.decodeResponse(status, headers, requestId);
    availabilityObserver.observeLeaving(server, codec.decodeLeaving(headers), status);
    const isRefusal = status === SERVICE_UNAVAILABLE || decoded.kind === 'not-run';
    if (returningSend !== undefined) {
      availability.recordHead(returningSend, isRefusal ? 'refusal' : 'answer');
    }
    if (status === SERVICE_UNAVAILABLE) {
      availabilityObserver.observeRetryAfter(server, decodeRetryAfter(headers, Date.now()));
    }
    const isProven = decoded.kind === 'not-run' || (decoded.kind === 'answer' && decoded.isSigned);
    if (isProven) limitObserver.observeAnswer(server, codec.decodeServerLimit(headers));
  }

  /** Takes in an attempt that broke, so that its traits are suspects if the server has ended. */
  observeBrokenAttempt({ choice, hasAnswerBegun }: Dispatch): void {
    if (hasAnswerBegun) return;
    const { context, input } = this.exchange;
    const traits = [...this.exchange.listPartTraits(), this.exchange.getRepetitionTrait()];
    const { requestId } = input.head;
    this.crashCheck = context.crashObserver.observeBrokenAttempt(choice.server, requestId, traits);
  }

  /** Records a failure of a server that accepts a request and sends no body data, long before the caller times out. */
  #startOverdueTimer({ server, predictedMs }: ServerChoice): NodeJS.Timeout {
    const { failures, clock, log } = this.exchange.context;
    return setTimeout(() => {
      failures.observe(server.serverId, 'overdue', clock());
      log.warn('backend server is overdue', {
        serverId: server.serverId,
        requestId: this.exchange.input.head.requestId,
        predictedMs: Math.round(predictedMs),
      });
    }, computeOverdueAfterMs(predictedMs));
  }

  #recordResult(dispatch: Dispatch, result: string, startedAtMs: number): void {
    const { context } = this.exchange;
    dispatch.record.result = result;
    dispatch.record.elapsedMs = Math.round(context.clock() - startedAtMs);
    context.loads.remove(dispatch.placed);
    if (dispatch.returningSend !== undefined)
      context.availability.recordEnd(dispatch.returningSend);
    context.metrics.attempts.inc({ service: this.serviceName, result });
  }

  /** Checks whether a stream is admitted. A retry is always admitted, however late its first event is predicted. */
  #checkAdmission(choice: ServerChoice, firstByteTimeoutMs: number): DispatchRejection | undefined {
    const { input, context } = this.exchange;
    if (choice.placement === undefined || this.sendCount > 0) return undefined;
    const { priority } = input.route;
    const lowestPriority =
      context.getRouteTable()?.getLowestStreamPriority(this.serviceName) ?? priority;
    const admission = chooseAdmission(
      {
        firstEventTargetMs: input.route.targetLatencyMs,
        firstEventTimeoutMs: firstByteTimeoutMs,
        remainingMs: this.exchange.getRemainingMs(),
        totalTimeoutMs: input.route.timeoutMs,
        isLowestTier: priority >= lowestPriority,
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

  #takeRetryBudget(nowMs: number): boolean {
    const { retryBudget } = this.exchange.context;
    if (this.hasUnusedSend) {
      this.hasUnusedSend = false;
      return true;
    }
    if (this.sendCount === 0) {
      retryBudget.recordFirstAttempt(this.serviceName, nowMs);
      return true;
    }
    return retryBudget.takeRetry(this.serviceName, nowMs, this.#computeRetryPercent());
  }

  #computeRetryPercent(): number {
    return this.exchange.context.settings.retryRatio * RETRY_RATIO_SHARE * 100;
  }

  #recordDispatch(choice: ServerChoice, connection: LeasedConnection, nowMs: number): Dispatch {
    const { context, input } = this.exchange;
    this.sendCount += 1;
    this.triedServerIds.add(choice.server.serverId);
    const placed: PlacedRequest = {
      serverId: choice.server.serverId,
      prefillMs: choice.prefillMs,
      heldTokens: choice.heldTokens,
      isPauseSensitive: choice.isPauseSensitive,
      hasLongPrompt: choice.hasLongPrompt,
      expectedFirstByteAtMs: nowMs + choice.predictedMs,
      isStreaming: false,
    };
    const record: AttemptRecord = {
      serverId: choice.server.serverId,
      predictedMs: Math.round(choice.predictedMs),
      queuedMs: Math.round(choice.queuedMs),
      ...describeCacheFetch(choice),
      result: 'complete',
      elapsedMs: 0,
    };
    context.loads.add(placed, nowMs);
    const returningSend = this.#recordRestrictedSend(choice.server, nowMs);
    this.exchange.attempts.push(record);
    const engine = this.service?.engine;
    if (engine !== undefined) {
      const { serverId } = placed;
      const { parts } = input.head;
      recordPrompt(context, { serverId, parts }, engine.kvTokens);
      context.reportPrompt(serverId, parts.slice(0, -1));
    }
    const evidence = this.evidence.createAttempt();
    return { choice, record, placed, returningSend, connection, evidence, hasAnswerBegun: false };
  }
}

/** Computes the time after a send when the first byte of the response body is overdue, in milliseconds. */
export function computeOverdueAfterMs(predictedMs: number): number {
  return OVERDUE_FACTOR * predictedMs + OVERDUE_MARGIN_MS;
}

/**
 * Resolves after which time the caller may come back, in milliseconds.
 *
 * @param defaultMs time for rejections that do not know when a server will be free
 */
export function resolveRetryAfterMs(rejection: DispatchRejection, defaultMs: number): number {
  switch (rejection.kind) {
    case 'no-server':
    case 'no-connection':
    case 'no-budget':
      return defaultMs;
    case 'held-back':
    case 'unavailable':
    case 'limited':
    case 'too-late':
      return rejection.retryAfterMs;
  }
}

function chooseService(services: readonly { service: string; weight: number }[]): string {
  const total = services.reduce((sum, { weight }) => sum + weight, 0);
  let remaining = Math.random() * total;
  for (const { service, weight } of services) {
    remaining -= weight;
    if (remaining < 0) return service;
  }
  return services[0]?.service ?? '';
}

function describeCacheFetch({ placement, cacheSource }: ServerChoice): Partial<AttemptRecord> {
  if (placement === undefined || cacheSource === undefined) return {};
  return { cacheSourceId: cacheSource.serverId, fetchedTokens: placement.fetchedTokens };
}

/** Formats a rejection for callers and logs. */
export function describeRejection(rejection: DispatchRejection): string {
  switch (rejection.kind) {
    case 'no-server':
      return 'no backend server is left to try';
    case 'unavailable':
      return 'no backend server takes requests now';
    case 'limited':
      return "the backend servers' limits leave no room";
    case 'no-connection':
      return 'all connections to the backend server are in use';
    case 'no-budget':
      return 'the budget for repeated sends is used up';
    case 'held-back':
      return `requests with this trait crash backend servers: ${rejection.trait}`;
    case 'too-late':
      return `the first byte is expected only in ${Math.round(rejection.predictedMs)} ms`;
  }
}
