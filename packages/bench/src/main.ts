import { parseArgs } from 'node:util';
import { isMainThread, workerData } from 'node:worker_threads';
import { runCapacityCommand } from './capacity/command';
import { runEvenLoadCommand } from './even-load/command';
import { runLoad } from './load/load';
import type { LoadPacing } from './load/options';
import { runMatrixCommand } from './matrix/command';
import { runPolicyCommand } from './policy/command';
import { runRelayCommand } from './relay/command';
import { startRelayWorker } from './relay/relay-worker';
import type { RelayWorkerRole } from './relay/relay-worker';
import { runSmokeCommand } from './smoke/command';
import { runTimingsCommand } from './timings/command';

const COMMAND_NAMES = [
  'load',
  'policy',
  'capacity',
  'relay',
  'smoke',
  'matrix',
  'timings',
  'even-load',
] as const;
type CommandName = (typeof COMMAND_NAMES)[number];

/** Runs a command with the arguments after its name; resolves with the exit code. */
type Command = (args: string[]) => Promise<number>;

const USAGE_EXIT_CODE = 2;

/** Thrown for arguments that cannot be used. */
class UsageError extends Error {
  override readonly name = 'UsageError';
}

const COMMANDS: Record<CommandName, Command> = {
  load: runLoadCommand,
  policy: runPolicyCommand,
  capacity: runCapacityCommand,
  relay: runRelayCommand,
  smoke: runSmokeCommand,
  matrix: runMatrixCommand,
  timings: runTimingsCommand,
  'even-load': runEvenLoadCommand,
};

const LOAD_OPTIONS = {
  url: { type: 'string' },
  rate: { type: 'string' },
  concurrency: { type: 'string' },
  'duration-ms': { type: 'string', default: '10000' },
  'order-percent': { type: 'string' },
  'chat-path': { type: 'string' },
  'order-path': { type: 'string' },
  model: { type: 'string' },
  'max-tokens': { type: 'string' },
  priority: { type: 'string' },
  key: { type: 'string' },
  class: { type: 'string' },
  'timeout-ms': { type: 'string' },
  seed: { type: 'string' },
} as const;

/** Sends load to `--url` and prints the result as JSON; exits 1 when an answer was mismatched. */
async function runLoadCommand(args: string[]): Promise<number> {
  const { values } = parseArgs({ args, options: LOAD_OPTIONS });
  if (values.url === undefined) throw new UsageError('load needs --url');
  const result = await runLoad({
    baseUrl: values.url.replace(/\/$/, ''),
    pacing: parsePacing(values.rate, values.concurrency),
    durationMs: parseNumber('duration-ms', values['duration-ms']) ?? 0,
    orderPercent: parseNumber('order-percent', values['order-percent']),
    chatPath: values['chat-path'],
    orderPath: values['order-path'],
    model: values.model,
    maxTokens: parseNumber('max-tokens', values['max-tokens']),
    priority: parseNumber('priority', values.priority),
    bearerKey: values.key,
    className: values.class,
    requestTimeoutMs: parseNumber('timeout-ms', values['timeout-ms']),
    seed: parseNumber('seed', values.seed),
  });
  // The list of orders serves comparisons inside a program; printed, it would bury the figures.
  const printed = { ...result, orders: result.orders.length };
  process.stdout.write(`${JSON.stringify(printed, undefined, 2)}\n`);
  return result.mismatched > 0 ? 1 : 0;
}

function parsePacing(rate: string | undefined, concurrency: string | undefined): LoadPacing {
  const requestsPerSecond = parseNumber('rate', rate);
  const senders = parseNumber('concurrency', concurrency);
  if (requestsPerSecond !== undefined && senders === undefined) {
    return { kind: 'open', requestsPerSecond };
  }
  if (senders !== undefined && requestsPerSecond === undefined) {
    return { kind: 'closed', concurrency: senders };
  }
  throw new UsageError('load needs either --rate (requests per second) or --concurrency');
}

function parseNumber(name: string, text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  const value = Number(text);
  if (text === '' || !Number.isFinite(value) || value < 0) {
    throw new UsageError(`--${name} needs a number that is not negative, got '${text}'`);
  }
  return value;
}

async function runMain(): Promise<number> {
  const [name, ...args] = process.argv.slice(2);
  try {
    const commandName = COMMAND_NAMES.find((known) => known === name);
    if (!commandName) throw new UsageError(`usage: bench ${COMMAND_NAMES.join('|')} [options]`);
    return await COMMANDS[commandName](args);
  } catch (error) {
    process.stderr.write(`${error instanceof Error ? error.message : 'unknown error'}\n`);
    return USAGE_EXIT_CODE;
  }
}

if (isMainThread) {
  void runMain().then((code) => {
    process.exitCode = code;
  });
} else {
  startRelayWorker(workerData as RelayWorkerRole);
}
