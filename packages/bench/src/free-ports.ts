import { createServer } from 'node:net';
import type { AddressInfo } from 'node:net';

const ADDRESS = '127.0.0.1';

/**
 * Finds free TCP ports for processes whose settings must name them before they start. Another
 * process may take one before it is used; the start then fails with a message that names the port.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const servers = Array.from({ length: count }, () => createServer());
  // All are held until the last is known, so that the ports differ.
  for (const server of servers) {
    await new Promise<void>((resolve, reject) => {
      server.once('error', reject);
      server.listen(0, ADDRESS, resolve);
    });
  }
  const ports = servers.map((server) => (server.address() as AddressInfo).port);
  for (const server of servers) await new Promise((resolve) => server.close(resolve));
  return ports;
}
