import { parseArgs } from 'node:util';
import { runDemo } from './demo';
import { createEngine } from './engine/engine';
import type { StandIn } from './http/host';
import { createPlatform } from './platform/platform';
import { createService } from './service/service';

const COMMANDS = ['platform', 'engine', 'service', 'demo'] as const;
type Command = (typeof COMMANDS)[number];

const CRASH_EXIT_CODE = 70;
const USAGE_EXIT_CODE = 2;

/** Thrown for arguments that cannot be used; the message is printed without a stack. */
class UsageError extends Error {
  override readonly name = 'UsageError';
}

const LISTEN_OPTIONS = {
  address: { type: 'string' },
  port: { type: 'string' },
} as const;

const SERVER_OPTIONS = {
  ...LISTEN_OPTIONS,
  id: { type: 'string' },
  slots: { type: 'string' },
  'load-lag-ms': { type: 'string' },
} as const;

const ENGINE_OPTIONS = {
  ...SERVER_OPTIONS,
  'tokens-per-second': { type: 'string' },
  'batch-slowdown': { type: 'string' },
  'prefill-tokens-per-second': { type: 'string' },
  'prefix-cache-tokens': { type: 'string' },
  'kv-capacity-tokens': { type: 'string' },
  'max-waiting': { type: 'string' },
  'resume-window-ms': { type: 'string' },
} as const;

const SERVICE_OPTIONS = { ...SERVER_OPTIONS, 'work-ms': { type: 'string' } } as const;

function parseNumber(name: string, text: string | undefined): number | undefined {
  if (text === undefined) return undefined;
  const value = Number(text);
  if (text === '' || !Number.isFinite(value) || value < 0) {
    throw new UsageError(`--${name} needs a number that is not negative, got '${text}'`);
  }
  return value;
}

function endByCrash(): never {
  process.exit(CRASH_EXIT_CODE);
}

async function startPlatform(args: string[]): Promise<StandIn> {
  const { values } = parseArgs({ args, options: LISTEN_OPTIONS });
  return createPlatform({ address: values.address, port: parseNumber('port', values.port) });
}

async function startEngine(args: string[]): Promise<StandIn> {
  const { values } = parseArgs({ args, options: ENGINE_OPTIONS });
  const parseOption = (name: Exclude<keyof typeof values, 'address' | 'id'>) =>
    parseNumber(name, values[name]);
  return createEngine({
    id: values.id,
    address: values.address,
    port: parseOption('port'),
    slots: parseOption('slots'),
    tokensPerSecond: parseOption('tokens-per-second'),
    batchSlowdown: parseOption('batch-slowdown'),
    prefillTokensPerSecond: parseOption('prefill-tokens-per-second'),
    prefixCacheTokens: parseOption('prefix-cache-tokens'),
    kvCapacityTokens: parseOption('kv-capacity-tokens'),
    maxWaiting: parseOption('max-waiting'),
    resumeWindowMs: parseOption('resume-window-ms'),
    loadLagMs: parseOption('load-lag-ms'),
    crash: endByCrash,
  });
}

async function startService(args: string[]): Promise<StandIn> {
  const { values } = parseArgs({ args, options: SERVICE_OPTIONS });
  const parseOption = (name: Exclude<keyof typeof values, 'address' | 'id'>) =>
    parseNumber(name, values[name]);
  return createService({
    id: values.id,
    address: values.address,
    port: parseOption('port'),
    slots: parseOption('slots'),
    workMs: parseOption('work-ms'),
    loadLagMs: parseOption('load-lag-ms'),
    crash: endByCrash,
  });
}

/** Prints the ready line and runs the stand-in until SIGTERM or SIGINT. */
async function runUntilStopped(standIn: StandIn): Promise<number> {
  const stopped = new Promise<void>((resolve) => {
    process.once('SIGTERM', resolve);
    process.once('SIGINT', resolve);
  });
  process.stdout.write(`${JSON.stringify({ ready: true, port: standIn.port })}\n`);
  await stopped;
  await standIn[Symbol.asyncDispose]();
  return 0;
}

async function runCommand(command: Command, args: string[]): Promise<number> {
  switch (command) {
    case 'platform':
      return runUntilStopped(await startPlatform(args));
    case 'engine':
      return runUntilStopped(await startEngine(args));
    case 'service':
      return runUntilStopped(await startService(args));
    case 'demo':
      return runDemo(args);
  }
}

async function runMain(): Promise<number> {
  const [name, ...args] = process.argv.slice(2);
  const command = COMMANDS.find((known) => known === name);
  try {
    if (!command) throw new UsageError(`usage: stand-ins ${COMMANDS.join('|')} [options]`);
    return await runCommand(command, args);
  } catch (error) {
    process.stderr.write(`${error instanceof Error ? error.message : 'unknown error'}\n`);
    return USAGE_EXIT_CODE;
  }
}

void runMain().then((code) => {
  process.exitCode = code;
});
