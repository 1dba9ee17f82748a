import { once } from 'node:events';
import { createSocket } from 'node:dgram';
import { expect, test } from 'vitest';
import { TrafficMeter } from '../src';
import { PeerSocket } from '../src/peer-socket';
import { createTestLog, findFreeUdpPort } from './gateway-fixture';

// Guards against a process that ends in a timer because one of the announced addresses cannot be used.
test.each([
  { name: 'a port above the range', address: '127.0.0.1', port: 70_000 },
  { name: 'port 0', address: '127.0.0.1', port: 0 },
  { name: 'a fractional port', address: '127.0.0.1', port: 1.5 },
  { name: 'no port', address: '127.0.0.1', port: NaN },
  { name: 'a host name', address: 'no-address', port: 1 },
])('a receiver with $name does not keep a datagram from the others', async ({ address, port }) => {
  const receiver = createSocket('udp4').bind(0, '127.0.0.1');
  await once(receiver, 'listening');
  await using socket = new PeerSocket({
    ...{ address: '127.0.0.1', port: await findFreeUdpPort() },
    ...{ log: createTestLog([]), traffic: new TrafficMeter() },
  });
  const received = once(receiver, 'message');
  socket.send(Buffer.from('facts'), [
    { address, port },
    { address: '127.0.0.1', port: receiver.address().port },
  ]);
  const [bytes] = (await received) as [Buffer];
  expect(bytes.toString()).toBe('facts');
  receiver.close();
});

// Guards against a process that ends while it stops, since a timer still sends after the socket has been closed.
test('a datagram after the socket has been closed is dropped', async () => {
  const socket = new PeerSocket({
    ...{ address: '127.0.0.1', port: await findFreeUdpPort() },
    ...{ log: createTestLog([]), traffic: new TrafficMeter() },
  });
  await socket[Symbol.asyncDispose]();
  expect(() => {
    socket.send(Buffer.from('facts'), [{ address: '127.0.0.1', port: 1 }]);
  }).not.toThrow();
});
