import { LRUCache } from 'lru-cache';
import type { OutcomeRecord } from '@pollendrum/protocol';

/** Retention time of outcome records, in milliseconds. */
export const OUTCOME_RETENTION_MS = 3_600_000;
/** Maximum size of the records in memory, in bytes of JSON. */
export const MAX_STORE_BYTES = 16_000_000;
/** Maximum number of records per request id; callers choose the ids and may reuse them. */
const MAX_RECORDS_PER_REQUEST = 8;

/**
 * In-memory store of the outcome records of the last hour. When the maximum size is reached, the
 * oldest records are dropped first.
 */
export class OutcomeStore {
  readonly #recordsByRequest: LRUCache<string, OutcomeRecord[]>;

  constructor(maxBytes = MAX_STORE_BYTES) {
    this.#recordsByRequest = new LRUCache({
      maxSize: maxBytes,
      ttl: OUTCOME_RETENTION_MS,
      sizeCalculation: (records) => JSON.stringify(records).length,
    });
  }

  addRecord(record: OutcomeRecord): void {
    const earlier = this.#recordsByRequest.peek(record.requestId) ?? [];
    const records = [...earlier, record].slice(-MAX_RECORDS_PER_REQUEST);
    this.#recordsByRequest.set(record.requestId, records);
  }

  findRecords(requestId: string): OutcomeRecord[] {
    return this.#recordsByRequest.peek(requestId) ?? [];
  }

  /** Lists the records of requests received at or after `sinceMs`, Unix time in milliseconds. */
  listRecords(sinceMs: number): OutcomeRecord[] {
    return [...this.#recordsByRequest.values()]
      .flat()
      .filter((record) => record.receivedAtMs >= sinceMs);
  }
}
