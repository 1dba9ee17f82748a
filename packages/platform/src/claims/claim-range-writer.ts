import { setTimeout as waitFor } from 'node:timers/promises';
import { formatFinding, isValidClaimRange, parseJson } from '@pollendrum/protocol';
import { PlatformProtocolError } from '../client/errors';
import type { PlatformClient, WriteCondition } from '../client/types';
import { ClaimTable } from './claim-table';
import type { ClaimOutcome, ClaimRequest, ClaimSettlement } from './claim-table';

/** Options of ClaimRangeWriter. */
export interface ClaimRangeWriterOptions {
  client: Pick<PlatformClient, 'getObject' | 'putObject'>;
  /** Index of the range to write, 0 to 63. */
  rangeIndex: number;
  /**
   * Age in milliseconds up to which a UUIDv7 key is accepted. Claims are kept CLAIM_EXPIRY_MARGIN_MS
   * longer.
   */
  retentionMs: number;
  /**
   * Time limit of a claim in milliseconds; a claim not confirmed by then ends as `unavailable`.
   * @default 4_500, below the 5 s that an entry instance waits
   */
  claimTimeoutMs?: number;
  /**
   * Delay after a failed read or write in milliseconds.
   * @default 100
   */
  retryDelayMs?: number;
  /**
   * Returns the Unix time in milliseconds.
   * @default Date.now
   */
  now?: () => number;
  /** Called when a read or write of the range fails. */
  reportError?: (error: unknown) => void;
}

interface PendingClaim {
  request: ClaimRequest;
  timer: NodeJS.Timeout;
  resolve: (outcome: ClaimOutcome) => void;
}

interface PendingSettlement {
  settlement: ClaimSettlement;
  recordedAtMs: number;
}

/** A table and the precondition for writing it back. */
interface LoadedTable {
  table: ClaimTable;
  condition: WriteCondition;
  /** Whether it was read in the current batch, so that outcomes based on it need no further read. */
  isFresh: boolean;
}

/**
 * Result of a batch or of its write. `done`: it succeeded; a batch has then reported its outcomes.
 * `repeat`: the range has to be read and the batch applied again at once. `failed`: the same after
 * retryDelayMs.
 */
type BatchResult = 'done' | 'repeat' | 'failed';

const CLAIM_TIMEOUT_MS = 4_500;
const RETRY_DELAY_MS = 100;
/**
 * Time in milliseconds after which a settlement that could not be written is dropped. The key then
 * stays claimed, and further requests with it are refused.
 */
const MAX_SETTLEMENT_AGE_MS = 600_000;
/** Maximum number of pending settlements; over it, the oldest is dropped. */
const MAX_PENDING_SETTLEMENTS = 2_000;

/**
 * Writes the claims of one key range on the instance that owns it. All pending claims and
 * settlements form a batch, which is written by one conditional update of the object
 * `claims/RANGE`. A claim is reported as `claimed` only after a read or a confirmed write showed
 * that the object holds its nonce, so that a lost confirmation, a second owner or a paused process
 * cannot grant a key twice.
 */
export class ClaimRangeWriter implements AsyncDisposable {
  readonly #claims = new Set<PendingClaim>();
  readonly #settlements = new Set<PendingSettlement>();
  readonly #now: () => number;
  readonly #abortController = new AbortController();
  #cachedTable: LoadedTable | undefined;
  #batchLoop: Promise<void> | undefined;

  constructor(private readonly options: ClaimRangeWriterOptions) {
    this.#now = options.now ?? Date.now;
  }

