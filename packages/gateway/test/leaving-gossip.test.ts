import { afterEach, expect, test, vi } from 'vitest';
import type { BackendServer } from '../src';
import { FleetGossip } from '../src/fleet-gossip';
import { decodeGossip, encodeGossip } from '../src/gossip-codec';
import type { GossipFact } from '../src/gossip-codec';
import { ServerAvailability } from '../src/server-availability';
import { createTestLog, makeServer } from './gateway-fixture';
import { LossyNetwork, setVirtualTime } from './lossy-network';

const LOSS_SHARE = 0.1;
/** Servers that begin to leave in a second, and how long they do. */
const LEAVING_PER_SECOND = 2;
const MEASURED_SECONDS = 3;
const MAX_SPREAD_MS = 1_500;
/** What an instance may spend on control, in bytes a second. */
const MAX_BYTES_PER_SECOND = 4_096;
const SETTLE_MS = 5_000;
const TIMEOUT_MS = 90_000;
const ANSWER = { kind: 'answer', status: 200 } as const;

interface Member {
  availability: ServerAvailability;
  gossip: FleetGossip;
  /** The list of servers as this instance knows it. */
  servers: Map<string, BackendServer>;
}

interface Fleet extends AsyncDisposable {
  network: LossyNetwork;
  members: readonly Member[];
  /** Starts an instance that knows the list of servers and none of the facts. */
  startMember(port: number): Member;
}

function startFleet(instances: number, servers: readonly BackendServer[]): Fleet {
  setVirtualTime(instances);
  const network = new LossyNetwork(LOSS_SHARE);
  const peers = Array.from({ length: instances + 1 }, (_, port) => ({
    ...{ instanceId: `entry-${port}`, address: '127.0.0.1', port },
  }));
  const started: Member[] = [];
  const startMember = (port: number): Member => {
    const listed = new Map(servers.map((server) => [server.serverId, server]));
    const clock = () => performance.now();
    const gossip: FleetGossip = new FleetGossip({
      ...{ instanceId: `entry-${port}`, clock, log: createTestLog([]) },
      socket: network.createSocket(port),
      onFact: (fact) => {
        if (fact.kind === 'leaving') availability.mergeFact(fact);
      },
      listFacts: () => availability.listFacts(),
    });
    const availability: ServerAvailability = new ServerAvailability({
      ...{ clock, onLeaving: () => undefined, countInstances: () => instances },
      getServer: (serverId) => listed.get(serverId),
      publish: (key, build, urgency) => {
        gossip.publish(key, build, urgency);
      },
    });
    gossip.setPeers(peers);
    const member = { availability, gossip, servers: listed };
    started.push(member);
    return member;
  };
  const members = peers.slice(0, instances).map(({ port }) => startMember(port));
  return {
    ...{ network, members, startMember },
    async [Symbol.asyncDispose]() {
      await Promise.all(started.map(({ gossip }) => gossip[Symbol.asyncDispose]()));
    },
  };
}

afterEach(() => {
  vi.useRealTimers();
  vi.restoreAllMocks();
});

const isLeaving = ({ availability }: Member, server: BackendServer) =>
  availability.judge(server, performance.now()).kind === 'leaving';

// Guards against requests from instances that have not yet had an answer of a leaving server, against an instance that forgets
// with its restart, and against a cost that grows with the fleet.
test.each([6, 62, 530])(
  '%d instances learn from each other which servers leave',
  async (instances) => {
    const servers = Array.from({ length: LEAVING_PER_SECOND * MEASURED_SECONDS }, (_, index) =>
      makeServer(`engine-${index}`, 'engines', 1),
    );
    await using fleet = startFleet(instances, servers);
    const { members, network } = fleet;
    await vi.advanceTimersByTimeAsync(1_200);
    network.sentBytes = 0;
    for (const [index, server] of servers.entries()) {
      members[(index * 7) % instances]?.availability.recordLeaving(server, ANSWER);
      await vi.advanceTimersByTimeAsync(1_000 / LEAVING_PER_SECOND);
    }
    const bytesPerSecond = network.sentBytes / MEASURED_SECONDS / instances;
    await vi.advanceTimersByTimeAsync(MAX_SPREAD_MS);
    const informed = members.filter((member) => servers.every((each) => isLeaving(member, each)));
    const restarted = fleet.startMember(instances);
    await vi.advanceTimersByTimeAsync(MAX_SPREAD_MS);
    console.log(
      `${instances} instances: ${informed.length} know, ${bytesPerSecond.toFixed(0)} B/s an instance`,
    );
    expect(informed).toHaveLength(instances);
    expect(servers.every((each) => isLeaving(restarted, each))).toBe(true);
    expect(bytesPerSecond).toBeLessThan(MAX_BYTES_PER_SECOND);
  },
  TIMEOUT_MS,
);

