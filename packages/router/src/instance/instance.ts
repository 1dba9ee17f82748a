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
  /** Key read from settings.clusterKeyFile. */
  clusterKey?: string;
  listUnreadyReasons?: () => string[];
  /** Keys towards callers; undefined: plain TCP. */
  callerTls?: EntryOptions['callerTls'];
}

/** A running instance. Disposing stops it at once. */
export interface Instance extends AsyncDisposable {
  readonly entry: EntryTask;
  /** Stops without cutting off requests; later calls wait for the first one. Never rejects. */
  stop(): Promise<StepReport[]>;
}

const DEFAULT_BALANCER_LAG_MS = 10_000;
const DEFAULT_DRAIN_LIMIT_MS = 900_000;
const SHORT_STEP_LIMIT_MS = 2_000;
const FLUSH_LIMIT_MS = 5_000;
/**
 * Time for requests that wait unread in their connections. A process that was paused during the steps before
 * sees its timers end first; closing at once would cut those requests off.
 */
const PENDING_READ_MS = 200;

/** Starts the entry on the given tasks. Rejects when its port cannot be bound, and then closes the tasks. */
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
  const graceful = new GracefulShutdown(steps, telemetry.log);
  shutdown = graceful;
  return {
    entry,
    stop: async () => await graceful.run(),
    async [Symbol.asyncDispose]() {
      await entry[Symbol.asyncDispose]();
      await closeTasks(tasks);
    },
  };
}

/** Steps of section 8 of docs/design.md. */
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
        await new Promise((resolve) => setTimeout(resolve, PENDING_READ_MS));
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
  const inOrder = [dispatcher, claims, outcomes, bundles, routing, instanceList, membership, peers];
  for (const task of inOrder) await task[Symbol.asyncDispose]();
}
