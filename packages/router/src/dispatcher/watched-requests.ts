import type { OutcomeRecord, WatchRequest } from '@pollendrum/protocol';
import { LRUCache } from 'lru-cache';

interface WatchedRequest {
  request: WatchRequest;
  /** Unix time in milliseconds. */
  receivedAtMs: number;
}

// Removes requests whose unwatch-request message was lost; a request ends within minutes.
const RETENTION_MS = 900_000;
const MAX_WATCHED_PER_ENTRY = 100_000;

/**
 * Requests whose entry and dispatcher are both the same other instance, kept to record their outcome when
 * that instance dies.
 */
export class WatchedRequests {
  readonly #byEntry = new Map<string, LRUCache<string, WatchedRequest>>();

  constructor(private readonly recordedBy: string) {}

  add(entryInstanceId: string, request: WatchRequest): void {
    let entryRequests = this.#byEntry.get(entryInstanceId);
    if (entryRequests === undefined) {
      entryRequests = new LRUCache({ max: MAX_WATCHED_PER_ENTRY, ttl: RETENTION_MS });
      this.#byEntry.set(entryInstanceId, entryRequests);
    }
    entryRequests.set(request.attemptId, {
      request,
      receivedAtMs: Date.now() - request.arrivedAgoMs,
    });
  }

  remove(entryInstanceId: string, attemptId: string): void {
    const entryRequests = this.#byEntry.get(entryInstanceId);
    entryRequests?.delete(attemptId);
    if (entryRequests?.size === 0) this.#byEntry.delete(entryInstanceId);
  }

  /** Removes the requests of instances that are no longer members and returns their outcome records. */
  takeEntryLostRecords(knownInstanceIds: ReadonlySet<string>): OutcomeRecord[] {
    const records: OutcomeRecord[] = [];
    for (const [entryInstanceId, entryRequests] of this.#byEntry) {
      if (knownInstanceIds.has(entryInstanceId)) continue;
      this.#byEntry.delete(entryInstanceId);
      for (const watched of entryRequests.values()) {
        records.push(buildRecord(entryInstanceId, this.recordedBy, watched));
      }
    }
    return records;
  }
}

function buildRecord(
  entryInstanceId: string,
  recordedBy: string,
  watched: WatchedRequest,
): OutcomeRecord {
  const { requestId, className, tier, team, target, bundleNumber } = watched.request;
  const elapsedMs = Math.max(0, Date.now() - watched.receivedAtMs);
  return {
    ...{ requestId, entryInstanceId, recordedBy, className, tier, team, target, bundleNumber },
    receivedAtMs: Math.round(watched.receivedAtMs),
    // The watcher does not know whether the request was sent to a backend server.
    outcome: 'unknown',
    ...{ status: 0, onTime: false },
    cause: { kind: 'entry-lost', instanceId: entryInstanceId, elapsedMs },
    ...{ hops: [], serverIds: [], totalMs: elapsedMs, outputTokens: 0, wastedTokens: 0 },
  };
}
