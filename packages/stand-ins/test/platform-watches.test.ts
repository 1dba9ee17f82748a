import { afterEach, beforeEach, expect, test } from 'vitest';
import type { InstanceList, ListedInstance } from '@pollendrum/protocol';
import { createPlatform } from '../src/index';
import type { PlatformStandIn } from '../src/index';
import { sendCall, waitUntil } from './support';

let platform: PlatformStandIn;
beforeEach(async () => {
  platform = await createPlatform();
});
afterEach(async () => {
  await platform[Symbol.asyncDispose]();
});

const ENGINE: ListedInstance = {
  id: 'e1',
  role: 'engine',
  address: '127.0.0.1',
  port: 1,
  failureDomain: 'd1',
  region: 'r1',
  state: 'live',
};

async function startWatch(path: string): Promise<{ answer: Promise<Response>; startedMs: number }> {
  const { watches } = platform.getCounts();
  const answer = sendCall(platform, 'GET', path);
  await waitUntil(() => platform.getCounts().watches === watches + 1);
  return { answer, startedMs: Date.now() };
}

// Guards against a watch that misses a change, answers too early or returns an old value.
test.each([
  ['an object that changes', '/objects/k?after=1&holdMs=5000', { 'If-Match': '"1"' }, 200, '"2"'],
  [
    'an object that is created',
    '/objects/n?after=0&holdMs=5000',
    { 'If-None-Match': '*' },
    200,
    '"1"',
  ],
  ['an object that stays', '/objects/k?after=1&holdMs=60', undefined, 304, '"1"'],
  ['an object newer than asked for', '/objects/k?after=0&holdMs=5000', undefined, 200, '"1"'],
  ['an absent object', '/objects/n?after=0&holdMs=60', undefined, 304, '"0"'],
  ['the list that stays', '/instances?after=1&holdMs=60', undefined, 304, '"1"'],
])('a watch of %s', async (_name, path, writeHeaders, status, etag) => {
  await sendCall(platform, 'PUT', '/objects/k', 'first', { 'If-None-Match': '*' });
  const { answer } = await startWatch(path);
  if (writeHeaders) await sendCall(platform, 'PUT', path.split('?')[0] ?? '', 'next', writeHeaders);
  const response = await answer;
  expect([response.status, response.headers.get('etag')]).toEqual([status, etag]);
});

// Guards against a deleted object that a watcher keeps believing in.
test('a watch of an object that is deleted', async () => {
  await sendCall(platform, 'PUT', '/objects/k', 'first', { 'If-None-Match': '*' });
  const { answer } = await startWatch('/objects/k?after=1&holdMs=5000');
  await sendCall(platform, 'DELETE', '/objects/k', undefined, { 'If-Match': '"1"' });
  expect((await answer).status).toBe(404);
});

// Guards against a list that changes without a higher version, or that wakes no watcher.
test('the list version rises with each change and wakes watches', async () => {
  const { answer } = await startWatch('/instances?after=1&holdMs=5000');
  await sendCall(platform, 'PUT', '/admin/instances/e1', ENGINE);
  expect(await (await answer).json()).toEqual({ version: 2, instances: [ENGINE] });
  await sendCall(platform, 'PUT', '/admin/instances/e1', { ...ENGINE, state: 'leaving' });
  await sendCall(platform, 'DELETE', '/admin/instances/e1');
  const list = (await (await sendCall(platform, 'GET', '/instances')).json()) as InstanceList;
  expect(list).toEqual({ version: 4, instances: [] });
});

// Guards against an entry that the schema of the list does not allow.
test.each([
  ['address, port, failureDomain, region, state', { role: 'engine' }],
  ['role', { ...ENGINE, role: 'database' }],
  ['slots', { ...ENGINE, slots: 0 }],
  ['zone', { ...ENGINE, zone: 'z1' }],
])('an entry with bad fields (%s) is refused', async (fields, entry) => {
  const response = await sendCall(platform, 'PUT', '/admin/instances/e1', entry);
  expect(response.status).toBe(400);
  expect(await response.text()).toContain(`bad fields: ${fields}"`);
});
