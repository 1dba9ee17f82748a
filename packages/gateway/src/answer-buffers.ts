import { ByteCollector } from './byte-collector';

export interface AnswerBuffersOptions {
  /**
   * Largest answer in bytes.
   * @default 16 MiB
   */
  maxAnswerBytes?: number;
  /**
   * Bytes of all answers together.
   * @default 64 MiB
   */
  maxTotalBytes?: number;
}

const DEFAULT_MAX_ANSWER_BYTES = 16 * 2 ** 20;
const DEFAULT_MAX_TOTAL_BYTES = 64 * 2 ** 20;

/**
 * Memory for answers that are kept until they are complete and their callers have read them. It is bounded for each answer and
 * for all together; beyond that the largest answer that is still being received is given up.
 */
export class AnswerBuffers {
  readonly maxAnswerBytes: number;
  private readonly maxTotalBytes: number;
  private readonly receiving = new Set<AnswerBuffer>();
  private totalBytes = 0;

  constructor(options: AnswerBuffersOptions = {}) {
    this.maxAnswerBytes = options.maxAnswerBytes ?? DEFAULT_MAX_ANSWER_BYTES;
    this.maxTotalBytes = options.maxTotalBytes ?? DEFAULT_MAX_TOTAL_BYTES;
  }

  /** @param onOverflow called when the answer is given up; its bytes are released then */
  createBuffer(onOverflow: (reason: string) => void): AnswerBuffer {
    const buffer = new AnswerBuffer(this, onOverflow);
    this.receiving.add(buffer);
    return buffer;
  }

  /** Bytes that are kept now. */
  countBytes(): number {
    return this.totalBytes;
  }

  /** Takes in that a buffer has grown or was released, by a negative number of bytes. */
  recordGrowth(bytes: number): void {
    this.totalBytes += bytes;
    while (this.totalBytes > this.maxTotalBytes) {
      const largest = this.#findLargest();
      if (largest === undefined) return;
      largest.reject(`the answers take more than ${this.maxTotalBytes} bytes together`);
    }
  }

  /** Takes in that a buffer receives nothing more, so that it is not given up. */
  recordEnd(buffer: AnswerBuffer): void {
    this.receiving.delete(buffer);
  }

  #findLargest(): AnswerBuffer | undefined {
    let largest: AnswerBuffer | undefined;
    for (const buffer of this.receiving) {
      if (buffer.countBytes() > (largest?.countBytes() ?? 0)) largest = buffer;
    }
    return largest;
  }
}

/** One answer that is kept until it is complete. */
export class AnswerBuffer {
  private readonly received = new ByteCollector();
  private bytes = 0;
  private isReleased = false;

  constructor(
    private readonly buffers: AnswerBuffers,
    private readonly onOverflow: (reason: string) => void,
  ) {}

  countBytes(): number {
    return this.bytes;
  }

  /** Gives the answer up at once if its head announces more bytes than an answer may have. */
  checkLength(contentLength: string | string[] | undefined): void {
    if (Number(contentLength ?? 0) > this.buffers.maxAnswerBytes) this.#rejectLarge();
  }

  /** Adds received bytes; those of an answer that is released are dropped. */
  add(chunk: Buffer): void {
    if (this.isReleased) return;
    this.received.add(chunk);
    this.bytes += chunk.length;
    this.buffers.recordGrowth(chunk.length);
    if (this.bytes > this.buffers.maxAnswerBytes) this.#rejectLarge();
  }

  /** Returns the complete answer, whose bytes count until `release`. */
  finish(): Buffer {
    this.buffers.recordEnd(this);
    return this.received.take();
  }

  /** Frees the bytes, once the answer has been sent or nobody waits for it. */
  release(): void {
    if (this.isReleased) return;
    this.isReleased = true;
    this.buffers.recordEnd(this);
    this.buffers.recordGrowth(-this.bytes);
    this.bytes = 0;
    this.received.take();
  }

  /** Gives the answer up. */
  reject(reason: string): void {
    this.release();
    this.onOverflow(reason);
  }

  #rejectLarge(): void {
    this.reject(`the answer is larger than ${this.buffers.maxAnswerBytes} bytes`);
  }
}
