import { afterEach, expect, test, vi } from 'vitest';
import { FleetGossip } from '../src/fleet-gossip';
import type { AgedTraitFact } from '../src/gossip-codec';
import type { PeerAddress } from '../src/peer-socket';
import { createTestLog } from './gateway-fixture';
import { LossyNetwork, setVirtualTime } from './lossy-network';

/** Half of the shortest time in which all instances must act on what one has seen. */
const MAX_SPREAD_MS = 1_500;
/** A hundredth of the slowest link of the users' installations, 7 Mbit/s, in bytes per second. */
const MAX_BYTES_PER_SECOND = 7e6 / 8 / 100;
const MEASURED_MS = 3_000;
const FACT_COUNT = 20;
const LOSS_SHARE = 0.1;
/** Shorter than a round of the gossip. */
const AT_ONCE_MS = 10;
const TIMEOUT_MS = 90_000;

interface Member extends AsyncDisposable {
  gossip: FleetGossip;
  known: Map<string, AgedTraitFact>;
}

function startMember(network: LossyNetwork, port: number): Member {
  const known = new Map<string, AgedTraitFact>();
  const gossip: FleetGossip = new FleetGossip({
    instanceId: `entry-${port}`,
    socket: network.createSocket(port),
    clock: () => performance.now(),
    log: createTestLog([]),
    onFact: (fact) => {
      if (fact.kind !== 'crash' && fact.kind !== 'sound') return;
      if (known.has(fact.trait)) return;
      known.set(fact.trait, fact);
      gossip.publish(fact.trait, () => fact);
    },
    listFacts: () => [...known.values()],
  });
  return { gossip, known, [Symbol.asyncDispose]: () => gossip[Symbol.asyncDispose]() };
}

function makeDisposable(members: readonly Member[]): AsyncDisposable {
  return {
    async [Symbol.asyncDispose]() {
      await Promise.all(members.map((member) => member[Symbol.asyncDispose]()));
    },
  };
}

function makePeers(count: number): PeerAddress[] {
  return Array.from({ length: count }, (_, port) => ({
    instanceId: `entry-${port}`,
    address: '127.0.0.1',
    port,
  }));
}

afterEach(() => {
  vi.useRealTimers();
  vi.restoreAllMocks();
});

// Guards against facts that stay inside a group or are lost with a datagram, against a new instance that knows nothing, and
// against a cost that grows with the fleet.
test.each([
  { instances: 6, lossShare: LOSS_SHARE },
  { instances: 62, lossShare: LOSS_SHARE },
  { instances: 530, lossShare: LOSS_SHARE },
])(
  '$instances instances learn facts within 1.5 s although $lossShare of the datagrams are lost',
  async ({ instances, lossShare }) => {
    setVirtualTime(instances);
    const network = new LossyNetwork(lossShare);
    const members = makePeers(instances).map(({ port }) => startMember(network, port));
    await using _ = makeDisposable(members);
    const peers = makePeers(instances + 1);
    for (const { gossip } of members) gossip.setPeers(peers.slice(0, instances));
    await vi.advanceTimersByTimeAsync(1_200);
    network.sentBytes = 0;
    const startedAtMs = performance.now();
    for (let index = 0; index < FACT_COUNT; index += 1) {
      const fact = {
        ageMs: 0,
        kind: 'crash',
        trait: `part ${index}`,
        crashId: 'engine-1@0',
      } as const;
      const observer = members[index % members.length];
      observer?.known.set(fact.trait, fact);
      observer?.gossip.publish(fact.trait, () => fact);
    }
    const hasAll = ({ known }: Member) => known.size === FACT_COUNT;
    while (!members.every(hasAll) && performance.now() < startedAtMs + MEASURED_MS)
      await vi.advanceTimersByTimeAsync(10);
    const spreadMs = performance.now() - startedAtMs;
    await vi.advanceTimersByTimeAsync(startedAtMs + MEASURED_MS - performance.now());
    const seconds = (performance.now() - startedAtMs) / 1_000;
    const bytesPerSecond = network.sentBytes / seconds / instances;
    await using started = startMember(network, instances);
    started.gossip.setPeers(peers);
    const newAtMs = performance.now();
    while (!hasAll(started) && performance.now() < newAtMs + MEASURED_MS)
      await vi.advanceTimersByTimeAsync(10);
    const newMs = performance.now() - newAtMs;
    console.log(
      `${instances} instances: all know after ${spreadMs.toFixed(0)} ms, a new one after ${newMs.toFixed(0)} ms, ` +
        `${bytesPerSecond.toFixed(0)} B/s an instance`,
    );
    expect(spreadMs).toBeLessThan(MAX_SPREAD_MS);
    expect(newMs).toBeLessThan(MAX_SPREAD_MS);
    expect(bytesPerSecond).toBeLessThan(MAX_BYTES_PER_SECOND);
  },
  TIMEOUT_MS,
);

// Guards against several instances that send a probe at the same time, since none has heard of that of another yet.
test.each([6, 62, 530])(
  'an urgent fact reaches most of %d instances at once, and then all',
  async (instances) => {
    setVirtualTime(instances);
    const network = new LossyNetwork(LOSS_SHARE);
    const peers = makePeers(instances);
    const [sender, ...others] = peers.map(({ port }) => startMember(network, port));
    if (sender === undefined) return;
    await using _ = makeDisposable([sender, ...others]);
    for (const { gossip } of [sender, ...others]) gossip.setPeers(peers);
    await vi.advanceTimersByTimeAsync(1_200);
    network.sentBytes = 0;
    const fact = { ageMs: 0, kind: 'crash', trait: 'part 1', crashId: 'engine-1@0' } as const;
    sender.gossip.publish(fact.trait, () => fact, 'urgent');
    await vi.advanceTimersByTimeAsync(AT_ONCE_MS);
    const countInformed = () => others.filter(({ known }) => known.size > 0).length;
    const informedShare = countInformed() / others.length;
    console.log(
      `${instances} instances: ${informedShare.toFixed(2)} know at once, ${network.sentBytes} bytes`,
    );
    expect(informedShare).toBeGreaterThanOrEqual(1 - 2 * LOSS_SHARE);
    await vi.advanceTimersByTimeAsync(MAX_SPREAD_MS);
    expect(countInformed()).toBe(others.length);
  },
  TIMEOUT_MS,
);
