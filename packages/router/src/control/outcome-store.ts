import { LRUCache } from 'lru-cache';
import type { OutcomeRecord } from '@pollendrum/protocol';

/** Records are kept this long, in milliseconds. */
export const OUTCOME_RETENTION_MS = 3_600_000;
/** Bound of the records in memory, in bytes of JSON. */
export const MAX_STORE_BYTES = 16_000_000;
/** Records kept for one request id; callers may choose the same id again and again. */
const MAX_RECORDS_PER_REQUEST = 8;

/** Ended requests of the last hour, the oldest are dropped first when the bound is reached. */
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

  /** Records of requests that arrived at or after sinceMs, Unix time in milliseconds. */
  listRecords(sinceMs: number): OutcomeRecord[] {
    return [...this.#recordsByRequest.values()]
      .flat()
      .filter((record) => record.receivedAtMs >= sinceMs);
  }
}
