import { afterEach, beforeEach, expect, test } from 'vitest';
import { computeOperatorToken } from '../../src/entry';
import { CLUSTER_KEY, createHarness, TEAM_KEY } from './fakes';
import type { Harness } from './fakes';

let harness: Harness;

beforeEach(async () => {
  harness = await createHarness([], { describeStatus: () => ({ instanceId: 'entry-1' }) });
});

afterEach(async () => {
  await harness[Symbol.asyncDispose]();
});

const operator = { authorization: `Bearer ${computeOperatorToken(CLUSTER_KEY)}` };
const team = { authorization: `Bearer ${TEAM_KEY}` };

// Guards against serving operator data to teams, and against rejecting operators.
test.each([
  { path: '/livez', headers: {}, status: 200, text: 'ok' },
  { path: '/readyz', headers: {}, status: 200, text: '"ready":true' },
  { path: '/v1/models', headers: {}, status: 401, text: 'unauthorized' },
  { path: '/v1/models', headers: team, status: 200, text: '"id":"facet"' },
  { path: '/admin/status', headers: {}, status: 401, text: 'unauthorized' },
  { path: '/admin/status', headers: team, status: 401, text: 'unauthorized' },
  { path: '/admin/status', headers: operator, status: 200, text: 'entry-1' },
  { path: '/admin/outcomes?sinceMs=0', headers: operator, status: 200, text: '"records":[]' },
  { path: '/admin/outcomes?sinceMs=x', headers: operator, status: 400, text: 'sinceMs' },
  { path: '/admin/none', headers: operator, status: 404, text: 'not_found' },
])('GET $path returns $status', async ({ path, headers, status, text }) => {
  const init = { headers: headers as Record<string, string> };
  const response = await fetch(`${harness.url}${path}`, init);
  expect(response.status).toBe(status);
  expect(response.headers.get('x-request-id')).not.toBeNull();
  expect(await response.text()).toContain(text);
});

// Guards against sending traffic to an instance that has no configuration.
test('without a bundle the instance is not ready and rejects requests as not run', async () => {
  harness.bundles.active = undefined;
  const ready = await fetch(`${harness.url}/readyz`);
  expect(ready.status).toBe(503);
  expect(await ready.json()).toEqual({ ready: false, reasons: ['no bundle'] });
  const models = await fetch(`${harness.url}/v1/models`, { headers: team });
  expect(models.status).toBe(503);
  expect(await models.json()).toMatchObject({ error: { code: 'no_bundle', not_run: true } });
});

// Guards against request ids that break log lines, or headers of forwarded requests.
test.each([
  { given: 'a.b-c_1', isKept: true },
  { given: 'x'.repeat(65), isKept: false },
  { given: 'a b', isKept: false },
])('request id $given is kept: $isKept', async ({ given, isKept }) => {
  const headers = { ...team, 'x-request-id': given };
  const response = await fetch(`${harness.url}/v1/models`, { headers });
  expect(response.headers.get('x-request-id') === given).toBe(isKept);
  const path = `/admin/outcomes/${response.headers.get('x-request-id') ?? ''}`;
  const found = await fetch(`${harness.url}${path}`, { headers: operator });
  expect(await found.json()).toMatchObject({ records: [{ outcome: 'answered', status: 200 }] });
});
