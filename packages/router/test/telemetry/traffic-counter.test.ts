import { expect, test } from 'vitest';
import { createMembershipTask } from '../../src/membership';
import { TrafficCounter } from '../../src/telemetry/traffic-counter';
import { startPeer, type PortTable } from '../link/link-fixture';

const discard = () => undefined;
const log = { error: discard, warn: discard, info: discard, debug: discard };
const metrics = { increment: discard, gauge: discard, timing: discard };

async function waitUntil(isTrue: () => boolean): Promise<void> {
  const deadlineMs = performance.now() + 5_000;
  while (!isTrue()) {
    if (performance.now() > deadlineMs) throw new Error('the condition did not become true');
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

// Guards against control cost figures that leave out the handshake or one direction of a link.
test('what one side of a link sends is what the other receives', async () => {
  const ports: PortTable = new Map();
  const traffic = { a: new TrafficCounter(), b: new TrafficCounter() };
  await using a = await startPeer('a', ports, { traffic: traffic.a });
  await using b = await startPeer('b', ports, { traffic: traffic.b });
  a.task.sendMessage('b', { kind: 'find-outcome', queryId: 'q', requestId: 'r' });
  await waitUntil(() => b.received.length === 1);
  const sent = traffic.a.getCounts();
  const received = traffic.b.getCounts();
  // Two steps of the handshake and the message.
  expect(sent.sentMessages).toBe(3);
  expect(received.receivedMessages).toBe(sent.sentMessages);
  expect(received.receivedBytes).toBe(sent.sentBytes);
  expect(sent.receivedBytes).toBe(received.sentBytes);
});

// Guards against a datagram that is sent or received without being counted.
test('membership counts datagrams in both directions', async () => {
  const place = { address: '127.0.0.1', adminPort: 1, failureDomain: 'd', region: 'r' };
  const traffic = { a: new TrafficCounter(), b: new TrafficCounter() };
  const createTask = (id: 'a' | 'b') =>
    createMembershipTask({
      self: { instanceId: id, peerPort: 0, ...place },
      ...{ clusterKey: 'key', log, metrics, probeIntervalMs: 50, traffic: traffic[id] },
    });
  await using a = await createTask('a');
  await using b = await createTask('b');
  const { address, failureDomain, region } = place;
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
