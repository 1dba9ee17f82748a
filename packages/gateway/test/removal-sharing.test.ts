import { afterEach, expect, test, vi } from 'vitest';
import { FleetGossip } from '../src/fleet-gossip';
import { RemovalSharing } from '../src/removal-sharing';
import { ServerRegistry } from '../src/server-registry';
import { createTestLog, makeServer } from './gateway-fixture';
import { LossyNetwork, setVirtualTime } from './lossy-network';

type Step =
  | { kind: 'put' | 'delete' | 'told'; revision: number }
  | { kind: 'listing'; revision: number; entryRevision: number | undefined };

interface RevisionCase {
  name: string;
  steps: readonly Step[];
  isListed: boolean;
  /** Revisions that are told to others. */
  told: readonly number[];
}

const at = (revision: number) => ({ era: 0, revision });
const put = (revision: number): Step => ({ kind: 'put', revision });
const told = (revision: number): Step => ({ kind: 'told', revision });

const revisionCases: RevisionCase[] = [
  { name: 'a removal that is told', steps: [put(3), told(5)], isListed: false, told: [5] },
  { name: 'an older removal', steps: [put(7), told(5)], isListed: true, told: [] },
  { name: 'an entry from before it', steps: [told(5), put(4)], isListed: false, told: [] },
  { name: 'an entry from after it', steps: [put(3), told(5), put(6)], isListed: true, told: [] },
  {
    ...{ name: 'a removal that the store confirms', isListed: false, told: [5] },
    steps: [put(3), told(5), { kind: 'delete', revision: 5 }],
  },
  {
    ...{ name: 'a listing from before it', isListed: false, told: [5] },
    steps: [put(3), told(5), { kind: 'listing', revision: 4, entryRevision: 3 }],
  },
  {
    ...{ name: 'a listing without the entry', isListed: false, told: [9] },
    steps: [put(3), { kind: 'listing', revision: 9, entryRevision: undefined }],
  },
  {
    ...{ name: 'a new start after two removals', isListed: true, told: [] },
    steps: [put(3), told(5), put(6), told(8), told(5), put(9)],
  },
];

// Guards against a server that is used again by an entry from before its removal, and against one that has started again and is
// not used since an older removal is told.
test.each(revisionCases)('$name: listed $isListed', ({ steps, isListed, told: expected }) => {
  const registry: ServerRegistry = new ServerRegistry((change) => {
    sharing.handleServerChange(change);
  });
  const sharing = new RemovalSharing({ registry, publish: () => undefined, clock: () => 0 });
  const server = makeServer('a', 'desk', 1);
  for (const step of steps) {
    switch (step.kind) {
      case 'put':
        registry.put(server, at(step.revision));
        break;
      case 'delete':
        registry.remove('a', 0, at(step.revision));
        break;
      case 'told':
        sharing.mergeFact({ kind: 'removed', serverId: 'a', position: at(step.revision) });
        break;
      case 'listing': {
        const { entryRevision } = step;
        const entries =
          entryRevision === undefined ? [] : [{ server, position: at(entryRevision) }];
        registry.replaceAll(entries, 0, at(step.revision));
        break;
      }
    }
  }
  expect(registry.get('a') !== undefined).toBe(isListed);
  expect(sharing.listFacts().map(({ position }) => position.revision)).toEqual(expected);
});

afterEach(() => {
  vi.useRealTimers();
  vi.restoreAllMocks();
});

const LOSS_SHARE = 0.1;
const REMOVALS = 10;
const REMOVAL_INTERVAL_MS = 500;
/** Time after the last removal in which all instances must know it, below the 2 s after which servers must not be used. */
const MAX_SPREAD_MS = 1_500;
/** A hundredth of the slowest link of the users' installations, 7 Mbit/s, in bytes per second. */
const MAX_BYTES_PER_SECOND = 7e6 / 8 / 100;
const TIMEOUT_MS = 90_000;

// Guards against news of removals that does not reach instances without contact with the store, or whose bytes grow with the fleet.
test.each([6, 62, 300])(
  '%i instances: one that is cut off from the store learns of removals',
  async (instances) => {
    setVirtualTime(1);
    const network = new LossyNetwork(LOSS_SHARE);
    const peers = Array.from({ length: instances }, (_, port) => ({
      instanceId: `entry-${port}`,
      address: '127.0.0.1',
      port,
    }));
    const clock = () => performance.now();
    const members = peers.map(({ instanceId, port }) => {
      const registry: ServerRegistry = new ServerRegistry((change) => {
        sharing.handleServerChange(change);
      });
      const gossip: FleetGossip = new FleetGossip({
        ...{ instanceId, socket: network.createSocket(port), clock, log: createTestLog([]) },
        onFact: (fact) => {
          if (fact.kind === 'removed') sharing.mergeFact(fact);
        },
        listFacts: () => sharing.listFacts(),
      });
      const sharing: RemovalSharing = new RemovalSharing({
        ...{ registry, clock },
        publish: (key, build, urgency) => {
          gossip.publish(key, build, urgency);
        },
      });
      return { gossip, registry };
    });
    for (const { gossip, registry } of members) {
      gossip.setPeers(peers);
      for (let index = 0; index < REMOVALS; index += 1) {
        registry.put(makeServer(`s-${index}`, 'desk', 1), at(index));
      }
    }
    const [cut, ...others] = members;
    await vi.advanceTimersByTimeAsync(1_200);
    const bytesBefore = network.sentBytes;
    for (let index = 0; index < REMOVALS; index += 1) {
      for (const { registry } of others) registry.remove(`s-${index}`, clock(), at(100 + index));
      await vi.advanceTimersByTimeAsync(REMOVAL_INTERVAL_MS);
    }
    await vi.advanceTimersByTimeAsync(MAX_SPREAD_MS - REMOVAL_INTERVAL_MS);
    const seconds = (REMOVALS * REMOVAL_INTERVAL_MS + MAX_SPREAD_MS - REMOVAL_INTERVAL_MS) / 1_000;
    const bytesPerSecond = (network.sentBytes - bytesBefore) / instances / seconds;
    const summary = `${instances} instances: ${Math.round(bytesPerSecond)} B/s an instance`;
    console.log(summary);
    await Promise.all(members.map(({ gossip }) => gossip[Symbol.asyncDispose]()));
    expect(cut?.registry.count()).toBe(0);
    expect(bytesPerSecond, summary).toBeLessThan(MAX_BYTES_PER_SECOND);
  },
  TIMEOUT_MS,
);
