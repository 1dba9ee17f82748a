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

/** The instance that the requests go to, and the one that owns the shard. */
interface InstancePair {
  entry: LocalInstance;
  dispatcher: LocalInstance;
}

interface RelayRun {
  cpuSeconds: number;
  dispatcherCpuSeconds: number;
  linkBytes: number;
  linkMessages: number;
  residentBytes: number;
  result: LoadResult;
}

/** Cost of a request and of a relayed token for an entry, and of a request for its dispatcher. */
export const relay: Measurement = {
  description:
    'an entry and a dispatcher as processes before 4 engine stand-ins: cost a token and a request',
  run: async (context) => {
    await using fleet = new LocalFleet(context);
    await fleet.start(2);
    await startEngines(fleet);
    const pair = await waitForServers(fleet);
    const durationMs = context.scope === 'quick' ? QUICK_MS : FULL_MS;
    // The first run only warms the compiler up.
    await runRequests(fleet, pair, { durationMs: QUICK_MS, maxTokens: LONG_TOKENS });
    const long = await runRequests(fleet, pair, { durationMs, maxTokens: LONG_TOKENS });
    const short = await runRequests(fleet, pair, { durationMs, maxTokens: 1 });
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

/** Waits until both instances agree on the owner of a shard with all engines. */
async function waitForServers(fleet: LocalFleet): Promise<InstancePair> {
  const deadlineMs = performance.now() + READY_MS;
  for (;;) {
    const statuses = await Promise.all(fleet.instances.map((one) => fleet.fetchStatus(one)));
    const [first, second] = statuses.map(({ shards }) =>
      shards.find(({ servers }) => servers.length === ENGINES),
    );
    const entry = fleet.instances.find(({ id }) => id !== first?.ownerInstanceId);
    const dispatcher = fleet.instances.find(({ id }) => id === first?.ownerInstanceId);
    const isAgreed = first?.ownerInstanceId === second?.ownerInstanceId;
    if (entry !== undefined && dispatcher !== undefined && isAgreed) return { entry, dispatcher };
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
  { entry, dispatcher }: InstancePair,
  { durationMs, maxTokens }: RequestOptions,
): Promise<RelayRun> {
  const pacing: LoadPacing =
    maxTokens === 1
      ? { kind: 'open', requestsPerSecond: SHORT_REQUESTS_PER_SECOND }
      : { kind: 'closed', concurrency: STREAMS };
  const before = await readUsage(fleet, entry);
  const dispatcherBefore = readProcessUsage(dispatcher.process.pid);
  const baseUrl = fleet.toUrl(entry);
  const result = await runLoad({ baseUrl, pacing, durationMs, maxTokens, bearerKey: TEAM_KEY });
  const after = await readUsage(fleet, entry);
  const dispatcherAfter = readProcessUsage(dispatcher.process.pid);
  if (result.mismatched > 0 || result.failed.length > 0) {
    throw new Error(`requests failed: ${JSON.stringify(result.failed)}`);
  }
  return {
    cpuSeconds: after.cpuSeconds - before.cpuSeconds,
    dispatcherCpuSeconds: dispatcherAfter.cpuSeconds - dispatcherBefore.cpuSeconds,
    linkBytes: after.linkBytes - before.linkBytes,
    linkMessages: after.linkMessages - before.linkMessages,
    residentBytes: after.residentBytes,
    result,
  };
}

async function readUsage(fleet: LocalFleet, entry: LocalInstance) {
  const usage = readProcessUsage(entry.process.pid);
  const { control } = await fleet.fetchStatus(entry);
  if (control === undefined) throw new Error(`${entry.id} does not count its traffic`);
  const { sentBytes, receivedBytes, sentMessages, receivedMessages } = control.links;
  return {
    ...usage,
    linkBytes: sentBytes + receivedBytes,
    linkMessages: sentMessages + receivedMessages,
  };
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
    createFigure('processor a request, entry', request * 1e6, 'us'),
    createFigure(
      'processor a request, dispatcher',
      (short.dispatcherCpuSeconds / s.answered) * 1e6,
      'us',
    ),
    createFigure('link bytes a request, one-token answers', short.linkBytes / s.answered, 'B'),
    createFigure('link messages a request, one-token answers', short.linkMessages / s.answered, ''),
    createFigure('link bytes a request, long answers', long.linkBytes / l.answered, 'B'),
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
