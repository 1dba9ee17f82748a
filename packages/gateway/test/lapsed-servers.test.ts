import { expect, test } from 'vitest';
import { FakeStore } from './fake-store';
import type { StoreMode } from './fake-store';
import { startGatewayFleet } from './gateway-fleet';
import { isServed, LeavingServers, makeLeavingBundle, sendTraffic } from './leaving-servers';
import { PartialStore } from './partial-store';

const SERVERS = 4;
interface OutageCase {
  instances: number;
  outage: Exclude<StoreMode, 'history-lost' | 'up'> | 'calls time out';
}

const OUTAGE_FROM_MS = 1_000;
const OUTAGE_MS = 5_000;
const MEASURED_MS = 4_500;
const TIMEOUT_MS = 60_000;
/** Time in the outage at which the entries lapse. */
const LAPSE_AFTER_MS = 3_600;
/** Times after the outage at which the servers' entries are back. */
const BACK_AFTER_MS = [300, 700, 1_100, 1_500];

const outageCases = [6, 62].flatMap((instances): OutageCase[] => [
  { instances, outage: 'silent' },
  { instances, outage: 'failing' },
  // Calls end at their timeouts, so that the last one that fails can begin long before the end of the outage.
  { instances, outage: 'calls time out' },
]);

// Guards against sound servers that are dropped since their entries lapse while the store is away for all.
test.each(outageCases)(
  '$instances instances, $outage: servers whose entries lapse in an outage are used',
  async ({ instances, outage }) => {
    const store = new FakeStore();
    await using backends = new LeavingServers(store, 'desk');
    await backends.startServers(SERVERS);
    const partialStores: PartialStore[] = [];
    const setOutage = (isOut: boolean) => {
      if (outage !== 'calls time out') store.mode = isOut ? outage : 'up';
      else
        for (const partialStore of partialStores)
          partialStore.setContact(isOut ? 'silent' : 'answers');
    };
    await using fleet = await startGatewayFleet(store, instances, makeLeavingBundle(), () => {
      const partialStore = new PartialStore(store);
      partialStores.push(partialStore);
      return partialStore;
    });
    const serverIds = Array.from({ length: SERVERS }, (_, index) => `server-${index}`);
    const outageEndMs = OUTAGE_FROM_MS + OUTAGE_MS;
    const sent = await sendTraffic(fleet.gateways, {
      ...{ path: '/stock/1', method: 'GET', durationMs: outageEndMs + MEASURED_MS },
      steps: [
        {
          afterMs: OUTAGE_FROM_MS,
          run: () => {
            setOutage(true);
          },
        },
        {
          afterMs: OUTAGE_FROM_MS + LAPSE_AFTER_MS,
          run: () => {
            for (const serverId of serverIds) backends.removeEntry(serverId);
          },
        },
        {
          afterMs: outageEndMs,
          run: () => {
            setOutage(false);
          },
        },
        ...serverIds.map((serverId, index) => ({
          afterMs: outageEndMs + (BACK_AFTER_MS[index] ?? 0),
          run: () => {
            backends.putEntry(serverId);
          },
        })),
      ],
    });
    const unserved = sent.filter((request) => !isServed(request)).length;
    const removals = fleet.gateways.flatMap(({ lines }) =>
      lines.filter(({ message }) => message === 'backend server removed'),
    );
    const summary =
      `${instances} instances, ${outage}: ${unserved} of ${sent.length} not served, ` +
      `${removals.length} removals`;
    console.log(summary);
    expect(unserved, summary).toBe(0);
    expect(removals.length, summary).toBe(0);
  },
  TIMEOUT_MS,
);
