import type { OutcomeRecord } from '@pollendrum/protocol';
import type { PlatformClient } from '@pollendrum/platform';
import type { TelemetryPort } from '../ports';

/**
 * Default maximum size of the records that are not yet written to the platform, in bytes of JSON;
 * the oldest are dropped first.
 */
export const MAX_PENDING_BYTES = 8_000_000;
/** Maximum size of a batch in bytes; a larger record is written in a batch by itself. */
export const MAX_BATCH_BYTES = 500_000;
/** Key prefix of the objects that hold outcome records. */
export const OUTCOME_PREFIX = 'outcomes/';

const MINUTE_MS = 60_000;

/** Options of OutcomeWriter. */
export interface OutcomeWriterOptions {
  client: Pick<PlatformClient, 'putObject'>;
  instanceId: string;
  telemetry: TelemetryPort;
  /** Unix time in milliseconds. */
  now: () => number;
  /** Maximum size of the records that are not yet written, in bytes of JSON. */
  maxPendingBytes: number;
}

interface Batch {
  key: string;
  text: string;
  count: number;
  /** Whether an earlier write of the batch was not confirmed; a conflict then means that it is stored. */
  isUnconfirmed: boolean;
}

/** Writes records to the platform in batches; unwritten records are kept up to `maxPendingBytes`. */
export class OutcomeWriter {
  readonly #pending: string[] = [];
  #pendingBytes = 0;
  #batch: Batch | undefined;
  #sequence: number;
  #flushing: Promise<void> | undefined;

  constructor(private readonly options: OutcomeWriterOptions) {
    // Starting at the current time gives a restarted instance new keys.
    this.#sequence = options.now();
  }

  addRecord(record: OutcomeRecord): void {
    const text = JSON.stringify(record);
    this.#pending.push(text);
    this.#pendingBytes += text.length;
    let dropped = 0;
    while (this.#pendingBytes > this.options.maxPendingBytes) {
      this.#pendingBytes -= this.#pending.shift()?.length ?? 0;
      dropped += 1;
    }
    if (dropped === 0) return;
    this.options.telemetry.metrics.increment('outcomes.dropped', {}, dropped);
  }

  /** Writes pending records until a write fails or none are left. Never rejects. */
  flush(): Promise<void> {
    this.#flushing ??= this.#writeBatches().finally(() => {
      this.#flushing = undefined;
    });
    return this.#flushing;
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
    const texts: string[] = [];
    let bytes = 0;
    for (const text of this.#pending) {
      bytes += text.length;
      if (texts.length > 0 && bytes > MAX_BATCH_BYTES) break;
      texts.push(text);
    }
    if (texts.length === 0) return undefined;
    this.#pending.splice(0, texts.length);
    this.#pendingBytes -= texts.reduce((sum, text) => sum + text.length, 0);
    return {
      key: this.#createKey(),
      text: `[${texts.join(',')}]`,
      count: texts.length,
      isUnconfirmed: false,
    };
  }

  /** Returns whether the batch is finished: stored, or rejected by the platform and dropped. */
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
      telemetry.log.error('outcome records dropped: the platform rejected the write', {
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

/** Converts a Unix time to minutes since the epoch, as used in the keys of outcome objects. */
export function toMinute(unixMs: number): number {
  return Math.floor(unixMs / MINUTE_MS);
}
