import { expect, test } from 'vitest';
import { runSmoke } from '../src/smoke/run';

// Guards against a smoke run that reports a whole result without answers, or counts a repeated order as two.
test('a small smoke run is whole and runs each order once', async () => {
  const size = { instances: 2, engines: 1, chats: 12, orders: 8, repeatedOrders: 4 };
  const result = await runSmoke({ ...size, concurrency: 4 });
  expect(result).toMatchObject({
    isWhole: true,
    chats: { sent: 12, answered: 12, mismatched: 0 },
    directChats: { answered: 12 },
    orders: { sent: 12, keys: 8, keysByRuns: { '1': 8 } },
  });
  expect(result.chats.tokens).toBeGreaterThan(12);
});
