import { choosePlacement, isLongPrompt, ServerPool } from '../../src';
import type { PromptPart, StreamCandidate } from '../../src';
import type { ChooseServer, Chooser } from './fleet-simulation';

/** Age of reports that the ways assume which count what others have placed since. */
const ASSUMED_AGE_MS = 450;

function makeCandidates(
  { loads, prefixes, speeds, peerFactor }: Chooser,
  candidateIds: Iterable<string>,
  parts: readonly PromptPart[],
  nowMs: number,
): StreamCandidate[] {
  const fastestPauseMs = speeds.getFastestPauseMs(nowMs);
  return [...candidateIds].map((serverId) => ({
    serverId,
    load: loads.getLoad(serverId, nowMs, peerFactor),
    cachedTokens: prefixes.countCachedTokens(serverId, parts, nowMs),
    fetchableTokens: prefixes.countFetchableTokens(serverId, parts, nowMs),
    slowness: speeds.computeSlowness(serverId, fastestPauseMs, nowMs),
    ...{ failureRate: 0, isAvoided: false },
  }));
}

/** Chooses the lowest cost of all servers, or of as many random ones and those with a cached prefix. */
export function makeLowestCost(sampleSize = Infinity, subsetSize = Infinity): ChooseServer {
  return (chooser, request, nowMs, sampleRandom) => {
    const { serverIds, prefixes, options } = chooser;
    const preferredIds = selectPreferred(chooser, subsetSize);
    const ids = sampleIds(preferredIds, sampleSize, sampleRandom);
    if (sampleSize < Infinity) {
      for (const id of prefixes.listHolders(request.parts)) if (serverIds.includes(id)) ids.add(id);
    }
    return choosePlacement(request, makeCandidates(chooser, ids, request.parts, nowMs), options);
  };
}

/** Preferred subset of a chooser: its servers from a start that differs between choosers, so that subsets overlap. */
function selectPreferred({ id, serverIds }: Chooser, size: number): readonly string[] {
  if (size >= serverIds.length) return serverIds;
  const start = (Number(id.slice('entry-'.length)) * 17) % serverIds.length;
  return [...serverIds, ...serverIds].slice(start, start + size);
}

function sampleIds(ids: readonly string[], size: number, sampleRandom: () => number): Set<string> {
  if (size >= ids.length) return new Set(ids);
  const sampled = new Set<string>();
  while (sampled.size < size) sampled.add(ids[Math.floor(sampleRandom() * ids.length)] ?? '');
  return sampled;
}

/** Counts what others have placed since their reports, over all servers. */
export const chooseByLevel: ChooseServer = (chooser, request, nowMs, sampleRandom) =>
  choosePlacement(request, makeCandidates(chooser, chooser.serverIds, request.parts, nowMs), {
    ...chooser.options,
    reportAgeMs: ASSUMED_AGE_MS,
    random: sampleRandom(),
  });

/** The same over a sample: the way that the gateway chooses. */
export function makeSampledLevel(): ChooseServer {
  const pools = new WeakMap<Chooser, ServerPool<{ serverId: string }>>();
  return (chooser, request, nowMs, sampleRandom) => {
    const { prefixes, options, loads, partition, serverIds } = chooser;
    const pool = pools.get(chooser) ?? new ServerPool(partition);
    if (!pools.has(chooser)) pool.setServers(serverIds.map((serverId) => ({ serverId })));
    pools.set(chooser, pool);
    const isLong = isLongPrompt(request, options);
    const sampled = pool.sampleForStream(isLong, () => true, sampleRandom);
    const affinityServer = pool.findAffinityServer(isLong, request.parts);
    const ids = new Set([
      ...sampled.map(({ serverId }) => serverId),
      ...prefixes.listHolders(request.parts).filter((id) => pool.get(id) !== undefined),
      ...(affinityServer === undefined ? [] : [affinityServer.serverId]),
    ]);
    const candidates = makeCandidates(chooser, ids, request.parts, nowMs);
    for (const { serverId, load } of candidates) pool.observeLoad(serverId, load);
    const scope = pool.makeScope(isLong, request.parts);
    const reportAgeMs = loads.estimateReportAgeMs();
    const random = sampleRandom();
    return choosePlacement(request, candidates, { ...options, scope, reportAgeMs, random });
  };
}
