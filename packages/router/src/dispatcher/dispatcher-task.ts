import type { Decision, FinishResult } from '@pollendrum/policy';
import type { Adopt, Enqueue, Finish, HeldGrant, PeerMessage } from '@pollendrum/protocol';
import type { CrashReport, Unsubscribe } from '../ports';
import { AttemptTable, type Attempt } from './attempt-table';
import {
  SUMMARY_INTERVAL_MS,
  type DispatcherTask,
  type DispatcherTaskOptions,
} from './dispatcher-options';
import { EntryLinks } from './entry-links';
import { LocalRequestReporter } from './local-request-reporter';
import { LoadPoller } from './load-poller';
import { buildGrant, buildEntryLostRecord, buildReject, toQueuedRequest } from './messages';
import type { OwnedShard } from './owned-shard';
import { ShardSet } from './shard-set';
import { WatchedRequests } from './watched-requests';

/** Creates the task that makes the scheduling decisions for the shards that this instance owns. */
export function createDispatcherTask(options: DispatcherTaskOptions): DispatcherTask {
  return new PeerDispatcherTask(options);
}

class PeerDispatcherTask implements DispatcherTask {
  readonly #options: DispatcherTaskOptions;
  readonly #shards: ShardSet;
  readonly #attempts: AttemptTable;
  readonly #localRequestReporter: LocalRequestReporter;
  readonly #watched: WatchedRequests;
  readonly #entryLinks: EntryLinks;
  readonly #poller: LoadPoller;
  /** Fingerprints of requests that were reported to have crashed a server and have not been cleared. */
  readonly #crashSuspects = new Set<string>();
  readonly #dirtyShards = new Set<OwnedShard>();
  readonly #subscriptions: Unsubscribe[];
  #decisionImmediate: NodeJS.Immediate | undefined;
  #wakeTimer: NodeJS.Timeout | undefined;
  #isStopped = false;

