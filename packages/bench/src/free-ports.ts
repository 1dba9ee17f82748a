import { randomInt } from 'node:crypto';
import { createSocket } from 'node:dgram';
import { once } from 'node:events';
import { createServer } from 'node:net';

const ADDRESS = '127.0.0.1';
// Below the range from which systems take ports of outgoing connections (from 32768 on Linux), so that
// no connection takes a port between the probe and its use.
const FIRST_PORT = 15_000;
const END_PORT = 32_000;
const MAX_ATTEMPTS = 100;

/** Ports handed out by this process; they stay reserved until it ends. */
const handedOut = new Set<number>();

/**
 * Finds ports that are free for TCP and UDP, for processes whose settings must name them before they start.
 * @throws Error when no free port is found.
 */
export async function findFreePorts(count: number): Promise<number[]> {
  const ports: number[] = [];
  while (ports.length < count) ports.push(await findFreePort());
  return ports;
}

/**
 * Finds one port that is free for TCP and UDP.
 * @throws Error when no free port is found.
 */
export async function findFreePort(): Promise<number> {
  for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
    const port = randomInt(FIRST_PORT, END_PORT);
    if (handedOut.has(port)) continue;
    if (!(await probeTcpPort(port)) || !(await probeUdpPort(port))) continue;
    handedOut.add(port);
    return port;
  }
  throw new Error(`no free port found in ${MAX_ATTEMPTS} attempts`);
}

async function probeTcpPort(port: number): Promise<boolean> {
  const server = createServer();
  try {
    server.listen(port, ADDRESS);
    await once(server, 'listening');
    server.close();
    await once(server, 'close');
    return true;
  } catch {
    return false;
  }
}

async function probeUdpPort(port: number): Promise<boolean> {
  const socket = createSocket('udp4');
  try {
    socket.bind(port, ADDRESS);
    await once(socket, 'listening');
    return true;
  } catch {
    return false;
  } finally {
    socket.close();
  }
}
