import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';
import type { Settings } from '@pollendrum/protocol';
import { expect, test } from 'vitest';
import { startInstance } from '../../src/instance';

async function openListener() {
  const server = createServer();
  await new Promise<void>((resolve) => {
    server.listen(0, '127.0.0.1', resolve);
  });
  return { server, port: (server.address() as AddressInfo).port };
}

async function findFreePort(): Promise<number> {
  const { server, port } = await openListener();
  await new Promise((resolve) => server.close(resolve));
  return port;
}

function makeSettings(httpPort: number, peerPort: number): Settings {
  return {
    instanceId: 'i1',
    address: '127.0.0.1',
    httpPort,
    peerPort,
    failureDomain: 'd1',
    region: 'r1',
    // No server listens on this port; the tasks keep retrying.
    platformUrl: 'http://127.0.0.1:1',
    trustedOperators: [],
    requiredSignatures: 1,
    logLevel: 'error',
    traceSampleRatio: 0,
  };
}

// Guards against tasks that keep running after a failed start and so keep the peer port bound.
test('an instance that cannot bind its HTTP port stops its tasks', async () => {
  const { server, port } = await openListener();
  const peerPort = await findFreePort();
  await expect(startInstance(makeSettings(port, peerPort), 'key')).rejects.toThrow('EADDRINUSE');
  const httpPort = await findFreePort();
  await using started = await startInstance(makeSettings(httpPort, peerPort), 'key');
  expect(started.peerPort).toBe(peerPort);
  server.close();
});
