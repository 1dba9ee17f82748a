import { setTimeout as sleep } from 'node:timers/promises';
import { LRUCache } from 'lru-cache';
import { computeRangeIndex } from '@pollendrum/platform';
import type { PlatformClient } from '@pollendrum/platform';
import type { ClaimResult, PeerMessage } from '@pollendrum/protocol';
import type {
  ClaimReply,
  ClaimSettlement,
  ClaimsPort,
  MembershipPort,
  PeerPort,
  TelemetryPort,
  Unsubscribe,
} from '../ports';
import { listOwnerCandidates, toRangeKey } from './owner-candidates';
import type { ChooseOwner } from './owner-candidates';
import { ClaimOwner } from './claim-owner';

/** Options of createClaimsTask. */
export interface ClaimsTaskOptions {
  client: Pick<PlatformClient, 'getObject' | 'putObject'>;
  membership: MembershipPort;
  peers: PeerPort;
  telemetry: TelemetryPort;
  chooseOwner: ChooseOwner;
  /** Retention time of claims in milliseconds. */
  retentionMs: number;
  /**
   * Time limit for a claim, including attempts at further owners, in milliseconds.
   * @default 4_900
   */
  claimTimeoutMs?: number;
  /**
   * Unix time in milliseconds.
   * @default Date.now
   */
  now?: () => number;
}

export interface ClaimsTask extends ClaimsPort, AsyncDisposable {}

/** Result of a claim request to a single owner. */
type ClaimRequestResult =
  { kind: 'answered'; reply: ClaimResult } | { kind: 'lost' } | { kind: 'timeout' };

interface PendingClaim {
  owner: string;
  resolve: (result: ClaimRequestResult) => void;
}

interface SentSettlement {
  settlement: ClaimSettlement;
  owner: string;
}

const CLAIM_TIMEOUT_MS = 4_900;
/** Delay before the next owner is tried, in milliseconds, so that membership views can converge. */
const NEXT_OWNER_DELAY_MS = 50;
/** Settlements are resent if the link to their owner is lost within this time, in milliseconds. */
const RESEND_WINDOW_MS = 10_000;
/** Maximum number of sent settlements that are kept for resending. */
const MAX_SENT_SETTLEMENTS = 5_000;

/** Creates and starts the task that claims idempotency keys through the owners of their ranges. */
export function createClaimsTask(options: ClaimsTaskOptions): ClaimsTask {
  return new ClaimForwarder(options);
}

