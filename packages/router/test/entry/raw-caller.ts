import { connect } from 'node:net';
import type { Socket } from 'node:net';

/** One parsed answer from a raw connection. */
export interface RawResponse {
  status: number;
  head: string;
  body: string;
}

/** How long the first byte of an answer may take on a busy machine, in milliseconds. */
const FIRST_BYTE_LIMIT_MS = 2_000;

/** Writes text to a new connection and returns all that arrives until it is quiet after that, or closed. */
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

/** Parses the first answer with a content length. */
export function parseResponse(text: string): RawResponse {
  const [head = '', ...rest] = text.replace(/^HTTP\/1.1 100 [^]*?\r\n\r\n/, '').split('\r\n\r\n');
  const length = Number(/content-length: (\d+)/i.exec(head)?.[1] ?? 0);
  const body = rest.join('\r\n\r\n').slice(0, length);
  return { status: Number(head.split(' ')[1]), head, body };
}