  /** Claims a key. Never rejects; resolves within claimTimeoutMs. */
  claimKey(request: ClaimRequest): Promise<ClaimOutcome> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#resolveClaim(pending, { result: 'unavailable', reason: 'platform' });
      }, this.options.claimTimeoutMs ?? CLAIM_TIMEOUT_MS);
      const pending: PendingClaim = { request, timer, resolve };
      this.#claims.add(pending);
      this.#startBatchLoop();
    });
  }

  /**
   * Adds a settlement to the next batch. It is dropped if it cannot be written within
   * MAX_SETTLEMENT_AGE_MS, or if it is the oldest when a new one would exceed
   * MAX_PENDING_SETTLEMENTS.
   */
  recordSettlement(settlement: ClaimSettlement): void {
    const [oldest] = this.#settlements;
    if (this.#settlements.size >= MAX_PENDING_SETTLEMENTS && oldest !== undefined) {
      this.#settlements.delete(oldest);
    }
    this.#settlements.add({ settlement, recordedAtMs: this.#now() });
    this.#startBatchLoop();
  }

  /** Waits until no claim or settlement is pending. */
  async flush(): Promise<void> {
    while (this.#batchLoop !== undefined) await this.#batchLoop;
  }

  /** Frees the memory of the cached range, unless claims or settlements are pending. */
  discardCacheIfIdle(): void {
    if (this.#batchLoop === undefined) this.#cachedTable = undefined;
  }

  /** Stops the batch loop and resolves pending claims as `unavailable`. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.#abortController.abort();
    for (const claim of this.#claims) {
      this.#resolveClaim(claim, { result: 'unavailable', reason: 'platform' });
    }
    this.#settlements.clear();
    await this.#batchLoop;
  }

  #startBatchLoop(): void {
    if (this.#abortController.signal.aborted) {
      for (const claim of this.#claims) {
        this.#resolveClaim(claim, { result: 'unavailable', reason: 'platform' });
      }
      return;
    }
    this.#batchLoop ??= this.#runBatchLoop().finally(() => {
      this.#batchLoop = undefined;
      if (this.#hasPending()) this.#startBatchLoop();
    });
  }

  #hasPending(): boolean {
    return this.#claims.size + this.#settlements.size > 0;
  }

  async #runBatchLoop(): Promise<void> {
    // Claims and settlements added in the same turn of the event loop share one update.
    await Promise.resolve();
    while (this.#hasPending() && !this.#abortController.signal.aborted) {
      const result = await this.#runBatch().catch((error: unknown) => {
        this.options.reportError?.(error);
        return 'failed' as const;
      });
      if (result !== 'failed') continue;
      const delayMs = this.options.retryDelayMs ?? RETRY_DELAY_MS;
      await waitFor(delayMs, undefined, { signal: this.#abortController.signal }).catch(
        () => undefined,
      );
    }
  }

  async #runBatch(): Promise<BatchResult> {
    this.#expireSettlements();
    const claims = [...this.#claims];
    const settlements = [...this.#settlements];
    const loaded = this.#cachedTable ?? (await this.#readTable());
    // After a failed or unconfirmed update the table may differ from the stored object, so the next
    // batch has to read it again.
    this.#cachedTable = undefined;
    const outcomes = this.#applyBatch(loaded.table, claims, settlements);
    if (!loaded.table.hasChanged && !loaded.isFresh) return 'repeat';
    if (loaded.table.hasChanged) {
      const result = await this.#writeTable(loaded);
      if (result !== 'done') return result;
    }
    this.#cachedTable = { ...(this.#cachedTable ?? loaded), isFresh: false };
    for (const settlement of settlements) this.#settlements.delete(settlement);
    for (const [claim, outcome] of outcomes) this.#resolveClaim(claim, outcome);
    return 'done';
  }

  // Settlements are applied first, so that a claim that was given up is not granted in the same batch.
  #applyBatch(
    table: ClaimTable,
    claims: readonly PendingClaim[],
    settlements: readonly PendingSettlement[],
  ): Map<PendingClaim, ClaimOutcome> {
    const nowMs = this.#now();
    table.expireClaims(nowMs, this.options.retentionMs);
    for (const { settlement } of settlements) table.applySettlement(settlement, nowMs);
    return new Map(claims.map((claim) => [claim, table.applyClaim(claim.request, nowMs)]));
  }

  async #readTable(): Promise<LoadedTable> {
    const object = await this.options.client.getObject(this.#objectKey);
    if (object === undefined) {
      const table = new ClaimTable({ claims: {} });
      return { table, condition: { kind: 'absent' }, isFresh: true };
    }
    const parsed = parseJson(object.text, isValidClaimRange);
    if (!parsed.ok) {
      const reason = parsed.findings.map(formatFinding).join('; ');
      throw new PlatformProtocolError(`get ${this.#objectKey}`, 200, reason);
    }
    const condition: WriteCondition = { kind: 'version', version: object.version };
    return { table: new ClaimTable(parsed.value), condition, isFresh: true };
  }

  async #writeTable(loaded: LoadedTable): Promise<BatchResult> {
    const text = loaded.table.formatRange();
    const result = await this.options.client.putObject(this.#objectKey, text, loaded.condition);
    switch (result.kind) {
      case 'stored':
        loaded.table.resetChanged();
        this.#cachedTable = {
          table: loaded.table,
          condition: { kind: 'version', version: result.version },
          isFresh: false,
        };
        return 'done';
      case 'conflict':
        return 'repeat';
      case 'unknown':
        // The next batch reads the object and finds the nonces if the update took effect.
        return 'failed';
    }
  }

  get #objectKey(): string {
    return `claims/${this.options.rangeIndex}`;
  }

  #expireSettlements(): void {
    const minRecordedAtMs = this.#now() - MAX_SETTLEMENT_AGE_MS;
    for (const pending of this.#settlements) {
      if (pending.recordedAtMs < minRecordedAtMs) this.#settlements.delete(pending);
    }
  }

  #resolveClaim(claim: PendingClaim, outcome: ClaimOutcome): void {
    clearTimeout(claim.timer);
    this.#claims.delete(claim);
    claim.resolve(outcome);
  }
}
