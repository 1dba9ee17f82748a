import {
  FailureTracker,
  InstanceGroups,
  LoadTable,
  NO_PLACED_LOAD,
  PrefixCacheTracker,
  SpeedTracker,
} from '@pollendrum/policy';
import type { PlacedRequest } from '@pollendrum/policy';
import { expect, test } from 'vitest';
import { HeaderCodec } from '../src/header-codec';
import type { Availability } from '../src/server-availability';
import { ServerChooser } from '../src/server-chooser';
import { ServerRegistry } from '../src/server-registry';
import { HEADER_NAMES, makeRoute, makeServer } from './gateway-fixture';

const SERVICE = 'desk';
/** Choices of which a share is taken; with as many, its standard deviation is below 0.01. */
const DRAWS = 4_000;
const makeIds = (prefix: string, count: number) =>
  Array.from({ length: count }, (_, index) => `${prefix}-${index}`);

/** Makes the chooser of the first of `instanceCount` instances for a service with `serverCount` servers. */
function makeChooser(
  instanceCount: number,
  serverCount: number,
  hasRoom: (serverId: string) => boolean = () => true,
  judgeAvailability: (serverId: string) => Availability = () => ({ kind: 'available' }),
) {
  const registry = new ServerRegistry(() => undefined);
  const servers = makeIds('i', serverCount).map((serverId) => makeServer(serverId, SERVICE, 1));
  for (const server of servers) registry.put(server);
  const groups = new InstanceGroups('entry-0');
  groups.update(makeIds('entry', instanceCount));
  const loads = new LoadTable();
  const lines: unknown[] = [];
  const discard = () => undefined;
  const info = (message: string, fields?: Record<string, unknown>) =>
    lines.push({ message, fields });
  const chooser = new ServerChooser({
    log: { error: discard, warn: discard, debug: discard, info },
    ...{ failureDomain: 'local', registry, loads, groups },
    prefixes: new PrefixCacheTracker(),
    failures: new FailureTracker(),
    speeds: new SpeedTracker(),
    availability: { judge: ({ serverId }) => judgeAvailability(serverId) },
    limits: {
      judge: ({ serverId }) =>
        hasRoom(serverId) ? { kind: 'unlimited' } : { kind: 'no-room', roomInMs: 100 },
    },
  });
  const chooseServer = (excludedServerIds: ReadonlySet<string>, nowMs = 0): string | undefined => {
    const route = makeRoute({ services: [{ service: SERVICE, weight: 1 }] });
    const head = new HeaderCodec(HEADER_NAMES).decodeRequest({});
    const request = {
      ...{ route, head, serviceName: SERVICE, service: undefined, remainingMs: 1_000 },
      avoidsRestrictedServers: false,
    };
    return chooser.choose(
      { ...request, tightestPauseTargetMs: undefined, excludedServerIds },
      nowMs,
    )?.server.serverId;
  };
  const listGroup = () => groups.selectServers(servers).map(({ serverId }) => serverId);
  return { chooseServer, chooser, registry, groups, loads, listGroup, lines };
}

function makePlacedRequest(serverId: string): PlacedRequest {
  return {
    ...{ serverId, prefillMs: 0, heldTokens: 0, isPauseSensitive: false },
    ...{ hasLongPrompt: false, expectedFirstByteAtMs: 100, isStreaming: false },
  };
}

/** Chooses servers as for a request that is sent again and again, until none is left. */
function chooseAll(chooseServer: (tried: ReadonlySet<string>) => string | undefined): string[] {
  const tried = new Set<string>();
  for (;;) {
    const serverId = chooseServer(tried);
    if (serverId === undefined) return [...tried];
    tried.add(serverId);
  }
}

// Guards against requests that fail because only the servers of the instance's group were tried.
test.each([
  { instances: 9, servers: 24, inGroup: 24 },
  { instances: 100, servers: 24, inGroup: 8 },
  { instances: 100, servers: 6, inGroup: 6 },
])(
  'with $instances instances, $inGroup of $servers servers are tried first and then the others',
  ({ instances, servers, inGroup }) => {
    const { chooseServer, listGroup } = makeChooser(instances, servers);
    const chosen = chooseAll(chooseServer);
    expect(new Set(chosen.slice(0, inGroup))).toEqual(new Set(listGroup()));
    expect(chosen).toHaveLength(servers);
  },
);

