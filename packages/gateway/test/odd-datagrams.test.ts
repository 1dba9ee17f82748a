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
