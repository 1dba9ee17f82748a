import { encodeCbor } from '@pollendrum/protocol';
import { expect, test } from 'vitest';
import { decodeGossip } from '../src/gossip-codec';
import { decodeLoadReport } from '../src/load-report-codec';
import { decodeSendCounts } from '../src/send-count-codec';

const DEPTH = 60_000;
const NESTED = Buffer.concat([Buffer.alloc(DEPTH, 0x81), Buffer.from([0xf6])]);

// Guards against a process that ends because of one datagram.
test.each([
  { name: 'that is empty', bytes: Buffer.alloc(0) },
  { name: 'that is nested deeply', bytes: NESTED },
  { name: 'with a nested fact', bytes: Buffer.concat([Buffer.from([0x83, 0x60, 0xf4]), NESTED]) },
  { name: 'with an age of NaN', bytes: encodeCbor(['gossip', false, [['sound', 'part a', NaN]]]) },
  {
    name: 'with an infinite limit',
    bytes: encodeCbor(['gossip', false, [['limit', 'a@1', 1, Infinity]]]),
  },
  { name: 'with an infinite count', bytes: encodeCbor(['sends', 'a', 'b', [['c@1', Infinity]]]) },
  { name: 'with a null sequence', bytes: encodeCbor(['a', 'b', null, [], []]) },
  { name: 'of an array that has no end', bytes: Buffer.from([0x9b, 255, 255, 255, 255, 255]) },
])('a datagram $name is invalid', ({ bytes }) => {
  const kinds = [decodeGossip(bytes), decodeLoadReport(bytes), decodeSendCounts(bytes)];
  expect(kinds.map(({ kind }) => kind)).toEqual(['invalid', 'invalid', 'invalid']);
});

// Guards against one odd fact, or one of a newer version, that keeps the other facts of its message from an instance.
test.each([
  { name: 'of an unknown kind', odd: ['moved', 'a@1'] },
  { name: 'with too long an id', odd: ['leaving', 'a'.repeat(200)] },
  { name: 'of no kind', odd: null },
])('a fact $name does not keep the others back', ({ odd }) => {
  const limit = ['limit', 'a@1', 1, 5];
  const decoded = decodeGossip(encodeCbor(['gossip', true, [odd, limit]]));
  expect(decoded).toEqual({
    kind: 'message',
    message: {
      wantsFacts: true,
      facts: [{ kind: 'limit', serverKey: 'a@1', version: 1, requestsPerSecond: 5 }],
    },
  });
});
