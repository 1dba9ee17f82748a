import type { ClaimRange, StoredClaim } from '@pollendrum/protocol';
import { CLAIM_EXPIRY_MARGIN_MS } from './claim-keys';

/** Maximum size of a range in bytes; new claims over it are refused. An object holds at most 1 MB. */
export const MAX_CLAIM_RANGE_BYTES = 900_000;
/** Maximum size of a stored response body in bytes; longer bodies are not stored. */
export const MAX_STORED_BODY_BYTES = 1_024;
/**
 * How long a `not-run` tombstone is kept, in milliseconds. It refuses a late claim under a nonce
 * that was given up, so it has to outlive the 5 s that an entry instance and a range owner spend on
 * a claim.
 */
export const NOT_RUN_RETENTION_MS = 60_000;

/** A claim of a key; the nonce identifies the claimant across retries. */
export interface ClaimRequest {
  keyHash: string;
  nonce: string;
  requestId: string;
}

/** How a claimed request ended. */
export interface ClaimSettlement {
  keyHash: string;
  nonce: string;
  state: 'done' | 'not-run' | 'unknown';
  status?: number;
  contentType?: string;
  body?: string;
}

/** Outcome of a claim, as decided by the owner of the range. */
export type ClaimOutcome =
  | { result: 'claimed' }
  | {
      result: 'duplicate';
      state: 'in-progress' | 'done' | 'unknown';
      firstRequestId: string;
      status?: number;
      contentType?: string;
      body?: string;
    }
  | { result: 'unavailable'; reason: 'platform' | 'range-full' | 'given-up' };

/** In-memory copy of the claims of one range at one version of its object. Performs no I/O. */
export class ClaimTable {
  readonly #claims: Map<string, { claim: StoredClaim; bytes: number }>;
  #bytes = '{"claims":{}}'.length;
  #hasChanged = false;

  constructor(range: ClaimRange) {
    this.#claims = new Map();
    for (const [keyHash, claim] of Object.entries(range.claims)) this.#setClaim(keyHash, claim);
  }

  get hasChanged(): boolean {
    return this.#hasChanged;
  }

  /** Resets hasChanged; called once the current content of the table is known to be stored. */
  resetChanged(): void {
    this.#hasChanged = false;
  }

  getClaim(keyHash: string): StoredClaim | undefined {
    return this.#claims.get(keyHash)?.claim;
  }

  /** Removes claims and tombstones that are older than their retention. */
  expireClaims(nowMs: number, retentionMs: number): void {
    for (const [keyHash, { claim, bytes }] of this.#claims) {
      const maxAgeMs =
        claim.state === 'not-run' ? NOT_RUN_RETENTION_MS : retentionMs + CLAIM_EXPIRY_MARGIN_MS;
      if (nowMs - claim.claimedAtMs <= maxAgeMs) continue;
      this.#claims.delete(keyHash);
      this.#bytes -= bytes;
    }
  }

  /** Decides a claim. The outcome `claimed` is valid only once the table is known to be stored. */
  applyClaim(request: ClaimRequest, nowMs: number): ClaimOutcome {
    const existing = this.getClaim(request.keyHash);
    if (existing !== undefined && existing.nonce === request.nonce)
      return toSameNonceOutcome(existing);
    if (existing !== undefined && existing.state !== 'not-run')
      return toDuplicateOutcome(existing, existing.state);
    const claim: StoredClaim = {
      nonce: request.nonce,
      requestId: request.requestId,
      claimedAtMs: nowMs,
      state: 'claimed',
    };
    if (!this.#hasCapacity(request.keyHash, claim)) {
      return { result: 'unavailable', reason: 'range-full' };
    }
    this.#setClaim(request.keyHash, claim);
    this.#hasChanged = true;
    return { result: 'claimed' };
  }

  /** Applies how a request ended. A key claimed under another nonce is left unchanged. */
  applySettlement(settlement: ClaimSettlement, nowMs: number): void {
    const existing = this.getClaim(settlement.keyHash);
    if (existing === undefined) {
      this.#addTombstone(settlement, nowMs);
      return;
    }
    if (
      existing.nonce !== settlement.nonce ||
      !isAllowedTransition(existing.state, settlement.state)
    )
      return;
    const settled = toSettledClaim(existing, settlement, nowMs);
    const claim = this.#hasCapacity(settlement.keyHash, settled) ? settled : removeBody(settled);
    this.#setClaim(settlement.keyHash, claim);
    this.#hasChanged = true;
  }

