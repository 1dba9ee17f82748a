import type { OutcomeRecord, WatchRequest } from '@pollendrum/protocol';
import { LRUCache } from 'lru-cache';

interface Watched {
  request: WatchRequest;
  /** Unix time in milliseconds. */
  receivedAtMs: number;
}

// A lost unwatch-request must not keep an entry for ever; requests end within minutes.
const RETENTION_MS = 900_000;
const MAX_WATCHED = 100_000;

/** Requests that other instances hold alone, kept to record their loss when such an instance dies. */
export class WatchedRequests {
  readonly #byEntry = new Map<string, LRUCache<string, Watched>>();

  constructor(private readonly recordedBy: string) {}

  add(entryInstanceId: string, request: WatchRequest): void {
    let ofEntry = this.#byEntry.get(entryInstanceId);
    if (ofEntry === undefined) {
      ofEntry = new LRUCache({ max: MAX_WATCHED, ttl: RETENTION_MS });
      this.#byEntry.set(entryInstanceId, ofEntry);
    }
    ofEntry.set(request.attemptId, { request, receivedAtMs: Date.now() - request.arrivedAgoMs });
  }

  remove(entryInstanceId: string, attemptId: string): void {
    const ofEntry = this.#byEntry.get(entryInstanceId);
    ofEntry?.delete(attemptId);
    if (ofEntry?.size === 0) this.#byEntry.delete(entryInstanceId);
  }

  /** Removes the requests of instances that are not known any more and returns their records. */
  takeLost(knownInstanceIds: ReadonlySet<string>): OutcomeRecord[] {
    const records: OutcomeRecord[] = [];
    for (const [entryInstanceId, ofEntry] of this.#byEntry) {
      if (knownInstanceIds.has(entryInstanceId)) continue;
      this.#byEntry.delete(entryInstanceId);
      for (const watched of ofEntry.values()) {
        records.push(buildRecord(entryInstanceId, this.recordedBy, watched));
      }
    }
    return records;
  }
}

function buildRecord(entryInstanceId: string, recordedBy: string, watched: Watched): OutcomeRecord {
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
