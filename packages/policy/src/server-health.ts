import type { FinishedGrant, FinishResult } from './types';

/** An ejected or lost server gets one probe request in this time, in milliseconds. */
export const PROBE_INTERVAL_MS = 2000;
/** Most servers of a shard that are out for slowness. */
export const MAX_EJECTED_RATIO = 0.3;
/** The platform's list lags, so a server that said that it drains stays leaving this long, in milliseconds. */
export const DRAINING_HOLD_MS = 30_000;
const NEW_WEIGHT = 0.2;
const MIN_SAMPLES = 5;
/** Slow: this many times the shard's median, and by at least the margin in milliseconds. */
const SLOW_RATIO = 3;
const GAP_MARGIN_MS = 10;
const FIRST_TOKEN_MARGIN_MS = 100;
/** A probe must be within this many times the median to restore the server. */
const RESTORE_RATIO = 2;
const FAILURE_SHARE = 0.5;
const HEALTHY_FAILURE_SHARE = 0.25;

/** State by the request path alone; the platform's list adds `leaving`. */
export type HealthState = 'healthy' | 'ejected' | 'down';

interface ServerHealth {
  state: HealthState;
  samples: number;
  failureShare: number;
  firstTokenMs: number | undefined;
  gapMs: number | undefined;
  nextProbeMs: number;
  drainingUntilMs: number;
}

/** Judges servers by first token times, token gaps and failures, relative to the shard's median. */
export class HealthMonitor {
  private readonly servers = new Map<string, ServerHealth>();

  /** Follows the list of servers. A server that comes back starts healthy. */
  update(serverIds: readonly string[]): void {
    const listed = new Set(serverIds);
    for (const id of this.servers.keys()) if (!listed.has(id)) this.servers.delete(id);
    for (const id of listed) if (!this.servers.has(id)) this.servers.set(id, makeHealthy());
  }

  getState(serverId: string): HealthState {
    return this.servers.get(serverId)?.state ?? 'healthy';
  }

  isDraining(serverId: string, nowMs: number): boolean {
    return (this.servers.get(serverId)?.drainingUntilMs ?? 0) > nowMs;
  }

  isProbeDue(serverId: string, nowMs: number): boolean {
    const server = this.servers.get(serverId);
    return server !== undefined && server.state !== 'healthy' && server.nextProbeMs <= nowMs;
  }

  recordProbe(serverId: string, nowMs: number): void {
    const server = this.servers.get(serverId);
    if (server !== undefined) server.nextProbeMs = nowMs + PROBE_INTERVAL_MS;
  }

  /** Next time after now at which a probe or the end of a drain is due, in milliseconds; Infinity if none. */
  getNextChangeMs(nowMs: number): number {
    let nextMs = Infinity;
    for (const { state, nextProbeMs, drainingUntilMs } of this.servers.values()) {
      if (state !== 'healthy' && nextProbeMs > nowMs) nextMs = Math.min(nextMs, nextProbeMs);
      if (drainingUntilMs > nowMs) nextMs = Math.min(nextMs, drainingUntilMs);
    }
    return nextMs;
  }

  /** Takes in how an attempt on the server ended. */
  observe(serverId: string, finish: FinishedGrant, isProbe: boolean, nowMs: number): void {
    const server = this.servers.get(serverId);
    if (server === undefined) return;
    if (finish.result === 'server-draining') server.drainingUntilMs = nowMs + DRAINING_HOLD_MS;
    if (finish.result === 'server-crashed' || finish.result === 'server-silent') {
      markDown(server, nowMs);
      return;
    }
    if (server.state !== 'healthy') {
      if (isProbe && this.isGoodProbe(finish)) this.servers.set(serverId, makeHealthy(server));
      return;
    }
    const isFailure = isServerFailure(finish.result);
    if (!isFailure && finish.result !== 'completed') return;
    addSample(server, finish, isFailure);
    if (this.isSlowOrFailing(server) && this.hasEjectionRoom()) {
      server.state = 'ejected';
      server.nextProbeMs = nowMs + PROBE_INTERVAL_MS;
    }
  }

