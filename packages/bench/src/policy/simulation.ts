import type { Decision, QueuedRequest } from '@pollendrum/policy';
import { BatchingServer } from './batching-server';
import type { BatchingServerOptions, RunningStream } from './batching-server';
import type { BenchPolicy } from './bench-policy';
import type { Arrival, Preset } from './workload';

/** How one arrival of the bench ended. */
export interface BenchOutcome {
  arrival: Arrival;
  className: string;
  result: 'answered' | 'shed' | 'abandoned' | 'failed';
  /** Time to first token from arrival in milliseconds; undefined if none came. */
  firstTokenMs: number | undefined;
  /** Time until the outcome was known, in milliseconds. */
  totalMs: number;
  /** Time until the work started or was given up, in milliseconds. */
  waitMs: number;
  onTime: boolean;
  wastedTokens: number;
}

/** A fault of the bench at a time in milliseconds. */
export type BenchFault =
  | { kind: 'slow'; atMs: number; serverId: string; speed: number }
  | { kind: 'crash'; atMs: number; serverId: string }
  | { kind: 'restart'; atMs: number; serverId: string };

export interface SimulationOptions {
  preset: Preset;
  arrivals: readonly Arrival[];
  servers: readonly BatchingServerOptions[];
  faults: readonly BenchFault[];
  createPolicy: (readReportedLoad: (serverId: string) => number) => BenchPolicy;
}

interface LiveRequest {
  arrival: Arrival;
  attempts: number;
  excludedServerIds: string[];
  serverId: string | undefined;
  startedAtMs: number | undefined;
  firstTokenMs: number | undefined;
  wastedTokens: number;
}

/** Load reports describe the servers as they were this long ago. */
const REPORT_LAG_MS = 1000;
/** The platform's list shows a crash or restart after this time. */
const LIST_LAG_MS = 2000;
const MAX_ATTEMPTS = 2;

type TimedEvent =
  | { kind: 'arrival'; atMs: number; arrival: Arrival }
  | { kind: 'fault'; atMs: number; fault: BenchFault }
  | { kind: 'patience'; atMs: number; id: string; limit: 'first-token' | 'total' }
  | { kind: 'list'; atMs: number }
  | { kind: 'report'; atMs: number };

/** Runs recorded arrivals through a policy and batching servers in virtual time. */
export class Simulation {
  readonly #options: SimulationOptions;
  readonly #policy: BenchPolicy;
  readonly #servers: Map<string, BatchingServer>;
  readonly #live = new Map<string, LiveRequest>();
  readonly #outcomes: BenchOutcome[] = [];
  readonly #reported = new Map<string, number>();
  readonly #listedDown = new Set<string>();
  #events: TimedEvent[] = [];

