import { setTimeout as waitFor } from 'node:timers/promises';
import type { InstanceStatus } from '@pollendrum/router';
import type { PlatformCounts } from '@pollendrum/stand-ins';
import { LocalFleet } from './local-fleet';
import {
  createFigure,
  type Figure,
  type Measurement,
  type MeasurementContext,
} from './measurement';
import { readProcessUsage } from './process-usage';

const FULL_SIZES = [3, 6, 9, 20, 50];
const QUICK_SIZES = [3];
const FULL_SECONDS = 20;
const QUICK_SECONDS = 5;
const SETTLE_MS = 8_000;
const MEGABYTE = 1_000_000;

interface Sample {
  atMs: number;
  cpuSeconds: number;
  residentBytes: number;
  membership: { messages: number; bytes: number };
  links: { messages: number; bytes: number };
  platform: PlatformCounts;
}

/** Cost of an idle instance among n on loopback, each a process of its own. */
export const idleInstances: Measurement = {
  description: 'idle instances as processes: bytes, processor time, memory, platform calls',
  run: async (context) => {
    const figures: Figure[] = [];
    const sizes = context.scope === 'quick' ? QUICK_SIZES : FULL_SIZES;
    for (const size of sizes) figures.push(...(await measureSize(context, size)));
    return figures;
  },
};

async function measureSize(context: MeasurementContext, size: number): Promise<Figure[]> {
  await using fleet = new LocalFleet(context);
  await fleet.start(size);
  await waitFor(SETTLE_MS);
  const before = await sampleFleet(fleet);
  await waitFor((context.scope === 'quick' ? QUICK_SECONDS : FULL_SECONDS) * 1_000);
  const after = await sampleFleet(fleet);
  return compareSamples(size, before, after);
}

async function sampleFleet(fleet: LocalFleet): Promise<Sample> {
  const usages = fleet.instances.map(({ process }) => readProcessUsage(process.pid));
  const atMs = performance.now();
  const platform = await fleet.fetchCounts();
  const statuses = await Promise.all(fleet.instances.map((one) => fleet.fetchStatus(one)));
  for (const status of statuses) assertSettled(status, fleet.instances.length);
  return {
    atMs,
    platform,
    cpuSeconds: computeSum(usages, ({ cpuSeconds }) => cpuSeconds),
    residentBytes: computeSum(usages, ({ residentBytes }) => residentBytes),
    membership: countTraffic(statuses, 'membership'),
    links: countTraffic(statuses, 'links'),
  };
}

/** A fleet that is still joining would be measured as an idle one. */
function assertSettled(status: InstanceStatus, size: number): void {
  const alive = status.members.filter(({ state }) => state === 'alive').length;
  if (alive !== size) throw new Error(`${status.instanceId} sees ${alive} of ${size} alive`);
  if (status.bundle === undefined) throw new Error(`${status.instanceId} has no bundle`);
}

function countTraffic(statuses: readonly InstanceStatus[], kind: 'membership' | 'links') {
  const counts = statuses.map(({ control }) => control?.[kind]);
  return {
    messages: computeSum(counts, (c) => (c?.sentMessages ?? 0) + (c?.receivedMessages ?? 0)),
    bytes: computeSum(counts, (c) => (c?.sentBytes ?? 0) + (c?.receivedBytes ?? 0)),
  };
}

function compareSamples(size: number, before: Sample, after: Sample): Figure[] {
  const seconds = (after.atMs - before.atMs) / 1_000;
  const perInstance = (from: number, to: number) => (to - from) / seconds / size;
  const add = (name: string, value: number, unit: string) =>
    createFigure(`n=${size} ${name}`, value, unit);
  const { platform: start } = before;
  const { platform: end } = after;
  return [
    add(
      'processor',
      100 * perInstance(before.cpuSeconds, after.cpuSeconds),
      '% of a core/instance',
    ),
    add('resident', after.residentBytes / size / MEGABYTE, 'MB/instance'),
    add(
      'membership bytes sent and received',
      perInstance(before.membership.bytes, after.membership.bytes),
      'B/s/instance',
    ),
    add(
      'membership datagrams sent and received',
      perInstance(before.membership.messages, after.membership.messages),
      '1/s/instance',
    ),
    add('link bytes', perInstance(before.links.bytes, after.links.bytes), 'B/s/instance'),
    add('platform plain reads', (end.reads - start.reads) / seconds, '1/s'),
    add('platform watches', (end.watches - start.watches) / seconds, '1/s'),
    add('platform writes', (end.writes - start.writes) / seconds, '1/s'),
  ];
}

function computeSum<T>(values: readonly T[], read: (value: T) => number): number {
  return values.reduce((sum, value) => sum + read(value), 0);
}