  private isGoodProbe(finish: FinishedGrant): boolean {
    if (finish.result !== 'completed') return false;
    const gapMs = this.computeMedian((server) => server.gapMs);
    const firstTokenMs = this.computeMedian((server) => server.firstTokenMs);
    return (
      !isAbove(finish.meanGapMs, gapMs, RESTORE_RATIO, GAP_MARGIN_MS) &&
      !isAbove(finish.firstTokenMs, firstTokenMs, RESTORE_RATIO, FIRST_TOKEN_MARGIN_MS)
    );
  }

  private isSlowOrFailing(server: ServerHealth): boolean {
    if (server.samples < MIN_SAMPLES) return false;
    const gapMs = this.computeMedian((other) => other.gapMs);
    if (isAbove(server.gapMs, gapMs, SLOW_RATIO, GAP_MARGIN_MS)) return true;
    const firstTokenMs = this.computeMedian((other) => other.firstTokenMs);
    if (isAbove(server.firstTokenMs, firstTokenMs, SLOW_RATIO, FIRST_TOKEN_MARGIN_MS)) return true;
    const failureShare = this.computeMedian((other) => other.failureShare) ?? 0;
    return server.failureShare >= FAILURE_SHARE && failureShare < HEALTHY_FAILURE_SHARE;
  }

  /** At most 30% are out, servers that are down included, and one healthy server remains. */
  private hasEjectionRoom(): boolean {
    const total = this.servers.size;
    const out = [...this.servers.values()].filter(({ state }) => state !== 'healthy').length;
    return out + 1 <= Math.floor(total * MAX_EJECTED_RATIO) && total - out > 1;
  }

  /** Lower median over the healthy servers that have the figure. */
  private computeMedian(read: (server: ServerHealth) => number | undefined): number | undefined {
    const values: number[] = [];
    for (const server of this.servers.values()) {
      const value = server.state === 'healthy' && server.samples > 0 ? read(server) : undefined;
      if (value !== undefined) values.push(value);
    }
    values.sort((a, b) => a - b);
    return values[(values.length - 1) >> 1];
  }
}

function makeHealthy(previous?: ServerHealth): ServerHealth {
  return {
    state: 'healthy',
    samples: 0,
    failureShare: 0,
    firstTokenMs: undefined,
    gapMs: undefined,
    nextProbeMs: 0,
    drainingUntilMs: previous?.drainingUntilMs ?? 0,
  };
}

/** A server that crashed or fell silent takes no work whatever the bound: slots on it do not exist. */
function markDown(server: ServerHealth, nowMs: number): void {
  if (server.state !== 'down') server.nextProbeMs = nowMs + PROBE_INTERVAL_MS;
  server.state = 'down';
}

function isServerFailure(result: FinishResult): boolean {
  switch (result) {
    case 'failed':
    case 'server-refused':
    case 'server-crashed':
    case 'server-silent':
      return true;
    case 'completed':
    case 'cancelled':
    case 'not-sent':
    case 'server-draining':
      return false;
  }
}

function addSample(server: ServerHealth, finish: FinishedGrant, isFailure: boolean): void {
  server.samples += 1;
  server.failureShare += NEW_WEIGHT * ((isFailure ? 1 : 0) - server.failureShare);
  if (isFailure) return;
  server.firstTokenMs = mergeMean(server.firstTokenMs, finish.firstTokenMs);
  server.gapMs = mergeMean(server.gapMs, finish.meanGapMs);
}

function mergeMean(known: number | undefined, seen: number | undefined): number | undefined {
  if (known === undefined || seen === undefined) return seen ?? known;
  return known + NEW_WEIGHT * (seen - known);
}

function isAbove(
  value: number | undefined,
  median: number | undefined,
  ratio: number,
  marginMs: number,
): boolean {
  if (value === undefined || median === undefined) return false;
  return value > median * ratio && value > median + marginMs;
}
