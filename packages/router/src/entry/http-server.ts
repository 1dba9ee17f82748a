import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerOptions, ServerResponse } from 'node:http';
import { createServer as createTlsServer, Server as TlsServer } from 'node:https';
import type { TlsCredentials } from './entry-options';

type RequestListener = (request: IncomingMessage, response: ServerResponse) => void;

// Node's default of 120 s would let a caller that sends nothing hold a connection for that long.
const TLS_HANDSHAKE_TIMEOUT_MS = 10_000;

/** Creates the server for callers; with credentials it accepts only TLS connections. */
export function createCallerServer(
  options: ServerOptions,
  tls: TlsCredentials | undefined,
  handleRequest: RequestListener,
): Server | TlsServer {
  if (tls === undefined) return createServer(options, handleRequest);
  const handshakeTimeout = TLS_HANDSHAKE_TIMEOUT_MS;
  // With certificate authorities, the handshake fails without a client certificate signed by one of them.
  const isClientCertRequired = tls.ca !== undefined;
  return createTlsServer(
    {
      ...{ ...options, ...toSecureContextOptions(tls), handshakeTimeout },
      ...{ requestCert: isClientCertRequired, rejectUnauthorized: isClientCertRequired },
    },
    handleRequest,
  );
}

/** Replaces the credentials for new connections; open connections keep their previous credentials. */
export function updateServerTls(server: Server | TlsServer, tls: TlsCredentials): void {
  if (server instanceof TlsServer) server.setSecureContext(toSecureContextOptions(tls));
}

function toSecureContextOptions({ certificate: cert, key, ca }: TlsCredentials) {
  return { cert, key, ...(ca === undefined ? {} : { ca }) };
}