interface EndCase {
  name: string;
  /** Entries that follow; undefined when the entry is removed. */
  next: readonly (BackendServer | undefined)[];
  /** Number of facts that each instance tells others afterwards. */
  facts: number;
}

const SERVER = makeServer('engine-1', 'engines', 1);
const RESTARTED = { ...SERVER, startedAtUnixMs: 2 };
const DRAINING: BackendServer = { ...SERVER, state: 'draining' };

// Guards against a mark that outlives its server, so that the next start gets no requests or the instances tell each other of it
// for ever, and against instances that cannot read an entry and are not told what it says.
test.each<EndCase>([
  { name: 'is removed', next: [undefined], facts: 0 },
  { name: 'starts again', next: [RESTARTED], facts: 0 },
  { name: 'says so in its entry too', next: [DRAINING], facts: 1 },
  { name: 'says so in its entry and is removed', next: [DRAINING, undefined], facts: 0 },
])(
  'an instance tells others of a server that leaves and $name: $facts',
  async ({ next, facts }) => {
    await using fleet = startFleet(6, [SERVER]);
    const [first] = fleet.members;
    await vi.advanceTimersByTimeAsync(1_200);
    first?.availability.recordLeaving(SERVER, ANSWER);
    await vi.advanceTimersByTimeAsync(SETTLE_MS);
    expect(fleet.members.every((member) => isLeaving(member, SERVER))).toBe(true);
    for (const { availability, servers } of fleet.members) {
      for (const entry of next) {
        const server = entry ?? servers.get(SERVER.serverId) ?? SERVER;
        servers.clear();
        if (entry !== undefined) servers.set(entry.serverId, entry);
        const isRestarted = entry?.startedAtUnixMs !== SERVER.startedAtUnixMs;
        availability.handleServerChange(
          entry === undefined
            ? { kind: 'removed', server, position: undefined }
            : { kind: 'changed', server, isRestarted },
        );
        await vi.advanceTimersByTimeAsync(SETTLE_MS);
      }
    }
    const told = fleet.members.map(({ availability }) => availability.listFacts().length);
    expect(told).toEqual(fleet.members.map(() => facts));
    expect(fleet.members.some((member) => isLeaving(member, RESTARTED))).toBe(false);
    expect(fleet.members.every((member) => isLeaving(member, SERVER))).toBe(true);
  },
);

const LIMIT = { kind: 'limit', serverKey: 'engine-2@1', version: 1, requestsPerSecond: 5 } as const;

/** Starts an instance that knows facts, and returns the facts of each message that it sends by itself and in a reply. */
async function collectMessages(facts: readonly GossipFact[]): Promise<GossipFact[][]> {
  const sent: GossipFact[][] = [];
  let handle: (bytes: Buffer, sender: { address: string; port: number }) => void = () => undefined;
  await using gossip = new FleetGossip({
    ...{ instanceId: 'entry-0', clock: () => performance.now(), log: createTestLog([]) },
    socket: {
      setHandler: (_, handler) => {
        handle = handler;
      },
      send: (bytes) => {
        const decoded = decodeGossip(bytes);
        if (decoded.kind === 'message' && !decoded.message.wantsFacts)
          sent.push([...decoded.message.facts]);
      },
    },
    onFact: () => undefined,
    listFacts: () => facts,
  });
  gossip.setPeers([{ instanceId: 'entry-1', address: '127.0.0.1', port: 1 }]);
  for (const fact of facts) gossip.publish(JSON.stringify(fact), () => fact);
  await vi.advanceTimersByTimeAsync(1_100);
  handle(encodeGossip({ wantsFacts: true, facts: [] }), { address: '127.0.0.1', port: 1 });
  return sent;
}

// Guards against instances of the version before, which reject a message with a fact that they do not know: they would learn no
// limits and no crashes, and take the sender for gone.
test('instances of an older version can read all messages without leaving servers', async () => {
  setVirtualTime(1);
  const leaving = Array.from({ length: 200 }, (_, index): GossipFact => ({
    kind: 'leaving',
    serverKey: `engine-${index}@1`,
  }));
  const messages = await collectMessages([...leaving, LIMIT]);
  const isReadable = (facts: readonly GossipFact[]) =>
    facts.every(({ kind }) => kind !== 'leaving');
  const mixed = messages.filter(
    (facts) => !isReadable(facts) && facts.some(({ kind }) => kind !== 'leaving'),
  );
  expect(mixed).toEqual([]);
  expect(messages.flat().filter(({ kind }) => kind === 'limit').length).toBeGreaterThan(1);
  const replies = await collectMessages(leaving);
  expect(replies.filter((facts) => isReadable(facts)).length).toBeGreaterThan(0);
});
