import { readFileSync } from 'node:fs';
import { createServer } from 'node:http';
import type { Server } from 'node:http';
import type { AddressInfo } from 'node:net';
import { loadavg } from 'node:os';
import { parseArgs } from 'node:util';
import { Pool } from 'undici';
import { startMeasuredEntry, TEAM_KEY } from './entry-ports';
import type { MeasuredEntry } from './entry-ports';
import { RelayThread } from './relay-worker';

const STREAMS = 200;
const TOKENS = 400;
const LIGHT_REQUESTS = 400;
const LIGHT_WARMUPS = 200;
const LIGHT_TOKENS = 1;
const CLOCK_TICK_MS = 10;

/** Relayed tokens with many streams at once. */
interface Throughput {
  streams: number;
  tokens: number;
  bytes: number;
  tokensPerSecond: number;
  eventLoopUtilization: number;
  /** Relayed tokens per second in which the event loop was busy. */
  tokensPerActiveSecond: number;
  /** Relayed tokens per second of processor time of the router's thread. */
  tokensPerCpuSecond: number;
}

/** Time to the first byte, one request at a time, in milliseconds. */
interface LightFigures {
  directMedianMs: number;
  /** A relay that only copies bytes: the floor of any relay with the same libraries. */
  bareRelayMedianMs: number;
  relayedMedianMs: number;
  relayedP95Ms: number;
  addedMedianMs: number;
  addedToBareRelayMs: number;
  /** Median of each hop as the entry recorded it. */
  hopMediansMs: Record<string, number>;
}

interface RelayResult {
  load1: number;
  light: LightFigures;
  throughput: Throughput;
}

/**
 * Measures the relay. Engine and callers run in threads of their own, so the utilization of this thread's
 * event loop and its processor time are the router's.
 */
export async function runRelayCommand(args: string[]): Promise<number> {
  const { values } = parseArgs({ args, options: { json: { type: 'boolean', default: false } } });
  await using engine = new RelayThread('engine');
  const enginePort = await engine.waitMessage<number>();
  await using callers = new RelayThread('callers');
  await using measured = await startMeasuredEntry(enginePort);
  const light = await measureLightLoad(measured, callers, enginePort);
  const throughput = await measureThroughput(measured, callers);
  const load1 = Number((loadavg()[0] ?? 0).toFixed(2));
  const result: RelayResult = { load1, light, throughput };
  process.stdout.write(values.json ? `${JSON.stringify(result)}\n` : renderResult(result));
  return 0;
}

async function measureLightLoad(
  { entry, records }: MeasuredEntry,
  callers: RelayThread,
  enginePort: number,
): Promise<LightFigures> {
  const bare = await startBareRelay(enginePort);
  const barePort = (bare.address() as AddressInfo).port;
  const [direct = [], bareRelay = [], relayed = []] = await callers.runJob<number[][]>({
    kind: 'light',
    load: {
      ports: [enginePort, barePort, entry.port],
      ...createRequest(LIGHT_TOKENS),
      ...{ requests: LIGHT_REQUESTS, warmups: LIGHT_WARMUPS },
    },
  });
  bare.close();
  bare.closeAllConnections();
  const [directMs, bareMs, relayedMs] = [direct, bareRelay, relayed].map((times) =>
    selectPercentile(times, 50),
  ) as [number, number, number];
  return {
    directMedianMs: toFixedMs(directMs),
    bareRelayMedianMs: toFixedMs(bareMs),
    relayedMedianMs: toFixedMs(relayedMs),
    relayedP95Ms: toFixedMs(selectPercentile(relayed, 95)),
    addedMedianMs: toFixedMs(relayedMs - directMs),
    addedToBareRelayMs: toFixedMs(relayedMs - bareMs),
    hopMediansMs: computeHopMedians(records),
  };
}

function computeHopMedians(records: MeasuredEntry['records']): Record<string, number> {
  const times = new Map<string, number[]>();
  for (const record of records.slice(LIGHT_WARMUPS)) {
    for (const { hop, elapsedMs } of record.hops) {
      times.set(hop, [...(times.get(hop) ?? []), elapsedMs]);
    }
  }
  const medians = [...times].map(([hop, values]) => {
    return [
      hop,
      toFixedMs(
        selectPercentile(
          values.sort((a, b) => a - b),
          50,
        ),
      ),
    ] as const;
  });
  return Object.fromEntries(medians);
}

async function measureThroughput(
  { entry, records }: MeasuredEntry,
  callers: RelayThread,
): Promise<Throughput> {
  const recordsBefore = records.length;
  const cpuBeforeMs = readThreadCpuMs();
  const before = performance.eventLoopUtilization();
  const startedAtMs = performance.now();
  const load = { port: entry.port, ...createRequest(TOKENS), streams: STREAMS };
  const bytes = await callers.runJob<number>({ kind: 'streams', load });
  const elapsedMs = performance.now() - startedAtMs;
  const used = performance.eventLoopUtilization(before);
  const cpuMs = readThreadCpuMs() - cpuBeforeMs;
  const tokens = records
    .slice(recordsBefore)
    .reduce((sum, { outputTokens }) => sum + outputTokens, 0);
  const toRate = (timeMs: number) => Math.round((tokens / timeMs) * 1_000);
  return {
    ...{ streams: STREAMS, tokens, bytes, tokensPerSecond: toRate(elapsedMs) },
    eventLoopUtilization: Number(used.utilization.toFixed(3)),
    tokensPerActiveSecond: toRate(used.active),
    tokensPerCpuSecond: toRate(cpuMs),
  };
}

function createRequest(tokens: number): { headers: Record<string, string>; body: string } {
  const messages = [{ role: 'user', content: 'which grit first?' }];
  const body = JSON.stringify({ model: 'facet', messages, stream: true, max_tokens: tokens });
  const length = String(Buffer.byteLength(body));
  return { headers: { authorization: `Bearer ${TEAM_KEY}`, 'content-length': length }, body };
}

async function startBareRelay(enginePort: number): Promise<Server> {
  const pool = new Pool(`http://127.0.0.1:${enginePort}`);
  const server = createServer((incoming, response) => {
    const options = { method: 'POST', path: incoming.url ?? '/', body: incoming } as const;
    void pool.request(options).then(({ body }) => body.pipe(response));
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return server;
}

// Clock ticks of this thread's processor time, fields 14 and 15 of proc(5) stat; 100 ticks a second on Linux.
function readThreadCpuMs(): number {
  const stat = readFileSync(`/proc/self/task/${process.pid}/stat`, 'utf8');
  const fields = stat.slice(stat.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[11]) + Number(fields[12])) * CLOCK_TICK_MS;
}

function selectPercentile(sorted: readonly number[], percent: number): number {
  return sorted[Math.floor((sorted.length * percent) / 100)] ?? Number.NaN;
}

function toFixedMs(valueMs: number): number {
  return Number(valueMs.toFixed(3));
}

function renderResult({ load1, light, throughput }: RelayResult): string {
  const { hopMediansMs, ...times } = light;
  const hops = Object.entries(hopMediansMs).map(([hop, ms]) => [`hop ${hop} ms`, ms] as const);
  const rows = [['load1', load1], ...Object.entries(times), ...hops, ...Object.entries(throughput)];
  return `${rows.map(([name, value]) => `${String(name).padEnd(24)} ${value}`).join('\n')}\n`;
}
