import { setTimeout as sleep } from 'node:timers/promises';
import { expect, test } from 'vitest';
import { KeyFreshness } from '../src/key-freshness';
import { KindWatcher } from '../src/kind-watcher';
import { REMOVAL_GRACE_MS, ServerRegistry } from '../src/server-registry';
import type { ServerChange } from '../src/server-registry';
import { FakeStore } from './fake-store';
import type { StoreMode } from './fake-store';
import { createTestLog, makeServer, waitUntil } from './gateway-fixture';
import type { LogLine } from './gateway-fixture';

/** Name of an object whose change the watcher's owner cannot apply. */
const BROKEN_NAME = 'broken';

interface WatcherFixture {
  watcher: KindWatcher;
  names: Set<string>;
  syncTimes: number[];
  lines: LogLine[];
  outages: number[];
}

function startWatcher(store: FakeStore): WatcherFixture {
  const names = new Set<string>();
  const syncTimes: number[] = [];
  const lines: LogLine[] = [];
  const outages: number[] = [];
  const watcher = new KindWatcher({
    store,
    kind: 'things',
    log: createTestLog(lines),
    clock: () => performance.now(),
    waitMs: 50,
    onListing: ({ objects }) => {
      names.clear();
      for (const { name } of objects) names.add(name);
    },
    onChange: (change) => {
      if (change.kind === 'put' && change.object.name === BROKEN_NAME) throw new Error('broken');
      if (change.kind === 'put') names.add(change.object.name);
      else names.delete(change.name);
    },
    onSync: (syncedAtMs) => syncTimes.push(syncedAtMs),
    onOutage: (untilMs) => outages.push(untilMs),
  });
  watcher.start();
  return { watcher, names, syncTimes, lines, outages };
}

test('a watcher lists existing objects and receives changes', async () => {
  const store = new FakeStore();
  store.put('things', 'a', {});
  const watched = startWatcher(store);
  await using _ = watched.watcher;
  await waitUntil(() => watched.names.has('a'));
  store.put('things', 'b', {});
  store.remove('things', 'a');
  await waitUntil(() => watched.names.has('b') && !watched.names.has('a'));
});

// Guards against changes that are lost since one before them in the same response could not be applied.
test('a change that cannot be applied does not keep back the others', async () => {
  const store = new FakeStore();
  const watched = startWatcher(store);
  await using _ = watched.watcher;
  await waitUntil(() => watched.syncTimes.length > 0);
  store.put('things', BROKEN_NAME, {});
  store.put('things', 'b', {});
  await waitUntil(() => watched.names.has('b'));
  expect(watched.lines.map(({ message }) => message)).not.toContain('store lost');
});

test('a watcher lists the objects again when the change history is lost', async () => {
  const store = new FakeStore();
  store.put('things', 'a', {});
  const watched = startWatcher(store);
  await using _ = watched.watcher;
  await waitUntil(() => watched.names.has('a'));
  // Guards against a server whose removal is lost with the history and that then gets requests forever.
  store.removeWithoutChange('things', 'a');
  store.mode = 'history-lost';
  await waitUntil(() => !watched.names.has('a'));
  expect(store.listCalls).toBe(2);
});

test.each<{ mode: StoreMode }>([{ mode: 'failing' }])(
  'during an outage of a $mode store no sync is recorded, and its loss and return are logged once each',
  async ({ mode }) => {
    const store = new FakeStore();
    const watched = startWatcher(store);
    await using _ = watched.watcher;
    await waitUntil(() => watched.syncTimes.length > 0);
    const failedFromMs = performance.now();
    store.mode = mode;
    await waitUntil(() => watched.lines.some(({ message }) => message === 'store lost'));
    // Guards against keys that count as up to date while the store fails.
    const syncCountBefore = watched.syncTimes.length;
    await sleep(100);
    expect(watched.syncTimes.length).toBe(syncCountBefore);
    const returnedAtMs = performance.now();
    store.mode = 'up';
    store.put('things', 'c', {});
    await waitUntil(() => watched.names.has('c'));
    expect(watched.outages.length).toBeGreaterThan(0);
    // A call that failed may have begun before the outage, by its wait at most.
    const lastOutageMs = Math.max(...watched.outages);
    expect(lastOutageMs).toBeGreaterThan(failedFromMs - 60);
    expect(lastOutageMs).toBeLessThanOrEqual(returnedAtMs);
    const messages = watched.lines.map(({ message }) => message);
    expect(messages.filter((message) => message === 'store lost')).toHaveLength(1);
    expect(messages.filter((message) => message === 'store regained')).toHaveLength(1);
  },
);

