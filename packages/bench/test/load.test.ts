import { createServer } from 'node:http';
import type { AddressInfo } from 'node:net';
import { createEngine, createService } from '@pollendrum/stand-ins';
import type { StandIn } from '@pollendrum/stand-ins';
import { describe, expect, test } from 'vitest';
import { runLoad } from '../src/load/load';
import type { LoadPacing } from '../src/load/options';

function makeUrl(standIn: StandIn): string {
  return `http://${standIn.address}:${standIn.port.toString()}`;
}

const CLOSED: LoadPacing = { kind: 'closed', concurrency: 4 };

describe('chat load', () => {
  // Guards against senders that stop early, count wrongly or report failures for good answers.
  test.each<LoadPacing>([CLOSED, { kind: 'open', requestsPerSecond: 40 }])(
    '%j verifies each answer',
    async (pacing) => {
      await using engine = await createEngine({ tokensPerSecond: 400 });
      const baseUrl = makeUrl(engine);
      const result = await runLoad({ baseUrl, pacing, durationMs: 500, maxTokens: 20 });
      expect(result).toMatchObject({ mismatched: 0, failed: [] });
      expect(result.answered).toBeGreaterThan(5);
      expect(engine.getCounts().completed).toBe(result.answered);
      expect(result.tokens).toBe(engine.getCounts().generatedTokens);
      expect(result.firstTokenMs.count).toBe(result.sent);
      expect(result.tokenGapMs.count).toBe(result.tokens - result.sent);
    },
  );

  // Guards against a check that accepts a wrong, short or unfinished answer.
  test.each([
    ['a wrong answer', 'data: {"choices":[{"delta":{"content":"x"}}]}\n\ndata: [DONE]\n\n', []],
    ['no end', 'data: {"choices":[{"delta":{"content":"x"}}]}\n\n', ['incomplete_stream']],
    ['an error event', 'data: {"error":{"code":"server_crashed"}}\n\n', ['server_crashed']],
  ])('%s is not counted as answered', async (_name, body, codes) => {
    const server = createServer((request, response) => {
      request.resume().once('end', () => response.end(body));
    });
    await new Promise<void>((resolve) => server.listen(0, '127.0.0.1', resolve));
    const { port } = server.address() as AddressInfo;
    const baseUrl = `http://127.0.0.1:${port.toString()}`;
    const result = await runLoad({ baseUrl, pacing: CLOSED, durationMs: 50 });
    server.close();
    expect(result.answered).toBe(0);
    expect(result.failed.map((failure) => failure.code)).toEqual(codes);
    expect(result.mismatched).toBe(codes.length === 0 ? result.sent : 0);
  });

  // Guards against failures that cannot be told apart by status and code.
  test('refusals are counted by status and code', async () => {
    await using engine = await createEngine();
    engine.applyFaults({ draining: true });
    const result = await runLoad({ baseUrl: makeUrl(engine), pacing: CLOSED, durationMs: 50 });
    const count = result.sent;
    expect(result.failed).toEqual([{ request: 'chat', status: 503, code: 'draining', count }]);
  });
});

// Guards against idempotency keys that repeat and against confirmations of other orders.
test('orders run once each under unique keys', async () => {
  await using service = await createService({ workMs: 1 });
  const baseUrl = makeUrl(service);
  const result = await runLoad({ baseUrl, pacing: CLOSED, durationMs: 200, orderPercent: 100 });
  const { runsByKey } = service.getOrderLog();
  expect(result).toMatchObject({ mismatched: 0, failed: [], answered: result.sent });
  expect(Object.keys(runsByKey).sort()).toEqual(result.orders.map((o) => o.idempotencyKey).sort());
  expect(new Set(Object.values(runsByKey))).toEqual(new Set([1]));
});
