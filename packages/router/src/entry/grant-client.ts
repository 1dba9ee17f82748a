import { randomUUID } from 'node:crypto';
import type {
  Adopt,
  Cause,
  Enqueue,
  Finish,
  Grant,
  HeldGrant,
  NotOwner,
  PeerMessage,
  Reject,
  ShardSummary,
} from '@pollendrum/protocol';
import { LRUCache } from 'lru-cache';
import type { PeerPort, RoutingPort, RoutingView, ShardRoute, Unsubscribe } from '../ports';
import type { GrantRequest } from './grant-request';
import { HeldSlot, toHeldGrant } from './held-slot';
import { OwnerPings } from './owner-pings';

/** Chooses the shard for a request; returns undefined when the pool has no shard. */
export type ChooseShard = (
  routes: readonly ShardRoute[],
  prefixHash: number,
  getWaitMs: (shardIndex: number) => number,
) => ShardRoute | undefined;

export type GrantResult =
  | { kind: 'granted'; slot: HeldSlot }
  | { kind: 'rejected'; cause: Cause; retryAfterMs: number }
  | { kind: 'withdrawn' };

export interface GrantClientOptions {
  peers: PeerPort;
  routing: RoutingPort;
  chooseShard: ChooseShard;
  failureDomain: string;
}

/**
 * An attempt that waits for the decision of a dispatcher. Times are in milliseconds of `performance.now()`.
 * A request to a sibling shard or for the replacement of an expired grant is a new attempt with another id,
 * although no request was sent to a server.
 */
interface PendingAttempt {
  readonly attemptId: string;
  readonly request: GrantRequest;
  readonly firstEnqueuedAtMs: number;
  route: ShardRoute;
  ownerId: string | undefined;
  enqueuedAtMs: number;
  enqueueRetries: number;
  isRetryScheduled: boolean;
  timer: NodeJS.Timeout | undefined;
  settle(result: GrantResult): void;
}

/**
 * Shard whose dispatcher tracks the slot of an attempt. Kept after the attempt has ended, so that a
 * grant that arrives late can be returned.
 */
interface AttemptLocation {
  poolId: string;
  shardIndex: number;
  fingerprint: string;
}

const MAX_ENQUEUE_RETRIES = 3;
const ENQUEUE_RETRY_DELAY_MS = 200;
const RETRY_AFTER_MS = 1_000;
// The dispatcher enforces the queue time; the entry waits this much longer before it gives up, so that
// only a dispatcher that makes no decision at all runs into the entry's timeout.
const DECISION_MARGIN_MS = 2_000;
const MAX_REMEMBERED_ATTEMPTS = 16_384;

/**
 * Requests grants from the dispatchers that own the shards, and reports to them which grants are in use
 * and which are finished.
 */
export class GrantClient implements Disposable {
  readonly #options: GrantClientOptions;
  readonly #pending = new Map<string, PendingAttempt>();
  readonly #held = new Map<string, HeldSlot>();
  readonly #locations = new LRUCache<string, AttemptLocation>({ max: MAX_REMEMBERED_ATTEMPTS });
  readonly #summaries = new Map<string, ShardSummary>();
  readonly #ownerPings: OwnerPings;
  readonly #subscriptions: Unsubscribe[];

