import { expect, test } from 'vitest';
import { computeReaderCount, listByReaderRank, ReaderContact } from '../../src';
import type { ReaderCandidate } from '../../src';

const DOMAINS = 5;

function makeCandidates(count: number): ReaderCandidate[] {
  return Array.from({ length: count }, (_, index) => ({
    instanceId: `entry-${index}`,
    failureDomain: `domain-${index % DOMAINS}`,
  }));
}

function createContact(instanceId: string, count: number): ReaderContact {
  const contact = new ReaderContact(instanceId);
  contact.setCandidates(makeCandidates(count));
  return contact;
}

function listReaders(count: number, nowMs = 0): string[] {
  return makeCandidates(count)
    .map(({ instanceId }) => instanceId)
    .filter((instanceId) => createContact(instanceId, count).isReader(nowMs));
}

test.each([
  { instances: 1, readers: 2 },
  { instances: 9, readers: 2 },
  { instances: 65, readers: 2 },
  { instances: 195, readers: 5 },
  { instances: 600, readers: 15 },
])('$instances instances have $readers readers', ({ instances, readers }) => {
  expect(computeReaderCount(instances)).toBe(readers);
});

test.each([9, 65, 195])('%i instances agree on the readers without asking each other', (count) => {
  expect(listReaders(count)).toHaveLength(computeReaderCount(count));
});

// Guards against the loss of all readers with one failure domain.
test.each([9, 65, 195])('the readers of %i instances are in different failure domains', (count) => {
  const first = listByReaderRank(makeCandidates(count)).slice(0, computeReaderCount(count));
  const domains = first.map((instanceId) => Number(instanceId.split('-')[1]) % DOMAINS);
  expect(new Set(domains).size).toBe(Math.min(DOMAINS, first.length));
});

test('the ranking does not depend on the order in which instances are known', () => {
  const candidates = makeCandidates(62);
  expect(listByReaderRank([...candidates].reverse())).toEqual(listByReaderRank(candidates));
});

test('an instance that the others do not know reads for itself', () => {
  expect(createContact('entry-new', 195).isReader(0)).toBe(true);
});

interface AskingCase {
  name: string;
  /** What the instance has seen of the first readers, in rank. */
  seen: readonly ('recent' | 'outdated' | 'silent' | 'one miss')[];
  /** Ranks of which the instance asks one. */
  expectedRanks: readonly number[];
}

const askingCases: AskingCase[] = [
  { name: 'nothing is known', seen: [], expectedRanks: [0, 1, 2, 3, 4] },
  { name: 'one datagram was lost', seen: ['one miss'], expectedRanks: [0, 1, 2, 3, 4] },
  { name: 'a reader is silent', seen: ['silent'], expectedRanks: [1, 2, 3, 4, 5] },
  { name: 'a reader is outdated', seen: ['outdated'], expectedRanks: [1, 2, 3, 4] },
  {
    ...{ name: 'all readers are outdated', expectedRanks: [5, 6] },
    seen: ['outdated', 'outdated', 'outdated', 'outdated', 'outdated'],
  },
  {
    ...{ name: 'all are outdated', expectedRanks: [0, 1, 2, 3, 4, 5, 6] },
    seen: ['outdated', 'outdated', 'outdated', 'outdated', 'outdated', 'outdated', 'outdated'],
  },
];

// Guards against an instance that keeps to a reader that does not help it, or that asks many.
test.each(askingCases)(
  '$name: an instance asks one of $expectedRanks',
  ({ seen, expectedRanks }) => {
    const ranked = listByReaderRank(makeCandidates(195));
    const asker = ranked.at(-1) ?? '';
    const contact = createContact(asker, 195);
    for (const [rank, sight] of seen.entries()) {
      const instanceId = ranked[rank] ?? '';
      switch (sight) {
        case 'silent':
          contact.recordSilence(instanceId, 0);
          contact.recordSilence(instanceId, 250);
          break;
        case 'one miss':
          contact.recordSilence(instanceId, 0);
          break;
        case 'recent':
        case 'outdated':
          contact.recordAnswer(instanceId, sight, 0);
          break;
      }
    }
    const asked = contact.choosePreferred(500);
    expect(expectedRanks).toContain(ranked.indexOf(asked ?? ''));
  },
);

test('the instances spread over the readers and keep to theirs', () => {
  const ranked = listByReaderRank(makeCandidates(195));
  const counts = new Map<string, number>();
  for (const instanceId of ranked.slice(5)) {
    const contact = createContact(instanceId, 195);
    const asked = contact.choosePreferred(0) ?? '';
    expect(contact.choosePreferred(10_000)).toBe(asked);
    counts.set(asked, (counts.get(asked) ?? 0) + 1);
  }
  expect(counts.size).toBe(5);
  expect(Math.max(...counts.values())).toBeLessThan(2 * (190 / 5));
});

// Guards against a fleet that is without readers for as long as the list of instances names those that are lost.
test('the next in rank read when readers are silent, and stop when these answer again', () => {
  const ranked = listByReaderRank(makeCandidates(195));
  const next = createContact(ranked[5] ?? '', 195);
  expect(next.isReader(0)).toBe(false);
  const lost = ranked[2] ?? '';
  next.recordSilence(lost, 0);
  next.recordSilence(lost, 250);
  expect(next.isReader(300)).toBe(true);
  next.recordAnswer(lost, 'recent', 400);
  expect(next.isReader(500)).toBe(false);
});

test('others are asked that have not been asked before', () => {
  const ranked = listByReaderRank(makeCandidates(62));
  const contact = createContact(ranked.at(-1) ?? '', 62);
  const asked = contact.choosePreferred(0) ?? '';
  const others = contact.chooseOthers(0, [asked], 3);
  expect(others).toHaveLength(3);
  expect(others).not.toContain(asked);
});

// Guards against calls in an outage that grow with the fleet.
test.each([9, 65, 195, 600])(
  '%i instances call the store at a bounded rate in an outage',
  (count) => {
    const contact = createContact('entry-0', count);
    const meanDelayMs = contact.computeProbeDelayMs(0.5);
    const callsPerSecond = (count * 1_000) / (2 * meanDelayMs);
    expect(callsPerSecond).toBeLessThanOrEqual(2 * computeReaderCount(count) + 0.001);
  },
);
