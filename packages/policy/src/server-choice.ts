import type { CrashTracker } from './crash-tracker';
import type { ServerConstraint } from './fair-queue';
import { chooseOwnerByHash } from './rendezvous';
import { countSlots, hasFreeSlot, type ServerTable, type TrackedServer } from './server-table';
import { LOAD_BOUND } from './shards';
import type { QueuedRequest } from './types';

/** Whether a request with this constraint can start on the server now. */
export function isStartableOn(
  server: TrackedServer,
  constraint: ServerConstraint,
  table: ServerTable,
  crashTracker: CrashTracker,
): boolean {
  if (!hasFreeSlot(server)) return false;
  if (constraint.key === '') return true;
  if (constraint.excludedServerIds.includes(server.id)) return false;
  const { suspectFingerprint } = constraint;
  if (suspectFingerprint === undefined) return true;
  return !table.isRunning(suspectFingerprint) && !isRunningSuspect(server, crashTracker);
}

function isRunningSuspect(server: TrackedServer, crashTracker: CrashTracker): boolean {
  for (const grant of server.grants) {
    if (crashTracker.getStatus(grant.fingerprint) !== 'clean') return true;
  }
  return false;
}

/**
 * Chooses among healthy servers: the affinity server of the prompt prefix if it is within the load bound,
 * otherwise a server in the failure domain of the entry instance, then the server with the fewest used slots,
 * then the server whose last grant is oldest. `usable` lists the healthy servers on which the request can
 * start.
 */
export function chooseServer(
  request: QueuedRequest,
  usable: readonly TrackedServer[],
  healthy: readonly TrackedServer[],
): TrackedServer | undefined {
  const affinityServer = findAffinityServer(request.prefixHash, healthy);
  if (
    affinityServer !== undefined &&
    usable.includes(affinityServer) &&
    isWithinLoadBound(affinityServer, healthy)
  ) {
    return affinityServer;
  }
  let best: TrackedServer | undefined;
  for (const server of usable) {
    if (best === undefined || isPreferred(server, best, request.failureDomain)) best = server;
  }
  return best;
}

/**
 * Finds the server to which requests with this prompt prefix are routed. It is chosen by rendezvous hashing
 * instead of a table, so that it stays the same after the shard's owner changes.
 */
function findAffinityServer(
  prefixHash: number,
  healthy: readonly TrackedServer[],
): TrackedServer | undefined {
  if (prefixHash === 0) return undefined;
  const ids = healthy.map(({ id }) => id);
  const affinityServerId = chooseOwnerByHash(prefixHash, ids);
  return healthy.find(({ id }) => id === affinityServerId);
}

/** Includes the new request and rounds the bound up, so that an idle shard uses its affinity servers. */
function isWithinLoadBound(server: TrackedServer, healthy: readonly TrackedServer[]): boolean {
  const used = healthy.reduce((sum, other) => sum + other.grants.size, 0);
  const fairShare = ((used + 1) * server.slots) / countSlots(healthy);
  return server.grants.size + 1 <= Math.ceil(LOAD_BOUND * fairShare);
}

function isPreferred(server: TrackedServer, best: TrackedServer, failureDomain: string): boolean {
  const isSameDomain = server.failureDomain === failureDomain;
  if (isSameDomain !== (best.failureDomain === failureDomain)) return isSameDomain;
  if (server.grants.size !== best.grants.size) return server.grants.size < best.grants.size;
  return server.lastGrantSequence < best.lastGrantSequence;
}
