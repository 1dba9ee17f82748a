import { expect, test } from 'vitest';
import { FakeStore } from './fake-store';
import { startGatewayFleet } from './gateway-fleet';
import { isServed, LeavingServers, makeLeavingBundle, sendTraffic } from './leaving-servers';

const SERVERS = 4;
const OUTAGE_FROM_MS = 1_000;
const OUTAGE_MS = 5_000;
const MEASURED_MS = 4_500;
const TIMEOUT_MS = 60_000;
/** Time in the outage at which the entries lapse. */
const LAPSE_AFTER_MS = 3_600;
/** Times after the outage at which the servers' entries are back. */
const BACK_AFTER_MS = [300, 700, 1_100, 1_500];

const outageCases = [6, 62].flatMap((instances) => [
  { instances, mode: 'silent' as const },
  { instances, mode: 'failing' as const },
]);

// Guards against sound servers that are dropped since their entries lapse while the store is away for all.
test.each(outageCases)(
  '$instances instances, $mode store: servers whose entries lapse in an outage are used',
  async ({ instances, mode }) => {
    const store = new FakeStore();
    await using backends = new LeavingServers(store, 'desk');
    await backends.startServers(SERVERS);
    await using fleet = await startGatewayFleet(store, instances, makeLeavingBundle());
    const serverIds = Array.from({ length: SERVERS }, (_, index) => `server-${index}`);
    const outageEndMs = OUTAGE_FROM_MS + OUTAGE_MS;
    const sent = await sendTraffic(fleet.gateways, {
      ...{ path: '/stock/1', method: 'GET', durationMs: outageEndMs + MEASURED_MS },
      steps: [
        {
          afterMs: OUTAGE_FROM_MS,
          run: () => {
            store.mode = mode;
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
            store.mode = 'up';
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
      `${instances} instances, ${mode}: ${unserved} of ${sent.length} not served, ` +
      `${removals.length} removals`;
    console.log(summary);
    expect(unserved, summary).toBe(0);
    expect(removals.length, summary).toBe(0);
  },
  TIMEOUT_MS,
);
