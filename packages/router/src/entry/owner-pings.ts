import type { PeerPort, Unsubscribe } from '../ports';

interface LinkPings {
  /** Number of pending attempts and held slots that need the pings. */
  users: number;
  stopPings: Unsubscribe;
}

/** Pings the link to each shard owner for as long as attempts are pending or slots are held there. */
export class OwnerPings implements Disposable {
  readonly #linkPings = new Map<string, LinkPings>();

  constructor(readonly peers: PeerPort) {}

  add(ownerId: string): void {
    const pings = this.#linkPings.get(ownerId);
    if (pings !== undefined) {
      pings.users += 1;
      return;
    }
    this.#linkPings.set(ownerId, { users: 1, stopPings: this.peers.requestPings(ownerId) });
  }

  release(ownerId: string): void {
    const pings = this.#linkPings.get(ownerId);
    if (pings === undefined) return;
    pings.users -= 1;
    if (pings.users > 0) return;
    pings.stopPings();
    this.#linkPings.delete(ownerId);
  }

  [Symbol.dispose](): void {
    for (const pings of this.#linkPings.values()) pings.stopPings();
    this.#linkPings.clear();
  }
}
