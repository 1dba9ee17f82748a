import { setTimeout as sleep } from 'node:timers/promises';
import { expect, test } from 'vitest';
import {
  makeBundle,
  makeRoute,
  makeServer,
  sendRequest,
  startTestGateway,
  waitUntil,
} from './gateway-fixture';
import type { TestGateway } from './gateway-fixture';
import { startRawBackend } from './raw-backend';
import type { RawHandler } from './raw-backend';

const sendOk: RawHandler = (socket) =>
  socket.write(
    'HTTP/1.1 200 OK\r\ntest-signature: s\r\ntest-attempt: attempt-1\r\ncontent-length: 2\r\n\r\nok',
  );

/** Whether the gateway has logged a line with these fields. */
function hasLogLine(
  running: TestGateway,
  message: string,
  fields: Record<string, unknown>,
): boolean {
  return running.lines.some(
    (line) =>
      line.message === message &&
      Object.entries(fields).every(([name, value]) => line.fields[name] === value),
  );
}

async function readReadiness(port: number): Promise<number | undefined> {
  const response = await sendRequest(port, '/readyz', { method: 'GET' });
  return response.status;
}

test('an instance without a configuration is not ready and responds with 503', async () => {
  await using running = await startTestGateway({
    bundle: null,
    servers: [makeServer('one', 'desk', 1)],
  });
  await waitUntil(() => hasLogLine(running, 'listed objects of the store', { kind: 'bundles' }));
  expect(await readReadiness(running.readinessPort)).toBe(503);
  const response = await sendRequest(running.callerPort, '/orders/1');
  expect(response.status).toBe(503);
  expect(Number(response.headers['retry-after'])).toBeGreaterThan(0);
});

// Guards against rejecting keys too early when an outage begins at the end of a long watch call.
test('keys are accepted for the first 2.5 s of an outage of the store', async () => {
  await using backend = await startRawBackend(sendOk);
  await using running = await startTestGateway({
    servers: [makeServer('one', 'desk', backend.port)],
  });
  const { store } = running;
  const countWatches = () => store.watchedKinds.filter((kind) => kind === 'bundles').length;
  await waitUntil(() => countWatches() >= 2);
  await sleep(2_000);
  store.mode = 'silent';
  await sleep(2_500);
  expect((await sendRequest(running.callerPort, '/orders/1')).status).toBe(200);
});

test('a newer configuration takes effect and an older one is ignored', async () => {
  await using backend = await startRawBackend(sendOk);
  await using running = await startTestGateway({
    servers: [makeServer('one', 'desk', backend.port)],
  });
  const added = makeRoute({ name: 'new', pathPrefix: '/new/' });
  running.store.put('bundles', 'main', makeBundle({ version: 7, routes: [added] }));
  await waitUntil(() => hasLogLine(running, 'configuration in force', { version: 7 }));
  expect((await sendRequest(running.callerPort, '/new/1')).status).toBe(200);
  expect((await sendRequest(running.callerPort, '/orders/1')).status).toBe(404);
  running.store.put('bundles', 'main', makeBundle({ version: 3 }));
  await waitUntil(() => hasLogLine(running, 'an older configuration is ignored', { version: 3 }));
  expect((await sendRequest(running.callerPort, '/new/1')).status).toBe(200);
});

test('a removed key is rejected', async () => {
  await using backend = await startRawBackend(sendOk);
  await using running = await startTestGateway({
    servers: [makeServer('one', 'desk', backend.port)],
  });
  expect((await sendRequest(running.callerPort, '/orders/1', { key: 'key-b' })).status).toBe(200);
  const teams = [{ name: 'team-a', keys: ['key-a'], priority: undefined }];
  running.store.put('bundles', 'main', makeBundle({ version: 2, teams }));
  await waitUntil(() => hasLogLine(running, 'configuration in force', { version: 2 }));
  expect((await sendRequest(running.callerPort, '/orders/1', { key: 'key-b' })).status).toBe(401);
});

