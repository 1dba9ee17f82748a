import type { FleetGossip } from './fleet-gossip';
import type { RemovedFact } from './gossip-codec';
import type { Clock } from './log-and-clock';
import type { ServerChange, ServerRegistry } from './server-registry';

export interface RemovalSharingOptions {
  /** Spreads the news that an entry has been removed. */
  publish: FleetGossip['publish'];
  registry: Pick<ServerRegistry, 'removeAsTold'>;
  clock: Clock;
}

/** Time for which a removal is told, in milliseconds; an instance that returns later reads it from the store. */
const TOLD_FOR_MS = 60_000;
const MAX_REMOVALS = 256;

/**
 * Tells the other instances which entries of backend servers have been removed, since an instance without contact with the
 * store does not learn it, and after its return cannot tell a removal from an entry that has lapsed in an outage.
 */
export class RemovalSharing {
  /** Removals by server id, the newest last. */
  private readonly removals = new Map<string, { fact: RemovedFact; atMs: number }>();

  constructor(private readonly options: RemovalSharingOptions) {}

  handleServerChange(change: ServerChange): void {
    const { serverId } = change.server;
    this.removals.delete(serverId);
    if (change.kind !== 'removed') return;
    const { position, server } = change;
    // Another writer's entry may have any revision.
    if (position === undefined || !Number.isSafeInteger(position.revision)) return;
    const { startedAtUnixMs, heartbeats } = server;
    const start = { startedAtUnixMs, ...(heartbeats === undefined ? {} : { heartbeats }) };
    const fact: RemovedFact = { kind: 'removed', serverId, position, start };
    this.removals.set(serverId, { fact, atMs: this.options.clock() });
    this.#discardOld();
    this.options.publish(`removed ${serverId}`, () => this.removals.get(serverId)?.fact);
  }

  /** Takes in a fact of another instance. */
  mergeFact({ serverId, position, start }: RemovedFact): void {
    this.options.registry.removeAsTold({ serverId, position, start });
  }

  /** Lists the removals of the last `TOLD_FOR_MS`, the newest first. */
  listFacts(): RemovedFact[] {
    this.#discardOld();
    return [...this.removals.values()].map(({ fact }) => fact).reverse();
  }

  #discardOld(): void {
    const nowMs = this.options.clock();
    for (const [serverId, { atMs }] of this.removals) {
      if (nowMs - atMs < TOLD_FOR_MS && this.removals.size <= MAX_REMOVALS) return;
      this.removals.delete(serverId);
    }
  }
}
