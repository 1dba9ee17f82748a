import { setTimeout as waitFor } from 'node:timers/promises';
import { runLoad } from '../load/load';
import type { LoadPacing } from '../load/options';
import type { LoadResult } from '../load/result';
import { TEAM_KEY } from './bundle-fixture';
import { LocalFleet, type LocalInstance } from './local-fleet';
import { createFigure, type Figure, type Measurement } from './measurement';
import { readProcessUsage } from './process-usage';

const ENGINES = 4;
const SLOTS = 64;
const TOKENS_PER_SECOND = 50;
const STREAMS = 100;
const LONG_TOKENS = 250;
const SHORT_REQUESTS_PER_SECOND = 100;
const FULL_MS = 15_000;
const QUICK_MS = 3_000;
const READY_MS = 20_000;

interface RelayRun {
  cpuSeconds: number;
  residentBytes: number;
  result: LoadResult;
}

/** Processor time of one instance, all roles in one process, by request and by relayed token. */
export const relay: Measurement = {
  description: 'one instance before 4 engine stand-ins: processor time a token and a request',
  run: async (context) => {
    await using fleet = new LocalFleet(context);
    await fleet.start(1);
    await startEngines(fleet);
    const [instance] = fleet.instances;
    if (instance === undefined) throw new Error('no instance was started');
    await waitForServers(fleet, instance);
    const durationMs = context.scope === 'quick' ? QUICK_MS : FULL_MS;
    // The first run only warms the compiler up.
    await runRequests(fleet, instance, { durationMs: QUICK_MS, maxTokens: LONG_TOKENS });
    const long = await runRequests(fleet, instance, { durationMs, maxTokens: LONG_TOKENS });
    const short = await runRequests(fleet, instance, { durationMs, maxTokens: 1 });
    return toFigures(long, short);
  },
};

async function startEngines(fleet: LocalFleet): Promise<void> {
  for (let index = 0; index < ENGINES; index += 1) {
    const id = `engine-${index}`;
    const engine = await fleet.startStandIn([
      ...['engine', '--id', id, '--slots', `${SLOTS}`, '--batch-slowdown', '0'],
      ...['--tokens-per-second', `${TOKENS_PER_SECOND}`, '--prefill-tokens-per-second', '1000000'],
    ]);
    const place = { address: '127.0.0.1', failureDomain: 'domain-0', region: 'region-0' };
    await fleet.putListed(id, {
      ...{ role: 'engine', ...place, port: engine.port, state: 'live', pool: 'm1', slots: SLOTS },
    });
  }
}

async function waitForServers(fleet: LocalFleet, instance: LocalInstance): Promise<void> {
  const deadlineMs = performance.now() + READY_MS;
  for (;;) {
    const { shards } = await fleet.fetchStatus(instance);
    if (shards.some(({ servers }) => servers.length === ENGINES)) return;
    if (performance.now() > deadlineMs) throw new Error('the engines did not appear in a shard');
    await waitFor(100);
  }
}

interface RequestOptions {
  durationMs: number;
  maxTokens: number;
}

async function runRequests(
  fleet: LocalFleet,
  instance: LocalInstance,
  { durationMs, maxTokens }: RequestOptions,
): Promise<RelayRun> {
  const pacing: LoadPacing =
    maxTokens === 1
      ? { kind: 'open', requestsPerSecond: SHORT_REQUESTS_PER_SECOND }
      : { kind: 'closed', concurrency: STREAMS };
  const before = readProcessUsage(instance.process.pid);
  const baseUrl = fleet.toUrl(instance);
  const result = await runLoad({ baseUrl, pacing, durationMs, maxTokens, bearerKey: TEAM_KEY });
  const after = readProcessUsage(instance.process.pid);
  if (result.mismatched > 0 || result.failed.length > 0) {
    throw new Error(`requests failed: ${JSON.stringify(result.failed)}`);
  }
  const cpuSeconds = after.cpuSeconds - before.cpuSeconds;
  return { cpuSeconds, residentBytes: after.residentBytes, result };
}

/** Solves time = requests * a + tokens * b for the two runs. */
function toFigures(long: RelayRun, short: RelayRun): Figure[] {
  const [l, s] = [long.result, short.result];
  const determinant = l.answered * s.tokens - s.answered * l.tokens;
  const request = (long.cpuSeconds * s.tokens - short.cpuSeconds * l.tokens) / determinant;
  const token = (l.answered * short.cpuSeconds - s.answered * long.cpuSeconds) / determinant;
  const longShare = long.cpuSeconds / (l.elapsedMs / 1_000);
  return [
    createFigure('processor a token', token * 1e6, 'us'),
    createFigure('processor a request', request * 1e6, 'us'),
    createFigure('long answers: tokens', l.tokens / (l.elapsedMs / 1_000), '1/s'),
    createFigure('long answers: requests', l.answered, ''),
    createFigure('long answers: processor', longShare * 100, '% of a core'),
    createFigure('long answers: resident', long.residentBytes / 1e6, 'MB'),
    createFigure('long answers: token gap p95 (engine: 20 ms)', l.tokenGapMs.p95, 'ms'),
    createFigure('long answers: first token p95', l.firstTokenMs.p95, 'ms'),
    createFigure('one-token answers: requests', s.answered, ''),
    createFigure('one-token answers: first token p95', s.firstTokenMs.p95, 'ms'),
  ];
}
