import { expect, test } from 'vitest';
import { InstanceGroups } from '../../src';

const makeIds = (prefix: string, count: number) =>
  Array.from({ length: count }, (_, index) => `${prefix}-${index}`);
const makeServers = (count: number) => makeIds('i', count).map((serverId) => ({ serverId }));
const makeInstances = (count: number) =>
  makeIds('entry', count).map((instanceId) => ({ instanceId }));

function makeGroups(instanceCount: number): InstanceGroups[] {
  const ids = makeIds('entry', instanceCount);
  return ids.map((id) => {
    const groups = new InstanceGroups(id);
    groups.update(ids);
    return groups;
  });
}

// Guards against reports between all instances, whose cost grows with the square of their number.
test.each([
  { instances: 1, servers: 1, groups: 1 },
  { instances: 9, servers: 8, groups: 1 },
  { instances: 84, servers: 78, groups: 2 },
  { instances: 100, servers: 103, groups: 3 },
  { instances: 300, servers: 320, groups: 7 },
  { instances: 530, servers: 7_500, groups: 12 },
])(
  '$instances instances with $servers servers form $groups equal groups',
  ({ instances, servers, groups: expected }) => {
    const all = makeInstances(instances);
    const listed = makeServers(servers);
    const byMembers = new Map<string, { members: number; servers: readonly string[] }>();
    for (const groups of makeGroups(instances)) {
      const members = groups.selectMembers(all).map(({ instanceId }) => instanceId);
      expect(groups.countMembers()).toBe(members.length);
      if (byMembers.has(members.join())) continue;
      const serverIds = groups.selectServers(listed).map(({ serverId }) => serverId);
      byMembers.set(members.join(), { members: members.length, servers: serverIds });
    }
    expect(byMembers.size).toBe(expected);
    const groups = [...byMembers.values()];
    expect(groups.flatMap(({ servers: ids }) => ids).sort()).toEqual(makeIds('i', servers).sort());
    for (const { members, servers: ids } of groups) {
      expect(members).toBeLessThanOrEqual(48);
      expect(Math.abs(members - instances / expected)).toBeLessThan(1);
      expect(Math.abs(ids.length - servers / expected)).toBeLessThan(1);
    }
  },
);

// Guards against a small service of which each group would use one server.
test('a service with few servers is used by all groups, and the load of their peers is extrapolated', () => {
  const [groups] = makeGroups(300);
  expect(groups?.selectServers(makeServers(6))).toHaveLength(6);
  expect(groups?.isDivided(6)).toBe(false);
  expect(groups?.isDivided(56)).toBe(true);
  expect(groups?.getPeerFactor()).toBeCloseTo(299 / 42, 0);
});

// Guards against prompt caches that are lost because each restart of an instance moves servers between groups.
test.each([
  { name: 'one more server', instances: 300, servers: 321 },
  { name: 'one less server', instances: 300, servers: 319 },
  { name: 'one more instance', instances: 301, servers: 320 },
])('$name leaves the other servers of a group as they were', ({ instances, servers }) => {
  const groups = new InstanceGroups('entry-0');
  groups.update(makeIds('entry', 300));
  const before = new Set(groups.selectServers(makeServers(320)).map(({ serverId }) => serverId));
  groups.update(makeIds('entry', instances));
  const after = groups.selectServers(makeServers(servers));
  expect(after.filter(({ serverId }) => !before.has(serverId)).length).toBeLessThanOrEqual(2);
});

test('groups are merged only well below the size at which they were divided', () => {
  const groups = new InstanceGroups('entry-0');
  const countMembers = (instances: number) => {
    groups.update(makeIds('entry', instances));
    return groups.selectMembers(makeInstances(instances)).length;
  };
  expect([48, 50, 48, 44, 40, 38].map(countMembers)).toEqual([48, 25, 24, 22, 20, 38]);
});
