/** Size below which parts are copied, in bytes, since a part keeps the whole buffer in which it was received. */
const MIN_KEPT_PART_BYTES = 4_096;
/** Sizes of the blocks into which small parts are copied, in bytes: that of the first one, and of all others. */
const FIRST_BLOCK_BYTES = 2_048;
const BLOCK_BYTES = 32_768;

/** Collects the parts of a text. Its memory is close to the bytes of the parts, however small these are. */
export class ByteCollector {
  private parts: Buffer[] = [];
  private block: Buffer | undefined;
  private blockUsedBytes = 0;
  private totalBytes = 0;

  countBytes(): number {
    return this.totalBytes;
  }

  add(part: Buffer): void {
    this.totalBytes += part.length;
    if (part.length >= MIN_KEPT_PART_BYTES) {
      this.#endBlock();
      this.parts.push(part);
      return;
    }
    let copiedBytes = 0;
    while (copiedBytes < part.length) {
      const block = this.#getBlock();
      const copied = part.copy(block, this.blockUsedBytes, copiedBytes);
      this.blockUsedBytes += copied;
      copiedBytes += copied;
    }
  }

  /** Returns the last bytes, at most `count`. */
  readTail(count: number): Buffer {
    const used = this.block?.subarray(0, this.blockUsedBytes);
    const tail: Buffer[] = [];
    let remaining = count;
    for (const part of [used, this.parts.at(-1), this.parts.at(-2)]) {
      if (part === undefined || remaining === 0) continue;
      const end = part.subarray(-remaining);
      tail.unshift(end);
      remaining -= end.length;
    }
    return Buffer.concat(tail);
  }

  /** Returns all bytes, followed by `last`, and begins anew. */
  take(last: Buffer = Buffer.alloc(0)): Buffer {
    this.#endBlock();
    const { parts } = this;
    this.parts = [];
    this.totalBytes = 0;
    return parts.length === 0 ? last : Buffer.concat([...parts, last]);
  }

  #getBlock(): Buffer {
    if (this.block !== undefined && this.blockUsedBytes < this.block.length) return this.block;
    this.#endBlock();
    const isFirst = this.parts.length === 0;
    this.block = Buffer.allocUnsafe(isFirst ? FIRST_BLOCK_BYTES : BLOCK_BYTES);
    return this.block;
  }

  #endBlock(): void {
    if (this.block !== undefined && this.blockUsedBytes > 0) {
      this.parts.push(this.block.subarray(0, this.blockUsedBytes));
    }
    this.block = undefined;
    this.blockUsedBytes = 0;
  }
}