  constructor(options: GrantClientOptions) {
    this.#options = options;
    this.#ownerPings = new OwnerPings(options.peers);
    this.#subscriptions = [
      options.peers.watchMessages((instanceId, message) => {
        this.#handleMessage(instanceId, message);
      }),
      options.peers.watchLinkLoss((instanceId) => {
        this.#handleLinkLoss(instanceId);
      }),
      options.routing.watchView((view) => {
        this.#handleView(view);
      }),
    ];
  }

  /** Number of attempts without a decision. */
  countPending(): number {
    return this.#pending.size;
  }

  /** Number of slots in use. */
  countHeld(): number {
    return this.#held.size;
  }

  /**
   * Waits for a grant. When the chosen shard rejects the request for lack of capacity, one sibling shard
   * of the pool is tried. Never throws.
   */
  async requestGrant(request: GrantRequest, signal: AbortSignal): Promise<GrantResult> {
    const route = this.#chooseRoute(request);
    if (route === undefined) return rejectWithoutServer();
    const result = await this.#requestFromShard(request, route, signal);
    if (result.kind !== 'rejected' || !isCapacityCause(result.cause)) return result;
    const sibling = this.#chooseSibling(request, route);
    if (sibling === undefined) return result;
    const siblingResult = await this.#requestFromShard(request, sibling, signal);
    return siblingResult.kind === 'rejected' ? result : siblingResult;
  }

  #chooseRoute(request: GrantRequest): ShardRoute | undefined {
    const routes = this.#listRoutes(request.poolId);
    return this.#options.chooseShard(routes, request.prefixHash, (shardIndex) =>
      this.#getWaitMs(request.poolId, shardIndex, request.tier),
    );
  }

  #chooseSibling(request: GrantRequest, tried: ShardRoute): ShardRoute | undefined {
    const routes = this.#listRoutes(request.poolId).filter(
      (route) => route.shardIndex !== tried.shardIndex && route.servers.length > 0,
    );
    return this.#options.chooseShard(routes, request.prefixHash, (shardIndex) =>
      this.#getWaitMs(request.poolId, shardIndex, request.tier),
    );
  }

  #listRoutes(poolId: string): readonly ShardRoute[] {
    return this.#options.routing.getView().pools.get(poolId) ?? [];
  }

  #getWaitMs(poolId: string, shardIndex: number, tier: number): number {
    return this.#summaries.get(`${poolId}/${shardIndex}`)?.waitMsByTier[tier] ?? 0;
  }

  async #requestFromShard(
    request: GrantRequest,
    route: ShardRoute,
    signal: AbortSignal,
  ): Promise<GrantResult> {
    if (signal.aborted) return { kind: 'withdrawn' };
    return await new Promise<GrantResult>((resolve) => {
      const nowMs = performance.now();
      const pending: PendingAttempt = {
        attemptId: randomUUID(),
        request,
        firstEnqueuedAtMs: nowMs,
        route,
        ownerId: undefined,
        enqueuedAtMs: nowMs,
        enqueueRetries: 0,
        isRetryScheduled: false,
        timer: undefined,
        settle: (result) => {
          signal.removeEventListener('abort', handleAbort);
          this.#removePending(pending);
          resolve(result);
        },
      };
      const handleAbort = () => {
        this.#sendWithdraw(pending);
        pending.settle({ kind: 'withdrawn' });
      };
      signal.addEventListener('abort', handleAbort, { once: true });
      this.#pending.set(pending.attemptId, pending);
      pending.timer = setTimeout(
        () => {
          this.#rejectUndecided(pending);
        },
        computeWaitLimitMs(request, nowMs),
      );
      this.#sendEnqueue(pending, route.ownerInstanceId);
    });
  }

  #sendEnqueue(pending: PendingAttempt, ownerId: string | undefined): void {
    const { request, route, attemptId } = pending;
    this.#setOwner(pending, ownerId);
    if (ownerId === undefined) {
      void this.#retryEnqueue(pending, undefined);
      return;
    }
    const nowMs = performance.now();
    pending.enqueuedAtMs = nowMs;
    this.#locations.set(attemptId, {
      poolId: request.poolId,
      shardIndex: route.shardIndex,
      fingerprint: request.fingerprint,
    });
    const message: Enqueue = {
      kind: 'enqueue',
      attemptId,
      requestId: request.requestId,
      poolId: request.poolId,
      shardIndex: route.shardIndex,
      shardCount: route.shardCount,
      className: request.className,
      team: request.team,
      fingerprint: request.fingerprint,
      prefixHash: request.prefixHash,
      promptTokens: request.promptTokens,
      maxOutputTokens: request.maxOutputTokens,
      arrivedAgoMs: Math.max(0, Math.round(nowMs - request.arrivedAtMs)),
      remainingMs: Math.max(0, Math.round(request.expiresAtMs - nowMs)),
      excludedServerIds: [...request.excludedServerIds],
      isRetry: request.isRetry,
      failureDomain: this.#options.failureDomain,
      bundleNumber: request.bundleNumber,
    };
    if (this.#options.peers.sendMessage(ownerId, message)) return;
    void this.#retryEnqueue(pending, undefined);
  }

  /**
   * Sends the enqueue to the shard's new owner, taken from the routing view or else from the not-owner
   * reply. When neither is known, the enqueue is sent after a delay to the owner that the
   * view shows by then. Rejects the attempt after MAX_ENQUEUE_RETRIES.
   */
  async #retryEnqueue(pending: PendingAttempt, reply: NotOwner | undefined): Promise<void> {
    if (pending.isRetryScheduled) return;
    if (pending.enqueueRetries >= MAX_ENQUEUE_RETRIES) {
      this.#rejectWithoutOwner(pending);
      return;
    }
    pending.enqueueRetries += 1;
    pending.isRetryScheduled = true;
    const askedOwnerId = pending.ownerId;
    let ownerId = this.#resolveOwner(pending, askedOwnerId, reply);
    if (ownerId === undefined) {
      await waitMs(ENQUEUE_RETRY_DELAY_MS);
      ownerId = this.#resolveOwner(pending, askedOwnerId, undefined);
    }
    pending.isRetryScheduled = false;
    if (!this.#pending.has(pending.attemptId)) return;
    this.#sendEnqueue(pending, ownerId ?? pending.route.ownerInstanceId);
  }

  /** Returns an owner other than the one already asked; undefined when none is known. */
  #resolveOwner(
    pending: PendingAttempt,
    askedOwnerId: string | undefined,
    reply: NotOwner | undefined,
  ): string | undefined {
    this.#updateRoute(pending);
    const viewOwnerId = pending.route.ownerInstanceId;
    if (viewOwnerId !== undefined && viewOwnerId !== askedOwnerId) return viewOwnerId;
    const namedOwnerId = reply?.ownerInstanceId ?? '';
    return namedOwnerId !== '' && namedOwnerId !== askedOwnerId ? namedOwnerId : undefined;
  }

  #updateRoute(pending: PendingAttempt): void {
    const { poolId } = pending.request;
    const { route } = pending;
    const sameShard = this.#listRoutes(poolId).find(
      (candidate) =>
        candidate.shardIndex === route.shardIndex && candidate.shardCount === route.shardCount,
    );
    pending.route = sameShard ?? this.#chooseRoute(pending.request) ?? route;
  }

  #rejectWithoutOwner(pending: PendingAttempt): void {
    this.#sendWithdraw(pending);
    const elapsedMs = performance.now() - pending.firstEnqueuedAtMs;
    const instanceId = pending.ownerId ?? '';
    const cause: Cause = { kind: 'dispatcher-moved', instanceId, elapsedMs };
    pending.settle({ kind: 'rejected', cause, retryAfterMs: RETRY_AFTER_MS });
  }

  #rejectUndecided(pending: PendingAttempt): void {
    this.#sendWithdraw(pending);
    const elapsedMs = performance.now() - pending.firstEnqueuedAtMs;
    const instanceId = pending.ownerId ?? '';
    const cause: Cause = { kind: 'dispatcher-lost', instanceId, elapsedMs };
    pending.settle({ kind: 'rejected', cause, retryAfterMs: RETRY_AFTER_MS });
  }

  #sendWithdraw(pending: PendingAttempt): void {
    if (pending.ownerId === undefined) return;
    const { attemptId } = pending;
    this.#options.peers.sendMessage(pending.ownerId, { kind: 'withdraw', attemptId });
  }

  #setOwner(pending: PendingAttempt, ownerId: string | undefined): void {
    if (pending.ownerId === ownerId) return;
    if (pending.ownerId !== undefined) this.#ownerPings.remove(pending.ownerId);
    if (ownerId !== undefined) this.#ownerPings.add(ownerId);
    pending.ownerId = ownerId;
  }

  #removePending(pending: PendingAttempt): void {
    clearTimeout(pending.timer);
    this.#pending.delete(pending.attemptId);
    this.#setOwner(pending, undefined);
  }

  #handleMessage(instanceId: string, message: PeerMessage): void {
    switch (message.kind) {
      case 'grant':
        this.#handleGrant(instanceId, message);
        return;
      case 'reject':
        this.#handleReject(instanceId, message);
        return;
      case 'not-owner':
        this.#handleNotOwner(instanceId, message);
        return;
      case 'moved':
        this.#handleNotOwner(instanceId, { attemptId: message.attemptId });
        return;
      case 'shard-summary':
        this.#summaries.set(`${message.poolId}/${message.shardIndex}`, message);
        return;
      default:
        return;
    }
  }

  #handleGrant(instanceId: string, grant: Grant): void {
    const pending = this.#pending.get(grant.attemptId);
    if (pending === undefined) {
      this.#releaseLateGrant(instanceId, grant);
      return;
    }
    const { route, request } = pending;
    const nowMs = performance.now();
    // An entry that was paused reads grants late, so the time of the grant is computed from the queue time
    // that the dispatcher reports.
    const grantedAtMs = Math.min(nowMs, pending.enqueuedAtMs + grant.queuedMs);
    const slot = new HeldSlot({
      grant,
      request,
      shardIndex: route.shardIndex,
      shardCount: route.shardCount,
      ownerId: instanceId,
      grantedAtMs,
      handleFinish: (finish) => {
        this.#handleFinish(slot, finish);
      },
    });
    this.#held.set(grant.attemptId, slot);
    this.#ownerPings.add(instanceId);
    pending.settle({ kind: 'granted', slot });
  }

  /**
   * Frees the slot of a grant for an attempt that is no longer pending, for example when two owners
   * grant the same attempt.
   */
  #releaseLateGrant(instanceId: string, grant: Grant): void {
    const heldSlot = this.#held.get(grant.attemptId);
    if (heldSlot?.serverId === grant.serverId && heldSlot.ownerId === instanceId) return;
    const location = this.#locations.get(grant.attemptId);
    if (location === undefined) return;
    this.#options.peers.sendMessage(instanceId, {
      kind: 'finish',
      attemptId: grant.attemptId,
      ...location,
      serverId: grant.serverId,
      result: 'not-sent',
    });
  }

  #handleFinish(slot: HeldSlot, finish: Finish): void {
    this.#held.delete(slot.attemptId);
    this.#ownerPings.remove(slot.ownerId);
    this.#options.peers.sendMessage(slot.ownerId, finish);
  }

  #handleReject(instanceId: string, message: Reject): void {
    const pending = this.#pending.get(message.attemptId);
    if (pending?.ownerId !== instanceId) return;
    const { cause, retryAfterMs } = message;
    pending.settle({ kind: 'rejected', cause, retryAfterMs });
  }

  #handleNotOwner(instanceId: string, message: { attemptId: string } | NotOwner): void {
    const pending = this.#pending.get(message.attemptId);
    if (pending?.ownerId !== instanceId) return;
    const reply = 'ownerInstanceId' in message ? message : undefined;
    void this.#retryEnqueue(pending, reply);
  }

  /**
   * After the link to a dispatcher is lost, enqueues the attempts pending there again at the current owners, and
   * reports the slots held there to the current owners, because messages sent on that link may not have arrived.
   */
  #handleLinkLoss(instanceId: string): void {
    for (const pending of [...this.#pending.values()]) {
      if (pending.ownerId !== instanceId || pending.isRetryScheduled) continue;
      this.#updateRoute(pending);
      this.#sendEnqueue(pending, pending.route.ownerInstanceId);
    }
    const heldSlots = [...this.#held.values()].filter((slot) => slot.ownerId === instanceId);
    this.#sendAdopt(heldSlots);
  }

  #handleView(view: RoutingView): void {
    for (const pending of [...this.#pending.values()]) {
      if (pending.isRetryScheduled) continue;
      const previousOwnerId = pending.route.ownerInstanceId;
      this.#updateRoute(pending);
      const ownerId = pending.route.ownerInstanceId;
      // When the view's owner hasn't changed, the view may be older than a not-owner reply that named another
      // owner, and the attempt stays there.
      if (ownerId === undefined || ownerId === previousOwnerId || ownerId === pending.ownerId)
        continue;
      this.#sendEnqueue(pending, ownerId);
    }
    const movedSlots = [...this.#held.values()].filter((slot) => {
      const ownerId = findSlotRoute(view, slot)?.ownerInstanceId;
      return ownerId !== undefined && ownerId !== slot.ownerId;
    });
    this.#sendAdopt(movedSlots);
  }

  /** Reports slots in use to the current owners of their shards. */
  #sendAdopt(slots: readonly HeldSlot[]): void {
    const view = this.#options.routing.getView();
    const byOwner = new Map<string, HeldGrant[]>();
    for (const slot of slots) {
      const route = findSlotRoute(view, slot);
      const ownerId = route?.ownerInstanceId ?? slot.ownerId;
      slot.shardIndex = route?.shardIndex ?? slot.shardIndex;
      slot.shardCount = route?.shardCount ?? slot.shardCount;
      if (ownerId !== slot.ownerId) {
        this.#ownerPings.remove(slot.ownerId);
        this.#ownerPings.add(ownerId);
        slot.ownerId = ownerId;
      }
      const grants = byOwner.get(ownerId) ?? [];
      grants.push(toHeldGrant(slot));
      byOwner.set(ownerId, grants);
    }
    for (const [ownerId, grants] of byOwner) {
      const message: Adopt = { kind: 'adopt', grants };
      this.#options.peers.sendMessage(ownerId, message);
    }
  }

  [Symbol.dispose](): void {
    for (const unsubscribe of this.#subscriptions) unsubscribe();
    for (const pending of [...this.#pending.values()]) pending.settle({ kind: 'withdrawn' });
    this.#ownerPings[Symbol.dispose]();
  }
}

/** Finds the shard that contains the slot's server. */
function findSlotRoute(view: RoutingView, slot: HeldSlot): ShardRoute | undefined {
  const routes = view.pools.get(slot.poolId) ?? [];
  return routes.find((route) => route.servers.some((server) => server.id === slot.serverId));
}

function isCapacityCause(cause: Cause): boolean {
  return (
    cause.kind === 'queue-wait-over-budget' ||
    cause.kind === 'queue-full' ||
    cause.kind === 'no-healthy-server'
  );
}

function rejectWithoutServer(): GrantResult {
  const cause: Cause = { kind: 'no-healthy-server', serversByState: {} };
  return { kind: 'rejected', cause, retryAfterMs: RETRY_AFTER_MS };
}

function computeWaitLimitMs(request: GrantRequest, nowMs: number): number {
  const queueLimitMs = request.maxQueueMs + DECISION_MARGIN_MS;
  return Math.max(1, Math.min(queueLimitMs, request.expiresAtMs - nowMs));
}

async function waitMs(delayMs: number): Promise<void> {
  await new Promise((resolve) => setTimeout(resolve, delayMs));
}
