import { connect, createServer, type Server, type Socket } from 'node:net';
import {
  connect as connectTls,
  createServer as createTlsServer,
  Server as TlsServer,
} from 'node:tls';
import { once } from 'node:events';

/** PEM texts. Both sides present a certificate that the authorities in `ca` signed. */
export interface LinkTls {
  certificate: string;
  key: string;
  ca: string;
}

/**
 * Listens for links.
 * @throws Error with code EADDRINUSE when the port is taken.
 */
export async function openServer(
  address: string,
  port: number,
  tls: LinkTls | undefined,
  acceptSocket: (socket: Socket) => void,
): Promise<Server> {
  const server = tls === undefined ? createServer(acceptSocket) : openTlsServer(tls, acceptSocket);
  server.listen(port, address);
  await once(server, 'listening');
  return server;
}

/** Opens a socket; `handleOpen` runs when it can carry the handshake. */
export function connectSocket(
  address: string,
  port: number,
  tls: LinkTls | undefined,
  handleOpen: () => void,
): Socket {
  if (tls === undefined) return connect({ host: address, port }, handleOpen);
  // Instances are named by id, not by host; the proof in the hello shows which instance this is.
  const checkServerIdentity = () => undefined;
  const { certificate: cert, key, ca } = tls;
  return connectTls({ host: address, port, cert, key, ca, checkServerIdentity }, handleOpen);
}

/** New connections use the keys; open links go on with the keys they began with. */
export function updateServerTls(server: Server, tls: LinkTls): void {
  const { certificate: cert, key, ca } = tls;
  if (server instanceof TlsServer) server.setSecureContext({ cert, key, ca });
}

function openTlsServer(tls: LinkTls, acceptSocket: (socket: Socket) => void): Server {
  const { certificate: cert, key, ca } = tls;
  const options = { cert, key, ca, requestCert: true, rejectUnauthorized: true };
  const server = createTlsServer(options, acceptSocket);
  // A client that fails the TLS handshake is no fault of the server.
  server.on('tlsClientError', (_error, socket) => socket.destroy());
  return server;
}
