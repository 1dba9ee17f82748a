import { connect } from 'node:net';
import { afterEach, beforeEach, expect, test } from 'vitest';
import { FakeEngine } from '../backend/fake-engine';
import { chatBody, createHarness, createServer, TEAM_KEY, waitUntil } from './fakes';
import type { Harness } from './fakes';

let engine: FakeEngine;
let harness: Harness;

beforeEach(async () => {
  engine = new FakeEngine();
  harness = await createHarness([createServer('engine-1', await engine.start())]);
});

afterEach(async () => {
  await harness[Symbol.asyncDispose]();
  await engine[Symbol.asyncDispose]();
});

// Guards against unbounded buffers and against slots held by callers that stopped reading.
test('a caller that does not read is disconnected, and backpressure reaches the engine', async () => {
  const wordBytes = 65_536;
  engine.behaviour = { words: Array<string>(1_000).fill('x'.repeat(wordBytes)), gapMs: 0 };
  const body = JSON.stringify({ ...chatBody, stream: true });
  const socket = connect(harness.entry.port, '127.0.0.1', () => {
    const head = `POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${TEAM_KEY}\r\n`;
    socket.write(`${head}Content-Length: ${body.length}\r\n\r\n${body}`);
  });
  socket.on('error', () => undefined);
  socket.pause();
  await waitUntil(() => harness.outcomes.records.length > 0, 8_000);
  socket.destroy();
  const [record] = harness.outcomes.records;
  expect(record).toMatchObject({ outcome: 'cancelled', cause: { kind: 'caller-slow' } });
  expect(record?.outputTokens).toBeLessThan(500);
  await waitUntil(() => engine.cancelled.length === 1);
  expect(harness.peers.listFinishResults()).toEqual(['cancelled']);
});

// Guards against truncated or reordered streams for slow readers.
test('a caller that pauses and resumes reading gets the complete stream', async () => {
  const words = Array.from({ length: 300 }, (_, index) => `${index}${'y'.repeat(20_000)};`);
  engine.behaviour = { words, gapMs: 0 };
  const response = await fetch(`${harness.url}/v1/chat/completions`, {
    method: 'POST',
    headers: { authorization: `Bearer ${TEAM_KEY}` },
    body: JSON.stringify({ ...chatBody, stream: true }),
  });
  await new Promise((resolve) => setTimeout(resolve, 600));
  const text = await response.text();
  const order = [...text.matchAll(/"content":"(\d+)y/g)].map((match) => Number(match[1]));
  expect(order).toEqual(words.map((_, index) => index));
});
