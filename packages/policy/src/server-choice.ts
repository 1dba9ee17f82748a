import type { CrashLedger } from './crash-ledger';
import type { Constraint } from './fair-queue';
import { chooseOwnerByHash } from './rendezvous';
import { countSlots, hasFreeSlot, type ServerTable, type ServerUse } from './server-table';
import { LOAD_BOUND } from './shards';
import type { QueuedRequest } from './types';

/** Whether a request with this constraint may start on the server now. */
export function isStartableOn(
  use: ServerUse,
  constraint: Constraint,
  table: ServerTable,
  ledger: CrashLedger,
): boolean {
  if (!hasFreeSlot(use)) return false;
  if (constraint.key === '') return true;
  if (constraint.excludedServerIds.includes(use.id)) return false;
  const { suspectFingerprint } = constraint;
  if (suspectFingerprint === undefined) return true;
  return !table.isRunning(suspectFingerprint) && !hasSuspect(use, ledger);
}

function hasSuspect(use: ServerUse, ledger: CrashLedger): boolean {
  for (const grant of use.grants) {
    if (ledger.getVerdict(grant.fingerprint) !== 'clean') return true;
  }
  return false;
}

/**
 * Chooses among healthy servers: the holder of the prompt prefix within the load bound, then the
 * failure domain of the entry, then the fewest used slots, then the longest without a grant.
 * `usable` are those of `healthy` on which the request can start.
 */
export function chooseServer(
  request: QueuedRequest,
  usable: readonly ServerUse[],
  healthy: readonly ServerUse[],
): ServerUse | undefined {
  const holder = findPrefixHolder(request.prefixHash, healthy);
  if (holder !== undefined && usable.includes(holder) && isWithinLoadBound(holder, healthy)) {
    return holder;
  }
  let best: ServerUse | undefined;
  for (const use of usable) {
    if (best === undefined || isBetter(use, best, request.failureDomain)) best = use;
  }
  return best;
}

/** Rendezvous hashing instead of a table: the holder is the same after the shard's owner changes. */
function findPrefixHolder(
  prefixHash: number,
  healthy: readonly ServerUse[],
): ServerUse | undefined {
  if (prefixHash === 0) return undefined;
  const ids = healthy.map(({ id }) => id);
  const holderId = chooseOwnerByHash(prefixHash, ids);
  return healthy.find(({ id }) => id === holderId);
}

/** With the new request counted, and rounded up, so that an idle shard uses its prefix holders. */
function isWithinLoadBound(use: ServerUse, healthy: readonly ServerUse[]): boolean {
  const used = healthy.reduce((sum, other) => sum + other.grants.size, 0);
  const fairUse = ((used + 1) * use.slots) / countSlots(healthy);
  return use.grants.size + 1 <= Math.ceil(LOAD_BOUND * fairUse);
}

function isBetter(use: ServerUse, best: ServerUse, failureDomain: string): boolean {
  const isNear = use.failureDomain === failureDomain;
  if (isNear !== (best.failureDomain === failureDomain)) return isNear;
  if (use.grants.size !== best.grants.size) return use.grants.size < best.grants.size;
  return use.lastGrant < best.lastGrant;
}
