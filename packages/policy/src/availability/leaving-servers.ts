/** Time for which a server that is no longer listed is remembered, in milliseconds; its entry may come back. */
const UNLISTED_RETENTION_MS = 600_000;
const MAX_SERVERS = 16_384;

/**
 * Keeps which starts of backend servers leave. A start that leaves never stays again, so a mark ends only with its start.
 */
export class LeavingServers {
  /** Time of each mark, the oldest first. */
  private readonly markedAtMs = new Map<string, number>();

  /** @param isListed whether a start of a server is listed now */
  constructor(private readonly isListed: (serverKey: string) => boolean) {}

  /** Records that a start of a server leaves; returns whether that is news. */
  record(serverKey: string, nowMs: number): boolean {
    if (this.markedAtMs.has(serverKey)) return false;
    this.#discardOld(nowMs);
    this.markedAtMs.set(serverKey, nowMs);
    return true;
  }

  hasServers(): boolean {
    return this.markedAtMs.size > 0;
  }

  has(serverKey: string): boolean {
    return this.markedAtMs.has(serverKey);
  }

  remove(serverKey: string): void {
    this.markedAtMs.delete(serverKey);
  }

  /** Lists the marked starts that are listed, the newest first. */
  listListed(): string[] {
    return [...this.markedAtMs.keys()].filter((key) => this.isListed(key)).reverse();
  }

  #discardOld(nowMs: number): void {
    const [oldest] = this.markedAtMs.keys();
    if (oldest !== undefined && this.markedAtMs.size >= MAX_SERVERS) {
      this.markedAtMs.delete(oldest);
    }
    for (const [serverKey, atMs] of this.markedAtMs) {
      if (nowMs - atMs < UNLISTED_RETENTION_MS) return;
      if (!this.isListed(serverKey)) this.markedAtMs.delete(serverKey);
    }
  }
}
