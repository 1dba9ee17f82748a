import { setTimeout as sleep } from 'node:timers/promises';
import { expect, test } from 'vitest';
import { FakeStore } from './fake-store';
import { startGatewayFleet } from './gateway-fleet';
import { isServed, LeavingServers, makeLeavingBundle, sendTraffic } from './leaving-servers';
import type { TrafficStep } from './leaving-servers';
import { PartialStore } from './partial-store';
import type { Contact } from './partial-store';

const SERVERS = 4;
const DRAINING = ['server-0', 'server-1'];
/** Time after the acknowledgement of the entry from which a request must not reach a draining server, in milliseconds. */
const DRAIN_MS = 2_000;
/** Instances that lose their contact with the store, one after the other, since the phase of their calls matters. */
const CUT_INSTANCES = 5;
const CUT_FROM_MS = 1_000;
const CUT_INTERVAL_MS = 270;
const DRAIN_AT_MS = CUT_FROM_MS + CUT_INTERVAL_MS * CUT_INSTANCES + 700;
const MEASURED_MS = 4_000;
const TIMEOUT_MS = 60_000;

interface ContactCase {
  name: string;
  contact: Contact;
  /** Kinds of objects to which the calls are lost; all by default. */
  kinds?: readonly string[];
  cutMs: number;
}

const contactCases: ContactCase[] = [
  { name: 'all calls silent', contact: 'silent', cutMs: 8_500 },
  {
    name: 'all calls silent for a short time',
    contact: 'silent',
    cutMs: 4_500,
  },
  { name: 'all calls turned away', contact: 'fails', cutMs: 8_500 },
  {
    ...{ name: 'calls about servers silent', contact: 'silent', cutMs: 9_000 },
    kinds: ['servers'],
  },
  {
    ...{ name: 'calls about servers turned away', contact: 'fails', cutMs: 9_000 },
    kinds: ['servers'],
  },
];
const cases = [6, 62].flatMap((instances) =>
  contactCases.map((contactCase) => ({ instances, ...contactCase })),
);

// Guards against an instance that sends requests to servers whose entries say that they leave, since its calls to the store
// are lost and it asks nobody else, since it has read the configuration after the outage but not the servers, or since only
// its calls about servers are lost.
test.each(cases)(
  '$instances instances, $name: an instance that lost contact does not use servers that drain',
  async ({ instances, contact, kinds, cutMs }) => {
    const store = new FakeStore();
    await using backends = new LeavingServers(store, 'desk');
    await backends.startServers(SERVERS);
    const partialStores: PartialStore[] = [];
    const bundle = makeLeavingBundle();
    const routes = bundle.routes.map((route) => ({ ...route, isPublic: false }));
    await using fleet = await startGatewayFleet(store, instances, { ...bundle, routes }, () => {
      const partialStore = new PartialStore(store);
      partialStores.push(partialStore);
      return partialStore;
    });
    const cut = fleet.gateways.slice(0, CUT_INSTANCES);
    const returnedAtMs = new Map<string, number>();
    let drainedAtMs = Infinity;
    const steps: TrafficStep[] = [
      ...cut.flatMap(({ settings }, index): TrafficStep[] => [
        {
          afterMs: CUT_FROM_MS + index * CUT_INTERVAL_MS,
          run: () => partialStores[index]?.setContact(contact, kinds),
        },
        {
          afterMs: CUT_FROM_MS + cutMs + index * CUT_INTERVAL_MS,
          run: () => {
            returnedAtMs.set(settings.instanceId, performance.now());
            partialStores[index]?.setContact('answers');
          },
        },
      ]),
      {
        afterMs: DRAIN_AT_MS,
        run: () => {
          for (const serverId of DRAINING) backends.putEntry(serverId, { state: 'draining' });
          drainedAtMs = performance.now();
        },
      },
    ];
    const lastReturnMs = CUT_FROM_MS + cutMs + CUT_INSTANCES * CUT_INTERVAL_MS;
    const sent = await sendTraffic(cut, {
      ...{ path: '/stock/1', method: 'GET', durationMs: lastReturnMs + MEASURED_MS },
      steps: steps.sort((a, b) => a.afterMs - b.afterMs),
    });
    const lateRequests = backends.arrivals.filter(
      ({ serverId, sentAtMs }) => DRAINING.includes(serverId) && sentAtMs > drainedAtMs + DRAIN_MS,
    );
    const lateAfterReturn = lateRequests.filter(
      ({ instanceId, sentAtMs }) => sentAtMs > (returnedAtMs.get(instanceId) ?? Infinity),
    );
    const afterReturn = sent.filter(
      ({ instanceId, sentAtMs }) =>
        sentAtMs > (returnedAtMs.get(instanceId) ?? Infinity) + MEASURED_MS / 2,
    );
    const summary =
      `${instances} instances: ${sent.filter(isServed).length} of ${sent.length} served, ` +
      `${lateRequests.length} late, ${lateAfterReturn.length} of them after the return`;
    console.log(summary);
    expect(afterReturn.filter((request) => !isServed(request)).length, summary).toBe(0);
    expect(lateRequests.length, summary).toBe(0);
  },
  TIMEOUT_MS,
);

const SETTLE_MS = 2_000;
const MAX_CALLS_AFTER_RETURN = 15;

// Guards against watchers that make each other read again and again once one of them has regained contact, and against an
// instance that is not ready although it has read everything.
test.each<{ contact: Contact; kinds: readonly string[] | undefined }>([
  { contact: 'silent', kinds: undefined },
  { contact: 'fails', kinds: undefined },
  { contact: 'silent', kinds: ['servers'] },
  { contact: 'silent', kinds: ['bundles'] },
])('an instance reads few times after an outage: $contact, $kinds', async ({ contact, kinds }) => {
  const store = new FakeStore();
  const partialStore = new PartialStore(store);
  await using backends = new LeavingServers(store, 'desk');
  await backends.startServers(1);
  await using fleet = await startGatewayFleet(store, 1, makeLeavingBundle(), () => partialStore);
  partialStore.setContact(contact, kinds);
  await sleep(5_000);
  const callsBefore = store.watchedKinds.length + store.listCalls;
  partialStore.setContact('answers');
  await sleep(SETTLE_MS);
  const calls = store.watchedKinds.length + store.listCalls - callsBefore;
  expect(fleet.gateways.map(({ gateway }) => gateway.isReady())).toEqual([true]);
  expect(calls).toBeGreaterThan(0);
  expect(calls).toBeLessThanOrEqual(MAX_CALLS_AFTER_RETURN);
});
