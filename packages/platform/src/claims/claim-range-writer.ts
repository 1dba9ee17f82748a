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
  /** How long claims are kept, in milliseconds. */
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

interface TableSnapshot {
  table: ClaimTable;
  condition: WriteCondition;
  /** Whether it was read in the current batch, so that outcomes based on it need no further read. */
  isFresh: boolean;
}

type BatchResult = 'done' | 'repeat' | 'failed';

const CLAIM_TIMEOUT_MS = 4_500;
const RETRY_DELAY_MS = 100;
/**
 * Time in milliseconds after which a settlement that could not be written is dropped. The key then
 * stays claimed, and further requests with it are refused.
 */
const MAX_SETTLEMENT_AGE_MS = 600_000;
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
  #cachedSnapshot: TableSnapshot | undefined;
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

  /** Records how a claimed request ended; it is stored with the next batch. */
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
    if (this.#batchLoop === undefined) this.#cachedSnapshot = undefined;
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
    const snapshot = this.#cachedSnapshot ?? (await this.#readTable());
    // After a failed or unconfirmed update the table may differ from the stored object, so the next
    // batch has to read it again.
    this.#cachedSnapshot = undefined;
    const outcomes = this.#applyBatch(snapshot.table, claims, settlements);
    if (!snapshot.table.hasChanged && !snapshot.isFresh) return 'repeat';
    if (snapshot.table.hasChanged) {
      const result = await this.#writeTable(snapshot);
      if (result !== 'done') return result;
    }
    this.#cachedSnapshot = { ...(this.#cachedSnapshot ?? snapshot), isFresh: false };
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

  async #readTable(): Promise<TableSnapshot> {
    const object = await this.options.client.getObject(this.#key);
    if (object === undefined) {
      const table = new ClaimTable({ claims: {} });
      return { table, condition: { kind: 'absent' }, isFresh: true };
    }
    const parsed = parseJson(object.text, isValidClaimRange);
    if (!parsed.ok) {
      const reason = parsed.findings.map(formatFinding).join('; ');
      throw new PlatformProtocolError(`get ${this.#key}`, 200, reason);
    }
    const condition: WriteCondition = { kind: 'version', version: object.version };
    return { table: new ClaimTable(parsed.value), condition, isFresh: true };
  }

  async #writeTable(snapshot: TableSnapshot): Promise<BatchResult> {
    const text = snapshot.table.formatRange();
    const result = await this.options.client.putObject(this.#key, text, snapshot.condition);
    switch (result.kind) {
      case 'stored':
        snapshot.table.resetChanged();
        this.#cachedSnapshot = {
          table: snapshot.table,
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

  get #key(): string {
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