  /** Formats the table as the text of the range's object. */
  formatRange(): string {
    const claims: Record<string, StoredClaim> = {};
    for (const [keyHash, { claim }] of this.#claims) claims[keyHash] = claim;
    return JSON.stringify({ claims } satisfies ClaimRange);
  }

  // An owner may still be about to write an unconfirmed claim under this nonce. The tombstone refuses
  // that claim.
  #addTombstone(settlement: ClaimSettlement, nowMs: number): void {
    if (settlement.state !== 'not-run') return;
    const { keyHash, nonce } = settlement;
    const tombstone: StoredClaim = { nonce, requestId: '', claimedAtMs: nowMs, state: 'not-run' };
    if (!this.#hasCapacity(keyHash, tombstone)) return;
    this.#setClaim(keyHash, tombstone);
    this.#hasChanged = true;
  }

  #hasCapacity(keyHash: string, claim: StoredClaim): boolean {
    const replacedBytes = this.#claims.get(keyHash)?.bytes ?? 0;
    return this.#bytes - replacedBytes + computeBytes(keyHash, claim) <= MAX_CLAIM_RANGE_BYTES;
  }

  #setClaim(keyHash: string, claim: StoredClaim): void {
    const bytes = computeBytes(keyHash, claim);
    this.#bytes += bytes - (this.#claims.get(keyHash)?.bytes ?? 0);
    this.#claims.set(keyHash, { claim, bytes });
  }
}

function computeBytes(keyHash: string, claim: StoredClaim): number {
  const separators = 2;
  return (
    Buffer.byteLength(JSON.stringify(keyHash)) +
    Buffer.byteLength(JSON.stringify(claim)) +
    separators
  );
}

function toSameNonceOutcome(existing: StoredClaim): ClaimOutcome {
  switch (existing.state) {
    case 'claimed':
      return { result: 'claimed' };
    case 'not-run':
      return { result: 'unavailable', reason: 'given-up' };
    case 'done':
    case 'unknown':
      return toDuplicateOutcome(existing, existing.state);
  }
}

function toDuplicateOutcome(
  existing: StoredClaim,
  state: 'claimed' | 'done' | 'unknown',
): ClaimOutcome {
  const { requestId, status, contentType, body } = existing;
  return {
    result: 'duplicate',
    state: state === 'claimed' ? 'in-progress' : state,
    firstRequestId: requestId,
    ...(status === undefined ? {} : { status }),
    ...(contentType === undefined ? {} : { contentType }),
    ...(body === undefined ? {} : { body }),
  };
}

// A state saying that the request ran is never replaced by one saying that it did not run.
function isAllowedTransition(
  current: StoredClaim['state'],
  next: ClaimSettlement['state'],
): boolean {
  switch (current) {
    case 'claimed':
      return true;
    case 'not-run':
      return next !== 'not-run';
    case 'unknown':
      return next === 'done';
    case 'done':
      return false;
  }
}

function toSettledClaim(
  existing: StoredClaim,
  settlement: ClaimSettlement,
  nowMs: number,
): StoredClaim {
  const { nonce, requestId, claimedAtMs } = existing;
  const { state, status, contentType, body } = settlement;
  if (state === 'not-run') return { nonce, requestId, claimedAtMs: nowMs, state };
  const isBodyKept = body !== undefined && Buffer.byteLength(body) <= MAX_STORED_BODY_BYTES;
  return {
    nonce,
    requestId,
    claimedAtMs,
    state,
    ...(status === undefined ? {} : { status }),
    ...(contentType === undefined ? {} : { contentType }),
    ...(isBodyKept ? { body } : {}),
  };
}

function removeBody(claim: StoredClaim): StoredClaim {
  const { nonce, requestId, claimedAtMs, state, status } = claim;
  return { nonce, requestId, claimedAtMs, state, ...(status === undefined ? {} : { status }) };
}