  constructor(options: DispatcherTaskOptions) {
    this.#options = options;
    const { peers, routing, bundles, membership, metrics } = options;
    const reporter = new LocalRequestReporter(peers, membership);
    this.#localRequestReporter = reporter;
    this.#watched = new WatchedRequests(options.instanceId);
    this.#attempts = new AttemptTable((attemptId) => {
      reporter.removeAttempt(attemptId);
    });
    this.#entryLinks = new EntryLinks(peers, this.#attempts);
    this.#poller = new LoadPoller({
      ...{ metrics, intervalMs: options.loadPollMs },
      listServers: () => this.#shards.listServers(),
      handleChange: () => {
        this.#updateServers();
      },
    });
    this.#shards = new ShardSet(options, (serverId) => this.#poller.getLoad(serverId));
    for (const report of membership.listCrashes()) this.#updateCrashSuspects(report);
    this.#subscriptions = [
      peers.watchMessages((instanceId, message) => {
        this.#handleMessage(instanceId, message);
      }),
      peers.watchLinkLoss((instanceId) => {
        this.#handleLinkLoss(instanceId);
      }),
      routing.watchView(() => {
        this.#updateShards();
      }),
      bundles.watchActive((active) => {
        this.#shards.updatePolicies(active);
        this.#markAllDirty();
      }),
      membership.watchView(() => {
        this.#checkMembership();
      }),
      membership.watchCrashes((report) => {
        this.#handleCrashReport(report);
      }),
    ];
    this.#updateShards();
  }

  listShards(): string[] {
    return this.#shards.list().map(({ route }) => `${route.poolId}/${route.shardIndex}`);
  }

  stop(): void {
    if (this.#isStopped) return;
    this.#isStopped = true;
    for (const shard of this.#shards.list()) this.#releaseShard(shard);
    this.#entryLinks.updatePings();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stop();
    for (const unsubscribe of this.#subscriptions) unsubscribe();
    clearImmediate(this.#decisionImmediate);
    clearTimeout(this.#wakeTimer);
    await this.#poller[Symbol.asyncDispose]();
  }

  #getNowMs(): number {
    return this.#options.getNowMs?.() ?? performance.now();
  }

  #handleMessage(from: string, message: PeerMessage): void {
    switch (message.kind) {
      case 'enqueue':
        this.#handleEnqueue(from, message);
        break;
      case 'withdraw':
        this.#handleWithdraw(from, message.attemptId);
        break;
      case 'adopt':
        this.#handleAdopt(from, message);
        break;
      case 'finish':
        this.#handleFinish(from, message);
        break;
      case 'watch-request':
        this.#watched.add(from, message);
        return;
      case 'unwatch-request':
        this.#watched.remove(from, message.attemptId);
        return;
      default:
        // Other kinds of messages on the link are handled by the entry and the control task.
        return;
    }
    this.#entryLinks.observeMessage(from, this.#getNowMs());
    this.#entryLinks.updatePings();
  }

  #handleEnqueue(from: string, message: Enqueue): void {
    const { attemptId, poolId, shardIndex, shardCount } = message;
    const known = this.#attempts.get(attemptId);
    if (known !== undefined) {
      if (known.entryInstanceId === from) this.#handleDuplicateEnqueue(known, message);
      return;
    }
    const ended = this.#attempts.getEnd(attemptId);
    if (ended !== undefined) {
      if (ended.kind === 'rejected') this.#options.peers.sendMessage(from, ended.reply);
      return;
    }
    const shard = this.#shards.get(poolId, shardIndex, shardCount);
    if (shard === undefined) this.#sendNotOwner(from, message);
    else this.#addAttempt(from, message, shard);
  }

  #handleDuplicateEnqueue(attempt: Attempt, message: Enqueue): void {
    this.#entryLinks.endGracePeriod(attempt);
    switch (attempt.state.kind) {
      case 'queued':
        return;
      case 'suspended':
        this.#enqueueAttempt(attempt, message);
        return;
      case 'granted':
        if (attempt.state.reply === undefined) return;
        this.#options.peers.sendMessage(attempt.entryInstanceId, attempt.state.reply);
    }
  }

  #addAttempt(entryInstanceId: string, message: Enqueue, shard: OwnedShard): void {
    const { attemptId, requestId, className, team, fingerprint, bundleNumber } = message;
    const attempt: Attempt = {
      ...{ attemptId, requestId, entryInstanceId, shard, className, team, fingerprint },
      bundleNumber,
      arrivedAtMs: this.#getNowMs() - message.arrivedAgoMs,
      state: { kind: 'suspended' },
      linkLostAtMs: undefined,
    };
    this.#attempts.add(attempt);
    this.#localRequestReporter.addAttempt(attempt, this.#getTier(className), this.#getNowMs());
    this.#enqueueAttempt(attempt, message);
  }

  #enqueueAttempt(attempt: Attempt, message: Enqueue): void {
    const nowMs = this.#getNowMs();
    attempt.state = { kind: 'queued' };
    attempt.shard.scheduler.enqueue(toQueuedRequest(message, nowMs), nowMs);
    this.#markDirty(attempt.shard);
  }

  #sendNotOwner(from: string, { attemptId, poolId, shardIndex }: Enqueue): void {
    const { version, pools } = this.#options.routing.getView();
    const routes = pools.get(poolId) ?? [];
    const ownerInstanceId = routes[shardIndex]?.ownerInstanceId ?? '';
    if (this.#isStopped && ownerInstanceId === this.#options.instanceId) {
      this.#sendMoved(from, attemptId);
      return;
    }
    this.#options.peers.sendMessage(from, {
      ...{ kind: 'not-owner', attemptId, ownerInstanceId },
      ...{ shardCount: routes.length, membershipVersion: version },
    });
  }

  #sendMoved(entryInstanceId: string, attemptId: string): void {
    this.#options.peers.sendMessage(entryInstanceId, { kind: 'moved', attemptId });
  }

  #handleWithdraw(from: string, attemptId: string): void {
    const attempt = this.#attempts.get(attemptId);
    if (attempt?.entryInstanceId !== from) return;
    this.#removeFromScheduler(attempt, 'not-sent');
    this.#attempts.recordEnd(attemptId, { kind: 'finished' });
  }

  #handleAdopt(from: string, message: Adopt): void {
    for (const grant of message.grants) this.#adoptGrant(from, grant);
  }

  #adoptGrant(from: string, grant: HeldGrant): void {
    const { attemptId, requestId, serverId, className, team, fingerprint } = grant;
    if (this.#attempts.getEnd(attemptId) !== undefined) return;
    const known = this.#attempts.get(attemptId);
    if (known !== undefined && known.entryInstanceId !== from) return;
    if (known?.state.kind === 'granted') {
      this.#entryLinks.endGracePeriod(known);
      return;
    }
    // The sender may have another shard count, so the shard is looked up by its server.
    const shard = this.#shards.findByServer(grant.poolId, serverId);
    if (shard === undefined) return;
    if (known !== undefined) this.#removeAttempt(known, 'not-sent');
    const grantedAtMs = this.#getNowMs() - grant.heldForMs;
    shard.scheduler.adopt({ attemptId, serverId, className, team, fingerprint, grantedAtMs });
    this.#attempts.add({
      ...{ attemptId, requestId, entryInstanceId: from, shard, className, team, fingerprint },
      bundleNumber: this.#options.bundles.getActive()?.bundle.number ?? 0,
      arrivedAtMs: grantedAtMs,
      state: { kind: 'granted', serverId, reply: undefined },
      linkLostAtMs: undefined,
    });
    this.#markDirty(shard);
  }

  #handleFinish(from: string, message: Finish): void {
    const { attemptId, result, fingerprint, serverId } = message;
    const attempt = this.#attempts.get(attemptId);
    if (attempt !== undefined && attempt.entryInstanceId !== from) return;
    if (attempt !== undefined) {
      const { firstTokenMs, meanGapMs, outputTokens } = message;
      this.#removeFromScheduler(attempt, result, { firstTokenMs, meanGapMs, outputTokens });
    }
    this.#attempts.recordEnd(attemptId, { kind: 'finished' });
    // The result is evidence about the server and the request even if another dispatcher made the grant.
    if (result === 'server-crashed') this.#options.membership.publishCrash(fingerprint, serverId);
    if (result === 'server-draining') this.#poller.markDraining(serverId);
    if (result === 'completed' && this.#crashSuspects.has(fingerprint)) {
      this.#options.membership.publishCrashCleared(fingerprint);
    }
  }

  /** Withdraws a queued attempt from its scheduler, or finishes its grant there. */
  #removeFromScheduler(
    attempt: Attempt,
    result: FinishResult,
    measurements: { firstTokenMs?: number; meanGapMs?: number; outputTokens?: number } = {},
  ): void {
    const { attemptId, shard, state } = attempt;
    this.#entryLinks.endGracePeriod(attempt);
    switch (state.kind) {
      case 'queued':
        shard.scheduler.withdraw(attemptId);
        break;
      case 'suspended':
        return;
      case 'granted':
        shard.scheduler.finish({ attemptId, result, ...measurements }, this.#getNowMs());
    }
    this.#markDirty(shard);
  }

  #removeAttempt(attempt: Attempt, result: FinishResult): void {
    this.#removeFromScheduler(attempt, result);
    this.#attempts.remove(attempt);
  }

  #handleLinkLoss(instanceId: string): void {
    const attempts = this.#entryLinks.startGracePeriod(instanceId, this.#getNowMs());
    for (const attempt of attempts) {
      if (attempt.state.kind !== 'queued') continue;
      // A grant for an entry that may be dead would occupy a slot until the grace period ends.
      attempt.shard.scheduler.withdraw(attempt.attemptId);
      attempt.state = { kind: 'suspended' };
    }
    if (attempts.length > 0) this.#scheduleDecisions();
  }

  /** Handles entries that membership has removed: when a machine fails, the link to it isn't closed. */
  #checkMembership(): void {
    const { members } = this.#options.membership.getView();
    const knownInstanceIds = new Set(members.map(({ instanceId }) => instanceId));
    knownInstanceIds.add(this.#options.instanceId);
    for (const entryInstanceId of this.#attempts.listEntryIds()) {
      if (!knownInstanceIds.has(entryInstanceId)) this.#handleLinkLoss(entryInstanceId);
    }
    for (const record of this.#watched.takeEntryLostRecords(knownInstanceIds))
      this.#options.recordOutcome(record);
  }

  #removeAbandoned(): void {
    const nowMs = this.#getNowMs();
    for (const { attempt, isEntryDead } of this.#entryLinks.takeAbandoned(nowMs)) {
      if (isEntryDead) this.#recordEntryLost(attempt, nowMs);
      this.#removeAttempt(attempt, 'cancelled');
    }
  }

  #recordEntryLost(attempt: Attempt, nowMs: number): void {
    const { instanceId, recordOutcome } = this.#options;
    recordOutcome(
      buildEntryLostRecord(attempt, instanceId, this.#getTier(attempt.className), nowMs),
    );
  }

  #getTier(className: string): number {
    return this.#options.bundles.getActive()?.classesByName.get(className)?.tier ?? 0;
  }

  #updateCrashSuspects(report: CrashReport): void {
    if (report.kind === 'crash') this.#crashSuspects.add(report.fingerprint);
    else this.#crashSuspects.delete(report.fingerprint);
  }

  #handleCrashReport(report: CrashReport): void {
    this.#updateCrashSuspects(report);
    this.#shards.observeReport(report, this.#getNowMs());
    this.#markAllDirty();
  }

  /** Creates newly assigned shards, releases those that are no longer assigned, and updates the servers of all. */
  #updateShards(): void {
    if (this.#isStopped) return;
    const nowMs = this.#getNowMs();
    const { released, added } = this.#shards.updateRoutes();
    const granted = released.flatMap((shard) => this.#releaseShard(shard));
    for (const route of added) this.#shards.create(route, nowMs);
    this.#updateServers();
    for (const attempt of granted) this.#adoptReleased(attempt, nowMs);
    this.#entryLinks.updatePings();
  }

  /**
   * Adopts a grant of a released shard in the shard that now contains its server, if this instance owns that
   * shard. This happens when the shard count changes.
   */
  #adoptReleased(attempt: Attempt, nowMs: number): void {
    if (attempt.state.kind !== 'granted') return;
    const { attemptId, className, team, fingerprint, state } = attempt;
    const shard = this.#shards.findByServer(attempt.shard.route.poolId, state.serverId);
    if (shard === undefined) return;
    const { serverId } = state;
    const grantedAtMs = nowMs;
    shard.scheduler.adopt({ attemptId, serverId, className, team, fingerprint, grantedAtMs });
    attempt.shard = shard;
    this.#attempts.add(attempt);
  }

  /**
   * Removes the shard, replies `moved` to its queued requests and returns the attempts that hold a grant.
   * The entries enqueue the former and report the latter to the next owner.
   */
  #releaseShard(shard: OwnedShard): Attempt[] {
    this.#shards.remove(shard);
    this.#dirtyShards.delete(shard);
    const granted: Attempt[] = [];
    for (const attempt of this.#attempts.list()) {
      if (attempt.shard !== shard) continue;
      this.#attempts.remove(attempt);
      if (attempt.state.kind === 'granted') granted.push(attempt);
      else this.#sendMoved(attempt.entryInstanceId, attempt.attemptId);
    }
    return granted;
  }

  #updateServers(): void {
    this.#shards.updateServers(this.#getNowMs());
    this.#markAllDirty();
  }

  #markDirty(shard: OwnedShard): void {
    // Until the event-loop turn ends, an attempt may refer to a shard that was removed.
    if (!this.#shards.has(shard)) return;
    this.#dirtyShards.add(shard);
    this.#scheduleDecisions();
  }

  #markAllDirty(): void {
    for (const shard of this.#shards.list()) this.#markDirty(shard);
  }

  /** Runs the scheduling decisions once per event-loop turn, regardless of the number of messages in it. */
  #scheduleDecisions(): void {
    if (this.#isStopped) return;
    this.#decisionImmediate ??= setImmediate(() => {
      this.#decisionImmediate = undefined;
      this.#runDecisions();
    });
  }

  #runDecisions(): void {
    if (this.#isStopped) return;
    this.#removeAbandoned();
    const nowMs = this.#getNowMs();
    for (const shard of this.#shards.list()) {
      const isDue = this.#dirtyShards.has(shard) || this.#getShardWakeMs(shard) <= nowMs;
      if (!isDue || nowMs < shard.adoptUntilMs) continue;
      this.#dirtyShards.delete(shard);
      for (const decision of shard.scheduler.takeDecisions(nowMs)) {
        this.#applyDecision(shard, decision, nowMs);
      }
    }
    this.#entryLinks.updatePings();
    this.#scheduleWake(nowMs);
  }

  #scheduleWake(nowMs: number): void {
    clearTimeout(this.#wakeTimer);
    let wakeMs = this.#entryLinks.getNextWakeMs();
    for (const shard of this.#shards.list()) wakeMs = Math.min(wakeMs, this.#getShardWakeMs(shard));
    if (wakeMs === Infinity) return;
    this.#wakeTimer = setTimeout(
      () => {
        this.#scheduleDecisions();
      },
      Math.max(1, Math.ceil(wakeMs - nowMs)),
    );
  }

  #applyDecision(shard: OwnedShard, decision: Decision, nowMs: number): void {
    const attempt = this.#attempts.get(decision.attemptId);
    if (attempt === undefined) {
      this.#options.log.error('scheduler returned a decision for an unknown attempt', {
        attemptId: decision.attemptId,
      });
      return;
    }
    const { entryInstanceId } = attempt;
    switch (decision.kind) {
      case 'grant':
        this.#sendGrant(shard, attempt, decision);
        break;
      case 'shed': {
        const reject = buildReject(decision);
        this.#attempts.recordEnd(attempt.attemptId, { kind: 'rejected', reply: reject });
        this.#options.peers.sendMessage(entryInstanceId, reject);
      }
    }
    this.#sendSummary(shard, entryInstanceId, nowMs);
  }

  #sendGrant(
    shard: OwnedShard,
    attempt: Attempt,
    decision: Extract<Decision, { kind: 'grant' }>,
  ): void {
    const { serverId } = decision;
    const server = shard.route.servers.find(({ id }) => id === serverId);
    if (server === undefined) {
      this.#options.log.error('scheduler granted a server that is not in the shard', { serverId });
      this.#removeAttempt(attempt, 'not-sent');
      this.#sendMoved(attempt.entryInstanceId, attempt.attemptId);
      return;
    }
    const grant = buildGrant(decision, server);
    attempt.state = { kind: 'granted', serverId, reply: grant };
    const isSent = this.#options.peers.sendMessage(attempt.entryInstanceId, grant);
    if (!isSent) this.#handleLinkLoss(attempt.entryInstanceId);
  }

  #sendSummary(shard: OwnedShard, entryInstanceId: string, nowMs: number): void {
    const sentAtMs = shard.summarySentAtMs.get(entryInstanceId) ?? -Infinity;
    if (nowMs - sentAtMs < SUMMARY_INTERVAL_MS) return;
    shard.summarySentAtMs.set(entryInstanceId, nowMs);
    const { poolId, shardIndex } = shard.route;
    const summary = shard.scheduler.summarize(nowMs);
    const message = { kind: 'shard-summary', poolId, shardIndex, ...summary } as const;
    this.#options.peers.sendMessage(entryInstanceId, message);
  }

  /** Returns the time of the shard's next decision run; for a dirty shard, the end of its adoption period. */
  #getShardWakeMs(shard: OwnedShard): number {
    if (this.#dirtyShards.has(shard)) return shard.adoptUntilMs;
    return Math.max(shard.adoptUntilMs, shard.scheduler.getNextWakeMs());
  }
}
