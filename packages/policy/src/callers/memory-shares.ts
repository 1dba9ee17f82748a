/** Whose request takes memory. */
export interface MemoryOwner {
  /** Address of the caller. */
  address: string;
  /** Undefined when the request belongs to no team. */
  team: string | undefined;
}

/** Bytes that a request asks for. */
export interface MemoryClaim {
  owner: MemoryOwner;
  bytes: number;
  /** Bytes that the request holds already. */
  ownBytes: number;
}

/** A claim that waits. */
export interface MemoryWaiter extends MemoryClaim {
  sinceMs: number;
}

/** Part of the memory that one address or one team may hold, so that its crowd leaves room for the others. */
const MAX_OWNER_SHARE = 0.75;
/** Part of the memory that requests may take beside others of the same address or team. */
const MAX_CROWD_SHARE = 7 / 8;
/** Part of the memory that requests may take, except those of owners that hold little. */
const MAX_LONE_SHARE = 31 / 32;
/** Part of the memory up to which an owner holds little. */
const SMALL_SHARE = 1 / 128;

/** Divides memory among the callers by address and team. */
export class MemoryShares {
  private readonly heldBytesByOwner = new Map<string, number>();
  private heldBytes = 0;

  countBytes(): number {
    return this.heldBytes;
  }

  /**
   * Whether a request may take further bytes.
   *
   * @param ownBytes what the same request holds already. A request without others of its owner is not refused because of the
   *   owner's share.
   */
  isGrantable({ owner, bytes, ownBytes }: MemoryClaim, limitBytes: number): boolean {
    const totalBytes = this.heldBytes + bytes;
    const heldBytes = Math.max(
      ...listKeys(owner).map((key) => this.heldBytesByOwner.get(key) ?? 0),
    );
    if (heldBytes + bytes <= limitBytes * SMALL_SHARE) return totalBytes <= limitBytes;
    if (heldBytes === ownBytes) return totalBytes <= limitBytes * MAX_LONE_SHARE;
    if (heldBytes + bytes > limitBytes * MAX_OWNER_SHARE) return false;
    return totalBytes <= limitBytes * MAX_CROWD_SHARE;
  }

  /** Records that the owner holds more bytes, or fewer if the number is negative. */
  record(owner: MemoryOwner, bytes: number): void {
    this.heldBytes += bytes;
    for (const key of listKeys(owner)) {
      const heldBytes = (this.heldBytesByOwner.get(key) ?? 0) + bytes;
      if (heldBytes === 0) this.heldBytesByOwner.delete(key);
      else this.heldBytesByOwner.set(key, heldBytes);
    }
  }

  /** Chooses the waiter whose address holds least among those that may take their bytes; of several the first one. */
  chooseWaiter<W extends MemoryWaiter>(waiters: Iterable<W>, limitBytes: number): W | undefined {
    let chosen: W | undefined;
    for (const waiter of waiters) {
      if (!this.isGrantable(waiter, limitBytes)) continue;
      if (chosen === undefined || this.#compareWaiters(waiter, chosen) < 0) chosen = waiter;
    }
    return chosen;
  }

  #compareWaiters(one: MemoryWaiter, other: MemoryWaiter): number {
    const difference = this.#countAddressBytes(one) - this.#countAddressBytes(other);
    return difference === 0 ? one.sinceMs - other.sinceMs : difference;
  }

  #countAddressBytes({ owner }: MemoryWaiter): number {
    return this.heldBytesByOwner.get(`address ${owner.address}`) ?? 0;
  }
}

function listKeys({ address, team }: MemoryOwner): string[] {
  return team === undefined ? [`address ${address}`] : [`address ${address}`, `team ${team}`];
}
