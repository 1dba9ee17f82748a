import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { Socket } from 'node:net';
import type { Finding } from '@pollendrum/protocol';

/** An error of Node's HTTP parser or of the TLS handshake. */
export type ClientError = Error & { code?: string };

/** Answers requests that Node's parser refused, when the answer cannot be taken for that of another request. */
export class ParserErrorResponder {
  readonly #responses = new WeakMap<Socket, Set<ServerResponse>>();
  readonly #findings = new WeakMap<Socket, Finding>();

  /** Remembers a request until its response is closed. */
  observeRequest(request: IncomingMessage, response: ServerResponse): void {
    const { socket } = request;
    const open = this.#responses.get(socket) ?? new Set();
    this.#responses.set(socket, open.add(response));
    response.once('close', () => open.delete(response));
  }

  /** Why the parser refused what arrived on the connection; undefined when it did not. */
  getFinding(socket: Socket): Finding | undefined {
    return this.#findings.get(socket);
  }

  /** Answers and closes the connection, or only closes it. */
  handleError(error: ClientError, socket: Socket): void {
    // Only the parser's errors have a caller that can read an answer; a failed TLS handshake has none.
    const isParserError = /^(HPE_|ERR_HTTP_)/.test(error.code ?? '');
    const finding: Finding = { pointer: '', message: error.message, source: 'request' };
    if (isParserError) this.#findings.set(socket, finding);
    const open = [...(this.#responses.get(socket) ?? [])];
    if (!isParserError || !socket.writable || !isAnswerable(open)) {
      socket.destroy();
      return;
    }
    const requestId = open[0]?.getHeader('x-request-id');
    socket.end(
      renderAnswer(error, finding, typeof requestId === 'string' ? requestId : randomUUID()),
    );
  }
}

// A request whose body is still arriving has not been sent anywhere, so the error is its answer. Next to a
// whole request the error would be read as that request's answer, which may run.
function isAnswerable(open: readonly ServerResponse[]): boolean {
  return open.length <= 1 && open.every(({ headersSent, req }) => !headersSent && !req.complete);
}

function renderAnswer(error: ClientError, finding: Finding, requestId: string): string {
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
