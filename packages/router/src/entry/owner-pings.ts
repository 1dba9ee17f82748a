import type { PeerPort, Unsubscribe } from '../ports';

interface LinkPings {
  /** Number of pending attempts and held slots that need the pings. */
  references: number;
  stopPings: Unsubscribe;
}

/** Pings the link to each shard owner for as long as attempts are pending or slots are held there. */
export class OwnerPings implements Disposable {
  readonly #linkPings = new Map<string, LinkPings>();

  constructor(readonly peers: PeerPort) {}

  add(ownerId: string): void {
    const pings = this.#linkPings.get(ownerId);
    if (pings !== undefined) {
      pings.references += 1;
      return;
    }
    this.#linkPings.set(ownerId, { references: 1, stopPings: this.peers.requestPings(ownerId) });
  }

  remove(ownerId: string): void {
    const pings = this.#linkPings.get(ownerId);
    if (pings === undefined) return;
    pings.references -= 1;
    if (pings.references > 0) return;
    pings.stopPings();
    this.#linkPings.delete(ownerId);
  }

  [Symbol.dispose](): void {
    for (const pings of this.#linkPings.values()) pings.stopPings();
    this.#linkPings.clear();
  }
}
