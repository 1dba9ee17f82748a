import type { NetConnectOpts } from 'node:net';
import { expect, test, vi } from 'vitest';
import { FakeStore } from './fake-store';
import { startGatewayFleet } from './gateway-fleet';
import { makeBundle } from './gateway-fixture';
import { countMostInPause, findBusiest, sendTo, startPausingServers } from './pausing-servers';

/** Time until a new connection of the gateway opens, in milliseconds. */
const connecting = vi.hoisted(() => ({ delayMs: 0 }));

vi.mock('node:net', async (importOriginal) => {
  const net = await importOriginal<typeof import('node:net')>();
  const connect = (options: NetConnectOpts) => {
    if (connecting.delayMs === 0) return net.connect(options);
    const socket = new net.Socket();
    setTimeout(() => socket.connect(options), connecting.delayMs);
    return socket;
  };
  return { ...net, connect };
});

/** Longer than the time for which requests on their way are excused, shorter than the connect timeout. */
const SLOW_CONNECT_MS = 650;
/** Time until the server turns the first request away, so that others are assigned to it meanwhile. */
const REFUSAL_DELAY_MS = 50;
const SERVICE_MS = 50;

// Guards against requests that were assigned to a server before it asked for a pause and are written long after it, since their
// connection opens late.
test.each([
  { path: '/orders/1', service: 'desk' },
  { path: '/chat/1', service: 'engines' },
])('a request that waits for a connection is not sent into a pause: $path', async (options) => {
  const { path, service } = options;
  const store = new FakeStore();
  connecting.delayMs = 0;
  let refusingIndex = -1;
  await using servers = await startPausingServers({
    ...{ store, count: 3, service },
    chooseRefusal: (index) =>
      index === refusingIndex
        ? { retryAfter: ['3'], spanMs: 3_000, isNotRun: true, delayMs: REFUSAL_DELAY_MS }
        : undefined,
    getServiceMs: () => SERVICE_MS,
  });
  await using fleet = await startGatewayFleet(store, 1, makeBundle());
  const [gateway] = fleet.gateways;
  if (gateway === undefined) throw new Error('no instance');
  // One connection stays open, which the first of the requests after it takes.
  for (let index = 0; index < 5; index += 1) await sendTo(gateway, path);
  refusingIndex = findBusiest(servers.records);
  connecting.delayMs = SLOW_CONNECT_MS;
  const responses = await Promise.all(Array.from({ length: 36 }, () => sendTo(gateway, path)));
  const record = servers.records[refusingIndex] ?? { arrivals: [], pauses: [] };
  const served = responses.filter(({ status }) => status === 200).length;
  console.log(
    `${path}: ${countMostInPause(record)} in a pause, ${record.pauses.length} refusals, ${served} of 36 served`,
  );
  expect(record.pauses.length).toBeGreaterThan(0);
  expect(countMostInPause(record)).toBeLessThanOrEqual(2);
  expect(served).toBeGreaterThanOrEqual(24);
  expect(responses.filter(({ status }) => status !== 200 && status !== 503)).toEqual([]);
});