test('during an outage of the store keys are rejected once they may be out of date and public routes are served', async () => {
  await using backend = await startRawBackend(sendOk);
  const open = makeRoute({ name: 'open', pathPrefix: '/open/', isPublic: true });
  await using running = await startTestGateway({
    bundle: makeBundle({ routes: [makeRoute(), open] }),
    servers: [makeServer('one', 'desk', backend.port)],
    keyRevocationMs: 2_000,
  });
  running.store.mode = 'failing';
  await waitUntil(() => !running.gateway.isReady());
  const keyed = await sendRequest(running.callerPort, '/orders/1');
  expect(keyed.status).toBe(503);
  // The caller's next connection can reach an instance that is connected to the store.
  expect(keyed.headers.connection).toBe('close');
  expect((await sendRequest(running.callerPort, '/open/1')).status).toBe(200);
  expect((await sendRequest(running.callerPort, '/nowhere/1')).status).toBe(503);
  expect(await readReadiness(running.readinessPort)).toBe(503);
  running.store.mode = 'up';
  await waitUntil(() => running.gateway.isReady());
  expect((await sendRequest(running.callerPort, '/orders/1')).status).toBe(200);
});

test('a draining server gets no new requests', async () => {
  await using leaving = await startRawBackend(sendOk);
  await using staying = await startRawBackend(sendOk);
  const listed = makeServer('leaving', 'desk', leaving.port);
  await using running = await startTestGateway({
    servers: [listed, makeServer('staying', 'desk', staying.port)],
  });
  running.store.put('servers', 'leaving', { ...listed, state: 'draining' });
  await waitUntil(() => hasLogLine(running, 'backend server changed', { state: 'draining' }));
  for (let id = 0; id < 6; id += 1) await sendRequest(running.callerPort, `/orders/${id}`);
  expect(leaving.countAcceptedConnections()).toBe(0);
});

test('a draining instance is not ready, closes connections and completes open requests', async () => {
  await using backend = await startRawBackend((socket, request) => {
    void sleep(600).then(() => {
      sendOk(socket, request);
    });
  });
  await using running = await startTestGateway({
    servers: [makeServer('one', 'desk', backend.port)],
    drainLimitSeconds: 2,
  });
  const pending = sendRequest(running.callerPort, '/orders/1');
  await sleep(50);
  const drained = running.gateway.drain();
  expect(await readReadiness(running.readinessPort)).toBe(503);
  const late = sendRequest(running.callerPort, '/orders/2');
  const responses = await Promise.all([pending, late]);
  expect(responses.map(({ status }) => status)).toEqual([200, 200]);
  expect(responses.every(({ headers }) => headers.connection === 'close')).toBe(true);
  await drained;
  expect((await sendRequest(running.callerPort, '/orders/3')).status).toBeUndefined();
});

test('an instance is announced in the store until it drains', async () => {
  await using running = await startTestGateway({ servers: [] });
  const listNames = () => running.store.listNames('instances');
  await waitUntil(() => listNames().length > 0);
  expect(listNames()).toEqual(['entry-1']);
  await running.gateway.drain();
  expect(listNames()).toEqual([]);
});

test('a reload applies the reloadable settings and reports those that need a restart', async () => {
  await using running = await startTestGateway({ servers: [] });
  const settings = { ...running.settings, keyRevocationMs: 9_000, peerPort: 1 };
  expect(running.gateway.applySettings(settings)).toEqual(['keyRevocationMs']);
  const line = running.lines.find(({ message }) => message === 'settings reloaded');
  expect(line?.fields).toEqual({ changed: ['keyRevocationMs'], needRestart: ['peerPort'] });
});

test('the metrics page has the traffic by party', async () => {
  await using backend = await startRawBackend(sendOk);
  await using running = await startTestGateway({
    servers: [makeServer('one', 'desk', backend.port)],
  });
  await sendRequest(running.callerPort, '/orders/1');
  const { body } = await sendRequest(running.metricsPort, '/metrics', { method: 'GET' });
  for (const party of ['caller', 'backend']) {
    for (const direction of ['received', 'sent']) {
      const name = `pollendrum_traffic_bytes_total{party="${party}",direction="${direction}"}`;
      const line = body.split('\n').find((text) => text.startsWith(`${name} `));
      expect(Number(line?.split(' ')[1])).toBeGreaterThan(0);
    }
  }
});
