import { MemoryShares } from '@pollendrum/policy';
import type { MemoryClaim, MemoryOwner, MemoryWaiter } from '@pollendrum/policy';

export interface CallerMemoryOptions {
  clock: () => number;
  /** Returns the bytes that requests may take now; it changes with the bytes that answers take. */
  getLimitBytes(): number;
  maxWaitMs: number;
}

interface Waiter extends MemoryWaiter {
  settle(isGranted: boolean): void;
}

/** Memory for callers' requests until they have their responses. What does not fit waits, and is refused after a time. */
export class CallerMemory {
  private readonly shares = new MemoryShares();
  private readonly waiters = new Set<Waiter>();

  constructor(private readonly options: CallerMemoryOptions) {}

  createAccount(owner: MemoryOwner): MemoryAccount {
    return new MemoryAccount(this, owner);
  }

  countBytes(): number {
    return this.shares.countBytes();
  }

  /** Whether requests wait for memory, so that those that make little progress should give theirs back. */
  isContended(): boolean {
    return this.waiters.size > 0;
  }

  /** Takes the bytes if they fit. */
  requestNow(claim: MemoryClaim): boolean {
    if (!this.shares.isGrantable(claim, this.options.getLimitBytes())) return false;
    this.shares.record(claim.owner, claim.bytes);
    return true;
  }

  /**
   * Takes the bytes once they fit.
   *
   * @param settle called with false if they do not fit within the time limit
   * @returns withdraws the request
   */
  request(claim: MemoryClaim, settle: (isGranted: boolean) => void): (() => void) | undefined {
    // What fits here fits none of those that wait, since they are asked at each release.
    const isGranted = this.requestNow(claim);
    if (isGranted || this.options.maxWaitMs === 0) {
      settle(isGranted);
      return undefined;
    }
    const withdraw = () => {
      clearTimeout(timer);
      this.waiters.delete(waiter);
    };
    const end = (isGrantedLater: boolean) => {
      withdraw();
      settle(isGrantedLater);
    };
    const timer = setTimeout(end, this.options.maxWaitMs, false);
    const waiter: Waiter = { ...claim, sinceMs: this.options.clock(), settle: end };
    this.waiters.add(waiter);
    return withdraw;
  }

  release(owner: MemoryOwner, bytes: number): void {
    this.shares.record(owner, -bytes);
    this.grantWaiting();
  }

  /** Grants memory to those that wait, as far as it fits. */
  grantWaiting(): void {
    while (this.waiters.size > 0) {
      const waiter = this.shares.chooseWaiter(this.waiters, this.options.getLimitBytes());
      if (waiter === undefined) return;
      this.shares.record(waiter.owner, waiter.bytes);
      waiter.settle(true);
    }
  }
}

/** Bytes of one request. */
export class MemoryAccount implements Disposable {
  private heldBytes = 0;
  private withdraw: (() => void) | undefined;

  constructor(
    private readonly memory: CallerMemory,
    private readonly owner: MemoryOwner,
  ) {}

  /** Takes further bytes if they fit. */
  requestNow(bytes: number): boolean {
    if (!this.memory.requestNow(this.#makeClaim(bytes))) return false;
    this.heldBytes += bytes;
    return true;
  }

  /** Takes further bytes once they fit; resolves with false if they do not in time. It never resolves after the end. */
  request(bytes: number): Promise<boolean> {
    return new Promise((resolve) => {
      this.withdraw = this.memory.request(this.#makeClaim(bytes), (isGranted) => {
        this.withdraw = undefined;
        if (isGranted) this.heldBytes += bytes;
        resolve(isGranted);
      });
    });
  }

  release(bytes: number): void {
    this.heldBytes -= bytes;
    this.memory.release(this.owner, bytes);
  }

  [Symbol.dispose](): void {
    this.withdraw?.();
    if (this.heldBytes > 0) this.release(this.heldBytes);
  }

  #makeClaim(bytes: number): MemoryClaim {
    return { owner: this.owner, bytes, ownBytes: this.heldBytes };
  }
}
