import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerOptions, ServerResponse } from 'node:http';
import { createServer as createTlsServer, Server as TlsServer } from 'node:https';
import type { TlsCredentials } from './entry-options';

type RequestListener = (request: IncomingMessage, response: ServerResponse) => void;

// Node allows 120 s, during which a caller that sends nothing holds a connection.
const TLS_HANDSHAKE_TIMEOUT_MS = 10_000;

/** Creates the server towards callers; with keys it speaks TLS only. */
export function createCallerServer(
  options: ServerOptions,
  tls: TlsCredentials | undefined,
  handleRequest: RequestListener,
): Server | TlsServer {
  if (tls === undefined) return createServer(options, handleRequest);
  const handshakeTimeout = TLS_HANDSHAKE_TIMEOUT_MS;
  // With authorities, only callers that one of them signed get through the handshake.
  const isSignedOnly = tls.ca !== undefined;
  return createTlsServer(
    {
      ...{ ...options, ...toContext(tls), handshakeTimeout },
      ...{ requestCert: isSignedOnly, rejectUnauthorized: isSignedOnly },
    },
    handleRequest,
  );
}

/** New connections use the keys; open ones go on with the keys they began with. */
export function updateServerTls(server: Server | TlsServer, tls: TlsCredentials): void {
  if (server instanceof TlsServer) server.setSecureContext(toContext(tls));
}

function toContext({ certificate: cert, key, ca }: TlsCredentials) {
  return { cert, key, ...(ca === undefined ? {} : { ca }) };
}