test('a delayed response counts as a sync only up to the end of its wait', async () => {
  const store = new FakeStore();
  const watched = startWatcher(store);
  await using _ = watched.watcher;
  await sleep(60);
  // Guards against a response that was written before an outage, arrives after it and counts as up to date.
  store.mode = 'silent';
  await sleep(500);
  store.mode = 'up';
  const recoveredAtMs = performance.now();
  await sleep(20);
  const syncTimes = watched.syncTimes.filter((syncedAtMs) => syncedAtMs > recoveredAtMs - 400);
  expect(syncTimes.every((syncedAtMs) => syncedAtMs >= recoveredAtMs - 5)).toBe(true);
});

test.each([
  { name: 'synced just now', isStrict: true, ageMs: 100, expected: true },
  { name: 'synced just within the limit', isStrict: true, ageMs: 3_700, expected: true },
  // Guards against accepting a key that was revoked while the store was unreachable.
  { name: 'synced too long ago', isStrict: true, ageMs: 3_800, expected: false },
  {
    name: 'synced long ago but without strict revocation',
    isStrict: false,
    ageMs: 60_000,
    expected: true,
  },
  { name: 'never synced', isStrict: false, ageMs: Infinity, expected: false },
])('keys $name are fresh: $expected', ({ isStrict, ageMs, expected }) => {
  const freshness = new KeyFreshness({ isKeyRevocationStrict: isStrict, keyRevocationMs: 5_000 });
  if (ageMs < Infinity) freshness.recordSync(1_000);
  expect(freshness.isFresh(1_000 + ageMs)).toBe(expected);
});

test('an earlier sync does not replace a later one', () => {
  const freshness = new KeyFreshness({ isKeyRevocationStrict: true, keyRevocationMs: 5_000 });
  freshness.recordSync(10_000);
  freshness.recordSync(5_000);
  expect(freshness.getAgeMs(11_000)).toBe(1_000);
});

function createRegistry() {
  const changes: ServerChange[] = [];
  const registry = new ServerRegistry((change) => changes.push(change));
  return { registry, changes };
}

test('a server is removed at once while the store is reachable', () => {
  const { registry } = createRegistry();
  registry.put(makeServer('a', 'desk', 1));
  registry.remove('a', 1_000);
  expect(registry.listReady('desk')).toEqual([]);
});

test('a draining server stays registered but is not ready', () => {
  const { registry } = createRegistry();
  registry.put({ ...makeServer('a', 'desk', 1), state: 'draining' });
  expect(registry.listReady('desk')).toEqual([]);
  expect(registry.get('a')).toBeDefined();
});

// Guards against requests whose cost grows with the number of all servers.
test('the ready servers are selected once between two changes', () => {
  const { registry } = createRegistry();
  registry.put(makeServer('a', 'desk', 1));
  const selected = registry.listReady('desk');
  expect(registry.listReady('desk')).toBe(selected);
  registry.put(makeServer('b', 'desk', 2));
  expect(registry.listReady('desk')).toHaveLength(2);
  registry.remove('a', 1_000);
  expect(registry.listReady('desk').map(({ serverId }) => serverId)).toEqual(['b']);
});

test('servers whose entries expired during an outage of the store are kept for a grace period', () => {
  const { registry } = createRegistry();
  registry.put(makeServer('a', 'desk', 1));
  registry.put(makeServer('b', 'desk', 2));
  registry.recordOutage(1_000);
  // Guards against an instance that knows no backend server after an outage of the store.
  registry.replaceAll([], 1_100, { era: 0, revision: 1 });
  expect(registry.listReady('desk')).toHaveLength(2);
  registry.put(makeServer('a', 'desk', 1));
  registry.applyDeferredRemovals(1_000 + REMOVAL_GRACE_MS);
  expect(registry.listReady('desk').map(({ serverId }) => serverId)).toEqual(['a']);
});

test('a draining server is removed at once after an outage of the store', () => {
  const { registry } = createRegistry();
  registry.put({ ...makeServer('a', 'desk', 1), state: 'draining' });
  registry.recordOutage(1_000);
  registry.remove('a', 1_100);
  expect(registry.count()).toBe(0);
});

test('a restart under the same id is distinguished from a changed entry', () => {
  const { registry, changes } = createRegistry();
  registry.put(makeServer('a', 'desk', 1));
  registry.put({ ...makeServer('a', 'desk', 1), slots: 4 });
  registry.put({ ...makeServer('a', 'desk', 1), startedAtUnixMs: 2 });
  expect(changes.map((change) => change.kind === 'changed' && change.isRestarted)).toEqual([
    false,
    false,
    true,
  ]);
});
