import { write } from 'node:fs';
import { Writable } from 'node:stream';
import winston from 'winston';
import type { GatewayLog } from './log-and-clock';

/** Size of the buffer for lines to be written, in bytes; lines that do not fit are dropped and counted. */
const MAX_PENDING_BYTES = 1_048_576;
/** Delay before a write to a full pipe is retried, in milliseconds. */
const WRITE_RETRY_MS = 20;
const STDOUT_DESCRIPTOR = 1;

/** Writes lines to a file descriptor without blocking the event loop. Drops lines while the buffer is full. */
export class BoundedOutput extends Writable {
  private pendingLines: string[] = [];
  private pendingBytes = 0;
  private droppedLines = 0;
  private isWriting = false;
  private idleListeners: (() => void)[] = [];

  constructor(private readonly descriptor: number) {
    super({ decodeStrings: false });
  }

  override _write(line: Buffer | string, _: string, callback: (error?: Error) => void): void {
    const text = line.toString();
    if (this.pendingBytes + text.length > MAX_PENDING_BYTES) this.droppedLines += 1;
    else {
      this.pendingLines.push(text);
      this.pendingBytes += text.length;
    }
    callback();
    this.#flushPending();
  }

  /** Resolves when all buffered lines have been written. */
  async waitForIdle(): Promise<void> {
    if (!this.isWriting && this.pendingLines.length === 0) return;
    await new Promise<void>((resolve) => this.idleListeners.push(resolve));
  }

  #flushPending(): void {
    if (this.isWriting) return;
    if (this.pendingLines.length === 0) {
      for (const listener of this.idleListeners.splice(0)) listener();
      return;
    }
    if (this.droppedLines > 0) {
      this.pendingLines.push(
        `${JSON.stringify({ level: 'warn', message: 'log lines dropped', count: this.droppedLines })}\n`,
      );
      this.droppedLines = 0;
    }
    const bytes = Buffer.from(this.pendingLines.join(''));
    this.pendingLines = [];
    this.pendingBytes = 0;
    this.isWriting = true;
    this.#writeAll(bytes);
  }

  #writeAll(bytes: Buffer): void {
    write(this.descriptor, bytes, (error, written) => {
      if (error === null && written < bytes.length) {
        this.#writeAll(bytes.subarray(written));
        return;
      }
      if (error?.code === 'EAGAIN') {
        setTimeout(() => {
          this.#writeAll(bytes);
        }, WRITE_RETRY_MS);
        return;
      }
      // Any other error means that the output has no reader, so the error cannot be reported either.
      this.isWriting = false;
      this.#flushPending();
    });
  }
}

/** A log and a function that waits until its lines are written. */
export interface GatewayLogger {
  log: GatewayLog;
  flush(): Promise<void>;
}

/** Creates a log that writes one JSON object per line to standard output. */
export function createGatewayLogger(level: string, instanceId: string): GatewayLogger {
  const output = new BoundedOutput(STDOUT_DESCRIPTOR);
  const logger = winston.createLogger({
    level,
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    defaultMeta: { instance: instanceId },
    transports: [new winston.transports.Stream({ stream: output })],
  });
  const createWriter =
    (lineLevel: string): GatewayLog['info'] =>
    (message, fields) => {
      logger.log(lineLevel, message, fields ?? {});
    };
  return {
    log: {
      error: createWriter('error'),
      warn: createWriter('warn'),
      info: createWriter('info'),
      debug: createWriter('debug'),
    },
    flush: () => output.waitForIdle(),
  };
}
