import { createServer } from 'node:http';
import type { ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { expect, test } from 'vitest';
import { EngineClient, ServerPools, streamAttempt, TokenMeter } from '../../src/backend';
import type { AttemptResult } from '../../src/backend';

const PART = Buffer.alloc(65_536, 'a');
const CHUNK = JSON.stringify({ choices: [{ delta: { content: 'word' } }] });
const EVENTS = Buffer.from(`data: ${CHUNK}\n\n`.repeat(1_000));
/** Bytes after which the engine stops sending, and those that it may send before it is broken off. */
const SENT_BYTES = 256 * 2 ** 20;
const ALLOWED_BYTES = 64 * 2 ** 20;
const TIMEOUT_MS = 60_000;

interface EndlessCase {
  name: string;
  /** What the engine sends without end to a new stream, and in the status of a stream. */
  stream: { status: number; headers: Record<string, string>; part: Buffer };
  streamStatus: 'unknown' | 'endless';
  expected: AttemptResult['kind'];
}

const EVENT_STREAM = { 'content-type': 'text/event-stream' };

const endlessCases: EndlessCase[] = [
  {
    ...{ name: 'an error body', streamStatus: 'unknown', expected: 'error-status' },
    stream: { status: 500, headers: {}, part: PART },
  },
  {
    ...{ name: 'one event', streamStatus: 'unknown', expected: 'lost' },
    stream: { status: 200, headers: EVENT_STREAM, part: PART },
  },
  {
    ...{ name: 'chunks without a last one', streamStatus: 'unknown', expected: 'lost' },
    stream: { status: 200, headers: EVENT_STREAM, part: EVENTS },
  },
  {
    ...{ name: 'the status of a stream', streamStatus: 'endless', expected: 'crashed' },
    stream: { status: 200, headers: EVENT_STREAM, part: PART },
  },
];

async function startEndlessEngine({ stream, streamStatus }: EndlessCase) {
  let sentBytes = 0;
  const send = (response: ServerResponse, part: Buffer) => {
    if (response.destroyed || sentBytes >= SENT_BYTES) return;
    sentBytes += part.length;
    response.write(part, () => {
      send(response, part);
    });
  };
  const server = createServer((request, response) => {
    request.resume();
    if (request.url?.endsWith('/status')) {
      if (streamStatus === 'unknown') response.writeHead(404).end();
      else send(response, PART);
      return;
    }
    response.writeHead(stream.status, stream.headers);
    send(response, stream.part);
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  return {
    port: (server.address() as AddressInfo).port,
    countSentBytes: () => sentBytes,
    async [Symbol.asyncDispose]() {
      server.closeAllConnections();
      await new Promise<void>((resolve) => server.close(() => resolve()));
    },
  };
}

// Guards against engines whose answers have no end and are kept until the memory is used up.
test.each(endlessCases)(
  'an engine without end is broken off: $name',
  async (endlessCase) => {
    await using engine = await startEndlessEngine(endlessCase);
    await using pools = new ServerPools();
    const result = await streamAttempt({
      ...{ engine: new EngineClient(pools), server: { address: '127.0.0.1', port: engine.port } },
      ...{ attemptId: 'a-1', completionId: 'c-1', body: '{}', headers: {}, delivered: [] },
      sink: { writeChunk: () => true, waitDrain: () => Promise.resolve() },
      meter: new TokenMeter(performance.now()),
      signal: AbortSignal.timeout(TIMEOUT_MS / 2),
    });
    expect(result.kind).toBe(endlessCase.expected);
    if (result.kind === 'error-status') expect(result.body.length).toBe(65_536);
    expect(engine.countSentBytes()).toBeLessThan(ALLOWED_BYTES);
  },
  TIMEOUT_MS,
);
