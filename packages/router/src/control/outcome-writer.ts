import type { OutcomeRecord } from '@pollendrum/protocol';
import type { PlatformClient } from '@pollendrum/platform';
import type { TelemetryPort } from '../ports';

/** Records waiting for the platform are bounded by this size in bytes of JSON; the oldest go first. */
export const MAX_PENDING_BYTES = 8_000_000;
/** Bound of one written object in bytes. */
export const MAX_BATCH_BYTES = 500_000;
/** Prefix of the objects with records. */
export const OUTCOME_PREFIX = 'outcomes/';

const MINUTE_MS = 60_000;

/** Options of OutcomeWriter. */
export interface OutcomeWriterOptions {
  client: Pick<PlatformClient, 'putObject'>;
  instanceId: string;
  telemetry: TelemetryPort;
  /** Unix time in milliseconds. */
  now: () => number;
  /** Bound of the waiting records in bytes of JSON. */
  maxPendingBytes: number;
}

interface Batch {
  key: string;
  text: string;
  count: number;
  /** An earlier write of the batch was not confirmed, so that a conflict means that it is stored. */
  isUnconfirmed: boolean;
}

/** Writes records in batches; what cannot be written waits within the bound. */
export class OutcomeWriter {
  readonly #waiting: string[] = [];
  #waitingBytes = 0;
  #batch: Batch | undefined;
  #sequence: number;
  #flush: Promise<void> | undefined;

  constructor(private readonly options: OutcomeWriterOptions) {
    // Starting at the clock keeps the keys of a restarted instance distinct.
    this.#sequence = options.now();
  }

  addRecord(record: OutcomeRecord): void {
    const text = JSON.stringify(record);
    this.#waiting.push(text);
    this.#waitingBytes += text.length;
    let dropped = 0;
    while (this.#waitingBytes > this.options.maxPendingBytes) {
      this.#waitingBytes -= this.#waiting.shift()?.length ?? 0;
      dropped += 1;
    }
    if (dropped === 0) return;
    this.options.telemetry.metrics.increment('outcomes.dropped', {}, dropped);
  }

  /** Writes what is waiting until a write fails. Never throws. */
  flush(): Promise<void> {
    this.#flush ??= this.#writeBatches().finally(() => {
      this.#flush = undefined;
    });
    return this.#flush;
  }

  async #writeBatches(): Promise<void> {
    for (;;) {
      this.#batch ??= this.#takeBatch();
      if (this.#batch === undefined) return;
      if (!(await this.#writeBatch(this.#batch))) return;
      this.#batch = undefined;
    }
  }

  #takeBatch(): Batch | undefined {
    const taken: string[] = [];
    let bytes = 0;
    for (const text of this.#waiting) {
      bytes += text.length;
      if (taken.length > 0 && bytes > MAX_BATCH_BYTES) break;
      taken.push(text);
    }
    if (taken.length === 0) return undefined;
    this.#waiting.splice(0, taken.length);
    this.#waitingBytes -= taken.reduce((sum, text) => sum + text.length, 0);
    return {
      key: this.#createKey(),
      text: `[${taken.join(',')}]`,
      count: taken.length,
      isUnconfirmed: false,
    };
  }

  /** Returns whether the batch is stored or cannot ever be. */
  async #writeBatch(batch: Batch): Promise<boolean> {
    const { client, telemetry } = this.options;
    try {
      const result = await client.putObject(batch.key, batch.text, { kind: 'absent' });
      switch (result.kind) {
        case 'stored':
          return true;
        case 'conflict':
          if (batch.isUnconfirmed) return true;
          batch.key = this.#createKey();
          return await this.#writeBatch(batch);
        case 'unknown':
          batch.isUnconfirmed = true;
          return false;
      }
    } catch (error) {
      const { count } = batch;
      telemetry.log.error('outcome records were refused by the platform', {
        count,
        error: String(error),
      });
      telemetry.metrics.increment('outcomes.dropped', {}, count);
      return true;
    }
  }

  #createKey(): string {
    this.#sequence += 1;
    const minute = toMinute(this.options.now());
    return `${OUTCOME_PREFIX}${minute}/${this.options.instanceId}-${this.#sequence}`;
  }
}

/** Minutes since the Unix epoch, as in the keys of outcome objects. */
export function toMinute(unixMs: number): number {
  return Math.floor(unixMs / MINUTE_MS);
}
