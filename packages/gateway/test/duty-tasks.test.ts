import { expect, test } from 'vitest';
import type { DutyCalls } from '../src';
import { sendRequest, startTestGateway, waitUntil } from './gateway-fixture';

const CALLS: DutyCalls = {
  reportUsage: () => Promise.resolve({ kind: 'accepted' }),
  orderServers: () => Promise.resolve({ kind: 'accepted' }),
};
const SETTINGS = { address: '127.0.0.1:1', names: [], callsPerSecond: 50, leaseMs: 200 };

async function readMetric(port: number, name: string): Promise<number> {
  const { body } = await sendRequest(port, '/metrics', { method: 'GET' });
  const line = body.split('\n').find((text) => text.startsWith(`${name} `));
  return Number(line?.split(' ')[1]);
}

test('a gateway takes the lease, shows it, and releases it at the start of its drain', async () => {
  await using running = await startTestGateway({
    drainLimitSeconds: 1,
    duties: { calls: CALLS, kinds: ['server-orders'], settings: SETTINGS },
  });
  const readLease = () => running.store.readObject('duties', 'platform');
  await waitUntil(() =>
    running.lines.some(({ message }) => message === 'this instance holds the duties'),
  );
  expect(await readMetric(running.metricsPort, 'pollendrum_duty_holder')).toBe(1);
  expect(await readMetric(running.metricsPort, 'pollendrum_duty_token')).toBeGreaterThan(0);
  const drained = running.gateway.drain();
  await waitUntil(() =>
    running.lines.some(({ message }) => message === 'this instance no longer holds the duties'),
  );
  await drained;
  expect((await readLease()).object?.spec).toMatchObject({ owner: 'entry-1', isReleased: true });
});

test.each([
  ['the platform asks for no duty', { calls: CALLS, kinds: [], settings: SETTINGS }],
  ['there are no settings of duties', undefined],
])('a gateway writes no lease when %s', async (_, duties) => {
  await using running = await startTestGateway(duties === undefined ? {} : { duties });
  await waitUntil(() => running.store.listNames('instances').length === 1);
  await new Promise((resolve) => setTimeout(resolve, 3 * SETTINGS.leaseMs));
  expect(running.store.listNames('duties')).toEqual([]);
});