// Guards against servers that are chosen although they are no longer listed, or never chosen after they were added.
test('a change of the servers or the instances takes effect with the next request', () => {
  const { chooseServer, registry, groups } = makeChooser(9, 2);
  expect(chooseAll(chooseServer)).toHaveLength(2);
  registry.remove('i-0', 0);
  expect(chooseAll(chooseServer)).toEqual(['i-1']);
  for (const serverId of makeIds('j', 30)) registry.put(makeServer(serverId, SERVICE, 1));
  expect(chooseAll(chooseServer)).toHaveLength(31);
  groups.update(makeIds('entry', 100));
  const own = groups.selectServers(registry.listReady(SERVICE)).map(({ serverId }) => serverId);
  expect(own.length).toBeLessThan(12);
  expect(new Set(chooseAll(chooseServer).slice(0, own.length))).toEqual(new Set(own));
});

// Guards against overload of a small service, of which an instance sees only the load of its own group.
test.each([
  { instances: 9, expected: 'i-1' },
  { instances: 100, expected: 'i-0' },
])(
  'with $instances instances, load of peers at a shared service counts for all groups',
  ({ instances, expected }) => {
    const { chooseServer, loads } = makeChooser(instances, 2);
    const idle = { ...NO_PLACED_LOAD, dueInMs: undefined };
    loads.mergePeerReport('entry-1', new Map([['i-1', { ...idle, waiting: 2 }]]), 0);
    for (let index = 0; index < 4; index += 1) {
      loads.add(makePlacedRequest('i-0'), 0);
    }
    // Others have probably placed requests since the report, so that the choice is random within bounds.
    const chosen = Array.from({ length: DRAWS }, () => chooseServer(new Set()));
    const share = chosen.filter((serverId) => serverId === expected).length / DRAWS;
    expect(share).toBeGreaterThan(0.53);
  },
);

// Guards against a server without a limit that breaks down under what the limited servers of its service refuse.
test.each([
  { requests: 31, limited: 2, chosen: ['i-2'] },
  { requests: 32, limited: 2, chosen: [undefined] },
  { requests: 32, limited: 0, chosen: ['i-0', 'i-1'] },
])(
  'with $limited of 3 servers without room, $requests requests at the last of 16 slots leave $chosen',
  ({ requests, limited, chosen }) => {
    const hasRoom = (serverId: string) => Number(serverId.slice(2)) >= limited;
    const { chooseServer, loads } = makeChooser(6, 3, hasRoom);
    for (let count = 0; count < requests; count += 1) loads.add(makePlacedRequest('i-2'), 0);
    expect(chosen).toContain(chooseServer(new Set()));
  },
);

const LAST_SERVER = 'i-0';
/** Requests at once for which the last server has slots or a queue: two for each of its 16 slots. */
const MOST_AT_LAST_SERVER = 32;

// Guards against the load of a whole service on the one server that neither leaves nor has asked for a pause.
test.each<Availability>([{ kind: 'leaving' }, { kind: 'paused', untilMs: 1e6 }])(
  'the last server gets no more than it can queue while the others are $kind',
  (judgement) => {
    const { chooseServer, loads } = makeChooser(
      1,
      8,
      () => true,
      (serverId) => (serverId === LAST_SERVER ? { kind: 'available' } : judgement),
    );
    let count = 0;
    while (count < 100 && chooseServer(new Set()) === LAST_SERVER) {
      loads.add(makePlacedRequest(LAST_SERVER), 0);
      count += 1;
    }
    expect(count).toBe(MOST_AT_LAST_SERVER);
  },
);

// Guards against log lines that grow with the requests, and against a spread that leaves out the load of peers.
test('the spread of load is logged once a minute and read from the metrics', () => {
  const { chooseServer, chooser, loads, lines } = makeChooser(9, 4);
  for (let nowMs = 0; nowMs < 130_000; nowMs += 500) chooseServer(new Set(), nowMs);
  expect(lines).toHaveLength(2);
  const load = { ...NO_PLACED_LOAD, waiting: 5, dueInMs: undefined };
  loads.mergePeerReport('entry-1', new Map([['i-1', load]]), 130_000);
  loads.add(makePlacedRequest('i-0'), 130_000);
  const spread = {
    servers: 4,
    meanRequests: 1.5,
    mostRequests: 5,
    idleServers: 2,
    queuedServers: 1,
  };
  expect(chooser.listSpreads(130_000)).toMatchObject([{ service: SERVICE, ...spread }]);
});
