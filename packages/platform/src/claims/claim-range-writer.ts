import { setTimeout as waitFor } from 'node:timers/promises';
import { formatFinding, isValidClaimRange, parseJson } from '@pollendrum/protocol';
import { PlatformProtocolError } from '../client/errors';
import type { PlatformClient, WriteCondition } from '../client/types';
import { ClaimTable } from './claim-table';
import type { ClaimOutcome, ClaimRequest, ClaimSettlement } from './claim-table';

/** Options of ClaimRangeWriter. */
export interface ClaimRangeWriterOptions {
  client: Pick<PlatformClient, 'getObject' | 'putObject'>;
  /** Range to write, 0 to 63. */
  rangeIndex: number;
  /** How long claims are kept, in milliseconds. */
  retentionMs: number;
  /**
   * A claim that is not confirmed within this time is answered `unavailable`, in milliseconds.
   * @default 4_500, below the 5 s that an entry waits
   */
  claimTimeoutMs?: number;
  /**
   * Wait after a failed call in milliseconds.
   * @default 100
   */
  retryDelayMs?: number;
  /**
   * Unix time in milliseconds.
   * @default Date.now
   */
  now?: () => number;
  /** Called when a read or write of the range failed. */
  reportError?: (error: unknown) => void;
}

interface PendingClaim {
  request: ClaimRequest;
  timer: NodeJS.Timeout;
  resolve: (answer: ClaimOutcome) => void;
}

interface PendingSettlement {
  settlement: ClaimSettlement;
  recordedAtMs: number;
}

interface StoredTable {
  table: ClaimTable;
  condition: WriteCondition;
  /** Read in the present round, so that answers from it need no further read. */
  isFresh: boolean;
}

type RoundResult = 'done' | 'repeat' | 'failed';

const CLAIM_TIMEOUT_MS = 4_500;
const RETRY_DELAY_MS = 100;
/** A settlement that cannot be written for this long is dropped; its key then stays refused. */
const SETTLEMENT_LIFETIME_MS = 600_000;
const MAX_PENDING_SETTLEMENTS = 2_000;

/**
 * Owner side of one key range. All waiting claims and settlements go into one conditional update
 * of the object `claims/RANGE`. A claim is reported as claimed only after the object was seen or
 * confirmed to hold its nonce, so a lost confirmation, a second owner or a pause cannot grant a
 * key twice.
 */
export class ClaimRangeWriter implements AsyncDisposable {
  readonly #claims = new Set<PendingClaim>();
  readonly #settlements = new Set<PendingSettlement>();
  readonly #now: () => number;
  readonly #stop = new AbortController();
  #stored: StoredTable | undefined;
  #rounds: Promise<void> | undefined;

  constructor(private readonly options: ClaimRangeWriterOptions) {
    this.#now = options.now ?? Date.now;
  }

  /** Claims a key. Never throws; settles within claimTimeoutMs. */
  claimKey(request: ClaimRequest): Promise<ClaimOutcome> {
    return new Promise((resolve) => {
      const timer = setTimeout(() => {
        this.#endClaim(pending, { result: 'unavailable', reason: 'platform' });
      }, this.options.claimTimeoutMs ?? CLAIM_TIMEOUT_MS);
      const pending: PendingClaim = { request, timer, resolve };
      this.#claims.add(pending);
      this.#startRounds();
    });
  }

  /** Stores how a claimed request ended, with the next update. */
  recordSettlement(settlement: ClaimSettlement): void {
    const [oldest] = this.#settlements;
    if (this.#settlements.size >= MAX_PENDING_SETTLEMENTS && oldest !== undefined) {
      this.#settlements.delete(oldest);
    }
    this.#settlements.add({ settlement, recordedAtMs: this.#now() });
    this.#startRounds();
  }

