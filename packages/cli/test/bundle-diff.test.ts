import { describe, expect, test } from 'vitest';
import { diffBundles } from '../src/bundles/bundle-diff';
import { createStarterBundle } from '@pollendrum/platform';

const before = createStarterBundle(1, 'a'.repeat(64));

// Guards against reviews that miss a change, or drown in changes that only reorder lists.
describe('diffBundles', () => {
  test.each([
    ['reordered classes', { classes: [...before.classes].reverse() }, []],
    ['a new number', { number: 2 }, ['changed /number']],
    ['a removed service', { services: [] }, ['removed /services/orders']],
    [
      'a changed weight and a new team',
      {
        teams: [
          { ...before.teams[0], name: 'sample', weight: 3 },
          { name: 'next', keySha256: ['b'.repeat(64)], classes: ['plan'] },
        ],
      },
      ['changed /teams/sample/weight', 'added /teams/next'],
    ],
  ])('reports %s', (_name, change, expected) => {
    const after = { ...before, ...change } as typeof before;
    const found = diffBundles(before, after).map((item) => `${item.kind} ${item.pointer}`);
    expect(found).toEqual(expected);
  });
});
