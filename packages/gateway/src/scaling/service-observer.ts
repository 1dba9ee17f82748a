import type { InstanceGroups, LoadSample, LoadTable, ScalingInput } from '@pollendrum/policy';
import type { BackendServer } from '../bundle';
import type { ServerAvailability } from '../server-availability';
import type { ServerRegistry } from '../server-registry';

export interface ServiceObserverOptions {
  registry: ServerRegistry;
  loads: LoadTable;
  groups: InstanceGroups;
  availability: Pick<ServerAvailability, 'judge'>;
}

/** Servers of a service that take requests, and their load; undefined if the load is not known. */
export type ServiceObservation = Pick<ScalingInput, 'fleet' | 'load'>;

/**
 * Observes the servers of a service as this instance knows them. In a fleet that is divided into groups it knows only the load
 * of its group's servers, which are selected by a hash and thus a sample of all.
 */
export function observeService(
  { registry, loads, groups, availability }: ServiceObserverOptions,
  service: string,
  nowMs: number,
): ServiceObservation | undefined {
  const listed = registry.listReady(service);
  const isStaying = (server: BackendServer) => availability.judge(server, nowMs).kind !== 'leaving';
  const servers = listed.filter(isStaying);
  const known = groups.selectServers(listed).filter(isStaying);
  if (known.length === 0) return undefined;
  const peerFactor = groups.isDivided(listed.length) ? 1 : groups.getPeerFactor();
  const scale = servers.length / known.length;
  const load: LoadSample = {
    slotsPerServer: servers.reduce((sum, { slots }) => sum + slots, 0) / servers.length,
    ...{ running: 0, waiting: 0, prefillUtilization: 0, queuedPrefillMs: 0 },
  };
  for (const { serverId } of known) {
    const each = loads.getLoad(serverId, nowMs, peerFactor);
    load.running += each.streaming * scale;
    load.waiting += each.waiting * scale;
    load.prefillUtilization += (each.shortShare + each.longShare) * scale;
    load.queuedPrefillMs += each.queuedPrefillMs * scale;
  }
  return { fleet: countServers(servers), load };
}

function countServers(servers: readonly BackendServer[]): ScalingInput['fleet'] {
  const fleet = new Map<string, { preemptible: number; 'on-demand': number }>();
  for (const { failureDomain, isPreemptible } of servers) {
    const counts = fleet.get(failureDomain) ?? { preemptible: 0, 'on-demand': 0 };
    fleet.set(failureDomain, counts);
    counts[isPreemptible === true ? 'preemptible' : 'on-demand'] += 1;
  }
  return fleet;
}
