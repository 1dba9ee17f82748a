import { measureHeapBytes } from './heap';
import { createFigure, type Figure, type Measurement, type MeasurementScope } from './measurement';
import { SimulatedFleet } from './simulated-fleet';

const FULL_SIZE = 530;
const QUICK_SIZE = 50;
const IDLE_MS = 20_000;
const SETTLE_MS = 5_000;
const LIMIT_MS = 60_000;
const RACK_INSTANCES = 35;
const REGIONS = 6;
const CUT_MS = 60_000;
const KILOBYTE = 1_000;

/** Idle membership at the design size in one process and virtual time. */
export const membership: Measurement = {
  description: 'membership of simulated members in virtual time, every datagram encoded',
  run: ({ scope }) => Promise.resolve(toNamedFigures(scope, measureIdle)),
};

/** Loss of one instance and of a rack. */
export const membershipLoss: Measurement = {
  description: 'loss of 1 and of 35 simulated members at once',
  run: ({ scope }) =>
    Promise.resolve([
      ...toNamedFigures(scope, (size) => measureLoss(size, 1)),
      ...toNamedFigures(scope, (size) => measureLoss(size, RACK_INSTANCES)),
    ]),
};

/** A region that is cut off and comes back. */
export const membershipCut: Measurement = {
  description: 'one of six regions cut off for 60 s, then healed',
  run: ({ scope }) => Promise.resolve(toNamedFigures(scope, measureCut)),
};

function toNamedFigures(scope: MeasurementScope, measure: (size: number) => Figure[]): Figure[] {
  const size = scope === 'quick' ? QUICK_SIZE : FULL_SIZE;
  return measure(size).map(({ name, value, unit }) =>
    createFigure(`n=${size} ${name}`, value, unit),
  );
}

function measureIdle(size: number): Figure[] {
  const emptyBytes = measureHeapBytes();
  const fleet = new SimulatedFleet(size, 1);
  fleet.run(SETTLE_MS);
  const heapBytes = measureHeapBytes() - emptyBytes;
  const startedAt = process.cpuUsage();
  const traffic = measureTraffic(fleet, IDLE_MS, () => false);
  const used = process.cpuUsage(startedAt);
  const cpuSeconds = (used.user + used.system) / 1e6;
  const share = cpuSeconds / (IDLE_MS / 1_000) / size;
  const microseconds = (cpuSeconds * 1e6) / (traffic.messages / 2);
  const spreadMs = measureBundleSpread(fleet);
  return [
    { name: 'idle bytes sent and received', value: traffic.meanBytes, unit: 'B/s/instance' },
    { name: 'idle bytes, highest', value: traffic.highestBytes, unit: 'B/s/instance' },
    { name: 'idle processor', value: 100 * share, unit: '% of a core/instance' },
    { name: 'processor for a datagram sent and received', value: microseconds, unit: 'us' },
    { name: 'heap', value: heapBytes / size / KILOBYTE, unit: 'kB/instance' },
    { name: 'bundle number known everywhere after', value: spreadMs, unit: 'ms' },
  ];
}

function measureBundleSpread(fleet: SimulatedFleet): number {
  const startMs = fleet.nowMs;
  const first = fleet.getMember(0);
  first.bundleNumber = 2;
  first.state.setBundleNumber(2);
  fleet.run(LIMIT_MS, () => fleet.members.every(({ bundleNumber }) => bundleNumber === 2));
  return fleet.nowMs - startMs;
}

/** Stops the first `count` members at once and runs until no other member lists them. */
function measureLoss(size: number, count: number): Figure[] {
  const fleet = new SimulatedFleet(size, 2);
  fleet.run(SETTLE_MS);
  const lost = new Set<string>();
  for (const member of fleet.members.slice(0, count)) {
    member.isUp = false;
    lost.add(member.id);
  }
  const startMs = fleet.nowMs;
  const live = fleet.members.slice(count);
  const changesBefore = live.reduce((sum, { viewChanges }) => sum + viewChanges, 0);
  const traffic = measureTraffic(fleet, LIMIT_MS, () =>
    live.every((one) => !isAnyListed(one, lost)),
  );
  const changes = live.reduce((sum, { viewChanges }) => sum + viewChanges, 0) - changesBefore;
  const name = `${count} lost:`;
  return [
    { name: `${name} removed everywhere after`, value: fleet.nowMs - startMs, unit: 'ms' },
    { name: `${name} bytes meanwhile`, value: traffic.meanBytes, unit: 'B/s/instance' },
    { name: `${name} bytes meanwhile, highest`, value: traffic.highestBytes, unit: 'B/s/instance' },
    { name: `${name} view changes`, value: changes / live.length, unit: '1/instance' },
  ];
}

function isAnyListed(member: SimulatedFleet['members'][number], ids: ReadonlySet<string>): boolean {
  return member.state.getView().members.some(({ instanceId }) => ids.has(instanceId));
}

/** Cuts one region of six off for a minute, and heals the cut. */
function measureCut(size: number): Figure[] {
  const fleet = new SimulatedFleet(size, 3);
  fleet.run(SETTLE_MS);
  const isInside = (index: number) => index % REGIONS === 0;
  fleet.isCut = (from, to) => isInside(from) !== isInside(to);
  const inside = fleet.members.filter((_, index) => isInside(index));
  const outside = fleet.members.filter((_, index) => !isInside(index));
  const startMs = fleet.nowMs;
  let splitMs = Number.NaN;
  const isSplit = () =>
    inside.every(({ state }) => state.getView().members.length === inside.length) &&
    outside.every(({ state }) => state.getView().members.length === outside.length);
  const during = measureTraffic(fleet, CUT_MS, () => {
    if (Number.isNaN(splitMs) && isSplit()) splitMs = fleet.nowMs - startMs;
    return false;
  });
  fleet.isCut = () => false;
  const healedMs = fleet.nowMs;
  const isWhole = fleet.members.every.bind(fleet.members, ({ state }) => {
    return state.getView().members.length === size;
  });
  const after = measureTraffic(fleet, 2 * LIMIT_MS, isWhole);
  return [
    { name: 'region cut: views split after', value: splitMs, unit: 'ms' },
    { name: 'region cut: bytes', value: during.meanBytes, unit: 'B/s/instance' },
    { name: 'region cut: bytes, highest', value: during.highestBytes, unit: 'B/s/instance' },
    { name: 'region healed: views whole after', value: fleet.nowMs - healedMs, unit: 'ms' },
    { name: 'region healed: bytes meanwhile', value: after.meanBytes, unit: 'B/s/instance' },
  ];
}

/** Runs the fleet; bytes a second sent and received by the members that are up. */
function measureTraffic(fleet: SimulatedFleet, durationMs: number, isDone: () => boolean) {
  const members = fleet.members.filter(({ isUp }) => isUp);
  const before = members.map(({ bytes, messages }) => ({ bytes, messages }));
  const startMs = fleet.nowMs;
  fleet.run(durationMs, isDone);
  const seconds = (fleet.nowMs - startMs) / 1_000;
  const rates = members.map(({ bytes }, index) => (bytes - (before[index]?.bytes ?? 0)) / seconds);
  const messages = members.map((one, index) => one.messages - (before[index]?.messages ?? 0));
  return {
    meanBytes: rates.reduce((sum, rate) => sum + rate, 0) / rates.length,
    highestBytes: Math.max(...rates),
    messages: messages.reduce((sum, count) => sum + count, 0),
  };
}
