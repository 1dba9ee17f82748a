import { expect, test } from 'vitest';
import type { BackendServer } from '../src';
import { EraBundles } from '../src/era-bundles';
import { decodeGossip, encodeGossip } from '../src/gossip-codec';
import type { RemovedFact } from '../src/gossip-codec';
import { ServerRegistry } from '../src/server-registry';
import { makeServer } from './gateway-fixture';

type Step =
  | { kind: 'put'; era: number; revision: number; server: Partial<BackendServer> }
  | { kind: 'removed' | 'told'; era: number; revision: number };

const put = (era: number, revision: number, server: Partial<BackendServer>): Step => ({
  ...{ kind: 'put', era, revision, server },
});
const remove = (era: number, revision: number): Step => ({ kind: 'removed', era, revision });
const tell = (era: number, revision: number): Step => ({ kind: 'told', era, revision });
const draining = { heartbeats: 8, state: 'draining' as const };

const restoredCases: { name: string; steps: Step[]; isReady: boolean }[] = [
  {
    ...{ name: 'an entry from before the server drained', isReady: false },
    steps: [put(1, 50, draining), put(2, 40, { heartbeats: 7 })],
  },
  {
    ...{ name: 'more heartbeats after it drained', isReady: true },
    steps: [put(1, 50, draining), put(2, 40, { heartbeats: 9 })],
  },
  {
    ...{ name: 'another start after it drained', isReady: true },
    steps: [put(1, 50, draining), put(2, 40, { heartbeats: 1, startedAtUnixMs: 2 })],
  },
  {
    ...{ name: 'the start before the last one', isReady: false },
    steps: [
      put(1, 50, { heartbeats: 8 }),
      put(1, 55, { ...draining, startedAtUnixMs: 2 }),
      put(2, 40, { heartbeats: 7 }),
    ],
  },
  {
    ...{ name: 'an entry from before its removal', isReady: false },
    steps: [put(1, 50, { heartbeats: 8 }), remove(1, 60), put(2, 50, { heartbeats: 8 })],
  },
  {
    ...{ name: 'an older entry with a higher revision', isReady: false },
    steps: [put(1, 50, { heartbeats: 8 }), remove(1, 60), put(2, 90, { heartbeats: 8 })],
  },
  {
    ...{ name: 'more heartbeats after its removal', isReady: true },
    steps: [put(1, 50, { heartbeats: 8 }), remove(1, 60), put(2, 55, { heartbeats: 9 })],
  },
  {
    ...{ name: 'a removal of the earlier era that is told late', isReady: false },
    steps: [put(2, 40, { heartbeats: 8 }), tell(1, 60)],
  },
  {
    ...{ name: 'a removal that is told after a newer entry', isReady: true },
    steps: [put(2, 40, { heartbeats: 9 }), tell(1, 60)],
  },
  {
    ...{ name: 'a drain in the heartbeat that is known', isReady: false },
    steps: [put(1, 50, { heartbeats: 8 }), put(2, 40, draining)],
  },
  {
    ...{ name: 'no entry, and the same one again', isReady: true },
    steps: [put(1, 50, { heartbeats: 8 }), remove(2, 40), put(2, 45, { heartbeats: 8 })],
  },
];

// Guards against servers that left and are used again since the store has returned from a backup with their older entries.
test.each(restoredCases)('$name: the server is used $isReady', ({ steps, isReady }) => {
  const registry = new ServerRegistry(() => undefined);
  for (const step of steps) {
    const position = { era: step.era, revision: step.revision };
    const start = { startedAtUnixMs: 1, heartbeats: 8 };
    if (step.kind === 'put')
      registry.put({ ...makeServer('a', 'desk', 1), ...step.server }, position);
    else if (step.kind === 'removed') registry.remove('a', 0, position);
    else registry.removeAsTold({ serverId: 'a', position, start });
  }
  expect(registry.listReady('desk').length === 1).toBe(isReady);
});

test.each<{ name: string; fact: RemovedFact }>([
  {
    name: 'with its era and start',
    fact: {
      ...{ kind: 'removed', serverId: 'a', position: { era: 2, revision: 7 } },
      start: { startedAtUnixMs: 5, heartbeats: 3 },
    },
  },
  {
    name: 'of the version before eras',
    fact: { kind: 'removed', serverId: 'a', position: { era: 0, revision: 7 }, start: undefined },
  },
])('a removal $name is read as it was written', ({ fact }) => {
  const decoded = decodeGossip(encodeGossip({ wantsFacts: false, facts: [fact] }));
  expect(decoded).toEqual({ kind: 'message', message: { wantsFacts: false, facts: [fact] } });
});

// Guards against withdrawn keys that are taken as valid since the store holds an earlier configuration.
test.each([
  { name: 'nothing', version: undefined, isWritten: true, atMs: 500, isSettled: false },
  { name: 'an earlier version', version: 6, isWritten: true, atMs: 500, isSettled: false },
  {
    name: 'the version in force, unchanged',
    version: 7,
    isWritten: false,
    atMs: 500,
    isSettled: false,
  },
  { name: 'the version in force again', version: 7, isWritten: true, atMs: 500, isSettled: true },
  { name: 'a later version', version: 8, isWritten: true, atMs: 500, isSettled: true },
  { name: 'nothing for long', version: undefined, isWritten: true, atMs: 1_000, isSettled: true },
])('keys count as recent after $name: $isSettled', ({ version, isWritten, atMs, isSettled }) => {
  const bundles = new EraBundles();
  bundles.observe(7, true);
  bundles.handleNewEra(0);
  if (version !== undefined) bundles.observe(version, isWritten);
  expect(bundles.isSettled(atMs)).toBe(isSettled);
});
