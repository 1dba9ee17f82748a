import { chooseOwner, computeShardIndex, resolveShardCount } from '@pollendrum/policy';
import { isValidInstanceList, parseJson, type ListedInstance } from '@pollendrum/protocol';
import type { Member, RoutingView } from '@pollendrum/router';
import { buildRoutingView } from '../../../router/src/routing';
import { measureHeapBytes, measureMedianMs } from './heap';
import { createFigure, type Figure, type Measurement } from './measurement';

const POOLS = 6;
const DOMAINS = 15;
const REGIONS = 6;
const INSTANCES = 530;
const RACK_INSTANCES = 35;
const SERVER_COUNTS = [750, 7_500];
const REPEATS = 9;
const MEGABYTE = 1_000_000;
const POLICY = { chooseOwner, computeShardIndex, resolveShardCount };

/** Cost of a new routing view, which each change of membership or of the list causes. */
export const routing: Measurement = {
  description: 'recomputation of the routing view at 530 members',
  run: () => Promise.resolve(SERVER_COUNTS.flatMap(measureServers)),
};

function measureServers(serverCount: number): Figure[] {
  const members = Array.from({ length: INSTANCES }, (_, index) => buildMember(index));
  const emptyBytes = measureHeapBytes();
  const servers = Array.from({ length: serverCount }, (_, index) => buildServer(index));
  const listBytes = measureHeapBytes();
  const views = [buildView(members, servers)];
  const viewBytes = measureHeapBytes();
  const buildMs = measureMedianMs(REPEATS, () => buildView(members, servers));
  const listText = JSON.stringify({ version: 1, instances: servers });
  const formatMs = measureMedianMs(REPEATS, () => JSON.stringify(servers));
  const parseMs = measureMedianMs(REPEATS, () => parseJson(listText, isValidInstanceList));
  const lost = buildView(members.slice(RACK_INSTANCES), servers);
  const one = buildView(members.slice(1), servers);
  const all = views[0] ?? one;
  const add = (name: string, value: number, unit: string) =>
    createFigure(`servers=${serverCount} ${name}`, value, unit);
  return [
    add('view built in', buildMs, 'ms'),
    add('view', (viewBytes - listBytes) / MEGABYTE, 'MB'),
    add('list', (listBytes - emptyBytes) / MEGABYTE, 'MB'),
    add('list as JSON', listText.length / MEGABYTE, 'MB'),
    add('list parsed and validated in', parseMs, 'ms'),
    add('list serialized in (each reading compares two)', formatMs, 'ms'),
    add('shards', countMoved(all, undefined), ''),
    add('shards moved, 1 instance lost', countMoved(all, one), ''),
    add(`shards moved, ${RACK_INSTANCES} instances lost`, countMoved(all, lost), ''),
  ];
}

function buildView(members: readonly Member[], servers: readonly ListedInstance[]): RoutingView {
  return buildRoutingView(members, servers, `instance-${INSTANCES - 1}`, POLICY);
}

/** Shards whose owner differs; all shards when there is no other view. */
function countMoved(view: RoutingView, other: RoutingView | undefined): number {
  const routes = [...view.pools.values()].flat();
  if (other === undefined) return routes.length;
  const otherOwners = new Map(
    [...other.pools.values()].flat().map((route) => [toShardKey(route), route.ownerInstanceId]),
  );
  return routes.filter((route) => otherOwners.get(toShardKey(route)) !== route.ownerInstanceId)
    .length;
}

function toShardKey({ poolId, shardIndex }: { poolId: string; shardIndex: number }): string {
  return `${poolId}/${shardIndex}`;
}

function buildMember(index: number): Member {
  return {
    ...{ instanceId: `instance-${index}`, address: '10.0.0.1', peerPort: 1, httpPort: 2 },
    ...{ failureDomain: `domain-${index % DOMAINS}`, region: `region-${index % REGIONS}` },
    state: 'alive',
  };
}

function buildServer(index: number): ListedInstance {
  return {
    ...{ id: `engine-${index}`, role: 'engine', address: `10.1.${index >> 8}.${index & 255}` },
    ...{ port: 8_000, failureDomain: `domain-${index % DOMAINS}` },
    ...{ region: `region-${index % REGIONS}`, state: 'live', pool: `m${(index % POOLS) + 1}` },
    slots: 16,
  };
}
