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

interface Watched {
  watcher: KindWatcher;
  names: Set<string>;
  proofs: number[];
  lines: LogLine[];
  regained: () => number;
}

function startWatcher(store: FakeStore): Watched {
  const names = new Set<string>();
  const proofs: number[] = [];
  const lines: LogLine[] = [];
  let regained = 0;
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
      if (change.kind === 'put') names.add(change.object.name);
      else names.delete(change.name);
    },
    onSync: (provenAtMs) => proofs.push(provenAtMs),
    onReconnect: () => (regained += 1),
  });
  watcher.start();
  return { watcher, names, proofs, lines, regained: () => regained };
}

test('a watcher lists what is there and follows changes', async () => {
  const store = new FakeStore();
  store.put('things', 'a', {});
  const watched = startWatcher(store);
  await using _ = watched.watcher;
  await waitUntil(() => watched.names.has('a'));
  store.put('things', 'b', {});
  store.remove('things', 'a');
  await waitUntil(() => watched.names.has('b') && !watched.names.has('a'));
});

test('a watcher lists anew when history is lost', async () => {
  const store = new FakeStore();
  store.put('things', 'a', {});
  const watched = startWatcher(store);
  await using _ = watched.watcher;
  await waitUntil(() => watched.names.has('a'));
  // Guards against a server that leaves in the gap between two histories and gets requests for good.
  store.removeUnheard('things', 'a');
  store.mode = 'history-lost';
  await waitUntil(() => !watched.names.has('a'));
  expect(store.listCalls).toBe(2);
});

test.each<{ mode: StoreMode }>([{ mode: 'failing' }])(
  'a $mode store is reported once as lost and once as regained',
  async ({ mode }) => {
    const store = new FakeStore();
    const watched = startWatcher(store);
    await using _ = watched.watcher;
    await waitUntil(() => watched.proofs.length > 0);
    store.mode = mode;
    await waitUntil(() => watched.lines.some(({ message }) => message === 'store lost'));
    const proofsBefore = watched.proofs.length;
    await sleep(100);
    expect(watched.proofs.length).toBe(proofsBefore);
    store.mode = 'up';
    store.put('things', 'c', {});
    await waitUntil(() => watched.names.has('c'));
    expect(watched.regained()).toBeGreaterThan(0);
    const messages = watched.lines.map(({ message }) => message);
    expect(messages.filter((message) => message === 'store lost')).toHaveLength(1);
    expect(messages.filter((message) => message === 'store regained')).toHaveLength(1);
  },
);

test('an answer that is held up proves contact only up to the end of its wait', async () => {
  const store = new FakeStore();
  const watched = startWatcher(store);
  await using _ = watched.watcher;
  await sleep(60);
  // Guards against an answer written before a cut that arrives after it and passes for fresh.
  store.mode = 'silent';
  await sleep(500);
  store.mode = 'up';
  const heldUpUntilMs = performance.now();
  await sleep(20);
  const proofs = watched.proofs.filter((proof) => proof > heldUpUntilMs - 400);
  expect(proofs.every((proof) => proof >= heldUpUntilMs - 5)).toBe(true);
});

test.each([
  { name: 'just proven', isStrict: true, ageMs: 100, expected: true },
  { name: 'proven within the margin', isStrict: true, ageMs: 3_700, expected: true },
  // Guards against a key that was revoked while the store could not be heard.
  { name: 'proven too long ago', isStrict: true, ageMs: 3_800, expected: false },
  {
    name: 'proven long ago but revocation is not strict',
    isStrict: false,
    ageMs: 60_000,
    expected: true,
  },
  { name: 'never proven', isStrict: false, ageMs: Infinity, expected: false },
])('keys $name are fresh: $expected', ({ isStrict, ageMs, expected }) => {
  const freshness = new KeyFreshness({ isKeyRevocationStrict: isStrict, keyRevocationMs: 5_000 });
  if (ageMs < Infinity) freshness.recordSync(1_000);
  expect(freshness.isFresh(1_000 + ageMs)).toBe(expected);
});

test('an older proof does not replace a newer one', () => {
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

test('a removed server is gone at once while the store is well', () => {
  const { registry } = createRegistry();
  registry.put(makeServer('a', 'desk', 1));
  registry.remove('a', 1_000);
  expect(registry.listReady('desk')).toEqual([]);
});

test('a draining server is listed but takes no new work', () => {
  const { registry } = createRegistry();
  registry.put({ ...makeServer('a', 'desk', 1), state: 'draining' });
  expect(registry.listReady('desk')).toEqual([]);
  expect(registry.get('a')).toBeDefined();
});

test('entries that lapsed during an outage of the store may come back', () => {
  const { registry } = createRegistry();
  registry.put(makeServer('a', 'desk', 1));
  registry.put(makeServer('b', 'desk', 2));
  registry.startRemovalGrace(1_000);
  // Guards against an instance that knows no server at all after an outage of the store.
  registry.replaceAll([], 1_100);
  expect(registry.listReady('desk')).toHaveLength(2);
  registry.put(makeServer('a', 'desk', 1));
  registry.removeExpired(1_000 + REMOVAL_GRACE_MS);
  expect(registry.listReady('desk').map(({ serverId }) => serverId)).toEqual(['a']);
});

test('a server that said that it drains is not kept by an outage', () => {
  const { registry } = createRegistry();
  registry.put({ ...makeServer('a', 'desk', 1), state: 'draining' });
  registry.startRemovalGrace(1_000);
  registry.remove('a', 1_100);
  expect(registry.count()).toBe(0);
});

test('a new start under the same id is told from a changed entry', () => {
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
