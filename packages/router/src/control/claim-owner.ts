import { setTimeout as sleep } from 'node:timers/promises';
import { ClaimRangeWriter, computeRangeIndex } from '@pollendrum/platform';
import type { ClaimOutcome, PlatformClient } from '@pollendrum/platform';
import type { Claim, ClaimResult, SettleClaim } from '@pollendrum/protocol';
import type { MembershipPort, TelemetryPort } from '../ports';
import { listOwnerCandidates, toRangeKey } from './owner-candidates';
import type { ChooseOwner } from './owner-candidates';

/** Options of ClaimOwner. */
export interface ClaimOwnerOptions {
  client: Pick<PlatformClient, 'getObject' | 'putObject'>;
  membership: MembershipPort;
  instanceId: string;
  telemetry: TelemetryPort;
  chooseOwner: ChooseOwner;
  /** Retention time of claims in milliseconds. */
  retentionMs: number;
  /** Unix time in milliseconds. */
  now: () => number;
}

/** Time limit for writing pending settlements when the task stops, in milliseconds. */
const FLUSH_TIMEOUT_MS = 3_000;
/** Interval at which ranges without pending work are dropped from memory, in milliseconds. */
const DISCARD_INTERVAL_MS = 30_000;

/** Writes the claims and settlements that instances send to this instance as the owner of a key range. */
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
    const startedAtMs = performance.now();
    const { claimId, keyHash, nonce, requestId, rangeIndex } = claim;
    const result = await this.#runClaim(rangeIndex, { keyHash, nonce, requestId });
    return { kind: 'claim-result', claimId, ...result, elapsedMs: performance.now() - startedAtMs };
  }

  /**
   * Writes a settlement: the final state of a claim and, if a response is stored, its status, content
   * type and body. Any instance may write it: conditional writes on the version of the stored object
   * prevent conflicts with the owner.
   */
  handleSettlement(message: SettleClaim): void {
    const { keyHash, nonce, state, status, contentType, body } = message;
    const writer = this.#getWriter(computeRangeIndex(keyHash));
    writer.recordSettlement({ keyHash, nonce, state, status, contentType, body });
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.#discardTimer);
    const writers = [...this.#writers.values()];
    const abortController = new AbortController();
    const timeout = sleep(FLUSH_TIMEOUT_MS, undefined, { signal: abortController.signal });
    const flushed = Promise.all(writers.map((writer) => writer.flush()));
    await Promise.race([flushed, timeout.catch(() => undefined)]);
    abortController.abort();
    await Promise.all(writers.map((writer) => writer[Symbol.asyncDispose]()));
  }

  async #runClaim(
    rangeIndex: number,
    request: { keyHash: string; nonce: string; requestId: string },
  ): Promise<Omit<ClaimResult, 'kind' | 'claimId' | 'elapsedMs'>> {
    const isOwned =
      rangeIndex === computeRangeIndex(request.keyHash) && this.#isEligibleOwner(rangeIndex);
    if (!isOwned) return { result: 'not-owner' };
    const answer = await this.#getWriter(rangeIndex).claimKey(request);
    return toClaimResult(answer);
  }

  // The second choice accepts claims, too: an instance that lost its link to the owner sends the claim
  // to the second choice, which may still consider the owner alive.
  #isEligibleOwner(rangeIndex: number): boolean {
    const { membership, instanceId, chooseOwner } = this.options;
    const candidates = listOwnerCandidates(membership, instanceId);
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
      telemetry.log.warn('could not read or write a claim range', {
        rangeIndex,
        error: String(error),
      });
    };
    const writer = new ClaimRangeWriter({ client, rangeIndex, retentionMs, now, reportError });
    this.#writers.set(rangeIndex, writer);
    return writer;
  }
}

function toClaimResult(answer: ClaimOutcome): Omit<ClaimResult, 'kind' | 'claimId' | 'elapsedMs'> {
  switch (answer.result) {
    case 'claimed':
    case 'duplicate':
      return answer;
    case 'unavailable':
      return { result: 'unavailable' };
  }
}
