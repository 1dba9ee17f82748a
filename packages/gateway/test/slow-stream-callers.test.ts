import { request } from 'node:http';
import type { IncomingMessage } from 'node:http';
import { setTimeout as sleep } from 'node:timers/promises';
import { expect, test } from 'vitest';
import type { RawHandler } from './raw-backend';
import {
  READ_WAIT_MS,
  ID,
  EVENT_STREAM,
  CHUNKED,
  encodeChunk,
  createStream,
  startCase,
} from './stream-cases';

const LARGE_EVENT_COUNT = 96;
const LARGE_EVENT_BYTES = 256 * 1_024;
/** Longer than the time without data after which a stream is resumed at another server, in milliseconds. */
const READ_PAUSE_MS = 2_500;

function makeLargeEvents(first: number, last: number): string {
  const events: string[] = [];
  for (let id = first; id <= last; id += 1) {
    events.push(`id: ${id}\ndata: ${String(id % 10).repeat(LARGE_EVENT_BYTES)}\n\n`);
  }
  return events.join('');
}

/** Sends a request and does not read the response for `READ_PAUSE_MS` after its head. */
async function readSlowly(port: number): Promise<{ ids: number[]; isComplete: boolean }> {
  const response = await new Promise<IncomingMessage>((resolve, reject) => {
    const headers = {
      host: 'shop.test',
      authorization: 'Bearer key-a',
      'Test-Attempt': 'attempt-1',
    };
    const sent = request(
      { host: '127.0.0.1', port, path: '/plan/1', method: 'POST', agent: false, headers },
      resolve,
    );
    sent.on('error', reject);
    sent.end();
  });
  await sleep(READ_PAUSE_MS);
  const chunks: Buffer[] = [];
  try {
    for await (const chunk of response as AsyncIterable<Buffer>) chunks.push(chunk);
  } catch {
    // The response was truncated.
  }
  const text = Buffer.concat(chunks).toString('latin1');
  const ids = [...text.matchAll(/^id: (\d+)\ndata: (\d)\2*\n\n/gm)].map(([, id]) => Number(id));
  return { ids, isComplete: response.complete };
}

const LARGE_IDS = Array.from({ length: LARGE_EVENT_COUNT }, (_, index) => index + 1);

// Guards against events of a broken attempt that are lost or joined while they wait for the caller.
test('a stream that breaks while its caller does not read keeps the order of its events', async () => {
  const first: RawHandler = (socket) => {
    socket.write(`HTTP/1.1 200 OK\r\n${EVENT_STREAM}${CHUNKED}${ID}test-signature: first\r\n\r\n`);
    socket.write(encodeChunk(makeLargeEvents(1, 8)), () => {
      void sleep(READ_WAIT_MS).then(() => socket.resetAndDestroy());
    });
  };
  const second = createStream((last) => makeLargeEvents(last + 1, LARGE_EVENT_COUNT));
  await using running = await startCase([first, second]);
  const { ids, isComplete } = await readSlowly(running.callerPort);
  expect(ids).toEqual(LARGE_IDS.slice(0, ids.length));
  if (isComplete) expect(ids.length).toBe(LARGE_EVENT_COUNT);
});

// Guards against a stream that is cut off, or sent to further servers, because its caller reads slowly.
test('a caller that does not read for a while does not end its stream', async () => {
  await using running = await startCase([
    createStream((last) => makeLargeEvents(last + 1, LARGE_EVENT_COUNT)),
  ]);
  const { ids, isComplete } = await readSlowly(running.callerPort);
  expect({ ids, isComplete, sendCount: running.countReceived() }).toEqual({
    ids: LARGE_IDS,
    isComplete: true,
    sendCount: 1,
  });
});
