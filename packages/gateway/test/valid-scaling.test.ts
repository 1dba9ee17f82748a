import { expect, test } from 'vitest';
import type { Service, ServiceScaling } from '../src';
import { RouteTable } from '../src/route-table';
import { resolveScaling } from '../src/scaling/valid-scaling';
import { makeBundle } from './gateway-fixture';

const OLD: ServiceScaling = {
  minServers: 1,
  maxServers: 4,
  bootMs: 4_000,
  preemptiblePriceShare: 0.22,
  priceByFailureDomain: new Map(),
};
const NEW: ServiceScaling = { ...OLD, maxServers: 9 };
const makeDesk = (fields: Partial<Service>) =>
  makeBundle({ services: [{ name: 'desk', maxConnections: 9, engine: undefined, ...fields }] });

// Guards against a mistake in the configuration that ends the orders of a service or takes over wrong bounds.
test.each([
  { name: 'a valid one', previous: OLD, next: { scaling: NEW }, expected: NEW },
  { name: 'an invalid one', previous: OLD, next: { hasInvalidScaling: true }, expected: OLD },
  { name: 'none', previous: OLD, next: {}, expected: undefined },
  {
    name: 'an invalid first one',
    ...{ previous: undefined, next: { hasInvalidScaling: true }, expected: undefined },
  },
])('the scaling in force after $name', ({ previous, next, expected }) => {
  const known = previous && new RouteTable(makeDesk({ scaling: previous }));
  const bundle = resolveScaling(makeDesk(next), known);
  expect(bundle.services[0]?.scaling).toEqual(expected);
  // A second invalid configuration keeps it as well.
  const again = resolveScaling(makeDesk({ hasInvalidScaling: true }), new RouteTable(bundle));
  expect(again.services[0]?.scaling).toEqual(expected);
});
