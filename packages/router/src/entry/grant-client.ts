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

/** Picks the shard for a request; undefined when the pool has no shard. */
export type ChooseShard = (
  routes: readonly ShardRoute[],
  prefixHash: number,
  waitMs: (shardIndex: number) => number,
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

interface Waiting {
  readonly attemptId: string;
  readonly request: GrantRequest;
  readonly enqueuedFirstAtMs: number;
  route: ShardRoute;
  ownerId: string | undefined;
  enqueuedAtMs: number;
  repeats: number;
  isRepeating: boolean;
  timer: NodeJS.Timeout | undefined;
  settle(result: GrantResult): void;
}

/** Where the slot of an attempt is counted; kept after the attempt ended, for late grants. */
interface AttemptPlace {
  poolId: string;
  shardIndex: number;
  fingerprint: string;
}

const MAX_REPEATS = 3;
const REPEAT_DELAY_MS = 200;
const RETRY_AFTER_MS = 1_000;
// The dispatcher enforces the queue time; the entry gives up later, when no decision came at all.
const DECISION_MARGIN_MS = 2_000;
const MAX_REMEMBERED_ATTEMPTS = 16_384;

/** Asks the dispatchers of shards for grants and keeps them informed about the grants in use. */
export class GrantClient implements Disposable {
  readonly #options: GrantClientOptions;
  readonly #waiting = new Map<string, Waiting>();
  readonly #held = new Map<string, HeldSlot>();
  readonly #places = new LRUCache<string, AttemptPlace>({ max: MAX_REMEMBERED_ATTEMPTS });
  readonly #summaries = new Map<string, ShardSummary>();
  readonly #links: OwnerPings;
  readonly #subscriptions: Unsubscribe[];

  constructor(options: GrantClientOptions) {
    this.#options = options;
    this.#links = new OwnerPings(options.peers);
    this.#subscriptions = [
      options.peers.watchMessages((instanceId, message) => {
        this.#handleMessage(instanceId, message);
      }),
      options.peers.watchLost((instanceId) => {
        this.#handleLost(instanceId);
      }),
      options.routing.watchView((view) => {
        this.#handleView(view);
      }),
    ];
  }

  /** Attempts without a decision. */
  countWaiting(): number {
    return this.#waiting.size;
  }

  countHeld(): number {
    return this.#held.size;
  }

  /**
   * Waits for a grant. A request that one shard sheds for lack of capacity tries one sibling shard.
   * Never throws.
   */
  async requestGrant(request: GrantRequest, signal: AbortSignal): Promise<GrantResult> {
    const route = this.#chooseRoute(request);
    if (route === undefined) return rejectWithoutServer();
    const result = await this.#requestFromShard(request, route, signal);
    if (result.kind !== 'rejected' || !isCapacityCause(result.cause)) return result;
    const sibling = this.#chooseSibling(request, route);
    if (sibling === undefined) return result;
    const second = await this.#requestFromShard(request, sibling, signal);
    return second.kind === 'rejected' ? result : second;
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
      const waiting: Waiting = {
        attemptId: randomUUID(),
        request,
        enqueuedFirstAtMs: nowMs,
        route,
        ownerId: undefined,
        enqueuedAtMs: nowMs,
        repeats: 0,
        isRepeating: false,
        timer: undefined,
        settle: (result) => {
          signal.removeEventListener('abort', handleAbort);
          this.#removeWaiting(waiting);
          resolve(result);
        },
      };
      const handleAbort = () => {
        this.#sendWithdraw(waiting);
        waiting.settle({ kind: 'withdrawn' });
      };
      signal.addEventListener('abort', handleAbort, { once: true });
      this.#waiting.set(waiting.attemptId, waiting);
      waiting.timer = setTimeout(
        () => {
          this.#expire(waiting);
        },
        computeWaitLimitMs(request, nowMs),
      );
      this.#sendEnqueue(waiting, route.ownerInstanceId);
    });
  }

  #sendEnqueue(waiting: Waiting, ownerId: string | undefined): void {
    const { request, route, attemptId } = waiting;
    this.#setOwner(waiting, ownerId);
    if (ownerId === undefined) {
      void this.#requestAgain(waiting, undefined);
      return;
    }
    const nowMs = performance.now();
    waiting.enqueuedAtMs = nowMs;
    this.#places.set(attemptId, {
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
    void this.#requestAgain(waiting, undefined);
  }

  /** Asks the owner that the routing shows by now, or the one named in a not-owner answer; else after a pause. */
  async #requestAgain(waiting: Waiting, answer: NotOwner | undefined): Promise<void> {
    if (waiting.isRepeating) return;
    if (waiting.repeats >= MAX_REPEATS) {
      this.#rejectWithoutOwner(waiting);
      return;
    }
    waiting.repeats += 1;
    waiting.isRepeating = true;
    const askedOwnerId = waiting.ownerId;
    let ownerId = this.#resolveOwner(waiting, askedOwnerId, answer);
    if (ownerId === undefined) {
      await waitMs(REPEAT_DELAY_MS);
      ownerId = this.#resolveOwner(waiting, askedOwnerId, undefined);
    }
    waiting.isRepeating = false;
    if (!this.#waiting.has(waiting.attemptId)) return;
    this.#sendEnqueue(waiting, ownerId ?? waiting.route.ownerInstanceId);
  }

  /** Another owner than the one that was asked, undefined when none is known. */
  #resolveOwner(
    waiting: Waiting,
    askedOwnerId: string | undefined,
    answer: NotOwner | undefined,
  ): string | undefined {
    this.#updateRoute(waiting);
    const viewOwnerId = waiting.route.ownerInstanceId;
    if (viewOwnerId !== undefined && viewOwnerId !== askedOwnerId) return viewOwnerId;
    const named = answer?.ownerInstanceId ?? '';
    return named !== '' && named !== askedOwnerId ? named : undefined;
  }

  #updateRoute(waiting: Waiting): void {
    const { poolId } = waiting.request;
    const { route } = waiting;
    const same = this.#listRoutes(poolId).find(
      (candidate) =>
        candidate.shardIndex === route.shardIndex && candidate.shardCount === route.shardCount,
    );
    waiting.route = same ?? this.#chooseRoute(waiting.request) ?? route;
  }

  #rejectWithoutOwner(waiting: Waiting): void {
    this.#sendWithdraw(waiting);
    const elapsedMs = performance.now() - waiting.enqueuedFirstAtMs;
    const instanceId = waiting.ownerId ?? '';
    const cause: Cause = { kind: 'dispatcher-moved', instanceId, elapsedMs };
    waiting.settle({ kind: 'rejected', cause, retryAfterMs: RETRY_AFTER_MS });
  }

  #expire(waiting: Waiting): void {
    this.#sendWithdraw(waiting);
    const elapsedMs = performance.now() - waiting.enqueuedFirstAtMs;
    const instanceId = waiting.ownerId ?? '';
    const cause: Cause = { kind: 'dispatcher-lost', instanceId, elapsedMs };
    waiting.settle({ kind: 'rejected', cause, retryAfterMs: RETRY_AFTER_MS });
  }

  #sendWithdraw(waiting: Waiting): void {
    if (waiting.ownerId === undefined) return;
    const { attemptId } = waiting;
    this.#options.peers.sendMessage(waiting.ownerId, { kind: 'withdraw', attemptId });
  }

  #setOwner(waiting: Waiting, ownerId: string | undefined): void {
    if (waiting.ownerId === ownerId) return;
    if (waiting.ownerId !== undefined) this.#links.release(waiting.ownerId);
    if (ownerId !== undefined) this.#links.add(ownerId);
    waiting.ownerId = ownerId;
  }

  #removeWaiting(waiting: Waiting): void {
    clearTimeout(waiting.timer);
    this.#waiting.delete(waiting.attemptId);
    this.#setOwner(waiting, undefined);
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
    const waiting = this.#waiting.get(grant.attemptId);
    if (waiting === undefined) {
      this.#releaseLateGrant(instanceId, grant);
      return;
    }
    const { route, request } = waiting;
    const nowMs = performance.now();
    // An entry that was paused reads old grants late; the queue time reported by the dispatcher dates them.
    const grantedAtMs = Math.min(nowMs, waiting.enqueuedAtMs + grant.queuedMs);
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
    this.#links.add(instanceId);
    waiting.settle({ kind: 'granted', slot });
  }

  /** Frees the slot of a grant that nobody waits for, for example the second of two owners. */
  #releaseLateGrant(instanceId: string, grant: Grant): void {
    const held = this.#held.get(grant.attemptId);
    if (held?.serverId === grant.serverId && held.ownerId === instanceId) return;
    const place = this.#places.get(grant.attemptId);
    if (place === undefined) return;
    this.#options.peers.sendMessage(instanceId, {
      kind: 'finish',
      attemptId: grant.attemptId,
      ...place,
      serverId: grant.serverId,
      result: 'not-sent',
    });
  }

  #handleFinish(slot: HeldSlot, finish: Finish): void {
    this.#held.delete(slot.attemptId);
    this.#links.release(slot.ownerId);
    this.#options.peers.sendMessage(slot.ownerId, finish);
  }

  #handleReject(instanceId: string, message: Reject): void {
    const waiting = this.#waiting.get(message.attemptId);
    if (waiting?.ownerId !== instanceId) return;
    const { cause, retryAfterMs } = message;
    waiting.settle({ kind: 'rejected', cause, retryAfterMs });
  }

  #handleNotOwner(instanceId: string, message: { attemptId: string } | NotOwner): void {
    const waiting = this.#waiting.get(message.attemptId);
    if (waiting?.ownerId !== instanceId) return;
    const answer = 'ownerInstanceId' in message ? message : undefined;
    void this.#requestAgain(waiting, answer);
  }

  /** Announces everything that was told to a lost dispatcher to the current owner. */
  #handleLost(instanceId: string): void {
    for (const waiting of [...this.#waiting.values()]) {
      if (waiting.ownerId !== instanceId || waiting.isRepeating) continue;
      this.#updateRoute(waiting);
      this.#sendEnqueue(waiting, waiting.route.ownerInstanceId);
    }
    const slots = [...this.#held.values()].filter((slot) => slot.ownerId === instanceId);
    this.#sendAdopt(slots);
  }

  #handleView(view: RoutingView): void {
    for (const waiting of [...this.#waiting.values()]) {
      if (waiting.isRepeating) continue;
      const shownBefore = waiting.route.ownerInstanceId;
      this.#updateRoute(waiting);
      const ownerId = waiting.route.ownerInstanceId;
      // A view that still shows a stale owner must not undo what a not-owner answer taught.
      if (ownerId === undefined || ownerId === shownBefore || ownerId === waiting.ownerId) continue;
      this.#sendEnqueue(waiting, ownerId);
    }
    const moved = [...this.#held.values()].filter((slot) => {
      const ownerId = findRoute(view, slot)?.ownerInstanceId;
      return ownerId !== undefined && ownerId !== slot.ownerId;
    });
    this.#sendAdopt(moved);
  }

  #sendAdopt(slots: readonly HeldSlot[]): void {
    const view = this.#options.routing.getView();
    const byOwner = new Map<string, HeldGrant[]>();
    for (const slot of slots) {
      const route = findRoute(view, slot);
      const ownerId = route?.ownerInstanceId ?? slot.ownerId;
      slot.shardIndex = route?.shardIndex ?? slot.shardIndex;
      slot.shardCount = route?.shardCount ?? slot.shardCount;
      if (ownerId !== slot.ownerId) {
        this.#links.release(slot.ownerId);
        this.#links.add(ownerId);
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
    for (const waiting of [...this.#waiting.values()]) waiting.settle({ kind: 'withdrawn' });
    this.#links[Symbol.dispose]();
  }
}

function findRoute(view: RoutingView, slot: HeldSlot): ShardRoute | undefined {
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
