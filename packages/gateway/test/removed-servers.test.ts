import { expect, test } from 'vitest';
import type { RouteBundle } from '../src';
import { FakeStore } from './fake-store';
import { startGatewayFleet } from './gateway-fleet';
import { isServed, LeavingServers, makeLeavingBundle, sendTraffic } from './leaving-servers';
import type { Arrival, TrafficStep } from './leaving-servers';
import { PartialStore } from './partial-store';
import type { Contact } from './partial-store';

const SERVERS = 4;
const REMOVED = ['server-0', 'server-1'];
/** Time after the removal of its entry from which a request must not reach a server, in milliseconds. */
const DRAIN_MS = 2_000;
/** Time after the end of its outage from which an instance must meet its targets whether or not it is told, in milliseconds. */
const CONTACT_MS = 3_000;
/** Instances that lose their contact with the store, one after the other, since the phase of their calls matters. */
const CUT_INSTANCES = 5;
const CUT_FROM_MS = 1_000;
const CUT_INTERVAL_MS = 270;
const REMOVED_AT_MS = CUT_FROM_MS + CUT_INTERVAL_MS * CUT_INSTANCES + 700;
const MEASURED_MS = 4_500;
const TIMEOUT_MS = 60_000;

interface Absence {
  name: string;
  contact: Contact;
  cutMs: number;
  /** What the servers' entries say before they are removed. */
  lastState: 'ready' | 'draining';
}

const absences: Absence[] = [
  { name: 'silent for 8.5 s', contact: 'silent', cutMs: 8_500, lastState: 'ready' },
  { name: 'silent for 3.6 s', contact: 'silent', cutMs: 3_600, lastState: 'ready' },
  { name: 'turned away for 8.5 s', contact: 'fails', cutMs: 8_500, lastState: 'ready' },
  { name: 'silent, draining servers', contact: 'silent', cutMs: 8_500, lastState: 'draining' },
];
const fleetCases = [6, 62].flatMap((instances) =>
  absences.map((absence) => ({ instances, ...absence })),
);

/** A world with a store, servers and a fleet of which some instances lose their contact with the store. */
interface WorldOptions extends Absence {
  instances: number;
  cutInstances: number;
  /** Time of the first cut, in milliseconds from the start of the traffic. */
  cutFromMs: number;
}

interface WorldResult {
  arrivals: readonly Arrival[];
  removedAtMs: number;
  returnedAtMs: ReadonlyMap<string, number>;
  /** Requests that were sent to an instance after its return and not served. */
  unservedAfterReturn: number;
}

function makeKeyedBundle(): RouteBundle {
  const bundle = makeLeavingBundle();
  return { ...bundle, routes: bundle.routes.map((route) => ({ ...route, isPublic: false })) };
}

async function runWorld(options: WorldOptions): Promise<WorldResult> {
  const { instances, cutInstances, cutFromMs, contact, cutMs, lastState } = options;
  const store = new FakeStore();
  await using backends = new LeavingServers(store, 'desk');
  await backends.startServers(SERVERS);
  const partialStores: PartialStore[] = [];
  await using fleet = await startGatewayFleet(store, instances, makeKeyedBundle(), () => {
    const partialStore = new PartialStore(store);
    partialStores.push(partialStore);
    return partialStore;
  });
  const cut = fleet.gateways.slice(0, cutInstances);
  const returnedAtMs = new Map<string, number>();
  let removedAtMs = Infinity;
  const steps: TrafficStep[] = cut.flatMap(({ settings }, index): TrafficStep[] => [
    {
      afterMs: cutFromMs + index * CUT_INTERVAL_MS,
      run: () => partialStores[index]?.setContact(contact),
    },
    {
      afterMs: cutFromMs + cutMs + index * CUT_INTERVAL_MS,
      run: () => {
        returnedAtMs.set(settings.instanceId, performance.now());
        partialStores[index]?.setContact('answers');
      },
    },
  ]);
  steps.push({
    afterMs: REMOVED_AT_MS,
    run: () => {
      for (const serverId of REMOVED) {
        if (lastState === 'draining') backends.putEntry(serverId, { state: 'draining' });
        backends.removeEntry(serverId);
      }
      removedAtMs = performance.now();
    },
  });
  const lastReturnMs = cutFromMs + cutMs + cutInstances * CUT_INTERVAL_MS;
  const sent = await sendTraffic(cut, {
    ...{ path: '/stock/1', method: 'GET', durationMs: lastReturnMs + MEASURED_MS },
    steps: steps.sort((a, b) => a.afterMs - b.afterMs),
  });
  const unserved = sent.filter(
    ({ instanceId, sentAtMs }) =>
      sentAtMs > (returnedAtMs.get(instanceId) ?? Infinity) + MEASURED_MS / 2,
  );
  return {
    ...{ arrivals: backends.arrivals, removedAtMs, returnedAtMs },
    unservedAfterReturn: unserved.filter((request) => !isServed(request)).length,
  };
}

function selectLate({ arrivals, removedAtMs }: WorldResult): Arrival[] {
  return arrivals.filter(
    ({ serverId, sentAtMs }) => REMOVED.includes(serverId) && sentAtMs > removedAtMs + DRAIN_MS,
  );
}

// Guards against an instance that goes on using servers that were removed without draining while it had no contact with the
// store, since no other instance tells it, and after its return, since the removals wait for a grace period.
test.each(fleetCases)(
  '$instances instances, $name: an instance that lost contact does not use servers that are removed',
  async (fleetCase) => {
    const result = await runWorld({
      ...fleetCase,
      ...{ cutInstances: CUT_INSTANCES, cutFromMs: CUT_FROM_MS },
    });
    const late = selectLate(result);
    const afterReturn = late.filter(
      ({ instanceId, sentAtMs }) => sentAtMs > (result.returnedAtMs.get(instanceId) ?? Infinity),
    );
    const summary =
      `${fleetCase.instances} instances, ${fleetCase.name}: ${late.length} late, ` +
      `${afterReturn.length} of them after the return`;
    console.log(summary);
    expect(result.unservedAfterReturn, summary).toBe(0);
    expect(late.length, summary).toBe(0);
  },
  TIMEOUT_MS,
);

// Guards against a grace period that counts from the first answer after an outage, which can come over a second after its end,
// so that an instance that nobody tells uses removed servers when it counts as in contact again.
test.each(absences)(
  '$name: an instance without others does not use servers that are removed',
  async (absence) => {
    const results = await Promise.all(
      Array.from({ length: CUT_INSTANCES }, (_, index) =>
        runWorld({
          ...absence,
          ...{ instances: 1, cutInstances: 1, cutFromMs: CUT_FROM_MS + index * CUT_INTERVAL_MS },
        }),
      ),
    );
    const late = results.flatMap((result) =>
      selectLate(result).filter(
        ({ instanceId, sentAtMs }) =>
          sentAtMs > (result.returnedAtMs.get(instanceId) ?? Infinity) + CONTACT_MS,
      ),
    );
    const summary = `${absence.name}: ${late.length} late ${CONTACT_MS} ms after the return`;
    console.log(summary);
    expect(results.map(({ unservedAfterReturn }) => unservedAfterReturn)).toEqual(
      results.map(() => 0),
    );
    expect(late.length, summary).toBe(0);
  },
  TIMEOUT_MS,
);
