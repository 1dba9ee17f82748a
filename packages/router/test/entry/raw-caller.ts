import { connect } from 'node:net';
import type { Socket } from 'node:net';

/** A parsed response from a raw connection. */
export interface RawResponse {
  status: number;
  head: string;
  body: string;
}

/** Time limit for the first byte of a response on a busy machine, in milliseconds. */
const FIRST_BYTE_LIMIT_MS = 2_000;

/**
 * Writes to a new connection and returns all data that arrives until the connection is closed, or until no
 * more data has arrived for `quietMs`.
 */
export async function sendRaw(
  port: number,
  parts: readonly string[],
  quietMs = 150,
): Promise<string> {
  return await new Promise<string>((resolve) => {
    let received = '';
    const socket: Socket = connect(port, '127.0.0.1', () => {
      for (const part of parts) socket.write(part, 'latin1');
    });
    const endConnection = () => {
      socket.destroy();
    };
    let timer = setTimeout(endConnection, Math.max(quietMs, FIRST_BYTE_LIMIT_MS));
    socket.on('data', (part) => {
      clearTimeout(timer);
      timer = setTimeout(endConnection, quietMs);
      received += part.toString();
    });
    socket.on('error', () => undefined);
    socket.on('close', () => {
      clearTimeout(timer);
      resolve(received);
    });
  });
}

/** Parses the first response; its body ends after Content-Length bytes. */
export function parseResponse(text: string): RawResponse {
  const [head = '', ...rest] = text.replace(/^HTTP\/1.1 100 [^]*?\r\n\r\n/, '').split('\r\n\r\n');
  const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
  const body = rest.join('\r\n\r\n').slice(0, length);
  return { status: Number(head.split(' ')[1]), head, body };
}
