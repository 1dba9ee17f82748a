/** Called with the time at which a server is gone, in milliseconds of the monotonic clock. */
export type ReclaimListener = (leavesAtMs: number) => void;

/** Time for which a reclaimed server is remembered after it is gone, in milliseconds; its last attempts have ended by then. */
const RETENTION_MS = 60_000;

/** Starts of backend servers that the platform takes back, and when each is gone. */
export class ReclaimedServers {
  private readonly leavesAtMs = new Map<string, number>();
  private readonly listeners = new Map<string, Set<ReclaimListener>>();

  /** Records when a start of a server is gone; the earliest time that was stated counts. */
  record(serverKey: string, leavesAtMs: number, nowMs: number): void {
    const known = this.leavesAtMs.get(serverKey);
    if (known !== undefined && known <= leavesAtMs) return;
    if (known === undefined) this.#discardOld(nowMs);
    this.leavesAtMs.set(serverKey, leavesAtMs);
    for (const listener of this.listeners.get(serverKey) ?? []) listener(leavesAtMs);
  }

  has(serverKey: string): boolean {
    return this.leavesAtMs.has(serverKey);
  }

  remove(serverKey: string): void {
    this.leavesAtMs.delete(serverKey);
  }

  /**
   * Calls the listener when it is known or changes that a start of a server is taken back, also if it is known already.
   * Returns a function that ends this.
   */
  watch(serverKey: string, listener: ReclaimListener): () => void {
    const listeners = this.listeners.get(serverKey) ?? new Set();
    this.listeners.set(serverKey, listeners.add(listener));
    const leavesAtMs = this.leavesAtMs.get(serverKey);
    if (leavesAtMs !== undefined) listener(leavesAtMs);
    return () => {
      listeners.delete(listener);
      if (listeners.size === 0 && this.listeners.get(serverKey) === listeners) {
        this.listeners.delete(serverKey);
      }
    };
  }

  #discardOld(nowMs: number): void {
    for (const [serverKey, leavesAtMs] of this.leavesAtMs) {
      if (nowMs - leavesAtMs > RETENTION_MS) this.leavesAtMs.delete(serverKey);
    }
  }
}
