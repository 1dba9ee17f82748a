import type { IncomingMessage } from 'node:http';
import { judgeBodyProgress } from '@pollendrum/policy';
import type { BodyPaceBounds } from '@pollendrum/policy';
import type { BodyPacer } from './body-pacer';
import { ByteCollector } from './byte-collector';
import type { MemoryAccount } from './caller-memory';

export type BodyResult =
  | { kind: 'complete'; bytes: Buffer | undefined }
  | { kind: 'too-large' }
  /** The memory for it was not free in time. */
  | { kind: 'no-memory' }
  | { kind: 'stalled' }
  | { kind: 'slow' }
  /** It arrives in very small parts, as many others do. */
  | { kind: 'too-many-parts' }
  | { kind: 'shutdown' }
  /** The caller closed its connection. */
  | { kind: 'aborted' };

export interface BodyReaderOptions {
  request: IncomingMessage;
  maxBytes: number;
  account: MemoryAccount;
  pacer: BodyPacer;
  clock: () => number;
  /** Tells the caller that its body is wanted; called once there is memory for it. */
  sendContinue(): void;
}

/** Size of the first block of a body of unknown length, in bytes; each further one doubles it. */
const FIRST_BLOCK_BYTES = 4_096;
/** What one read of a socket brings, in bytes. It arrives even when reading stops. */
const READ_BYTES = 65_536;
/** Mean size below which the parts of a body of many parts are too small, in bytes. */
const MIN_PART_BYTES = 16;
/** Parts of a body that may be smaller. */
const MAX_SMALL_PARTS = 256;

/**
 * Reads a body into one block of memory, so that small chunks cost no object each. It stops reading the connection while the
 * account has no memory for the next bytes.
 */
export class BodyReader {
  private block = Buffer.alloc(0);
  private receivedBytes = 0;
  /** What arrives while the reader waits for memory. */
  private readonly pending = new ByteCollector();
  private isWaiting = false;
  private hasEnded = false;
  private parts = 0;
  private readonly contentLength: number | undefined;
  private startedAtMs: number;
  private progressAtMs: number;
  private settle: ((result: BodyResult) => void) | undefined;

  constructor(private readonly options: BodyReaderOptions) {
    const length = options.request.headers['content-length'];
    this.contentLength = length === undefined ? undefined : Number(length);
    this.startedAtMs = this.progressAtMs = options.clock();
  }

  /** Resolves when the body is complete or given up; it is not kept any further then. */
  async read(): Promise<BodyResult> {
    const { account, request, pacer } = this.options;
    if (this.contentLength === 0) return { kind: 'complete', bytes: Buffer.alloc(0) };
    const readBytes = Math.min(this.contentLength ?? READ_BYTES, READ_BYTES);
    if (!account.requestNow(readBytes)) return { kind: 'no-memory' };
    const handleData = (chunk: Buffer) => {
      this.#handleData(chunk);
    };
    const handleEnd = () => {
      this.hasEnded = true;
      this.#checkEnd();
    };
    const handleClose = () => {
      this.#end({ kind: 'aborted' });
    };
    const result = await new Promise<BodyResult>((resolve) => {
      this.settle = resolve;
      request.on('data', handleData).once('end', handleEnd).once('close', handleClose);
      request.on('error', handleClose);
      void this.#start();
    });
    request.off('data', handleData).off('end', handleEnd).off('close', handleClose);
    if (this.isWaiting) request.socket.resume();
    pacer.release(request.socket);
    if (result.kind === 'complete') account.release(readBytes);
    return result;
  }

  /** Gives the body up if it makes too little progress. */
  checkProgress(bounds: BodyPaceBounds): void {
    if (this.isWaiting) return;
    const { clock, pacer, request } = this.options;
    const nowMs = clock();
    if (pacer.isStopped(request.socket)) this.progressAtMs = nowMs;
    const judgement = judgeBodyProgress(
      {
        receivedBytes: this.receivedBytes,
        activeMs: nowMs - this.startedAtMs,
        stalledMs: nowMs - this.progressAtMs,
      },
      bounds,
    );
    if (judgement !== 'in-time') this.#end({ kind: judgement });
  }

  /** Gives the body up because the instance stops. */
  handleShutdown(): void {
    this.#end({ kind: 'shutdown' });
  }

  async #start(): Promise<void> {
    if (await this.#requestBlock(this.contentLength ?? FIRST_BLOCK_BYTES)) {
      this.options.sendContinue();
    }
  }

  #handleData(chunk: Buffer): void {
    if (this.settle === undefined) return;
    this.progressAtMs = this.options.clock();
    this.options.pacer.recordPart(this.options.request.socket);
    const size = this.receivedBytes + this.pending.countBytes() + chunk.length;
    if (size > this.options.maxBytes) {
      this.#end({ kind: 'too-large' });
      return;
    }
    this.parts += 1;
    if (this.parts > MAX_SMALL_PARTS && size < this.parts * MIN_PART_BYTES) {
      if (this.options.pacer.isCrowded()) {
        this.#end({ kind: 'too-many-parts' });
        return;
      }
    }
    if (this.isWaiting) {
      this.pending.add(chunk);
      this.#stopReading();
      return;
    }
    this.#append(chunk);
  }

  #append(chunk: Buffer): void {
    const size = this.receivedBytes + chunk.length;
    if (size <= this.block.length) {
      chunk.copy(this.block, this.receivedBytes);
      this.receivedBytes = size;
      return;
    }
    this.pending.add(chunk);
    const doubledBytes = Math.min(2 * this.block.length, this.options.maxBytes);
    void this.#requestBlock(Math.max(doubledBytes, size));
  }

  /** Replaces the block by a larger one once there is memory; gives the body up and returns false if there is none in time. */
  async #requestBlock(bytes: number): Promise<boolean> {
    const { account, clock, pacer, request } = this.options;
    const waitingSinceMs = clock();
    this.isWaiting = true;
    const isGranted = await account.request(bytes);
    if (this.settle === undefined) return false;
    if (!isGranted) {
      this.#end({ kind: 'no-memory' });
      return false;
    }
    this.isWaiting = false;
    const waitedMs = clock() - waitingSinceMs;
    this.startedAtMs += waitedMs;
    this.progressAtMs += waitedMs;
    const previous = this.block;
    this.block = Buffer.allocUnsafeSlow(bytes);
    previous.copy(this.block, 0, 0, this.receivedBytes);
    account.release(previous.length);
    if (this.pending.countBytes() > 0) this.#append(this.pending.take());
    if (!pacer.isStopped(request.socket)) request.socket.resume();
    this.#checkEnd();
    return true;
  }

  #stopReading(): void {
    // After the part, Node resumes the socket in a tick. A microtask runs after the ticks and before the next read.
    queueMicrotask(() => {
      if (this.isWaiting && this.settle !== undefined) this.options.request.socket.pause();
    });
  }

  #checkEnd(): void {
    if (!this.hasEnded || this.isWaiting) return;
    if (!this.options.request.complete) this.#end({ kind: 'aborted' });
    else this.#end({ kind: 'complete', bytes: this.block.subarray(0, this.receivedBytes) });
  }

  #end(result: BodyResult): void {
    const { settle } = this;
    this.settle = undefined;
    this.block = Buffer.alloc(0);
    this.pending.take();
    settle?.(result);
  }
}
