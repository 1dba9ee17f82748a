import { once } from 'node:events';
import { createServer, type IncomingMessage, type Server, type ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import { afterEach, describe, expect, test } from 'vitest';
import { buildEnqueue, buildServer, DispatcherFixture } from './dispatcher-fixture';

const servers: Server[] = [];
afterEach(() => {
  for (const server of servers.splice(0)) {
    server.closeAllConnections();
    server.close();
  }
});

type Handler = (response: ServerResponse, request: IncomingMessage) => void;

async function startBackend(handle: Handler): Promise<number> {
  const server = createServer((request, response) => {
    handle(response, request);
  });
  servers.push(server);
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  return (server.address() as AddressInfo).port;
}

const sendLoad =
  (load: unknown): Handler =>
  (response) =>
    response.end(JSON.stringify(load));
const LIVE = { draining: false, slots: 4 };

describe('load polls', () => {
  // Guards against grants for a server that is draining or down.
  test.each<[string, Handler]>([
    ['reports draining', sendLoad({ ...LIVE, draining: true })],
    [
      'refuses with X-Draining',
      (response) => response.writeHead(503, { 'x-draining': 'true' }).end(),
    ],
    ['closes every connection', (response) => response.destroy()],
  ])('give no grant to a server that %s', async (_, handle) => {
    const port = await startBackend(handle);
    await using fixture = new DispatcherFixture([buildServer('s1', 4, port)], 'd', 100);
    await expect.poll(() => fixture.scheduler.servers[0]?.isLeaving, { timeout: 3_000 }).toBe(true);
    fixture.send('e1', buildEnqueue('a1'));
    await wait(400);
    expect(fixture.listReplies('a1')).toEqual([]);
  });

  // Guards against a server that stays out of use after it has recovered, or because it has no /load.
  test.each<[string, Handler, number]>([
    ['fewer slots', sendLoad({ ...LIVE, slots: 2 }), 2],
    ['more slots than listed', sendLoad({ ...LIVE, slots: 9 }), 4],
    ['no /load', (response) => response.writeHead(404).end(), 4],
  ])('keep a server with %s in use', async (_, handle, slots) => {
    let isUp = false;
    const port = await startBackend((response, request) => {
      if (isUp) handle(response, request);
      else response.destroy();
    });
    await using fixture = new DispatcherFixture([buildServer('s1', 4, port)], 'd', 50);
    await expect.poll(() => fixture.scheduler.servers[0]?.isLeaving).toBe(true);
    isUp = true;
    await expect
      .poll(() => fixture.scheduler.servers[0])
      .toMatchObject({ isLeaving: false, slots });
  });

  // Guards against an older poll response that overwrites a drain signal from a refused request.
  test('do not overwrite a newer drain signal', async () => {
    let finish: () => void = () => undefined;
    const port = await startBackend((response) => {
      finish = () => response.end(JSON.stringify(LIVE));
    });
    await using fixture = new DispatcherFixture([buildServer('s1', 4, port)], 'd', 50);
    await wait(200);
    fixture.send('e1', {
      ...{ kind: 'finish', attemptId: 'a1', poolId: 'model:m', shardIndex: 0, serverId: 's1' },
      ...{ fingerprint: 'f', result: 'server-draining' },
    });
    finish();
    await wait(30);
    expect(fixture.scheduler.servers[0]?.isLeaving).toBe(true);
  });

  // Guards against polls that accumulate at a server that doesn't respond.
  test('run one at a time for a server and time out after 800 ms', async () => {
    let open = 0;
    let highest = 0;
    const startsMs: number[] = [];
    const port = await startBackend((response) => {
      startsMs.push(performance.now());
      open += 1;
      highest = Math.max(highest, open);
      response.on('close', () => (open -= 1));
    });
    const createdAtMs = performance.now();
    using stalls = measureStalls();
    await using fixture = new DispatcherFixture([buildServer('s1', 4, port)], 'd', 50);
    await expect.poll(() => startsMs.length, { timeout: 10_000, interval: 10 }).toBe(3);
    expect(fixture.task.listShards()).toEqual(['model:m/0']);
    expect(highest).toBe(1);
    // Three polls take 1,900 ms of the time in which the process is not stalled, and at least twice the timeout.
    const elapsedMs = (startsMs.at(-1) ?? Infinity) - createdAtMs;
    expect(elapsedMs - stalls.getTotalMs()).toBeLessThanOrEqual(1_900);
    expect(elapsedMs).toBeGreaterThanOrEqual(1_600);
  });
});

/** Measures for how long in all the process has not run its timers. */
function measureStalls(): Disposable & { getTotalMs(): number } {
  const intervalMs = 10;
  let totalMs = 0;
  let lastAtMs = performance.now();
  const timer = setInterval(() => {
    const nowMs = performance.now();
    totalMs += Math.max(0, nowMs - lastAtMs - 2 * intervalMs);
    lastAtMs = nowMs;
  }, intervalMs);
  return {
    getTotalMs: () => totalMs,
    [Symbol.dispose]: () => {
      clearInterval(timer);
    },
  };
}