  constructor(options: SimulationOptions) {
    this.#options = options;
    this.#servers = new Map(
      options.servers.map((server) => [server.id, new BatchingServer(server)]),
    );
    this.#policy = options.createPolicy((serverId) => this.#reported.get(serverId) ?? 0);
  }

  /** Runs to the end and returns one outcome for each arrival. */
  run(): BenchOutcome[] {
    this.#events = this.#createEvents();
    this.#updateServerList(0);
    let nextEvent = 0;
    for (;;) {
      const event = this.#events[nextEvent];
      const serverMs = Math.min(
        ...[...this.#servers.values()].map((server) => server.getNextEventMs()),
      );
      const wakeMs = this.#live.size > 0 ? this.#policy.getNextWakeMs() : Infinity;
      const nowMs = Math.min(event?.atMs ?? Infinity, serverMs, wakeMs);
      if (nowMs === Infinity || (event === undefined && this.#live.size === 0)) break;
      if (event !== undefined && event.atMs <= nowMs) {
        nextEvent += 1;
        this.#handleEvent(event);
      }
      this.#takeServerEvents(nowMs);
      this.#applyDecisions(nowMs);
    }
    return this.#outcomes;
  }

  #createEvents(): TimedEvent[] {
    const { arrivals, faults, preset } = this.#options;
    const events: TimedEvent[] = arrivals.map((arrival) => ({
      kind: 'arrival',
      atMs: arrival.atMs,
      arrival,
    }));
    for (const arrival of arrivals) {
      const workload = preset.classes[arrival.classIndex];
      if (workload === undefined) continue;
      const id = arrival.id;
      events.push({
        kind: 'patience',
        atMs: arrival.atMs + workload.patienceMs,
        id,
        limit: 'first-token',
      });
      events.push({
        kind: 'patience',
        atMs: arrival.atMs + workload.maxTotalMs,
        id,
        limit: 'total',
      });
    }
    for (const fault of faults) {
      events.push({ kind: 'fault', atMs: fault.atMs, fault });
      events.push({ kind: 'list', atMs: fault.atMs + LIST_LAG_MS });
    }
    const lastMs = arrivals.at(-1)?.atMs ?? 0;
    for (let atMs = 0; atMs < lastMs; atMs += REPORT_LAG_MS) events.push({ kind: 'report', atMs });
    return events.sort((a, b) => a.atMs - b.atMs);
  }

  #handleEvent(event: TimedEvent): void {
    switch (event.kind) {
      case 'arrival':
        this.#handleArrival(event.arrival);
        return;
      case 'fault':
        this.#handleFault(event.fault);
        return;
      case 'patience':
        this.#handlePatience(event.id, event.limit, event.atMs);
        return;
      case 'list':
        this.#updateServerList(event.atMs);
        return;
      case 'report':
        for (const [id, server] of this.#servers) this.#reported.set(id, server.running.size);
        return;
    }
  }

  #handleArrival(arrival: Arrival): void {
    this.#live.set(arrival.id, {
      arrival,
      attempts: 1,
      excludedServerIds: [],
      serverId: undefined,
      startedAtMs: undefined,
      firstTokenMs: undefined,
      wastedTokens: 0,
    });
    this.#enqueue(arrival.id, arrival.atMs);
  }

  #enqueue(id: string, nowMs: number): void {
    const live = this.#live.get(id);
    const workload = live && this.#options.preset.classes[live.arrival.classIndex];
    if (live === undefined || workload === undefined) return;
    const request: QueuedRequest = {
      attemptId: toAttemptId(id, live.attempts),
      requestId: id,
      className: workload.name,
      team: live.arrival.team,
      fingerprint: id,
      prefixHash: 0,
      promptTokens: live.arrival.promptTokens,
      maxOutputTokens: live.arrival.maxOutputTokens,
      arrivedAtMs: live.arrival.atMs,
      expiresAtMs: live.arrival.atMs + workload.maxTotalMs,
      excludedServerIds: live.excludedServerIds,
      isRetry: live.attempts > 1,
      failureDomain: 'a',
    };
    this.#policy.enqueue(request, nowMs);
  }

  #handleFault(fault: BenchFault): void {
    const server = this.#servers.get(fault.serverId);
    if (server === undefined) return;
    switch (fault.kind) {
      case 'slow':
        server.setSpeed(fault.speed, fault.atMs);
        return;
      case 'crash':
        for (const stream of server.crash(fault.atMs))
          this.#handleLostStream(stream, fault.serverId, fault.atMs);
        return;
      case 'restart':
        server.isDown = false;
        return;
    }
  }

  #handleLostStream(stream: RunningStream, serverId: string, nowMs: number): void {
    const live = this.#live.get(stream.id);
    if (live === undefined) return;
    this.#policy.finish(
      { attemptId: toAttemptId(stream.id, live.attempts), result: 'server-crashed' },
      nowMs,
    );
    this.#retryOrFail(stream.id, live, serverId, Math.floor(stream.generatedTokens), nowMs);
  }

  #retryOrFail(
    id: string,
    live: LiveRequest,
    serverId: string,
    lostTokens: number,
    nowMs: number,
  ): void {
    live.wastedTokens += lostTokens;
    live.serverId = undefined;
    if (live.attempts >= MAX_ATTEMPTS) {
      this.#end(id, 'failed', nowMs);
      return;
    }
    live.attempts += 1;
    live.excludedServerIds.push(serverId);
    this.#enqueue(id, nowMs);
  }

  #handlePatience(id: string, limit: 'first-token' | 'total', nowMs: number): void {
    const live = this.#live.get(id);
    if (live === undefined) return;
    if (limit === 'first-token' && live.firstTokenMs !== undefined) return;
    const attemptId = toAttemptId(id, live.attempts);
    if (live.serverId === undefined) {
      this.#policy.withdraw(attemptId);
    } else {
      const stream = this.#servers.get(live.serverId)?.cancel(id, nowMs);
      live.wastedTokens += Math.floor(stream?.generatedTokens ?? 0);
      this.#policy.finish({ attemptId, result: 'cancelled' }, nowMs);
    }
    this.#end(id, 'abandoned', nowMs);
  }

  #takeServerEvents(nowMs: number): void {
    for (const server of this.#servers.values()) {
      if (server.getNextEventMs() > nowMs) continue;
      const { firstTokens, ended } = server.takeEvents(nowMs);
      for (const stream of firstTokens) {
        const live = this.#live.get(stream.id);
        if (live !== undefined) live.firstTokenMs ??= nowMs - live.arrival.atMs;
      }
      for (const stream of ended) this.#handleEndedStream(stream, nowMs);
    }
  }

  #handleEndedStream(stream: RunningStream, nowMs: number): void {
    const live = this.#live.get(stream.id);
    if (live === undefined) return;
    const firstTokenAtMs = stream.firstTokenAtMs ?? nowMs;
    this.#policy.finish(
      {
        attemptId: toAttemptId(stream.id, live.attempts),
        result: 'completed',
        firstTokenMs: firstTokenAtMs - stream.startedAtMs,
        meanGapMs: (nowMs - firstTokenAtMs) / Math.max(1, stream.outputTokens - 1),
        outputTokens: stream.outputTokens,
      },
      nowMs,
    );
    this.#end(stream.id, 'answered', nowMs);
  }

  #applyDecisions(nowMs: number): void {
    for (const decision of this.#policy.takeDecisions(nowMs)) this.#applyDecision(decision, nowMs);
  }

  #applyDecision(decision: Decision, nowMs: number): void {
    const id = toArrivalId(decision.attemptId);
    const live = this.#live.get(id);
    if (live === undefined) return;
    if (decision.kind === 'shed') {
      this.#end(id, 'shed', nowMs);
      return;
    }
    const server = this.#servers.get(decision.serverId);
    if (server === undefined || server.isDown) {
      this.#policy.finish({ attemptId: decision.attemptId, result: 'not-sent' }, nowMs);
      live.excludedServerIds = [decision.serverId];
      live.attempts += 1;
      this.#enqueue(id, nowMs);
      return;
    }
    live.serverId = decision.serverId;
    live.startedAtMs ??= nowMs;
    server.start(id, live.arrival.promptTokens, live.arrival.outputTokens, nowMs);
  }

  #updateServerList(nowMs: number): void {
    this.#listedDown.clear();
    for (const [id, server] of this.#servers) if (server.isDown) this.#listedDown.add(id);
    const listed = this.#options.servers.filter((server) => !this.#listedDown.has(server.id));
    this.#policy.updateServers(
      listed.map((server) => ({
        id: server.id,
        slots: server.slots,
        failureDomain: 'a',
        isLeaving: false,
      })),
      nowMs,
    );
  }

  #end(id: string, result: BenchOutcome['result'], nowMs: number): void {
    const live = this.#live.get(id);
    const workload = live && this.#options.preset.classes[live.arrival.classIndex];
    if (live === undefined || workload === undefined) return;
    this.#live.delete(id);
    const firstTokenMs = live.firstTokenMs;
    this.#outcomes.push({
      arrival: live.arrival,
      className: workload.name,
      result,
      firstTokenMs,
      totalMs: nowMs - live.arrival.atMs,
      waitMs: (live.startedAtMs ?? nowMs) - live.arrival.atMs,
      onTime:
        result === 'answered' &&
        firstTokenMs !== undefined &&
        firstTokenMs <= workload.targetFirstByteMs,
      wastedTokens: live.wastedTokens,
    });
  }
}

const ATTEMPT_SEPARATOR = '#';

function toAttemptId(arrivalId: string, attempt: number): string {
  return `${arrivalId}${ATTEMPT_SEPARATOR}${attempt}`;
}

function toArrivalId(attemptId: string): string {
  return attemptId.slice(0, attemptId.lastIndexOf(ATTEMPT_SEPARATOR));
}
