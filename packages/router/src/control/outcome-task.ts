import { isValidOutcomeRecord } from '@pollendrum/protocol';
import type { OutcomeRecord, PeerMessage } from '@pollendrum/protocol';
import type { PlatformClient } from '@pollendrum/platform';
import type { MembershipPort, OutcomePort, PeerPort, TelemetryPort } from '../ports';
import { OUTCOME_RETENTION_MS, OutcomeStore } from './outcome-store';
import { MAX_PENDING_BYTES, OUTCOME_PREFIX, OutcomeWriter, toMinute } from './outcome-writer';
import { PeerQueries, listPeerIds } from './peer-queries';

/** Options of createOutcomeTask. */
export interface OutcomeTaskOptions {
  client: Pick<PlatformClient, 'getObject' | 'putObject' | 'listObjects'>;
  membership: MembershipPort;
  peers: PeerPort;
  telemetry: TelemetryPort;
  /**
   * Interval of writes to the platform in milliseconds.
   * @default 5_000
   */
  writeIntervalMs?: number;
  /**
   * Maximum size of the records that are not yet written to the platform, in bytes of JSON; the
   * oldest are dropped first.
   * @default 8_000_000
   */
  maxPendingBytes?: number;
  /**
   * Maximum size of the records in memory, in bytes of JSON.
   * @default 16_000_000
   */
  maxStoreBytes?: number;
  /**
   * Unix time in milliseconds.
   * @default Date.now
   */
  now?: () => number;
}

export interface OutcomeTask extends OutcomePort, AsyncDisposable {}

const WRITE_INTERVAL_MS = 5_000;
const PEER_QUERY_TIMEOUT_MS = 2_000;
/** Time limit of a lookup in the platform in milliseconds; the latest minutes are read first. */
const PLATFORM_LOOKUP_TIMEOUT_MS = 5_000;
const MAX_PARALLEL_READS = 16;
const MINUTE_MS = 60_000;

/**
 * Creates and starts the task that keeps outcome records in memory, writes those of late or not
 * answered requests to the platform, and finds records.
 */
export function createOutcomeTask(options: OutcomeTaskOptions): OutcomeTask {
  return new OutcomeRecorder(options);
}

class OutcomeRecorder implements OutcomeTask {
  readonly #store: OutcomeStore;
  readonly #writer: OutcomeWriter;
  readonly #peerQueries: PeerQueries<OutcomeRecord[]>;
  readonly #writeTimer: NodeJS.Timeout;
  readonly #unsubscribe: () => void;
  readonly #now: () => number;

  constructor(private readonly options: OutcomeTaskOptions) {
    const { client, peers, telemetry, maxPendingBytes = MAX_PENDING_BYTES } = options;
    this.#now = options.now ?? Date.now;
    this.#store = new OutcomeStore(options.maxStoreBytes);
    this.#writer = new OutcomeWriter({
      client,
      telemetry,
      maxPendingBytes,
      instanceId: peers.instanceId,
      now: this.#now,
    });
    this.#peerQueries = new PeerQueries(peers);
    this.#writeTimer = setInterval(() => {
      void this.#writer.flush();
    }, options.writeIntervalMs ?? WRITE_INTERVAL_MS);
    this.#unsubscribe = peers.watchMessages((instanceId, message) => {
      this.#handleMessage(instanceId, message);
    });
  }

  recordOutcome(record: OutcomeRecord): void {
    this.#store.addRecord(record);
    if (!record.onTime || record.outcome !== 'answered') this.#writer.addRecord(record);
  }

  async findOutcomes(requestId: string): Promise<OutcomeRecord[]> {
    const { membership, peers } = this.options;
    const peerIds = listPeerIds(membership, peers.instanceId);
    const [{ replies }, stored] = await Promise.all([
      this.#peerQueries.requestAll(peerIds, PEER_QUERY_TIMEOUT_MS, (queryId) => ({
        kind: 'find-outcome',
        queryId,
        requestId,
      })),
      this.#findInPlatform(requestId),
    ]);
    return removeDuplicates([...this.#store.findRecords(requestId), ...replies.flat(), ...stored]);
  }

  listRecent(sinceMs: number): OutcomeRecord[] {
    return this.#store.listRecords(sinceMs);
  }

  flush(): Promise<void> {
    return this.#writer.flush();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.#writeTimer);
    this.#unsubscribe();
    this.#peerQueries[Symbol.dispose]();
    await this.#writer.flush();
  }

  // Searches the platform's objects of the last hour; they also hold records of instances that have
  // stopped.
  async #findInPlatform(requestId: string): Promise<OutcomeRecord[]> {
    const deadlineMs = performance.now() + PLATFORM_LOOKUP_TIMEOUT_MS;
    const nowMs = this.#now();
    const found: OutcomeRecord[] = [];
    for (let ageMs = 0; ageMs <= OUTCOME_RETENTION_MS; ageMs += MINUTE_MS) {
      if (performance.now() > deadlineMs) break;
      const isRead = await this.#findInMinute(
        toMinute(nowMs - ageMs),
        requestId,
        found,
        deadlineMs,
      );
      if (!isRead) break;
    }
    return found;
  }

  async #findInMinute(
    minute: number,
    requestId: string,
    found: OutcomeRecord[],
    deadlineMs: number,
  ): Promise<boolean> {
    const { client, telemetry } = this.options;
    try {
      const objects = await client.listObjects(`${OUTCOME_PREFIX}${minute}/`);
      const keys = objects.map(({ key }) => key);
      while (keys.length > 0 && performance.now() <= deadlineMs) {
        const reads = keys.splice(0, MAX_PARALLEL_READS).map((key) => client.getObject(key));
        for (const object of await Promise.all(reads)) {
          const records = parseRecords(object?.text ?? '[]');
          found.push(...records.filter((record) => record.requestId === requestId));
        }
      }
      return true;
    } catch (error) {
      telemetry.log.warn('could not read outcome records from the platform', {
        error: String(error),
      });
      return false;
    }
  }

  #handleMessage(instanceId: string, message: PeerMessage): void {
    if (message.kind === 'find-outcome') {
      const { queryId, requestId } = message;
      const records = this.#store.findRecords(requestId);
      this.options.peers.sendMessage(instanceId, { kind: 'outcome-reply', queryId, records });
    }
    if (message.kind === 'outcome-reply') {
      this.#peerQueries.handleReply(instanceId, message.queryId, message.records);
    }
  }
}

function parseRecords(text: string): OutcomeRecord[] {
  try {
    const values: unknown = JSON.parse(text);
    return Array.isArray(values) ? values.filter((value) => isValidOutcomeRecord(value)) : [];
  } catch {
    return [];
  }
}

function removeDuplicates(records: readonly OutcomeRecord[]): OutcomeRecord[] {
  const recordsByIdentity = new Map(
    records.map((record) => [
      `${record.recordedBy}/${record.receivedAtMs}/${record.outcome}`,
      record,
    ]),
  );
  return [...recordsByIdentity.values()];
}
