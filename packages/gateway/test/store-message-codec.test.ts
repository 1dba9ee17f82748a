import { encodeCbor } from '@pollendrum/protocol';
import { expect, test } from 'vitest';
import type { SharedChange } from '../src/change-log';
import { decodeStoreMessage, encodeStoreMessage, splitNews } from '../src/store-message-codec';
import type { KindNews, StoreMessageContent } from '../src/store-message-codec';

const MAX_DATAGRAM_BYTES = 1_200;
const at = (revision: number, era = 0) => ({ era, revision });
const SENDER = { questionId: 7, instanceId: 'edge-gp-a-12' };
const POSITION = { kind: 'config', position: at(4), ageMs: 12 };

function makeNews(changes: readonly SharedChange[] | undefined, ageMs = 30): KindNews {
  return { kind: 'servers', from: at(4), to: at(900), ageMs, changes };
}

function makePuts(count: number, length = 200): SharedChange[] {
  return Array.from({ length: count }, (_, index) => ({
    ...{
      kind: 'put' as const,
      name: `server-${index}`,
      position: at(5 + index),
      revision: 5 + index,
    },
    text: JSON.stringify('x'.repeat(length)),
  }));
}

const messages: { name: string; message: StoreMessageContent }[] = [
  { name: 'a question', message: { kind: 'question', ...SENDER, positions: [POSITION] } },
  {
    name: 'a question of an instance that is not in sync',
    message: { kind: 'question', ...SENDER, positions: [{ ...POSITION, ageMs: undefined }] },
  },
  {
    name: 'news',
    message: {
      ...{ kind: 'news', ...SENDER },
      news: [
        makeNews([
          { kind: 'put', name: 'a', position: at(8), revision: 5, text: '{}' },
          {
            kind: 'patched',
            name: 'b',
            position: at(9),
            revision: 6,
            baseRevision: 2,
            patch: Buffer.from([0, 255]),
          },
          { kind: 'deleted', name: 'c', position: at(9) },
        ]),
      ],
    },
  },
  {
    name: 'news without the changes',
    message: { kind: 'news', ...SENDER, news: [makeNews(undefined)] },
  },
  { name: 'an answer that knows nothing', message: { kind: 'news', ...SENDER, news: [] } },
];

test.each(messages)('$name is read as it was written', ({ message }) => {
  expect(decodeStoreMessage(encodeStoreMessage(message))).toEqual({ kind: 'message', message });
});

test.each([
  { name: 'no CBOR', bytes: Buffer.from([0x82, 0xff]) },
  { name: 'another message', bytes: encodeCbor(['other', []]) },
  { name: 'a question without a sender', bytes: encodeCbor(['question', [1, null, []]]) },
  { name: 'a negative revision', bytes: encodeCbor(['question', [1, 'a', [['config', -1, 2]]]]) },
  {
    name: 'a revision that is no integer',
    bytes: encodeCbor(['question', [1, 'a', [['config', 1.5, 2]]]]),
  },
  {
    name: 'a revision that is infinite',
    bytes: encodeCbor(['question', [1, 'a', [['config', Infinity, 2]]]]),
  },
  {
    name: 'an age that is text',
    bytes: encodeCbor(['question', [1, 'a', [['config', 1, 'now']]]]),
  },
  {
    name: 'an age that is negative',
    bytes: encodeCbor(['news', [1, 'a', [['config', 1, 2, -5, []]]]]),
  },
  {
    name: 'changes that are no list',
    bytes: encodeCbor(['news', [1, 'a', [['config', 1, 2, 5, {}]]]]),
  },
  {
    name: 'a change of another kind',
    bytes: encodeCbor(['news', [1, 'a', [['config', 1, 2, 5, [['moved', 'a', 1]]]]]]),
  },
  { name: 'a long sender', bytes: encodeCbor(['question', [1, 'a'.repeat(300), []]]) },
  {
    name: 'many kinds',
    bytes: encodeCbor(['question', [1, 'a', Array.from({ length: 33 }, () => ['config', 1, 2])]]),
  },
])('a datagram with $name is invalid', ({ bytes }) => {
  expect(decodeStoreMessage(bytes).kind).toBe('invalid');
});

// Guards against datagrams that networks split, and against changes that seem complete when a part of them is lost.
test.each([
  { name: 'no change', changes: makePuts(0), parts: 1 },
  { name: 'one change', changes: makePuts(1), parts: 1 },
  { name: '12 changes', changes: makePuts(12), parts: 4 },
  { name: 'small changes', changes: makePuts(30, 1), parts: 3 },
])('$name travel in datagrams that are not split', ({ changes, parts }) => {
  const split = splitNews([makeNews(changes)]);
  expect(split).toHaveLength(parts);
  for (const news of split) {
    const bytes = encodeStoreMessage({ kind: 'news', ...SENDER, news });
    expect(bytes.length).toBeLessThanOrEqual(MAX_DATAGRAM_BYTES);
  }
  const sent = split.flat();
  expect(sent.flatMap((part) => part.changes ?? [])).toEqual(changes);
  expect(sent.map(({ ageMs }) => ageMs)).toEqual(
    sent.map((_, index) => (index === parts - 1 ? 30 : undefined)),
  );
  for (const [index, part] of sent.entries()) {
    expect(part.from).toEqual(index === 0 ? at(4) : sent[index - 1]?.to);
  }
  expect(sent.at(-1)?.to).toEqual(at(900));
});

test.each([
  { name: 'a change that is larger than a datagram', changes: makePuts(1, 2_000) },
  { name: 'more changes than an answer holds', changes: makePuts(200) },
])('$name is left to the store', ({ changes }) => {
  expect(splitNews([makeNews(changes)])).toEqual([[{ ...makeNews(undefined), ageMs: undefined }]]);
});
