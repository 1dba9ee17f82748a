import { expect, test } from 'vitest';
import { ChangeLog } from '../src/change-log';
import type { SharedChange } from '../src/change-log';
import type { StoredObject } from '../src/object-store';
import { StoreNewsParts } from '../src/store-news-parts';
import { splitNews } from '../src/store-message-codec';
import type { KindNews } from '../src/store-message-codec';

const END = { era: 1, revision: 9 };
const START = { era: 2, revision: 6 };

const makeObject = (name: string, revision: number, spec: unknown): StoredObject => ({
  ...{ name, revision, spec },
});

const crossingCases: { name: string; listed: StoredObject[]; changed: string[] }[] = [
  { name: 'the same objects', listed: [makeObject('a', 4, 1), makeObject('b', 8, 1)], changed: [] },
  {
    ...{ name: 'the same revision with other contents', changed: ['a'] },
    listed: [makeObject('a', 4, 2), makeObject('b', 8, 1)],
  },
  {
    ...{ name: 'a newer object with a lower revision', changed: ['b'] },
    listed: [makeObject('a', 4, 1), makeObject('b', 5, 2)],
  },
  { name: 'an object that is gone', listed: [makeObject('a', 4, 1)], changed: ['b'] },
];

// Guards against objects of a new era that are taken for those of the earlier one since their revisions are the same or lower.
test.each(crossingCases)('a listing in a new era with $name changes $changed', (crossing) => {
  const log = new ChangeLog();
  const objects = [makeObject('a', 4, 1), makeObject('b', 8, 1)];
  log.recordListing({ objects, revision: 8, era: 1 });
  log.recordListing({ objects: crossing.listed, ...START }, END);
  const since = log.listSince({ era: 1, revision: 8 });
  const steps = since.kind === 'changes' ? since.steps : [];
  expect(steps.map(({ from, to }) => [from, to])).toEqual([
    [{ era: 1, revision: 8 }, END],
    [END, START],
    [START, undefined],
  ]);
  expect(steps[1]?.changes.map(({ name }) => name)).toEqual(crossing.changed);
  expect(steps[1]?.changes.every(({ position }) => position.era === 2)).toBe(true);
});

function makeCrossing(count: number): KindNews {
  const changes = Array.from({ length: count }, (_, index): SharedChange => ({
    ...{ kind: 'put', name: `server-${index}`, position: START, revision: 3 },
    text: JSON.stringify('x'.repeat(200)),
  }));
  return { kind: 'servers', from: END, to: START, ageMs: 30, changes };
}

// Guards against an instance that takes a part of a listing's differences for all of them, as the parts have the same position.
test.each([
  { name: 'in order', order: [0, 1, 2] },
  { name: 'in reverse', order: [2, 1, 0] },
  { name: 'twice', order: [0, 0, 2, 2, 1] },
])('the parts of a listing that arrive $name are taken in together', ({ order }) => {
  const news = makeCrossing(9);
  const sent = splitNews([news]).flat();
  expect(sent).toHaveLength(3);
  const parts = new StoreNewsParts();
  const collected = order.map((index) => {
    const part = sent[index];
    return part && parts.collect('entry-1', part);
  });
  expect(collected.slice(0, -1).every((result) => result === undefined)).toBe(true);
  expect(collected.at(-1)).toEqual(news);
});

test('parts of different senders or listings are not mixed', () => {
  const sent = splitNews([makeCrossing(9)]).flat();
  const others = splitNews([{ ...makeCrossing(9), to: { era: 2, revision: 7 } }]).flat();
  const parts = new StoreNewsParts();
  const [first, second, third] = sent;
  const collected = [
    first && parts.collect('entry-1', first),
    second && parts.collect('entry-2', second),
    others[1] && parts.collect('entry-1', others[1]),
    third && parts.collect('entry-1', third),
  ];
  expect(collected).toEqual([undefined, undefined, undefined, undefined]);
});
