import type { PeerPort, Unsubscribe } from '../ports';

interface LinkPings {
  /** Number of attempts and slots that need the pings. */
  users: number;
  stopPings: Unsubscribe;
}

/** Pings the link to each shard owner for as long as attempts are pending or slots are held there. */
export class OwnerPings implements Disposable {
  readonly #uses = new Map<string, LinkPings>();

  constructor(readonly peers: PeerPort) {}

  add(ownerId: string): void {
    const use = this.#uses.get(ownerId);
    if (use !== undefined) {
      use.users += 1;
      return;
    }
    this.#uses.set(ownerId, { users: 1, stopPings: this.peers.requestPings(ownerId) });
  }

  release(ownerId: string): void {
    const use = this.#uses.get(ownerId);
    if (use === undefined) return;
    use.users -= 1;
    if (use.users > 0) return;
    use.stopPings();
    this.#uses.delete(ownerId);
  }

  [Symbol.dispose](): void {
    for (const use of this.#uses.values()) use.stopPings();
    this.#uses.clear();
  }
}
