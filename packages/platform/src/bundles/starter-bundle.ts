import type { Bundle } from '@pollendrum/protocol';

/** Creates a small valid bundle that operators adapt to their deployment. */
export function createStarterBundle(number: number, teamKeySha256: string): Bundle {
  return {
    formatVersion: 1,
    number,
    description: 'First bundle: one class for each tier.',
    classes: [
      {
        name: 'plan',
        tier: 0,
        floorPercent: 10,
        preference: 'attainment',
        targetFirstByteMs: 1300,
        targetTokenGapMs: 66,
        maxQueueMs: 1300,
        maxTotalMs: 120_000,
        retryBudgetPercent: 10,
      },
      {
        name: 'question',
        tier: 1,
        floorPercent: 10,
        preference: 'attainment',
        targetFirstByteMs: 1300,
        targetTokenGapMs: 66,
        maxQueueMs: 1300,
        maxTotalMs: 30_000,
        retryBudgetPercent: 10,
      },
      {
        name: 'order',
        tier: 1,
        floorPercent: 10,
        preference: 'goodput',
        targetFirstByteMs: 1000,
        maxQueueMs: 5000,
        maxTotalMs: 15_000,
        retryBudgetPercent: 10,
      },
    ],
    teams: [
      {
        name: 'sample',
        keySha256: [teamKeySha256],
        classes: ['question', 'plan', 'order'],
        weight: 1,
      },
    ],
    models: [{ name: 'advisor', pool: 'advisor' }],
    services: [
      {
        name: 'orders',
        pool: 'orders',
        routes: [
          { method: 'POST', pathPrefix: '/orders', isIdempotent: false },
          { method: 'GET', pathPrefix: '/stock', isIdempotent: true },
        ],
      },
    ],
  };
}
