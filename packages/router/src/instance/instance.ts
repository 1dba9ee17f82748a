import type { Settings } from '@pollendrum/protocol';
import { createEntryTask } from '../entry/entry-task';
import type { EntryTask } from '../entry/entry-task';
import type { EntryOptions } from '../entry/entry-options';
import type { TelemetryPort } from '../ports';
import { GracefulShutdown } from './graceful-shutdown';
import type { ShutdownStep, StepReport } from './graceful-shutdown';
import { describeInstance } from './instance-status';
import type { InstanceTasks } from './instance-tasks';

export interface InstanceDependencies {
  telemetry: TelemetryPort;
  tasks: InstanceTasks;
  chooseShard: EntryOptions['chooseShard'];
  retryBudget: EntryOptions['retryBudget'];
  hashToUint32: EntryOptions['hashToUint32'];
  /** Cluster key, read from settings.clusterKeyFile if that is set. */
  clusterKey?: string;
  listUnreadyReasons?: () => string[];
  /** TLS credentials for connections of callers. Without them the entry uses plain TCP. */
  callerTls?: EntryOptions['callerTls'];
}

/** A running instance. Disposal stops it immediately. */
export interface Instance extends AsyncDisposable {
  readonly entry: EntryTask;
  /** Stops gracefully, without cutting off requests. Further calls wait for the same shutdown. Never rejects. */
  stop(): Promise<StepReport[]>;
}

const DEFAULT_BALANCER_LAG_MS = 10_000;
const DEFAULT_DRAIN_LIMIT_MS = 900_000;
const SHORT_STEP_LIMIT_MS = 2_000;
const FLUSH_LIMIT_MS = 5_000;
/**
 * Delay before the listener closes, in which requests that have arrived on their connections are read. If the
 * process was paused during the earlier steps, its timers fire before it reads from its connections, and
 * closing the listener immediately would cut those requests off.
 */
const PENDING_READ_DELAY_MS = 200;

/** Starts the entry with the given tasks. Closes the tasks and rejects if the port cannot be bound. */
export async function createInstance(
  settings: Settings,
  dependencies: InstanceDependencies,
): Promise<Instance> {
  const { telemetry, tasks } = dependencies;
  let shutdown: GracefulShutdown | undefined = undefined;
  const isDraining = () => shutdown?.isStarted() ?? false;
  const entryOptions: EntryOptions = {
    settings,
    telemetry,
    peers: tasks.peers,
    routing: tasks.routing,
    bundles: tasks.bundles,
    claims: tasks.claims,
    outcomes: tasks.outcomes,
    chooseShard: dependencies.chooseShard,
    retryBudget: dependencies.retryBudget,
    hashToUint32: dependencies.hashToUint32,
    describeStatus: () => describeInstance(settings, tasks, isDraining()),
    ...(dependencies.callerTls === undefined ? {} : { callerTls: dependencies.callerTls }),
    ...(dependencies.clusterKey === undefined ? {} : { clusterKey: dependencies.clusterKey }),
    ...(dependencies.listUnreadyReasons === undefined
      ? {}
      : { listUnreadyReasons: dependencies.listUnreadyReasons }),
  };
  const entry = await createEntryTask(entryOptions).catch(async (error: unknown) => {
    await closeTasks(tasks);
    throw error;
  });
  const steps = createShutdownSteps(settings, tasks, entry);
  const gracefulShutdown = new GracefulShutdown(steps, telemetry.log);
  shutdown = gracefulShutdown;
  return {
    entry,
    stop: async () => await gracefulShutdown.run(),
    async [Symbol.asyncDispose]() {
      await entry[Symbol.asyncDispose]();
      await closeTasks(tasks);
    },
  };
}

/** Creates the shutdown steps that section 8 of docs/design.md describes. */
export function createShutdownSteps(
  settings: Settings,
  tasks: InstanceTasks,
  entry: EntryTask,
): ShutdownStep[] {
  const balancerLagMs = settings.balancerLagMs ?? DEFAULT_BALANCER_LAG_MS;
  const drainLimitMs = settings.drainLimitMs ?? DEFAULT_DRAIN_LIMIT_MS;
  return [
    {
      name: 'announce-leaving',
      limitMs: SHORT_STEP_LIMIT_MS,
      run: async () => {
        entry.startDraining();
        tasks.membership.publishLeaving();
        await Promise.resolve();
      },
    },
    {
      name: 'move-shards',
      limitMs: SHORT_STEP_LIMIT_MS,
      run: async () => {
        await tasks.dispatcher.releaseShards();
      },
    },
    {
      name: 'wait-for-balancer',
      limitMs: balancerLagMs + SHORT_STEP_LIMIT_MS,
      run: async () => {
        await new Promise((resolve) => setTimeout(resolve, balancerLagMs));
      },
    },
    {
      name: 'finish-requests',
      limitMs: drainLimitMs + SHORT_STEP_LIMIT_MS,
      run: async () => {
        await new Promise((resolve) => setTimeout(resolve, PENDING_READ_DELAY_MS));
        entry.closeListener();
        const isIdle = await entry.waitIdle(drainLimitMs);
        if (!isIdle) throw new Error(`${entry.countInFlight()} requests were still in flight`);
      },
    },
    {
      name: 'flush-outcomes',
      limitMs: FLUSH_LIMIT_MS,
      run: async () => {
        await tasks.outcomes.flush();
      },
    },
    {
      name: 'close-tasks',
      limitMs: FLUSH_LIMIT_MS,
      run: async () => {
        await entry[Symbol.asyncDispose]();
        await closeTasks(tasks);
      },
    },
  ];
}

async function closeTasks(tasks: InstanceTasks): Promise<void> {
  const { dispatcher, claims, outcomes, bundles, routing, instanceList, membership, peers } = tasks;
  const tasksInOrder = [
    dispatcher,
    claims,
    outcomes,
    bundles,
    routing,
    instanceList,
    membership,
    peers,
  ];
  for (const task of tasksInOrder) await task[Symbol.asyncDispose]();
}