class ClaimForwarder implements ClaimsTask {
  readonly #owner: ClaimOwner;
  readonly #pendingClaims = new Map<string, PendingClaim>();
  readonly #sentSettlements = new LRUCache<string, SentSettlement>({
    max: MAX_SENT_SETTLEMENTS,
    ttl: RESEND_WINDOW_MS,
  });
  readonly #unsubscribes: Unsubscribe[];
  #lastClaimNumber = 0;
  #isStopped = false;

  constructor(private readonly options: ClaimsTaskOptions) {
    const { peers, now = Date.now } = options;
    this.#owner = new ClaimOwner({ ...options, now, instanceId: peers.instanceId });
    this.#unsubscribes = [
      peers.watchMessages((instanceId, message) => {
        this.#handleMessage(instanceId, message);
      }),
      peers.watchLinkLoss((instanceId) => {
        this.#handleLinkLoss(instanceId);
      }),
    ];
  }

  async claimKey(keyHash: string, nonce: string, requestId: string): Promise<ClaimReply> {
    const startedAtMs = performance.now();
    const result = await this.#requestOwners(keyHash, nonce, requestId, startedAtMs);
    if (result === undefined || result.result === 'unavailable') {
      // The claim may still be written; the `not-run` settlement releases the key.
      this.recordSettlement({ keyHash, nonce, state: 'not-run' });
    }
    const elapsedMs = performance.now() - startedAtMs;
    if (result === undefined) return { result: 'unavailable', elapsedMs };
    const { state, firstRequestId, status, contentType, body } = result;
    return {
      result: result.result,
      ...(state === undefined ? {} : { state }),
      ...(firstRequestId === undefined ? {} : { firstRequestId }),
      ...(status === undefined ? {} : { status }),
      ...(contentType === undefined ? {} : { contentType }),
      ...(body === undefined ? {} : { body }),
      elapsedMs,
    };
  }

  recordSettlement(settlement: ClaimSettlement): void {
    this.#sendSettlement(settlement, new Set());
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.#isStopped = true;
    for (const unsubscribe of this.#unsubscribes) unsubscribe();
    for (const { resolve } of this.#pendingClaims.values()) resolve({ kind: 'timeout' });
    await this.#owner[Symbol.asyncDispose]();
  }

  /**
   * Sends the claim to the owner of its range. If the link to that instance is lost or its reply is
   * `not-owner`, tries the next choice with the same nonce. Resolves to undefined on a timeout or when
   * the task stops.
   */
  async #requestOwners(
    keyHash: string,
    nonce: string,
    requestId: string,
    startedAtMs: number,
  ): Promise<ClaimResult | undefined> {
    const timeoutMs = this.options.claimTimeoutMs ?? CLAIM_TIMEOUT_MS;
    const excluded = new Set<string>();
    while (!this.#isStopped) {
      const remainingMs = timeoutMs - (performance.now() - startedAtMs);
      if (remainingMs <= 0) return undefined;
      const owner = this.#chooseOwner(computeRangeIndex(keyHash), excluded);
      const requestResult = await this.#requestOwner(
        owner,
        { keyHash, nonce, requestId },
        remainingMs,
      );
      if (requestResult.kind === 'timeout') return undefined;
      if (requestResult.kind === 'answered' && requestResult.reply.result !== 'not-owner') {
        return requestResult.reply;
      }
      excluded.add(owner);
      await sleep(NEXT_OWNER_DELAY_MS);
    }
    return undefined;
  }

  #chooseOwner(rangeIndex: number, excluded: Set<string>): string {
    const { membership, peers, chooseOwner } = this.options;
    const candidates = listOwnerCandidates(membership, peers.instanceId);
    if (candidates.every((candidate) => excluded.has(candidate))) excluded.clear();
    const remaining = candidates.filter((candidate) => !excluded.has(candidate));
    return chooseOwner(toRangeKey(rangeIndex), remaining) ?? peers.instanceId;
  }

  async #requestOwner(
    owner: string,
    request: { keyHash: string; nonce: string; requestId: string },
    timeoutMs: number,
  ): Promise<ClaimRequestResult> {
    const { peers } = this.options;
    this.#lastClaimNumber += 1;
    const claimId = `${peers.instanceId}:${this.#lastClaimNumber}`;
    const rangeIndex = computeRangeIndex(request.keyHash);
    const releasePings = peers.requestPings(owner);
    let timer: NodeJS.Timeout | undefined;
    try {
      return await new Promise<ClaimRequestResult>((resolve) => {
        this.#pendingClaims.set(claimId, { owner, resolve });
        timer = setTimeout(() => {
          resolve({ kind: 'timeout' });
        }, timeoutMs);
        const isSent = peers.sendMessage(owner, { kind: 'claim', claimId, rangeIndex, ...request });
        if (!isSent) resolve({ kind: 'lost' });
      });
    } finally {
      clearTimeout(timer);
      this.#pendingClaims.delete(claimId);
      releasePings();
    }
  }

  #sendSettlement(settlement: ClaimSettlement, excluded: Set<string>): void {
    const { peers } = this.options;
    const { keyHash, nonce } = settlement;
    const rangeIndex = computeRangeIndex(keyHash);
    const message: PeerMessage = { kind: 'settle-claim', rangeIndex, ...settlement };
    const attempts = listOwnerCandidates(this.options.membership, peers.instanceId).length;
    for (let attempt = 0; attempt < attempts; attempt += 1) {
      const owner = this.#chooseOwner(rangeIndex, excluded);
      if (peers.sendMessage(owner, message)) {
        this.#sentSettlements.set(`${keyHash}:${nonce}`, { settlement, owner });
        return;
      }
      excluded.add(owner);
    }
    this.#owner.handleSettlement({ kind: 'settle-claim', rangeIndex, ...settlement });
  }

  #handleLinkLoss(instanceId: string): void {
    for (const { owner, resolve } of this.#pendingClaims.values()) {
      if (owner === instanceId) resolve({ kind: 'lost' });
    }
    const lost = [...this.#sentSettlements.values()].filter(({ owner }) => owner === instanceId);
    for (const { settlement } of lost) this.#sendSettlement(settlement, new Set([instanceId]));
  }

  #handleMessage(instanceId: string, message: PeerMessage): void {
    if (message.kind === 'claim') void this.#sendClaimResult(instanceId, message);
    if (message.kind === 'settle-claim') this.#owner.handleSettlement(message);
    if (message.kind === 'claim-result') {
      const pending = this.#pendingClaims.get(message.claimId);
      if (pending?.owner === instanceId) pending.resolve({ kind: 'answered', reply: message });
    }
  }

  async #sendClaimResult(
    instanceId: string,
    claim: PeerMessage & { kind: 'claim' },
  ): Promise<void> {
    const result = await this.#owner.handleClaim(claim);
    this.options.peers.sendMessage(instanceId, result);
  }
}
