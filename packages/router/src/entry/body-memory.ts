import { MemoryShares } from '@pollendrum/policy';
import type { MemoryOwner } from '@pollendrum/policy';
import type { EntryLimits } from './entry-options';

/** Memory beside the largest body that is always allowed, in bytes. */
const MIN_EXTRA_BYTES = 65_536;

/** Memory for the bodies of all requests until they have their responses, shared by caller address. */
export class BodyMemory {
  readonly limitBytes: number;
  private readonly shares = new MemoryShares();

  constructor({ maxHeldBodyBytes, maxBodyBytes }: EntryLimits) {
    // A body is in two blocks while it moves to a larger one.
    this.limitBytes = Math.max(maxHeldBodyBytes, 2 * maxBodyBytes + MIN_EXTRA_BYTES);
  }

  createAccount(address: string): BodyMemoryAccount {
    return new BodyMemoryAccount(this.shares, this.limitBytes, { address, team: undefined });
  }
}

/** Bytes of one body. */
export class BodyMemoryAccount implements Disposable {
  private heldBytes = 0;

  constructor(
    private readonly shares: MemoryShares,
    readonly limitBytes: number,
    private readonly owner: MemoryOwner,
  ) {}

  /** Takes further bytes; false if they do not fit. */
  requestNow(bytes: number): boolean {
    const claim = { owner: this.owner, bytes, ownBytes: this.heldBytes };
    if (!this.shares.isGrantable(claim, this.limitBytes)) return false;
    this.heldBytes += bytes;
    this.shares.record(this.owner, bytes);
    return true;
  }

  release(bytes: number): void {
    this.heldBytes -= bytes;
    this.shares.record(this.owner, -bytes);
  }

  [Symbol.dispose](): void {
    this.release(this.heldBytes);
  }
}

/** Size of the first block of a body of unknown length, in bytes; each further one doubles it. */
const FIRST_BLOCK_BYTES = 4_096;

/** A body in one block of memory, so that small chunks cost no object each. */
export class BodyBlock {
  private block = Buffer.alloc(0);
  private usedBytes = 0;

  constructor(
    private readonly account: BodyMemoryAccount,
    private readonly maxBytes: number,
  ) {}

  /** Makes room for a body whose length is known; false if there is no memory for it. */
  request(bytes: number): boolean {
    if (!this.account.requestNow(bytes)) return false;
    const previous = this.block;
    this.block = Buffer.allocUnsafeSlow(bytes);
    previous.copy(this.block, 0, 0, this.usedBytes);
    this.account.release(previous.length);
    return true;
  }

  /** Adds a chunk; false if there is no memory for it. */
  add(chunk: Buffer): boolean {
    const size = this.usedBytes + chunk.length;
    if (size > this.block.length) {
      const doubledBytes = Math.max(2 * this.block.length, FIRST_BLOCK_BYTES);
      if (!this.request(Math.max(size, Math.min(doubledBytes, this.maxBytes)))) return false;
    }
    chunk.copy(this.block, this.usedBytes);
    this.usedBytes = size;
    return true;
  }

  take(): Buffer {
    return this.block.subarray(0, this.usedBytes);
  }
}
