import type { ClaimRange, StoredClaim } from '@pollendrum/protocol';
import { CLAIM_EXPIRY_MARGIN_MS } from './claim-keys';

/** A range refuses new claims rather than growing over this size in bytes; objects hold 1 MB. */
export const MAX_CLAIM_RANGE_BYTES = 900_000;
/** Longest stored body in bytes. */
export const MAX_STORED_BODY_BYTES = 1_024;
/**
 * How long a `not-run` mark is kept, in milliseconds. It refuses a late claim under the nonce that
 * was given up, so it has to outlive the 5 s that an entry and an owner spend on a claim.
 */
export const NOT_RUN_RETENTION_MS = 60_000;

/** Asks for a key under a nonce. */
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

/** What the owner of a range answers. */
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

/** Claims of one range at one version of its object; decisions are pure and work on a copy. */
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

  /** Called once the table's present content is known to be stored. */
  resetChanged(): void {
    this.#hasChanged = false;
  }

  getClaim(keyHash: string): StoredClaim | undefined {
    return this.#claims.get(keyHash)?.claim;
  }

  /** Drops claims past their retention. */
  expireClaims(nowMs: number, retentionMs: number): void {
    for (const [keyHash, { claim, bytes }] of this.#claims) {
      const keptMs =
        claim.state === 'not-run' ? NOT_RUN_RETENTION_MS : retentionMs + CLAIM_EXPIRY_MARGIN_MS;
      if (nowMs - claim.claimedAtMs <= keptMs) continue;
      this.#claims.delete(keyHash);
      this.#bytes -= bytes;
    }
  }

  /** Decides one claim; `claimed` counts only once the table is known to be stored. */
  applyClaim(request: ClaimRequest, nowMs: number): ClaimOutcome {
    const held = this.getClaim(request.keyHash);
    if (held !== undefined && held.nonce === request.nonce) return toOwnAnswer(held);
    if (held !== undefined && held.state !== 'not-run') return toDuplicate(held, held.state);
    const claim: StoredClaim = {
      nonce: request.nonce,
      requestId: request.requestId,
      claimedAtMs: nowMs,
      state: 'claimed',
    };
    if (!this.#hasRoom(request.keyHash, claim)) {
      return { result: 'unavailable', reason: 'range-full' };
    }
    this.#setClaim(request.keyHash, claim);
    this.#hasChanged = true;
    return { result: 'claimed' };
  }

  /** Takes in how a request ended. A key held by another nonce stays as it is. */
  applySettlement(settlement: ClaimSettlement, nowMs: number): void {
    const held = this.getClaim(settlement.keyHash);
    if (held === undefined) {
      this.#markNotRun(settlement, nowMs);
      return;
    }
    if (held.nonce !== settlement.nonce || !isSettledFurther(held.state, settlement.state)) return;
    const settled = toSettledClaim(held, settlement, nowMs);
    const kept = this.#hasRoom(settlement.keyHash, settled) ? settled : removeBody(settled);
    this.#setClaim(settlement.keyHash, kept);
    this.#hasChanged = true;
  }

  /** Formats the table as the text of the range's object. */
  formatRange(): string {
    const claims: Record<string, StoredClaim> = {};
    for (const [keyHash, { claim }] of this.#claims) claims[keyHash] = claim;
    return JSON.stringify({ claims } satisfies ClaimRange);
  }

  // The claim may still be written by an owner that has not confirmed it; the mark refuses it.
  #markNotRun(settlement: ClaimSettlement, nowMs: number): void {
    if (settlement.state !== 'not-run') return;
    const { keyHash, nonce } = settlement;
    const mark: StoredClaim = { nonce, requestId: '', claimedAtMs: nowMs, state: 'not-run' };
    if (!this.#hasRoom(keyHash, mark)) return;
    this.#setClaim(keyHash, mark);
    this.#hasChanged = true;
  }

  #hasRoom(keyHash: string, claim: StoredClaim): boolean {
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

function toOwnAnswer(held: StoredClaim): ClaimOutcome {
  switch (held.state) {
    case 'claimed':
      return { result: 'claimed' };
    case 'not-run':
      return { result: 'unavailable', reason: 'given-up' };
    case 'done':
    case 'unknown':
      return toDuplicate(held, held.state);
  }
}

function toDuplicate(held: StoredClaim, state: 'claimed' | 'done' | 'unknown'): ClaimOutcome {
  const { requestId, status, contentType, body } = held;
  return {
    result: 'duplicate',
    state: state === 'claimed' ? 'in-progress' : state,
    firstRequestId: requestId,
    ...(status === undefined ? {} : { status }),
    ...(contentType === undefined ? {} : { contentType }),
    ...(body === undefined ? {} : { body }),
  };
}

// A state that says the request ran is never replaced by one that says it did not.
function isSettledFurther(held: StoredClaim['state'], next: ClaimSettlement['state']): boolean {
  switch (held) {
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
  held: StoredClaim,
  settlement: ClaimSettlement,
  nowMs: number,
): StoredClaim {
  const { nonce, requestId, claimedAtMs } = held;
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