  /** Waits until nothing is pending. */
  async flush(): Promise<void> {
    while (this.#rounds !== undefined) await this.#rounds;
  }

  /** Frees the memory of the range's content when nothing is pending. */
  discardCacheIfIdle(): void {
    if (this.#rounds === undefined) this.#stored = undefined;
  }

  /** Stops and answers what is pending as unavailable. */
  async [Symbol.asyncDispose](): Promise<void> {
    this.#stop.abort();
    for (const claim of this.#claims) {
      this.#endClaim(claim, { result: 'unavailable', reason: 'platform' });
    }
    this.#settlements.clear();
    await this.#rounds;
  }

  #startRounds(): void {
    if (this.#stop.signal.aborted) {
      for (const claim of this.#claims) {
        this.#endClaim(claim, { result: 'unavailable', reason: 'platform' });
      }
      return;
    }
    this.#rounds ??= this.#runRounds().finally(() => {
      this.#rounds = undefined;
      if (this.#hasPending()) this.#startRounds();
    });
  }

  #hasPending(): boolean {
    return this.#claims.size + this.#settlements.size > 0;
  }

  async #runRounds(): Promise<void> {
    // Requests that arrive in the same turn of the event loop share one update.
    await Promise.resolve();
    while (this.#hasPending() && !this.#stop.signal.aborted) {
      const result = await this.#runRound().catch((error: unknown) => {
        this.options.reportError?.(error);
        return 'failed' as const;
      });
      if (result !== 'failed') continue;
      const delayMs = this.options.retryDelayMs ?? RETRY_DELAY_MS;
      await waitFor(delayMs, undefined, { signal: this.#stop.signal }).catch(() => undefined);
    }
  }

  async #runRound(): Promise<RoundResult> {
    this.#expireSettlements();
    const claims = [...this.#claims];
    const settlements = [...this.#settlements];
    const stored = this.#stored ?? (await this.#readTable());
    // A failed or unconfirmed update leaves the table different from the object: read it again.
    this.#stored = undefined;
    const answers = this.#applyAll(stored.table, claims, settlements);
    if (!stored.table.hasChanged && !stored.isFresh) return 'repeat';
    if (stored.table.hasChanged) {
      const result = await this.#writeTable(stored);
      if (result !== 'done') return result;
    }
    this.#stored = { ...(this.#stored ?? stored), isFresh: false };
    for (const settlement of settlements) this.#settlements.delete(settlement);
    for (const [claim, answer] of answers) this.#endClaim(claim, answer);
    return 'done';
  }

  // Settlements come first: a claim that was given up must not be granted after it.
  #applyAll(
    table: ClaimTable,
    claims: readonly PendingClaim[],
    settlements: readonly PendingSettlement[],
  ): Map<PendingClaim, ClaimOutcome> {
    const nowMs = this.#now();
    table.expireClaims(nowMs, this.options.retentionMs);
    for (const { settlement } of settlements) table.applySettlement(settlement, nowMs);
    return new Map(claims.map((claim) => [claim, table.applyClaim(claim.request, nowMs)]));
  }

  async #readTable(): Promise<StoredTable> {
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

  async #writeTable(stored: StoredTable): Promise<RoundResult> {
    const text = stored.table.formatRange();
    const result = await this.options.client.putObject(this.#key, text, stored.condition);
    switch (result.kind) {
      case 'stored':
        stored.table.resetChanged();
        this.#stored = {
          table: stored.table,
          condition: { kind: 'version', version: result.version },
          isFresh: false,
        };
        return 'done';
      case 'conflict':
        return 'repeat';
      case 'unknown':
        // The next round reads the object and finds the nonces if the update took effect.
        return 'failed';
    }
  }

  get #key(): string {
    return `claims/${this.options.rangeIndex}`;
  }

  #expireSettlements(): void {
    const oldestMs = this.#now() - SETTLEMENT_LIFETIME_MS;
    for (const pending of this.#settlements) {
      if (pending.recordedAtMs < oldestMs) this.#settlements.delete(pending);
    }
  }

  #endClaim(claim: PendingClaim, answer: ClaimOutcome): void {
    clearTimeout(claim.timer);
    this.#claims.delete(claim);
    claim.resolve(answer);
  }
}
