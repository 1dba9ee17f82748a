import type { ListedInstance } from '@pollendrum/protocol';
import { describe, expect, test } from 'vitest';
import type { Member, MembershipView } from '../../src/ports';
import { buildRoutingView, createRoutingTask } from '../../src/routing/index';

const POLICY = {
  chooseOwner: (_key: string, ids: readonly string[]) => ids[0],
  resolveShardCount: (count: number) => Math.ceil(count / 2),
  computeShardIndex: (id: string, count: number) => Number(id.slice(1)) % count,
};
function buildMember(instanceId: string, state: Member['state'] = 'alive'): Member {
  return {
    ...{ instanceId, address: '127.0.0.1', peerPort: 1, httpPort: 2 },
    ...{ failureDomain: 'd', region: 'r', state },
  };
}

function buildServer(
  id: string,
  role: ListedInstance['role'] = 'engine',
  pool?: string,
): ListedInstance {
  return {
    ...{ id, role, address: '127.0.0.1', port: 3 },
    ...{ failureDomain: 'd', region: 'r', state: 'live', pool },
  };
}

describe('owners', () => {
  // Guards against shards on a stopping instance, and against moving shards at each suspicion.
  test.each([
    ['an alive member', [buildMember('a'), buildMember('b')], 'a'],
    ['a suspect member', [buildMember('a', 'suspect'), buildMember('b')], 'a'],
    ['no leaving member', [buildMember('a', 'leaving'), buildMember('b')], 'b'],
    ['the local instance when it is the only member', [], 'b'],
    [
      'no owner when the local instance is the only member and leaving',
      [buildMember('b', 'leaving')],
      undefined,
    ],
  ])('are chosen from alive and suspect members: %s', (_, members, owner) => {
    const view = buildRoutingView(members, [buildServer('s1', 'engine', 'm')], 'b', POLICY);
    expect(view.pools.get('model:m')?.[0]?.ownerInstanceId).toBe(owner);
  });
});

// Guards against servers that are assigned to the wrong pool or to no shard.
test('assigns each server of a pool to one shard', () => {
  const servers = [
    ...['s1', 's2', 's3'].map((id) => buildServer(id, 'engine', 'm')),
    ...[buildServer('s4', 'service', 'm'), buildServer('s5'), buildServer('s6', 'router', 'm')],
  ];
  const { pools } = buildRoutingView([], servers, 'a', POLICY);
  expect([...pools.keys()]).toEqual(['model:m', 'service:m']);
  const shards = pools.get('model:m')?.map((shard) => shard.servers.map(({ id }) => id));
  expect(shards).toEqual([['s2'], ['s1', 's3']]);
});

// Guards against stale owners after a membership change, and against losing the last list.
test('recomputes owners on membership changes and keeps the last list', () => {
  let notify: (view: MembershipView) => void = () => undefined;
  const view = { version: 1, members: [buildMember('a')] };
  using task = createRoutingTask({
    ...POLICY,
    instanceId: 'b',
    membership: {
      getView: () => view,
      watchView: (listener) => {
        notify = listener;
        return () => undefined;
      },
      mergeList: () => undefined,
    },
  });
  const getOwner = () => task.getView().pools.get('model:m')?.[0]?.ownerInstanceId;
  expect(getOwner()).toBeUndefined();
  task.updateList([buildServer('s1', 'engine', 'm')]);
  expect(getOwner()).toBe('a');
  view.members = [];
  notify(view);
  expect(getOwner()).toBe('b');
});
