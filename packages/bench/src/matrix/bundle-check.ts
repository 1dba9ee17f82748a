import type { BundleChange, CellContext } from './cell';

const IN_FORCE_BOUND_MS = 8_000;

/** Number of the bundle that a marker names. */
export function parseMarkerNumber(marker: string): number {
  return Number(marker.split('-')[1] ?? 0);
}

/** Bundles that are in force according to their operators. */
export function listAccepted({ changes }: CellContext): BundleChange[] {
  return changes.filter(({ result }) => result === 'accepted');
}

/**
 * Of one number at most one bundle is accepted; every reachable instance has the newest one in force
 * within 8 s and never shows an older or a rejected one after it.
 */
export function checkBundles(context: CellContext): string[] {
  return [...checkResults(context), ...checkOrder(context), ...checkInForce(context)];
}

function checkResults(context: CellContext): string[] {
  const accepted = listAccepted(context);
  const findings = context.changes
    .filter(({ result }) => result === undefined || result === 'unknown' || result === 'invalid')
    .map(({ marker, result }) => `${marker} was ${result ?? 'not settled'}`);
  if (context.changes.length > 0 && accepted.length !== 1) {
    findings.push(`${accepted.length} of ${context.changes.length} bundles were accepted`);
  }
  return findings;
}

function checkOrder(context: CellContext): string[] {
  const rejected = new Set(
    context.changes.filter(({ result }) => result !== 'accepted').map(({ marker }) => marker),
  );
  const newest = new Map<string, number>();
  return context.observer.sightings.flatMap(({ instanceId, marker }) => {
    const before = newest.get(instanceId) ?? 0;
    newest.set(instanceId, Math.max(before, parseMarkerNumber(marker)));
    const isWrong = rejected.has(marker) || parseMarkerNumber(marker) < before;
    return isWrong ? [`${instanceId} showed ${marker} after number ${before}`] : [];
  });
}

/** A frozen instance is reachable again when it continues. */
function checkInForce(context: CellContext): string[] {
  const newest = listAccepted(context)[0];
  if (!newest) return [];
  return context.fleet.listMembers('instance').flatMap((member) => {
    if (member.endedAtMs !== undefined || context.stopping?.member === member) return [];
    const fromMs = Math.max(newest.settledAtMs ?? 0, member.frozen?.toMs ?? 0);
    const sighting = context.observer.sightings.find(
      ({ instanceId, marker }) => instanceId === member.id && marker === newest.marker,
    );
    if (!sighting) return [`${member.id} never showed ${newest.marker}`];
    const elapsedMs = sighting.seenAtMs - fromMs;
    return elapsedMs > IN_FORCE_BOUND_MS ? [`${member.id} took ${elapsedMs} ms`] : [];
  });
}
