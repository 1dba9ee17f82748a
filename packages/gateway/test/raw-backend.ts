import { createServer } from 'node:net';
import type { AddressInfo, Socket } from 'node:net';

/** Handles a request to a raw backend; `received` holds the bytes since the previous request of the connection. */
export type RawHandler = (socket: Socket, received: string) => void;

export interface RawBackend extends AsyncDisposable {
  port: number;
  countAcceptedConnections(): number;
  /** Resets or closes all connections and stops listening, like a process that ends. */
  crash(resetsConnections?: boolean): Promise<void>;
}

/**
 * Starts a TCP server on the loopback interface; the handler of a test writes the bytes of the response.
 *
 * @param handleConnection called for each new connection, before a request arrives
 */
export async function startRawBackend(
  handler: RawHandler,
  handleConnection: (socket: Socket) => void = () => undefined,
): Promise<RawBackend> {
  const sockets = new Set<Socket>();
  let connections = 0;
  const server = createServer((socket) => {
    connections += 1;
    sockets.add(socket);
    let received = '';
    socket.on('error', () => undefined);
    socket.on('close', () => sockets.delete(socket));
    handleConnection(socket);
    socket.on('data', (chunk) => {
      received += chunk.toString('latin1');
      if (!received.includes('\r\n\r\n')) return;
      const request = received;
      received = '';
      handler(socket, request);
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const crash = async (resetsConnections = true) => {
    const closed = new Promise<void>((resolve) => server.close(() => resolve()));
    for (const socket of sockets) {
      if (resetsConnections) socket.resetAndDestroy();
      else socket.end();
    }
    await closed;
  };
  return {
    port: (server.address() as AddressInfo).port,
    countAcceptedConnections: () => connections,
    crash,
    async [Symbol.asyncDispose]() {
      for (const socket of sockets) socket.destroy();
      await new Promise<void>((resolve) => server.close(() => resolve()));
    },
  };
}
