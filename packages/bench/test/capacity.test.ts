import { expect, test } from 'vitest';
import { MEASUREMENT_NAMES, MEASUREMENTS } from '../src/capacity/measurements';
import { readProcessUsage } from '../src/capacity/process-usage';
import { SimulatedFleet } from '../src/capacity/simulated-fleet';

// Guards against a field of /proc/PID/stat that is counted wrongly, which would give plausible figures.
test('processor time and memory agree with what the process knows of itself', () => {
  const before = readProcessUsage(process.pid);
  const startedAt = process.cpuUsage();
  while (process.cpuUsage(startedAt).user < 200_000) Math.sqrt(2);
  const usage = readProcessUsage(process.pid);
  const spentSeconds = usage.cpuSeconds - before.cpuSeconds;
  expect(spentSeconds).toBeGreaterThanOrEqual(0.18);
  expect(spentSeconds).toBeLessThan(1);
  const residentBytes = process.memoryUsage().rss;
  expect(usage.residentBytes / residentBytes).toBeGreaterThan(0.8);
  expect(usage.residentBytes / residentBytes).toBeLessThan(1.25);
});

// Guards against a simulation that loses datagrams or counts them on one side only: its members would suspect each other.
test('simulated members without faults keep each other and answer every probe', () => {
  const fleet = new SimulatedFleet(6, 1);
  fleet.run(20_000);
  const messages = fleet.members.reduce((sum, one) => sum + one.messages, 0);
  for (const { state } of fleet.members) {
    expect(state.getView().members.map((member) => member.state)).toEqual(Array(6).fill('alive'));
  }
  // Two probes a second, each with one answer, and both are sent once and received once.
  const perMemberAndSecond = messages / 6 / 20;
  expect(perMemberAndSecond).toBeGreaterThan(7.5);
  expect(perMemberAndSecond).toBeLessThan(8.5);
});

// Guards against a measurement that exists and is never run by the command.
test('the order lists every measurement once', () => {
  expect([...MEASUREMENT_NAMES].sort()).toEqual(Object.keys(MEASUREMENTS).sort());
});
