import { expect, test } from 'vitest';
import { OrderBook } from '../../src';
import type { OrderOutcome } from '../../src';

const BOOT_MS = 4_000;
const makeOrder = (count: number) => ({ failureDomain: 'a', kind: 'preemptible' as const, count });

/** One step a second: servers present, servers wanted, the outcome if an order is sent, and whether one is. */
type Step = [present: number, wanted: number, outcome: OrderOutcome, isSent: boolean];

test.each<{ name: string; steps: Step[] }>([
  {
    name: 'an accepted order is not repeated while its servers boot',
    steps: [
      [0, 5, 'accepted', true],
      ...Array.from({ length: 6 }, (): Step => [0, 5, 'accepted', false]),
      [0, 5, 'accepted', true],
    ],
  },
  {
    name: 'an order without an answer is repeated, less often after some time',
    steps: [
      ...Array.from({ length: 3 }, (): Step => [0, 5, 'unknown', true]),
      [0, 5, 'unknown', false],
      [0, 5, 'unknown', false],
      [0, 5, 'accepted', true],
      [0, 5, 'accepted', false],
    ],
  },
  {
    name: 'an order that finds no servers is repeated after some seconds',
    steps: [
      [0, 5, 'unavailable', true],
      [0, 5, 'unavailable', false],
      [0, 5, 'unavailable', false],
      [0, 5, 'accepted', true],
      [0, 5, 'accepted', false],
    ],
  },
  {
    name: 'a throttled order is repeated',
    steps: [
      [0, 5, 'throttled', true],
      [0, 5, 'accepted', true],
      [0, 5, 'accepted', false],
    ],
  },
  {
    name: 'an order is repeated when servers are reclaimed',
    steps: [
      [0, 5, 'accepted', true],
      [5, 5, 'accepted', false],
      [0, 5, 'accepted', true],
      [0, 5, 'accepted', false],
    ],
  },
  {
    // A lost call that is carried out late undoes a newer order.
    name: 'an order is repeated when the servers differ from it for long',
    steps: [
      [5, 3, 'accepted', true],
      ...Array.from({ length: 6 }, (): Step => [5, 3, 'accepted', false]),
      [5, 3, 'accepted', true],
    ],
  },
  {
    name: 'nothing is ordered while the servers are those wanted',
    steps: [
      [5, 5, 'accepted', false],
      [5, 5, 'accepted', false],
    ],
  },
])('$name', ({ steps }) => {
  const book = new OrderBook();
  for (const [index, [present, wanted, outcome, isSent]] of steps.entries()) {
    const nowMs = index * 1_000;
    book.observe(new Map([['a', { preemptible: present, 'on-demand': 0 }]]), nowMs, BOOT_MS);
    const due = book.selectDue([makeOrder(wanted)], nowMs, BOOT_MS);
    expect(due, `step ${index}`).toHaveLength(isSent ? 1 : 0);
    for (const order of due) {
      book.recordSend(order, nowMs);
      book.recordOutcome(order, outcome, nowMs);
    }
  }
});

// Guards against calls that pile up while the platform is slow.
test('no second order is sent for a kind before the first one is answered', () => {
  const book = new OrderBook();
  book.recordSend(makeOrder(5), 0);
  expect(book.selectDue([makeOrder(6)], 9_000, BOOT_MS)).toEqual([]);
  book.recordOutcome(makeOrder(5), 'unknown', 9_000);
  expect(book.selectDue([makeOrder(6)], 9_000, BOOT_MS)).toEqual([makeOrder(6)]);
});

// Guards against a service that is never scaled again after a call that hangs.
test('an order is sent again when its answer is 10 s late', () => {
  const book = new OrderBook();
  book.recordSend(makeOrder(5), 0);
  expect(book.selectDue([makeOrder(5)], 10_000, BOOT_MS)).toEqual([makeOrder(5)]);
});

// Guards against a second that is lost until the platform refuses to replace servers that it has taken back.
test.each([
  { present: 1, isAvailable: false },
  { present: 5, isAvailable: false },
  { present: 6, isAvailable: true },
  { present: 10, isAvailable: true },
])('of ten preemptible servers $present are left: more are available: $isAvailable', (lossCase) => {
  const { present, isAvailable } = lossCase;
  const makeFleet = (count: number) => new Map([['a', { preemptible: count, 'on-demand': 0 }]]);
  const book = new OrderBook();
  book.recordSend(makeOrder(10), 0);
  book.recordOutcome(makeOrder(10), 'accepted', 0);
  book.observe(makeFleet(10), 5_000, BOOT_MS);
  book.observe(makeFleet(present), 6_000, BOOT_MS);
  expect(book.isAvailable('a', 'preemptible')).toBe(isAvailable);
  // The order is repeated at once all the same, and its answer decides.
  expect(book.selectDue([makeOrder(10)], 6_000, BOOT_MS)).toHaveLength(present < 10 ? 1 : 0);
  book.recordOutcome(makeOrder(10), 'accepted', 6_100);
  expect(book.isAvailable('a', 'preemptible')).toBe(true);
});

// Guards against capacity that is counted on although the platform does not deliver it.
test('servers that do not appear in time are not expected any more', () => {
  const book = new OrderBook();
  book.recordSend(makeOrder(5), 0);
  book.recordOutcome(makeOrder(5), 'accepted', 0);
  const fleet = new Map([['a', { preemptible: 0, 'on-demand': 0 }]]);
  book.observe(fleet, 5_000, BOOT_MS);
  expect(book.isAvailable('a', 'preemptible')).toBe(true);
  book.observe(fleet, 7_000, BOOT_MS);
  expect(book.isAvailable('a', 'preemptible')).toBe(false);
  book.observe(new Map([['a', { preemptible: 5, 'on-demand': 0 }]]), 8_000, BOOT_MS);
  expect(book.isAvailable('a', 'preemptible')).toBe(true);
});
