import type { FinishedGrant, FinishResult } from './types';

/** Interval at which an ejected or down server gets a queued request as a probe, in milliseconds. */
export const PROBE_INTERVAL_MS = 2000;
/**
 * A server is ejected for slowness or failures only if at most this share of the shard's servers, including it, is
 * then ejected or down.
 */
export const MAX_EJECTED_RATIO = 0.3;
/**
 * How long a server's report that it is draining is believed, in milliseconds. The platform's server list marks the
 * server as leaving only after a delay.
 */
export const DRAIN_REPORT_TTL_MS = 30_000;
/** Weight of a new sample in the exponentially weighted moving averages. */
const SMOOTHING_FACTOR = 0.2;
/** Number of samples before a server can be ejected. */
const MIN_SAMPLES = 5;
/**
 * A server is slow if its mean token gap or first token time exceeds both the shard's median times this ratio and
 * the median plus the margin below.
 */
const SLOW_RATIO = 3;
/** Margin of the mean token gap, in milliseconds; keeps small absolute differences from counting. */
const GAP_MARGIN_MS = 10;
/** Margin of the first token time, in milliseconds; keeps small absolute differences from counting. */
const FIRST_TOKEN_MARGIN_MS = 100;
/**
 * A completed probe restores the server unless the probe's mean token gap or first token time exceeds both the
 * shard's median times this ratio and the median plus the margin above.
 */
const RESTORE_RATIO = 2;
/** A server is ejected at this failure rate if the shard's median is below `MAX_MEDIAN_FAILURE_RATE`. */
const EJECTION_FAILURE_RATE = 0.5;
const MAX_MEDIAN_FAILURE_RATE = 0.25;

/** State derived from request results; `ServerTable` adds `leaving`. */
export type HealthState = 'healthy' | 'ejected' | 'down';

interface ServerHealth {
  state: HealthState;
  sampleCount: number;
  failureRate: number;
  firstTokenMs: number | undefined;
  gapMs: number | undefined;
  nextProbeMs: number;
  drainingUntilMs: number;
}

/**
 * Passive health checks: ejects servers by first token time, token gap and failure rate, relative to the
 * shard's median.
 */
export class HealthMonitor {
  private readonly servers = new Map<string, ServerHealth>();

  /** Applies a new list of servers. A server that was removed and is listed again starts healthy. */
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

  /** Time of the next probe or end of draining after `nowMs`, in milliseconds; Infinity if there is none. */
  getNextChangeMs(nowMs: number): number {
    let nextMs = Infinity;
    for (const { state, nextProbeMs, drainingUntilMs } of this.servers.values()) {
      if (state !== 'healthy' && nextProbeMs > nowMs) nextMs = Math.min(nextMs, nextProbeMs);
      if (drainingUntilMs > nowMs) nextMs = Math.min(nextMs, drainingUntilMs);
    }
    return nextMs;
  }

  /** Updates the server's health from the result of an attempt. */
  observe(serverId: string, finished: FinishedGrant, isProbe: boolean, nowMs: number): void {
    const server = this.servers.get(serverId);
    if (server === undefined) return;
    if (finished.result === 'server-draining') server.drainingUntilMs = nowMs + DRAIN_REPORT_TTL_MS;
    if (finished.result === 'server-crashed' || finished.result === 'server-silent') {
      markDown(server, nowMs);
      return;
    }
    if (server.state !== 'healthy') {
      if (isProbe && this.isSuccessfulProbe(finished))
        this.servers.set(serverId, makeHealthy(server));
      return;
    }
    const isFailure = isServerFailure(finished.result);
    if (!isFailure && finished.result !== 'completed') return;
    addSample(server, finished, isFailure);
    if (this.isSlowOrFailing(server) && this.isEjectionAllowed()) {
      server.state = 'ejected';
      server.nextProbeMs = nowMs + PROBE_INTERVAL_MS;
    }
  }

  private isSuccessfulProbe(finished: FinishedGrant): boolean {
    if (finished.result !== 'completed') return false;
    const gapMs = this.computeMedian((server) => server.gapMs);
    const firstTokenMs = this.computeMedian((server) => server.firstTokenMs);
    return (
      !isOutlier(finished.meanGapMs, gapMs, RESTORE_RATIO, GAP_MARGIN_MS) &&
      !isOutlier(finished.firstTokenMs, firstTokenMs, RESTORE_RATIO, FIRST_TOKEN_MARGIN_MS)
    );
  }

  private isSlowOrFailing(server: ServerHealth): boolean {
    if (server.sampleCount < MIN_SAMPLES) return false;
    const gapMs = this.computeMedian((other) => other.gapMs);
    if (isOutlier(server.gapMs, gapMs, SLOW_RATIO, GAP_MARGIN_MS)) return true;
    const firstTokenMs = this.computeMedian((other) => other.firstTokenMs);
    if (isOutlier(server.firstTokenMs, firstTokenMs, SLOW_RATIO, FIRST_TOKEN_MARGIN_MS))
      return true;
    const median = this.computeMedian((other) => other.failureRate) ?? 0;
    return server.failureRate >= EJECTION_FAILURE_RATE && median < MAX_MEDIAN_FAILURE_RATE;
  }

  /** Limits unhealthy servers, including those that are down, to 30% and keeps at least one healthy server. */
  private isEjectionAllowed(): boolean {
    const total = this.servers.size;
    const unhealthy = [...this.servers.values()].filter(({ state }) => state !== 'healthy').length;
    return unhealthy + 1 <= Math.floor(total * MAX_EJECTED_RATIO) && total - unhealthy > 1;
  }

  /** Lower median over the healthy servers that have a value. */
  private computeMedian(
    getValue: (server: ServerHealth) => number | undefined,
  ): number | undefined {
    const values: number[] = [];
    for (const server of this.servers.values()) {
      const value =
        server.state === 'healthy' && server.sampleCount > 0 ? getValue(server) : undefined;
      if (value !== undefined) values.push(value);
    }
    values.sort((a, b) => a - b);
    return values[(values.length - 1) >> 1];
  }
}

function makeHealthy(previous?: ServerHealth): ServerHealth {
  return {
    state: 'healthy',
    sampleCount: 0,
    failureRate: 0,
    firstTokenMs: undefined,
    gapMs: undefined,
    nextProbeMs: 0,
    drainingUntilMs: previous?.drainingUntilMs ?? 0,
  };
}

/** Takes a crashed or silent server out regardless of the ejection limit, because its slots are unusable. */
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

function addSample(server: ServerHealth, finished: FinishedGrant, isFailure: boolean): void {
  server.sampleCount += 1;
  server.failureRate += SMOOTHING_FACTOR * ((isFailure ? 1 : 0) - server.failureRate);
  if (isFailure) return;
  server.firstTokenMs = updateMean(server.firstTokenMs, finished.firstTokenMs);
  server.gapMs = updateMean(server.gapMs, finished.meanGapMs);
}

function updateMean(previous: number | undefined, sample: number | undefined): number | undefined {
  if (previous === undefined || sample === undefined) return sample ?? previous;
  return previous + SMOOTHING_FACTOR * (sample - previous);
}

function isOutlier(
  value: number | undefined,
  median: number | undefined,
  ratio: number,
  marginMs: number,
): boolean {
  if (value === undefined || median === undefined) return false;
  return value > median * ratio && value > median + marginMs;
}
