import { computeScore, hashName } from '@pollendrum/policy';
import type { FleetGossip } from './fleet-gossip';
import type { Clock, GatewayLog } from './log-and-clock';
import type { PeerAddress } from './peer-socket';

export interface InstanceWatchOptions {
  instanceId: string;
  gossip: Pick<FleetGossip, 'requestFacts' | 'getHeardAtMs'>;
  /** Removes the announcement of an instance, so that it no longer counts at any instance. */
  removeAnnouncement(instanceId: string): Promise<void>;
  clock: Clock;
  log: GatewayLog;
}

/** Instances that watch each instance, so that one of them may be lost as well. */
const WATCHER_COUNT = 2;
const CHECK_INTERVAL_MS = 1_000;
/** Time without a message after which a watched instance is asked at each check, in milliseconds. */
const ASK_AFTER_MS = 5_000;
/** Time without a message after which a watched instance is taken as gone, in milliseconds; a restart takes less. */
const GONE_AFTER_MS = 20_000;

/**
 * Removes the announcements of instances that are gone for good, which would otherwise keep their shares of limits. Each
 * instance watches a few others. One that is removed by mistake announces itself again.
 */
export class InstanceWatch implements AsyncDisposable {
  private readonly timer: NodeJS.Timeout;
  private readonly watchedSinceMs = new Map<string, number>();
  private peers: readonly PeerAddress[] = [];
  private watched: readonly PeerAddress[] | undefined;

  constructor(private readonly options: InstanceWatchOptions) {
    this.timer = setInterval(() => {
      this.#checkWatched();
    }, CHECK_INTERVAL_MS);
  }

  /** Takes in the announced instances. */
  setPeers(instances: readonly PeerAddress[]): void {
    this.peers = instances.filter(({ instanceId }) => instanceId !== this.options.instanceId);
    // Selected anew at the next check, since many instances can be announced within a short time.
    this.watched = undefined;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.timer);
    await Promise.resolve();
  }

  #checkWatched(): void {
    const nowMs = this.options.clock();
    this.watched ??= this.#selectWatched(nowMs);
    const silent = this.watched.filter((peer) => this.#getSilentMs(peer, nowMs) >= ASK_AFTER_MS);
    if (silent.length === 0) return;
    for (const peer of silent) {
      if (this.#getSilentMs(peer, nowMs) < GONE_AFTER_MS || !this.#hasContact(nowMs)) continue;
      this.watchedSinceMs.set(peer.instanceId, nowMs);
      this.#remove(peer);
    }
    // An answer of any instance shows that this one is not cut off itself.
    const control = this.peers[Math.floor(Math.random() * this.peers.length)];
    this.options.gossip.requestFacts(control === undefined ? silent : [...silent, control]);
  }

  #remove({ instanceId }: PeerAddress): void {
    const { log, removeAnnouncement } = this.options;
    log.warn('an instance does not answer; its announcement is removed', { peer: instanceId });
    removeAnnouncement(instanceId).catch((error: unknown) => {
      log.warn('failed to remove the announcement of an instance', {
        peer: instanceId,
        error: String(error),
      });
    });
  }

  #hasContact(nowMs: number): boolean {
    if (this.peers.length === 1) return true;
    return this.peers.some((peer) => nowMs - this.#getHeardAtMs(peer) < ASK_AFTER_MS);
  }

  #getSilentMs(peer: PeerAddress, nowMs: number): number {
    const sinceMs = this.watchedSinceMs.get(peer.instanceId) ?? nowMs;
    return nowMs - Math.max(sinceMs, this.#getHeardAtMs(peer));
  }

  #getHeardAtMs(peer: PeerAddress): number {
    return this.options.gossip.getHeardAtMs(peer) ?? -Infinity;
  }

  /** Selects the instances that this one watches; all instances derive the same watchers from the same list. */
  #selectWatched(nowMs: number): PeerAddress[] {
    const watched = this.peers.filter(
      ({ instanceId, isWatchable }) => isWatchable === true && this.#isWatcher(instanceId),
    );
    const watchedIds = new Set(watched.map(({ instanceId }) => instanceId));
    for (const instanceId of this.watchedSinceMs.keys()) {
      if (!watchedIds.has(instanceId)) this.watchedSinceMs.delete(instanceId);
    }
    for (const instanceId of watchedIds) {
      if (!this.watchedSinceMs.has(instanceId)) this.watchedSinceMs.set(instanceId, nowMs);
    }
    return watched;
  }

  #isWatcher(watchedId: string): boolean {
    const watchedHash = hashName(watchedId);
    const ownScore = computeScore(watchedHash, hashName(this.options.instanceId));
    let betterCount = 0;
    for (const { instanceId } of this.peers) {
      if (instanceId === watchedId) continue;
      if (computeScore(watchedHash, hashName(instanceId)) > ownScore) betterCount += 1;
      if (betterCount === WATCHER_COUNT) return false;
    }
    return true;
  }
}
