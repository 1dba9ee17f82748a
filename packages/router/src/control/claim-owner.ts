import { setTimeout as waitFor } from 'node:timers/promises';
import { ClaimRangeWriter, computeRangeIndex } from '@pollendrum/platform';
import type { ClaimOutcome, PlatformClient } from '@pollendrum/platform';
import type { Claim, ClaimResult, SettleClaim } from '@pollendrum/protocol';
import type { MembershipPort, TelemetryPort } from '../ports';
import { listCandidates, toRangeKey } from './claim-candidates';
import type { ChooseOwner } from './claim-candidates';

/** Options of ClaimOwner. */
export interface ClaimOwnerOptions {
  client: Pick<PlatformClient, 'getObject' | 'putObject'>;
  membership: MembershipPort;
  instanceId: string;
  telemetry: TelemetryPort;
  chooseOwner: ChooseOwner;
  /** How long claims are kept, in milliseconds. */
  retentionMs: number;
  /** Unix time in milliseconds. */
  now: () => number;
}

/** Time for settlements to be written when the task stops, in milliseconds. */
const FLUSH_TIMEOUT_MS = 3_000;
/** Ranges without pending work are dropped from memory at this interval, in milliseconds. */
const DISCARD_INTERVAL_MS = 30_000;

/** Owner side: writes the ranges that other instances ask this one for. */
export class ClaimOwner implements AsyncDisposable {
  readonly #writers = new Map<number, ClaimRangeWriter>();
  readonly #discardTimer: NodeJS.Timeout;

  constructor(private readonly options: ClaimOwnerOptions) {
    this.#discardTimer = setInterval(() => {
      for (const writer of this.#writers.values()) writer.discardCacheIfIdle();
    }, DISCARD_INTERVAL_MS);
    this.#discardTimer.unref();
  }

  async handleClaim(claim: Claim): Promise<ClaimResult> {
    const startedAt = performance.now();
    const { claimId, keyHash, nonce, requestId, rangeIndex } = claim;
    const result = await this.#runClaim(rangeIndex, { keyHash, nonce, requestId });
    return { kind: 'claim-result', claimId, ...result, elapsedMs: performance.now() - startedAt };
  }

  /** Settlements are written by any instance: the version of the object fences the owner. */
  handleSettlement(message: SettleClaim): void {
    const { keyHash, nonce, state, status, contentType, body } = message;
    const writer = this.#getWriter(computeRangeIndex(keyHash));
    writer.recordSettlement({ keyHash, nonce, state, status, contentType, body });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.#discardTimer);
    const writers = [...this.#writers.values()];
    const abort = new AbortController();
    const limit = waitFor(FLUSH_TIMEOUT_MS, undefined, { signal: abort.signal });
    const flushed = Promise.all(writers.map((writer) => writer.flush()));
    await Promise.race([flushed, limit.catch(() => undefined)]);
    abort.abort();
    await Promise.all(writers.map((writer) => writer[Symbol.asyncDispose]()));
  }

  async #runClaim(
    rangeIndex: number,
    request: { keyHash: string; nonce: string; requestId: string },
  ): Promise<Omit<ClaimResult, 'kind' | 'claimId' | 'elapsedMs'>> {
    const isOwn = rangeIndex === computeRangeIndex(request.keyHash) && this.#isOwner(rangeIndex);
    if (!isOwn) return { result: 'not-owner' };
    const answer = await this.#getWriter(rangeIndex).claimKey(request);
    return toResult(answer);
  }

  // The second choice accepts too: an entry that lost its link to the owner asks it before this
  // instance has heard of the loss.
  #isOwner(rangeIndex: number): boolean {
    const { membership, instanceId, chooseOwner } = this.options;
    const candidates = listCandidates(membership, instanceId);
    const key = toRangeKey(rangeIndex);
    const first = chooseOwner(key, candidates);
    if (first === instanceId) return true;
    const others = candidates.filter((candidate) => candidate !== first);
    return chooseOwner(key, others) === instanceId;
  }

  #getWriter(rangeIndex: number): ClaimRangeWriter {
    const existing = this.#writers.get(rangeIndex);
    if (existing !== undefined) return existing;
    const { client, retentionMs, now, telemetry } = this.options;
    const reportError = (error: unknown) => {
      telemetry.log.warn('a claim range could not be read or written', {
        rangeIndex,
        error: String(error),
      });
    };
    const writer = new ClaimRangeWriter({ client, rangeIndex, retentionMs, now, reportError });
    this.#writers.set(rangeIndex, writer);
    return writer;
  }
}

function toResult(answer: ClaimOutcome): Omit<ClaimResult, 'kind' | 'claimId' | 'elapsedMs'> {
  switch (answer.result) {
    case 'claimed':
    case 'duplicate':
      return answer;
    case 'unavailable':
      return { result: 'unavailable' };
  }
}
