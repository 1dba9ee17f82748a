import type { InstanceStatus } from '@pollendrum/router';
import { expect, test } from 'vitest';
import { formatInstances, formatShards } from '../src/reports/status-tables';

const server = { address: '127.0.0.1', port: 1, state: 'leaving' } as const;
const status: InstanceStatus = {
  ...{ instanceId: 'entry-1', failureDomain: 'juazeiro', region: 'nordeste', isDraining: true },
  bundle: { number: 7, digest: 'd', confirmedByPlatform: false, bundleAsOf: 0 },
  members: [],
  shards: [
    {
      ...{ poolId: 'model:advisor', shardIndex: 0, shardCount: 1, ownerInstanceId: undefined },
      servers: [{ id: 'engine-1', ...server }],
    },
  ],
};

// Guards against a status that looks complete although instances, owners or confirmations are missing.
test.each([
  ['an unreached member', 'not reached: http://127.0.0.1:9'],
  ['an unconfirmed bundle', 'not confirmed'],
  ['its age', '1970-01-01T00:00:00.000Z'],
  ['a draining instance', 'draining'],
])('the instance table shows %s', (_name, expected) => {
  const fleet = { instances: [status], unreachable: ['http://127.0.0.1:9'] };
  expect(formatInstances(fleet)).toContain(expected);
});

test.each([
  ['a shard without owner', '1 of 1  none'],
  ['a leaving server', 'engine-1 (leaving)'],
])('the shard table shows %s', (_name, expected) => {
  expect(formatShards(status)).toContain(expected);
});
