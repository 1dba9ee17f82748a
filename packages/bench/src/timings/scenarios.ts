import { setTimeout as sleep } from 'node:timers/promises';
import { BALANCER_LAG_MS, ENGINE_SLOTS, TimingError, waitFor } from './fleet';
import type { Fleet } from './fleet';
import type { SentRequest, SteadyLoad } from './steady-load';

/** Names of what is measured, in the order of the table. */
export const SCENARIO_NAMES = [
  'dispatcher-kill',
  'dispatcher-freeze',
  'entry-kill',
  'engine-kill',
  'server-leaving',
  'server-draining',
  'bundle-healthy',
  'bundle-watch-dropped',
  'bundle-platform-down',
  'planned-stop',
] as const;

export type ScenarioName = (typeof SCENARIO_NAMES)[number];

/** Injects one fault under load and resolves with the measured time in milliseconds. */
export type Scenario = (fleet: Fleet, load: SteadyLoad) => Promise<number>;

const LIMIT_MS = 25_000;
const SETTLE_MS = 1_000;
// A request that was decided before the signal took effect may still be answered.
const SIGNAL_MARGIN_MS = 5;
// An ejected server gets one probe request per 2 s, which is not a new request of the load.
const PROBE_GAP_MS = 1_000;
const OBSERVATION_MS = 5_000;
const LONG_TOKENS = 2_000;
const STREAM_TOKENS = 400;
const DROPPED_WATCH_EVENTS = 1_000;
const BALANCER_CHECK_MS = 500;

export const SCENARIOS: Record<ScenarioName, Scenario> = {
  'dispatcher-kill': (fleet, load) => measureTakeover(fleet, load, 'SIGKILL'),
  'dispatcher-freeze': (fleet, load) => measureTakeover(fleet, load, 'SIGSTOP'),
  'entry-kill': measureEntryKill,
  'engine-kill': async (fleet) =>
    measureLastRequest(fleet, (engine) => {
      engine.process.sendSignal('SIGKILL');
    }),
  'server-leaving': async (fleet) =>
    measureLastRequest(fleet, (engine) => fleet.putListed({ ...engine.listed, state: 'leaving' })),
  'server-draining': async (fleet) =>
    measureLastRequest(fleet, (engine) => fleet.injectEngineFaults(engine, { draining: true })),
  'bundle-healthy': (fleet) => measureBundle(fleet, () => undefined),
  'bundle-watch-dropped': (fleet) =>
    measureBundle(fleet, () =>
      fleet.injectPlatformFaults({ dropWatchEvents: DROPPED_WATCH_EVENTS }),
    ),
  'bundle-platform-down': (fleet) =>
    measureBundle(fleet, () => {
      // The watch answers within a millisecond, so the cut has to come before the accept.
      for (const { platform } of fleet.instances.slice(1)) platform.setCut(true);
    }),
  'planned-stop': measurePlannedStop,
};

/** Time until a request sent after the signal, through another entry, was granted. */
async function measureTakeover(
  fleet: Fleet,
  load: SteadyLoad,
  signal: 'SIGKILL' | 'SIGSTOP',
): Promise<number> {
  const owner = await fleet.findOwner();
  load.removeEntry(owner);
  // Requests that the owner relays as an entry end before it is stopped.
  await sleep(SETTLE_MS);
  fleet.instances[owner]?.process.sendSignal(signal);
  const startMs = performance.now();
  const isGranted = ({ sentAtMs, firstByteAtMs, entry }: SentRequest) =>
    entry !== owner && sentAtMs > startMs + SIGNAL_MARGIN_MS && firstByteAtMs !== undefined;
  const first = await waitFor('a grant by the next owner', LIMIT_MS, () =>
    load.requests.find(isGranted),
  );
  await sleep(SETTLE_MS);
  return (first.firstByteAtMs ?? startMs) - startMs;
}

/** Fills all slots through one entry, kills it, and waits until the waiting load gets slots again. */
async function measureEntryKill(fleet: Fleet, load: SteadyLoad): Promise<number> {
  const owner = await fleet.findOwner();
  const victim = (owner + 1) % fleet.instances.length;
  load.removeEntry(victim);
  const held = Array.from({ length: ENGINE_SLOTS * fleet.engines.length }, () =>
    load.send(victim, LONG_TOKENS),
  );
  await waitFor('all slots in use', LIMIT_MS, () =>
    held.every(({ firstByteAtMs }) => firstByteAtMs !== undefined) ? true : undefined,
  );
  await sleep(SETTLE_MS / 2);
  const waiting = load.requests.filter((each) => !each.isEnded && each.firstByteAtMs === undefined);
  if (waiting.length === 0) throw new TimingError('no request waits for a slot');
  fleet.instances[victim]?.process.sendSignal('SIGKILL');
  const startMs = performance.now();
  const first = await waitFor('a free slot', LIMIT_MS, () =>
    load.requests.find(({ firstByteAtMs }) => (firstByteAtMs ?? 0) > startMs + SIGNAL_MARGIN_MS),
  );
  await sleep(SETTLE_MS);
  return (first.firstByteAtMs ?? startMs) - startMs;
}

/** Time from the fault to the last request that the first engine received; 0 when none came. */
async function measureLastRequest(
  fleet: Fleet,
  injectFault: (engine: Fleet['engines'][number]) => Promise<void> | void,
): Promise<number> {
  const engine = fleet.engines[0];
  if (engine === undefined) throw new TimingError('no engine');
  await sleep(SETTLE_MS);
  const startMs = performance.now();
  await injectFault(engine);
  await sleep(OBSERVATION_MS);
  let lastMs = startMs;
  for (const postMs of engine.forwarder.postTimesMs) {
    if (postMs < startMs) continue;
    if (postMs - lastMs > PROBE_GAP_MS) break;
    lastMs = postMs;
  }
  return lastMs - startMs;
}

/** Time from the platform's confirmation of a bundle until every instance has it in force. */
async function measureBundle(
  fleet: Fleet,
  injectFault: () => Promise<void> | void,
): Promise<number> {
  await sleep(SETTLE_MS);
  await injectFault();
  const number = await fleet.acceptBundle();
  const startMs = performance.now();
  await Promise.all(
    fleet.instances.map((_, index) =>
      waitFor('the bundle in force', LIMIT_MS, async () => {
        const status = await fleet.readStatus(index);
        return (status?.bundle?.number ?? 0) >= number ? true : undefined;
      }),
    ),
  );
  return performance.now() - startMs;
}

/** Time from SIGTERM at the shard's owner, with streams in flight, to its exit. */
async function measurePlannedStop(fleet: Fleet, load: SteadyLoad): Promise<number> {
  const owner = await fleet.findOwner();
  await sleep(SETTLE_MS);
  const streams = [load.send(owner, STREAM_TOKENS), load.send(owner, STREAM_TOKENS)];
  load.requests.push(...streams);
  await sleep(SETTLE_MS / 2);
  const stopped = fleet.instances[owner]?.process;
  if (stopped === undefined) throw new TimingError('no owner');
  const startMs = performance.now();
  stopped.sendSignal('SIGTERM');
  await sleep(Math.min(BALANCER_CHECK_MS, BALANCER_LAG_MS));
  load.removeEntry(owner);
  await stopped.exited;
  return performance.now() - startMs;
}
