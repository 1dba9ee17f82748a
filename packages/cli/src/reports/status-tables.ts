import type { InstanceStatus } from '@pollendrum/router';
import type { FleetStatus } from '../fleet-status';
import { formatTable } from './attainment-report';

/** Formats the bundle in force on each instance, and since when the instance knows that it is the newest. */
export function formatInstances({ instances, unreachable }: FleetStatus): string {
  const rows = instances.map((status) => [
    status.instanceId,
    status.failureDomain,
    status.isDraining ? 'draining' : 'serving',
    status.bundle === undefined ? 'none' : String(status.bundle.number),
    status.bundle?.confirmedByPlatform === true ? 'platform' : 'not confirmed',
    status.bundle === undefined ? '' : new Date(status.bundle.bundleAsOf).toISOString(),
  ]);
  const header = ['instance', 'failure domain', 'state', 'bundle', 'confirmed by', 'as of'];
  const note = unreachable.length > 0 ? `\nnot reached: ${unreachable.join(', ')}` : '';
  return formatTable(header, rows) + note;
}

/** Formats shards with owner and backend servers as one instance sees them. */
export function formatShards(status: InstanceStatus): string {
  const rows = status.shards.map((shard) => [
    shard.poolId,
    `${shard.shardIndex + 1} of ${shard.shardCount}`,
    shard.ownerInstanceId ?? 'none',
    shard.servers.map(({ id, state }) => (state === 'live' ? id : `${id} (${state})`)).join(', '),
  ]);
  return formatTable(['pool', 'shard', 'owner', 'backend servers'], rows);
}
