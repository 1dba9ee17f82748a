import { expect, test } from 'vitest';
import { computeFleetPlan } from '../../src';
import type { PlanNeed, PlannedDomain } from '../../src';

const makeDomains = (prices: readonly number[], limits = prices.map(() => 100)): PlannedDomain[] =>
  prices.map((price, index) => ({
    failureDomain: String.fromCharCode('a'.charCodeAt(0) + index),
    prices: { preemptible: price * 0.22, 'on-demand': price },
    limits: { preemptible: limits[index] ?? 0, 'on-demand': 100 },
  }));
const NEED: PlanNeed = { total: 40, afterReclaim: 30, minServers: 0, maxServers: 100 };
const format = (plan: ReturnType<typeof computeFleetPlan>) =>
  [...plan.counts].map(([, counts]) => `${counts.preemptible}+${counts['on-demand']}`).join(' ');

test.each<{ name: string; domains: PlannedDomain[]; need?: Partial<PlanNeed>; plan: string }>([
  { name: 'four domains alike', domains: makeDomains([1, 1, 1, 1]), plan: '10+0 10+0 10+0 10+0' },
  { name: 'prices', domains: makeDomains([0.85, 1.2, 1, 1.1]), plan: '10+0 10+0 10+0 10+0' },
  { name: 'two domains', domains: makeDomains([1, 1]), plan: '30+0 30+0' },
  { name: 'one domain', domains: makeDomains([1]), plan: '10+30' },
  {
    name: 'no preemptible servers anywhere',
    ...{ domains: makeDomains([1, 0.9], [0, 0]), plan: '0+0 0+40' },
  },
  {
    name: 'preemptible servers in some domains',
    ...{ domains: makeDomains([1, 1, 1, 1], [0, 15, 15, 15]), plan: '0+0 15+0 15+0 15+0' },
  },
  {
    name: 'a large minimum',
    ...{ domains: makeDomains([1, 1]), need: { minServers: 40 }, plan: '40+0 40+0' },
  },
  {
    name: 'a small maximum',
    ...{ domains: makeDomains([1, 1]), need: { maxServers: 16 }, plan: '2+14 2+14' },
  },
])('the cheapest plan with $name', ({ domains, need, plan }) => {
  expect(format(computeFleetPlan(domains, { ...NEED, ...need }))).toBe(plan);
});

// Guards against a plan that lacks servers once the preemptible ones of a domain are gone.
test('plans cover the need after the loss of any domain', () => {
  for (let total = 1; total <= 200; total += 7) {
    for (const prices of [[1], [1, 2], [0.85, 1.2, 1], [0.85, 1.2, 1, 1.1], [1, 1, 1, 1, 1, 3]]) {
      const need = { ...NEED, total, afterReclaim: Math.ceil(total * 0.72), maxServers: 300 };
      const domains = makeDomains(
        prices,
        prices.map(() => 300),
      ).map((domain) => ({
        ...domain,
        limits: { preemptible: 300, 'on-demand': 300 },
      }));
      const counts = [...computeFleetPlan(domains, need).counts.values()];
      const all = counts.reduce((sum, each) => sum + each.preemptible + each['on-demand'], 0);
      const lost = Math.max(...counts.map(({ preemptible }) => preemptible));
      expect(all).toBeGreaterThanOrEqual(total);
      expect(all - lost).toBeGreaterThanOrEqual(need.afterReclaim);
    }
  }
});
