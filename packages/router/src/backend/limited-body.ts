import type { Readable } from 'node:stream';

/** Reads a body as text, up to `maxBytes`; a longer one is cut off there and its connection is closed. */
export async function readLimitedText(body: Readable, maxBytes: number): Promise<string> {
  const chunks: Buffer[] = [];
  let size = 0;
  for await (const chunk of body as Readable & AsyncIterable<Buffer>) {
    chunks.push(chunk);
    size += chunk.length;
    if (size >= maxBytes) break;
  }
  return Buffer.concat(chunks).subarray(0, maxBytes).toString();
}
