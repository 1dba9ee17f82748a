import { once } from 'node:events';
import { connect } from 'node:net';
import { setTimeout as wait } from 'node:timers/promises';
import { encodeFrame, type PeerMessage } from '@pollendrum/protocol';
import { describe, expect, test } from 'vitest';
import { startPeer, startTcpProxy, type PortTable } from './link-fixture';

const WITHDRAW: PeerMessage = { kind: 'withdraw', attemptId: 'a1' };
const LARGE: PeerMessage = { kind: 'withdraw', attemptId: 'a'.repeat(60_000) };

describe('delivery', () => {
  // Guards against messages that are lost or joined when TCP splits a frame.
  test.each([1, 3, 1_000])(
    'delivers messages in order when the stream is split every %i bytes',
    async (chunkBytes) => {
      const ports: PortTable = new Map();
      await using b = await startPeer('b', ports);
      await using proxy = await startTcpProxy(b.task.port, chunkBytes);
      ports.set('b', proxy.port);
      await using a = await startPeer('a', ports);
      const messages = ['m1', 'm2', 'm3'].map(
        (attemptId) => ({ ...WITHDRAW, attemptId }) as PeerMessage,
      );
      for (const message of messages) expect(a.task.sendMessage('b', message)).toBe(true);
      await expect.poll(() => b.received).toEqual(messages);
    },
  );

  // Guards against handling a local message before sendMessage has returned.
  test('delivers a message to the local instance asynchronously', async () => {
    await using a = await startPeer('a', new Map());
    expect(a.task.sendMessage('a', WITHDRAW)).toBe(true);
    expect(a.received).toEqual([]);
    await expect.poll(() => a.received).toEqual([WITHDRAW]);
  });

  // Guards against queuing messages for an instance that is not a member.
  test('refuses to send to an unknown instance', async () => {
    await using a = await startPeer('a', new Map());
    expect(a.task.sendMessage('nobody', WITHDRAW)).toBe(false);
  });
});

describe('silence', () => {
  // Guards against requests that wait on a connection whose peer has stopped responding.
  test('replaces the link to a silent peer and reports the loss once', async () => {
    const ports: PortTable = new Map();
    await using b = await startPeer('b', ports);
    await using proxy = await startTcpProxy(b.task.port);
    ports.set('b', proxy.port);
    await using a = await startPeer('a', ports);
    a.task.requestPings('b');
    a.task.sendMessage('b', WITHDRAW);
    await expect.poll(() => b.received.length).toBe(1);
    await wait(700);
    proxy.pauseConnections();
    const startMs = performance.now();
    await expect.poll(() => a.lost, { timeout: 5_000 }).toEqual(['b']);
    expect(performance.now() - startMs).toBeLessThan(3_000);
    a.task.sendMessage('b', { kind: 'withdraw', attemptId: 'again' });
    await expect.poll(() => b.received.length).toBe(2);
    await wait(600);
    expect(a.lost).toEqual(['b']);
    expect(proxy.acceptedCount).toBe(2);
  });

  // Guards against replacing a healthy link because a message requires no reply.
  test('keeps a link on which the last message has no reply', async () => {
    const ports: PortTable = new Map();
    await using b = await startPeer('b', ports);
    await using a = await startPeer('a', ports);
    a.task.sendMessage('b', WITHDRAW);
    await wait(2_200);
    expect(a.lost).toEqual([]);
    expect(b.received).toHaveLength(1);
  });

  // Guards against unused links that stay open, and idle closes that are reported as losses.
  test('closes an idle link without reporting a loss', async () => {
    const ports: PortTable = new Map();
    await using b = await startPeer('b', ports, { idleMs: 800 });
    await using a = await startPeer('a', ports, { idleMs: 800 });
    a.task.sendMessage('b', WITHDRAW);
    await expect.poll(() => a.task.listLinkedInstances()).toEqual(['b']);
    await expect.poll(() => a.task.listLinkedInstances(), { timeout: 4_000 }).toEqual([]);
    await expect.poll(() => b.task.listLinkedInstances()).toEqual([]);
    expect([...a.lost, ...b.lost]).toEqual([]);
  });

  // Guards against unbounded memory use for messages to a peer that does not read.
  test('closes a link that exceeds its buffer limit', async () => {
    const ports: PortTable = new Map();
    await using b = await startPeer('b', ports);
    await using proxy = await startTcpProxy(b.task.port);
    ports.set('b', proxy.port);
    await using a = await startPeer('a', ports, { maxBufferedBytes: 500_000 });
    a.task.sendMessage('b', WITHDRAW);
    await expect.poll(() => b.received.length).toBe(1);
    proxy.pauseConnections();
    for (let count = 0; count < 200; count += 1) a.task.sendMessage('b', LARGE);
    await expect.poll(() => a.lost, { timeout: 1_000 }).toEqual(['b']);
  });
});

