import { connect, createServer, type Server, type Socket } from 'node:net';
import {
  connect as connectTls,
  createServer as createTlsServer,
  Server as TlsServer,
} from 'node:tls';
import { once } from 'node:events';

/** Mutual TLS in PEM: both sides present a certificate that an authority in `ca` has signed. */
export interface LinkTls {
  certificate: string;
  key: string;
  ca: string;
}

/**
 * Opens a server that accepts links.
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

/** Opens a socket; `handleOpen` is called when the link handshake can start. */
export function connectSocket(
  address: string,
  port: number,
  tls: LinkTls | undefined,
  handleOpen: () => void,
): Socket {
  if (tls === undefined) return connect({ host: address, port }, handleOpen);
  // Certificates do not name hosts: the proof in the hello authenticates the instance id.
  const checkServerIdentity = () => undefined;
  const { certificate: cert, key, ca } = tls;
  return connectTls({ host: address, port, cert, key, ca, checkServerIdentity }, handleOpen);
}

/** Replaces the certificate and keys for new connections; open links keep their previous keys. */
export function updateServerTls(server: Server, tls: LinkTls): void {
  const { certificate: cert, key, ca } = tls;
  if (server instanceof TlsServer) server.setSecureContext({ cert, key, ca });
}

function openTlsServer(tls: LinkTls, acceptSocket: (socket: Socket) => void): Server {
  const { certificate: cert, key, ca } = tls;
  const options = { cert, key, ca, requestCert: true, rejectUnauthorized: true };
  const server = createTlsServer(options, acceptSocket);
  // A failed TLS handshake of a client must not affect the server.
  server.on('tlsClientError', (_error, socket) => socket.destroy());
  return server;
}
