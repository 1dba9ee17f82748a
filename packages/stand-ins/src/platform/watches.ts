/** Why a held read goes on. */
export type WatchEnd = 'changed' | 'hold-ended' | 'stopped';

interface PendingWatch {
  topic: string;
  /** Its wake-up was suppressed; only the end of the hold ends it. */
  isSuppressed: boolean;
  end: (reason: WatchEnd) => void;
}

/** Reads that are held until their topic changes or their hold ends. */
export class PendingWatches {
  private readonly pending = new Set<PendingWatch>();
  private dropsLeft = 0;

  /** The next `count` wake-ups are suppressed: each affected watch ends only with its hold. */
  setDrops(count: number): void {
    this.dropsLeft = count;
  }

  getDropsLeft(): number {
    return this.dropsLeft;
  }

  /** Waits at most `holdMs` for a change of the topic; `signal` ends the wait early. */
  async waitForChange(topic: string, holdMs: number, signal: AbortSignal): Promise<WatchEnd> {
    return new Promise((resolve) => {
      const watch: PendingWatch = {
        topic,
        isSuppressed: false,
        end: (reason) => {
          clearTimeout(timer);
          this.pending.delete(watch);
          resolve(reason);
        },
      };
      const timer = setTimeout(() => {
        watch.end('hold-ended');
      }, holdMs);
      signal.addEventListener('abort', () => {
        watch.end('stopped');
      });
      this.pending.add(watch);
    });
  }

  notifyChanged(topic: string): void {
    for (const watch of [...this.pending]) {
      if (watch.topic !== topic || watch.isSuppressed) continue;
      if (this.dropsLeft > 0) {
        this.dropsLeft -= 1;
        watch.isSuppressed = true;
        continue;
      }
      watch.end('changed');
    }
  }

  stopAll(): void {
    for (const watch of [...this.pending]) watch.end('stopped');
  }
}
