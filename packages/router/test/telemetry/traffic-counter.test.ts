import { expect, test } from 'vitest';
import { createMembershipTask } from '../../src/membership';
import { TrafficCounter } from '../../src/telemetry/traffic-counter';
import { startPeer, type PortTable } from '../link/link-fixture';

const noop = () => undefined;
const log = { error: noop, warn: noop, info: noop, debug: noop };
const metrics = { increment: noop, gauge: noop, timing: noop };

async function waitUntil(condition: () => boolean): Promise<void> {
  const deadlineMs = performance.now() + 5_000;
  while (!condition()) {
    if (performance.now() > deadlineMs)
      throw new Error('timed out after 5 s waiting for a condition');
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

// Guards against traffic counts that leave out the handshake or one direction of a link.
test('counts the same traffic as sent at one end of a link and as received at the other', async () => {
  const ports: PortTable = new Map();
  const traffic = { a: new TrafficCounter(), b: new TrafficCounter() };
  await using a = await startPeer('a', ports, { traffic: traffic.a });
  await using b = await startPeer('b', ports, { traffic: traffic.b });
  a.task.sendMessage('b', { kind: 'find-outcome', queryId: 'q', requestId: 'r' });
  await waitUntil(() => b.received.length === 1);
  const sent = traffic.a.getCounts();
  const received = traffic.b.getCounts();
  // Two handshake messages and the query.
  expect(sent.sentMessages).toBe(3);
  expect(received.receivedMessages).toBe(sent.sentMessages);
  expect(received.receivedBytes).toBe(sent.sentBytes);
  expect(sent.receivedBytes).toBe(received.sentBytes);
});

// Guards against membership datagrams that are sent or received without being counted.
test('counts sent and received membership datagrams', async () => {
  const location = { address: '127.0.0.1', adminPort: 1, failureDomain: 'd', region: 'r' };
  const traffic = { a: new TrafficCounter(), b: new TrafficCounter() };
  const createTask = (id: 'a' | 'b') =>
    createMembershipTask({
      self: { instanceId: id, peerPort: 0, ...location },
      ...{ clusterKey: 'key', log, metrics, probeIntervalMs: 50, traffic: traffic[id] },
    });
  await using a = await createTask('a');
  await using b = await createTask('b');
  const { address, failureDomain, region } = location;
  a.mergeList([
    {
      ...{ id: 'b', role: 'router', address, port: 1, peerPort: b.port },
      ...{ failureDomain, region, state: 'live' },
    },
  ]);
  await waitUntil(() => traffic.a.getCounts().receivedMessages > 0);
  const { sentMessages, sentBytes } = traffic.a.getCounts();
  expect(sentMessages).toBeGreaterThan(0);
  expect(sentBytes).toBeGreaterThan(sentMessages);
  expect(traffic.b.getCounts().receivedMessages).toBeGreaterThan(0);
});
