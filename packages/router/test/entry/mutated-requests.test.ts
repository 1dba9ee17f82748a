import { createServer as createHttpServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import fc from 'fast-check';
import { expect, test } from 'vitest';
import {
  chatBody,
  createHarness,
  createServer,
  TEAM_KEY,
  silentTelemetry,
  waitUntil,
} from './fakes';
import { sendRaw } from './raw-caller';

const SEED = 20261204;
const RUNS = 150;
const QUIET_MS = 60;

const body = JSON.stringify(chatBody);
const chatRequest = `POST /v1/chat/completions HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${TEAM_KEY}\r\nContent-Length: ${body.length}\r\n\r\n${body}`;
const serviceRequest = `POST /services/orders/place HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer ${TEAM_KEY}\r\nIdempotency-Key: k\r\nContent-Length: 2\r\n\r\n{}`;

const mutation = fc.record({
  at: fc.double({ min: 0, max: 1, noNaN: true }),
  removed: fc.integer({ min: 0, max: 30 }),
  text: fc.oneof(
    fc.string({ maxLength: 20 }),
    fc.constantFrom('\r\n', '\r\n\r\n', '\0', '%', '"', '{', 'Content-Length: 9\r\n', chatRequest),
  ),
});

function applyMutation(
  text: string,
  { at, removed, text: added }: { at: number; removed: number; text: string },
) {
  const offset = Math.floor(at * text.length);
  return text.slice(0, offset) + added + text.slice(offset + removed);
}

/** Starts a backend server that responds to chats with one chunk and to other calls with text, for any body. */
async function startBackend(): Promise<AsyncDisposable & { port: number }> {
  const server = createHttpServer((request, response) => {
    request.resume().once('end', () => {
      if (request.url !== '/v1/chat/completions') response.end('ok');
      else response.end('data: {"choices":[{"delta":{"content":"w"}}]}\n\ndata: [DONE]\n\n');
    });
  });
  await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
  const dispose = async () => {
    server.closeAllConnections();
    await new Promise((resolve) => server.close(resolve));
  };
  return { port: (server.address() as AddressInfo).port, [Symbol.asyncDispose]: dispose };
}

// Guards against requests that crash the process, get two outcome records or none, or never end.
test('mutated requests end with one record each', async () => {
  await using backend = await startBackend();
  let started = 0;
  const startRequestSpan: typeof silentTelemetry.trace.startRequestSpan = (...args) => {
    started += 1;
    return silentTelemetry.trace.startRequestSpan(...args);
  };
  const telemetry = { ...silentTelemetry, trace: { startRequestSpan } };
  await using harness = await createHarness([createServer('s', backend.port)], { telemetry });
  const { records } = harness.outcomes;
  const base = fc.constantFrom(chatRequest, serviceRequest, chatRequest + chatRequest);
  const mutations = fc.array(mutation, { maxLength: 4 });
  await fc.assert(
    fc.asyncProperty(base, mutations, async (text, list) => {
      const response = await sendRaw(
        harness.entry.port,
        [list.reduce(applyMutation, text)],
        QUIET_MS,
      );
      await waitUntil(() => harness.entry.countInFlight() === 0);
      expect(records.length).toBe(started);
      expect(records.filter(({ cause }) => cause?.kind === 'internal')).toEqual([]);
      if (response !== '') expect(response).toMatch(/^HTTP\/1\.1 \d{3} /);
    }),
    { seed: SEED, numRuns: RUNS },
  );
  expect(new Set(records).size).toBe(records.length);
  expect(started).toBeGreaterThan(RUNS / 4);
  expect((await fetch(`${harness.url}/livez`)).status).toBe(200);
}, 60_000);
