import { describe, expect, it } from 'vitest';
import { computeNextToken, computeTokenEra, LeaseEras, MAX_TOKEN_ERA } from '../src';

describe('next token', () => {
  it.each([
    ['the first of a store without eras', 0, 0, 0, 1],
    ['one above the stored one', 0, 7, 0, 8],
    ['one above a token that only this instance has tried', 0, 7, 9, 10],
    ['that of a new era above the counter of the last one', 2, 1_000_000_007, 0, 2_000_000_008],
    ['that of a new era whose backup has lost the lease', 2, 0, 1_000_000_007, 2_000_000_001],
  ])('is %s', (_, era, stored, highest, expected) => {
    expect(computeNextToken(era, stored, highest, 0)).toBe(expected);
  });

  it('is a safe integer in the highest era, so that none is rounded to another', () => {
    const token = computeNextToken(MAX_TOKEN_ERA, 900_000_000, 0, 0.999);
    expect(Number.isSafeInteger(token)).toBe(true);
    expect(computeTokenEra(token)).toBe(MAX_TOKEN_ERA);
  });

  it('differs from that of an instance whose lease it has replaced unseen', () => {
    expect(computeNextToken(1, 5, 0, 0.3)).not.toBe(computeNextToken(1, 5, 0, 0.7));
  });
});

describe('era of responses', () => {
  it.each<[string, number[], (number | undefined)[]]>([
    ['follows restores', [1, 2, 3], [1, 2, 3]],
    ['refuses a response from before a restore', [1, 2, 1, 2], [1, 2, undefined, 2]],
    ['keeps the last one when the header is missing', [4, 0, 4], [4, 4, 4]],
    ['keeps the last one when the header is huge', [4, 10 ** 15, 4], [4, 4, 4]],
    [
      'takes 0 for a missing header, also after a first response without it',
      [0, 1, 0, 1],
      [0, 1, 1, 1],
    ],
    ['is 0 for a store without eras', [0, 0], [0, 0]],
  ])('%s', (_, seen, expected) => {
    const eras = new LeaseEras();
    expect(seen.map((era) => eras.observe(era))).toEqual(expected);
  });
});
