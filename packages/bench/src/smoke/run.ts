import { Agent } from 'undici';
import { sendChat } from '../load/chat-sender';
import { resolveLoadOptions } from '../load/options';
import type { LoadOptions } from '../load/options';
import { sendOrder } from '../load/order-sender';
import { LoadRecorder } from '../load/result';
import type { LoadResult, Percentiles } from '../load/result';
import { makeUrl, startFleet } from './fleet';
import type { Fleet } from './fleet';
import { readProcessorMs } from './processor-time';

const TEAM_KEY = 'smoke-team-key';
const MAX_TOKENS = 32;
/** Code of the refusal of a repeated order whose first one is still running. */
const IN_PROGRESS_CODE = 'in_progress';

/** Size of a smoke run. */
export interface SmokeOptions {
  /** @default 3 */
  instances?: number;
  /** @default 4 */
  engines?: number;
  /**
   * Streamed requests through the router; as many go to the engines directly.
   * @default 1000
   */
  chats?: number;
  /** @default 200 */
  orders?: number;
  /**
   * Orders that are sent twice at the same time through different instances.
   * @default 20
   */
  repeatedOrders?: number;
  /**
   * Senders that work at the same time; fewer than the slots, so that nothing is queued.
   * @default 12
   */
  concurrency?: number;
}

/** What a smoke run saw. */
export interface SmokeResult {
  isWhole: boolean;
  chats: LoadSummary;
  directChats: LoadSummary;
  orders: {
    sent: number;
    answered: number;
    /** Repeats that were refused because the first one was still running. */
    refusedAsInProgress: number;
    mismatched: number;
    failed: LoadResult['failed'];
    keys: number;
    /** Keys by how often the service ran their order. */
    keysByRuns: Record<string, number>;
  };
  /** Router median divided by direct median. */
  ratioOfMedians: { firstToken: number; tokenGap: number };
  /** Processor time of all instances during the streamed requests, per relayed token. */
  processorMicrosecondsPerToken: number;
}

type LoadSummary = Pick<
  LoadResult,
  'sent' | 'answered' | 'mismatched' | 'failed' | 'tokens' | 'firstTokenMs' | 'tokenGapMs'
>;

/** Starts a fleet, sends the requests and compares the answers with the log of the service. */
export async function runSmoke(options: SmokeOptions = {}): Promise<SmokeResult> {
  const { instances = 3, engines = 4, chats = 1000, concurrency = 12 } = options;
  const { orders = 200, repeatedOrders = 20 } = options;
  await using fleet = await startFleet({ instances, engines, teamKey: TEAM_KEY, engineSlots: 8 });
  const pids = fleet.instances.map((instance) => instance.pid);
  const direct = await runChats(fleet.engines.map(makeUrl), chats, concurrency);
  const beforeMs = computeProcessorMs(pids);
  const routed = await runChats(fleet.instances.map(makeUrl), chats, concurrency);
  const usedMs = computeProcessorMs(pids) - beforeMs;
  const orderResult = await runOrders(fleet, orders, repeatedOrders, concurrency);
  const ran = orderResult.keysByRuns['1'] ?? 0;
  return {
    isWhole:
      routed.answered === chats &&
      direct.answered === chats &&
      ran === orders &&
      orderResult.keys === orders &&
      orderResult.answered + orderResult.refusedAsInProgress === orderResult.sent,
    chats: summarizeLoad(routed),
    directChats: summarizeLoad(direct),
    orders: orderResult,
    ratioOfMedians: {
      firstToken: computeRatio(routed.firstTokenMs, direct.firstTokenMs),
      tokenGap: computeRatio(routed.tokenGapMs, direct.tokenGapMs),
    },
    processorMicrosecondsPerToken: Math.round((usedMs * 1000) / routed.tokens),
  };
}

async function runChats(urls: string[], count: number, concurrency: number): Promise<LoadResult> {
  const recorder = new LoadRecorder();
  const agent = new Agent();
  await runSenders(count, concurrency, async (index) => {
    const options = resolveSmokeLoad(urls, index);
    const name = `${options.runId}-${index.toString()}`;
    const outcome = await sendChat(options, recorder, agent, name, performance.now());
    recorder.recordOutcome('chat', outcome);
  });
  await agent.destroy();
  return recorder.buildResult();
}

async function runOrders(
  fleet: Fleet,
  count: number,
  repeated: number,
  concurrency: number,
): Promise<SmokeResult['orders']> {
  const recorder = new LoadRecorder();
  const agent = new Agent();
  const urls = fleet.instances.map(makeUrl);
  await runSenders(count, concurrency, async (index) => {
    const copies = index < repeated ? [index, index + 1] : [index];
    const sends = copies.map(async (urlIndex) => {
      const options = resolveSmokeLoad(urls, urlIndex, 'order');
      const key = `smoke-${index.toString()}`;
      const outcome = await sendOrder(options, recorder, agent, key, performance.now());
      recorder.recordOutcome('order', outcome);
    });
    await Promise.all(sends);
  });
  await agent.destroy();
  const runsByKey = await fetchRunsByKey(makeUrl(fleet.service));
  return summarizeOrders(recorder.buildResult(), runsByKey);
}

function summarizeOrders(
  result: LoadResult,
  runsByKey: Record<string, number>,
): SmokeResult['orders'] {
  const inProgress = result.failed.filter((failure) => failure.code === IN_PROGRESS_CODE);
  const keysByRuns: Record<string, number> = {};
  for (const runs of Object.values(runsByKey)) {
    keysByRuns[runs.toString()] = (keysByRuns[runs.toString()] ?? 0) + 1;
  }
  const { sent, answered, mismatched, failed } = result;
  return {
    ...{ sent, answered, mismatched, failed, keysByRuns },
    refusedAsInProgress: inProgress.reduce((total, failure) => total + failure.count, 0),
    keys: Object.keys(runsByKey).length,
  };
}

/** Runs the given number of sends with at most `concurrency` at the same time. */
async function runSenders(
  count: number,
  concurrency: number,
  send: (index: number) => Promise<void>,
): Promise<void> {
  let next = 0;
  const runSender = async () => {
    while (next < count) {
      const index = next;
      next += 1;
      await send(index);
    }
  };
  await Promise.all(Array.from({ length: concurrency }, runSender));
}

function resolveSmokeLoad(urls: readonly string[], index: number, className = 'question') {
  const options: LoadOptions = {
    baseUrl: urls[index % urls.length] ?? '',
    pacing: { kind: 'closed', concurrency: 1 },
    durationMs: 0,
    model: 'advisor',
    maxTokens: MAX_TOKENS,
    bearerKey: TEAM_KEY,
    className,
    orderPath: '/services/orders/orders',
  };
  return resolveLoadOptions(options);
}

async function fetchRunsByKey(serviceUrl: string): Promise<Record<string, number>> {
  const response = await fetch(`${serviceUrl}/admin/log`);
  const log = (await response.json()) as { runsByKey: Record<string, number> };
  return log.runsByKey;
}

function summarizeLoad(result: LoadResult): LoadSummary {
  const { sent, answered, mismatched, failed, tokens, firstTokenMs, tokenGapMs } = result;
  return { sent, answered, mismatched, failed, tokens, firstTokenMs, tokenGapMs };
}

function computeProcessorMs(pids: readonly number[]): number {
  return pids.reduce((total, pid) => total + readProcessorMs(pid), 0);
}

function computeRatio(routed: Percentiles, direct: Percentiles): number {
  return Math.round((routed.p50 / direct.p50) * 1000) / 1000;
}
