import { once } from 'node:events';
import { connect, createServer, type AddressInfo, type Socket } from 'node:net';
import type { PeerMessage } from '@pollendrum/protocol';
import { createLinkTask, type LinkTask, type LinkTaskOptions } from '../../src/link/index';
import type { Member } from '../../src/ports';

const SILENT_LOG = {
  error: () => undefined,
  warn: () => undefined,
  info: () => undefined,
  debug: () => undefined,
};
const SILENT_METRICS = {
  increment: () => undefined,
  gauge: () => undefined,
  timing: () => undefined,
};

export interface TestPeer extends AsyncDisposable {
  task: LinkTask;
  received: PeerMessage[];
  lost: string[];
  evidence: string[];
}

/** Ports by instance id; replaces the membership view for the peers of a test. */
export type PortTable = Map<string, number>;

export async function startPeer(
  instanceId: string,
  ports: PortTable,
  options: Partial<LinkTaskOptions> = {},
): Promise<TestPeer> {
  const evidence: string[] = [];
  const task = await createLinkTask({
    reportUnreachable: (id, kind) => evidence.push(`${id} ${kind}`),
    ...{ instanceId, failureDomain: 'd', clusterKey: 'key', address: '127.0.0.1', port: 0 },
    ...{ log: SILENT_LOG, metrics: SILENT_METRICS },
    getMember: (id) => buildMember(id, ports.get(id)),
    ...options,
  });
  if (!ports.has(instanceId)) ports.set(instanceId, task.port);
  const received: PeerMessage[] = [];
  const lost: string[] = [];
  task.watchMessages((_from, message) => received.push(message));
  task.watchLinkLoss((id) => lost.push(id));
  return {
    task,
    received,
    lost,
    evidence,
    [Symbol.asyncDispose]: () => task[Symbol.asyncDispose](),
  };
}

export function buildMember(instanceId: string, peerPort: number | undefined): Member | undefined {
  if (peerPort === undefined) return undefined;
  return {
    ...{ instanceId, address: '127.0.0.1', peerPort, httpPort: 1 },
    ...{ failureDomain: 'd', region: 'r', state: 'alive' },
  };
}

export interface TcpProxy extends AsyncDisposable {
  port: number;
  /** Number of connections accepted since the start. */
  acceptedCount: number;
  /** Stops reading from both sides of all open connections without closing them. */
  pauseConnections(): void;
}

/** Starts a TCP proxy that forwards data to a port in chunks of at most `chunkBytes`. */
export async function startTcpProxy(targetPort: number, chunkBytes = Infinity): Promise<TcpProxy> {
  const sockets = new Set<Socket>();
  const server = createServer((incoming) => {
    proxy.acceptedCount += 1;
    const outgoing = connect(targetPort, '127.0.0.1');
    for (const [from, to] of [
      [incoming, outgoing],
      [outgoing, incoming],
    ] as const) {
      sockets.add(from);
      from.setNoDelay(true);
      from.on('data', (bytes: Buffer) => {
        for (let at = 0; at < bytes.length; at += chunkBytes)
          to.write(bytes.subarray(at, at + chunkBytes));
      });
      from.on('error', () => undefined);
      from.on('close', () => to.destroy());
    }
  });
  server.listen(0, '127.0.0.1');
  await once(server, 'listening');
  const proxy: TcpProxy = {
    port: (server.address() as AddressInfo).port,
    acceptedCount: 0,
    pauseConnections: () => {
      for (const socket of sockets) socket.pause();
    },
    [Symbol.asyncDispose]: async () => {
      for (const socket of sockets) socket.destroy();
      server.close();
      await once(server, 'close');
    },
  };
  return proxy;
}
