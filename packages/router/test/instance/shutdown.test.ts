import { EventEmitter } from 'node:events';
import { expect, test } from 'vitest';
import { createInstance, GracefulShutdown, watchSignals } from '../../src/instance';
import type { InstanceTasks } from '../../src/instance';
import { computeOperatorToken } from '../../src/entry';
import { FakeEngine } from '../backend/fake-engine';
import {
  chatBody,
  CLUSTER_KEY,
  createHarness,
  createServer,
  parseStream,
  sendChat,
  settings,
  silentTelemetry,
} from '../entry/fakes';

const discard = () => undefined;

function createTasks(harness: Awaited<ReturnType<typeof createHarness>>, events: string[]) {
  const toTask = <T extends object>(name: string, port: T): T & AsyncDisposable =>
    Object.assign(port, {
      [Symbol.asyncDispose]: async () => {
        events.push(`close ${name}`);
        await Promise.resolve();
      },
    });
  const membership = {
    getView: () => ({ version: 1, members: [] }),
    watchView: () => discard,
    mergeList: discard,
    reportUnreachable: discard,
    publishLeaving: () => void events.push('leaving'),
    publishCrash: discard,
    publishCrashCleared: discard,
    watchCrashes: () => discard,
    listCrashes: () => [],
    setBundleNumber: discard,
    watchBundleNumber: () => discard,
  };
  const releaseShards = async () => {
    events.push('move shards');
    await Promise.resolve();
  };
  const bundles = { getActive: () => harness.bundles.active, watchActive: () => discard };
  const tasks: InstanceTasks = {
    peers: toTask('peers', harness.peers),
    membership: toTask('membership', membership),
    routing: toTask('routing', harness.routing),
    instanceList: toTask('list', {}),
    bundles: toTask('bundles', bundles),
    claims: toTask('claims', harness.claims),
    outcomes: toTask('outcomes', harness.outcomes),
    dispatcher: toTask('dispatcher', { releaseShards }),
  };
  return tasks;
}

// Guards against a planned stop that cuts off requests in flight, or requests that arrive before the load
// balancer has removed the instance (G7).
test('a shutdown completes all requests and runs its steps in order', async () => {
  const engine = new FakeEngine();
  engine.behaviour = { words: Array<string>(40).fill('w'), gapMs: 20 };
  const harness = await createHarness([createServer('engine-1', await engine.start())]);
  const events: string[] = [];
  const instance = await createInstance(
    { ...settings, balancerLagMs: 200, drainLimitMs: 5_000 },
    {
      telemetry: silentTelemetry,
      tasks: createTasks(harness, events),
      chooseShard: (routes) => routes[0],
      retryBudget: { recordFirstAttempt: discard, takeRetry: () => true },
      hashToUint32: () => 1,
    },
  );
  const url = `http://127.0.0.1:${instance.entry.port}`;
  const streamingBody = { ...chatBody, stream: true };
  const responseBefore = sendChat(url, streamingBody).then(
    async (response) => await response.text(),
  );
  while (engine.requests.length === 0) await new Promise((resolve) => setTimeout(resolve, 5));
  const stopped = instance.stop();
  expect(instance.stop()).toBeInstanceOf(Promise);
  const ready = await fetch(`${url}/readyz`);
  expect(ready.status).toBe(503);
  const headers = { authorization: `Bearer ${computeOperatorToken(CLUSTER_KEY)}` };
  const status = await fetch(`${url}/admin/status`, { headers });
  expect(await status.json()).toMatchObject({ isDraining: true, bundle: { number: 7 } });
  const responseDuring = await sendChat(url, streamingBody);
  expect(responseDuring.headers.get('connection')).toBe('close');
  for (const text of [await responseBefore, await responseDuring.text()]) {
    expect(parseStream(text)).toMatchObject({ content: 'w'.repeat(40), isDone: true });
  }
  const reports = await stopped;
  expect(reports.map(({ result }) => result)).toEqual(Array(6).fill('done'));
  expect(harness.outcomes.records.map(({ outcome }) => outcome)).toEqual(['answered', 'answered']);
  expect(harness.outcomes.flushes).toBe(1);
  expect(events.slice(0, 3)).toEqual(['leaving', 'move shards', 'close dispatcher']);
  await harness.entry[Symbol.asyncDispose]();
  await engine[Symbol.asyncDispose]();
});

// Guards against a shutdown that hangs when a step never ends.
test('the next step runs after a step that fails or hangs', async () => {
  const never = async () => {
    await new Promise(discard);
  };
  const fail = async () => {
    await Promise.reject(new Error('no'));
  };
  const pass = async () => {
    await Promise.resolve();
  };
  const log = { error: discard, warn: discard, info: discard, debug: discard };
  const steps = [never, fail, pass].map((run, index) => ({ name: `${index}`, limitMs: 30, run }));
  const reports = await new GracefulShutdown(steps, log).run();
  expect(reports.map(({ result }) => result)).toEqual(['timed-out', 'failed', 'done']);
});

// Guards against repeated signals that stop the instance twice or interrupt a graceful stop.
test.each([
  { signals: ['SIGTERM'], exits: [0] },
  { signals: ['SIGTERM', 'SIGTERM'], exits: [0] },
  { signals: ['SIGINT', 'SIGINT'], exits: [130, 0] },
])('$signals exit with codes $exits', async ({ signals, exits }) => {
  const exitCodes: number[] = [];
  const source = Object.assign(new EventEmitter(), {
    exit: (code: number) => exitCodes.push(code),
  });
  const stopped = Promise.resolve([]);
  watchSignals({ stop: async () => await stopped }, source);
  for (const signal of signals) source.emit(signal);
  await new Promise((resolve) => setTimeout(resolve, 5));
  expect(exitCodes).toEqual(exits);
});
