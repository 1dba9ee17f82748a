import type { LoadTable } from '@pollendrum/policy';

/** How evenly the requests of all instances are spread over the servers of a service, as far as this instance knows. */
export interface LoadSpread {
  service: string;
  /** Servers that this instance's group uses. */
  servers: number;
  /** Requests in progress at a server: mean, and most at one server. */
  meanRequests: number;
  mostRequests: number;
  /** Servers without a request, and servers where at least two requests wait for their first byte. */
  idleServers: number;
  queuedServers: number;
  /** Streams that this instance has placed since its start, and how many of them on another than the cheapest server. */
  placedStreams: number;
  evenedOutStreams: number;
  /** Estimated age of what is known of the requests of other instances, in milliseconds. */
  reportAgeMs: number;
}

/** Streams that were placed for a service. */
export interface PlacedStreams {
  placed: number;
  evenedOut: number;
}

/** Waiting requests at a server of which one waits for another. */
const MIN_QUEUED_REQUESTS = 2;

/** Summarizes the known loads of a service's servers; the work grows with their number. */
export function summarizeSpread(
  service: string,
  serverIds: readonly string[],
  { placed, evenedOut }: PlacedStreams,
  { loads, peerFactor, nowMs }: { loads: LoadTable; peerFactor: number; nowMs: number },
): LoadSpread {
  let total = 0;
  let mostRequests = 0;
  let idleServers = 0;
  let queuedServers = 0;
  for (const serverId of serverIds) {
    const { waiting, streaming } = loads.getLoad(serverId, nowMs, peerFactor);
    const requests = waiting + streaming;
    total += requests;
    mostRequests = Math.max(mostRequests, requests);
    if (requests === 0) idleServers += 1;
    if (waiting >= MIN_QUEUED_REQUESTS) queuedServers += 1;
  }
  return {
    ...{ service, servers: serverIds.length, mostRequests, idleServers, queuedServers },
    meanRequests: total / Math.max(1, serverIds.length),
    ...{ placedStreams: placed, evenedOutStreams: evenedOut },
    reportAgeMs: loads.estimateReportAgeMs(),
  };
}