describe('evidence for membership', () => {
  // Guards against a dead instance that membership detects only through random probes.
  test('a reset link and a refused connection are both reported', async () => {
    const ports: PortTable = new Map();
    const b = await startPeer('b', ports);
    await using a = await startPeer('a', ports);
    a.task.sendMessage('b', WITHDRAW);
    await expect.poll(() => b.received.length).toBe(1);
    expect(a.evidence).toEqual([]);
    await b[Symbol.asyncDispose]();
    await expect.poll(() => a.evidence).toEqual(['b reset']);
    a.task.sendMessage('b', WITHDRAW);
    await expect.poll(() => a.evidence).toEqual(['b reset', 'b refused']);
  });

  // Guards against a frozen instance that is never reported because its kernel accepts connections.
  test('a peer that accepts connections and sends nothing is reported as silent', async () => {
    const ports: PortTable = new Map();
    await using b = await startPeer('b', ports);
    await using proxy = await startTcpProxy(b.task.port);
    ports.set('b', proxy.port);
    await using a = await startPeer('a', ports);
    const stopPings = a.task.requestPings('b');
    a.task.sendMessage('b', WITHDRAW);
    await expect.poll(() => b.received.length).toBe(1);
    proxy.pauseConnections();
    await expect.poll(() => a.evidence, { timeout: 4_000 }).toContain('b silent');
    stopPings();
  });
});

describe('authentication', () => {
  // Guards against messages of a process that lacks the cluster key or is not a member.
  test.each([
    ['another key', { clusterKey: 'other' }, 'c'],
    ['an unknown instance id', {}, 'stranger'],
  ])('refuses a peer with %s', async (_, options, instanceId) => {
    const ports: PortTable = new Map();
    await using b = await startPeer('b', ports);
    ports.set('c', 1);
    await using other = await startPeer(instanceId, new Map(ports), options);
    other.task.sendMessage('b', WITHDRAW);
    await expect.poll(() => other.lost, { timeout: 4_000 }).toEqual(['b']);
    expect(b.received).toEqual([]);
  });

  // Guards against accepting messages before the peer is authenticated.
  test.each([
    ['a message first', encodeFrame(WITHDRAW)],
    [
      'no proof',
      encodeFrame({
        kind: 'hello',
        instanceId: 'c',
        protocolVersion: 1,
        failureDomain: 'd',
        proof: 'x',
      }),
    ],
    ['an oversized hello', Buffer.concat([Buffer.from([0, 0, 100, 0]), Buffer.alloc(5_000)])],
  ])('closes a connection with %s', async (_, bytes) => {
    await using b = await startPeer('b', new Map([['c', 1]]));
    const socket = connect(b.task.port, '127.0.0.1');
    socket.write(bytes);
    socket.resume();
    await once(socket, 'close', { signal: AbortSignal.timeout(1_000) });
    expect(b.received).toEqual([]);
  });
});

describe('duplicate connections', () => {
  // Guards against two links between two instances, and against losing messages that both send.
  test.each([1, 2, 3, 4, 5])(
    'are reduced to one link when both sides connect at once, round %i',
    async () => {
      const ports: PortTable = new Map();
      await using b = await startPeer('b', ports);
      await using proxyToB = await startTcpProxy(b.task.port);
      await using a = await startPeer('a', ports);
      await using proxyToA = await startTcpProxy(a.task.port);
      ports.set('a', proxyToA.port).set('b', proxyToB.port);
      a.task.sendMessage('b', WITHDRAW);
      b.task.sendMessage('a', WITHDRAW);
      await expect.poll(() => [a.received.length, b.received.length]).toEqual([1, 1]);
      await wait(300);
      a.task.sendMessage('b', WITHDRAW);
      b.task.sendMessage('a', WITHDRAW);
      await expect.poll(() => [a.received.length, b.received.length]).toEqual([2, 2]);
      expect([...a.lost, ...b.lost]).toEqual([]);
      expect([a.task.listLinkedInstances(), b.task.listLinkedInstances()]).toEqual([['b'], ['a']]);
    },
  );
});
