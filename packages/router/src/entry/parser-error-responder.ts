import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Finding } from '@pollendrum/protocol';

/** An error of Node's `clientError` event: from the HTTP parser, the socket or the TLS handshake. */
export type ClientError = Error & { code?: string };

/**
 * Responds to requests that Node's HTTP parser rejects, unless the caller could take the response for that to
 * another request.
 */
export class ParserErrorResponder {
  readonly #responses = new WeakMap<Socket, Set<ServerResponse>>();
  readonly #findings = new WeakMap<Socket, Finding>();

  /** Tracks a response as open on its connection until it is closed. */
  observeRequest(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const openResponses = this.#responses.get(socket) ?? new Set();
    this.#responses.set(socket, openResponses.add(response));
    response.once('close', () => openResponses.delete(response));
  }

  /** Returns the parser error of a connection as a finding, if there is one. */
  getFinding(socket: Socket): Finding | undefined {
    return this.#findings.get(socket);
  }

  /** Sends an error response if that is safe, and closes the connection. */
  handleError(error: ClientError, socket: Socket): void {
    // After a socket error or a failed TLS handshake the caller cannot read a response.
    const isParserError = /^(HPE_|ERR_HTTP_)/.test(error.code ?? '');
    const finding: Finding = { pointer: '', message: error.message, source: 'request' };
    if (isParserError) this.#findings.set(socket, finding);
    const openResponses = [...(this.#responses.get(socket) ?? [])];
    if (!isParserError || !socket.writable || !isResponseSafe(openResponses)) {
      socket.destroy();
      return;
    }
    const requestId = openResponses[0]?.getHeader('x-request-id');
    socket.end(
      renderResponse(error, finding, typeof requestId === 'string' ? requestId : randomUUID()),
    );
  }
}

// A request whose body is still arriving has not been forwarded, so the error response belongs to it. After a
// complete request, which may be running, the caller would take the error for the response to that request.
function isResponseSafe(open: readonly ServerResponse[]): boolean {
  return open.length <= 1 && open.every(({ headersSent, req }) => !headersSent && !req.complete);
}

function renderResponse(error: ClientError, finding: Finding, requestId: string): string {
  const body = JSON.stringify({
    error: {
      code: 'bad_request',
      message: 'the request could not be read',
      request_id: requestId,
      cause: { kind: 'bad-request', findings: [finding] },
      not_run: true,
    },
  });
  const head = [
    `HTTP/1.1 ${toStatusLine(error.code)}`,
    'Content-Type: application/json',
    `X-Request-Id: ${requestId}`,
    'Connection: close',
    `Content-Length: ${Buffer.byteLength(body)}`,
  ];
  return `${head.join('\r\n')}\r\n\r\n${body}`;
}

function toStatusLine(code: string | undefined): string {
  switch (code) {
    case 'HPE_HEADER_OVERFLOW':
      return '431 Request Header Fields Too Large';
    case 'ERR_HTTP_REQUEST_TIMEOUT':
      return '408 Request Timeout';
    default:
      return '400 Bad Request';
  }
}
