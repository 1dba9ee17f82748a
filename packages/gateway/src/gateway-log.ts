import { write } from 'node:fs';
import { Writable } from 'node:stream';
import winston from 'winston';
import type { GatewayLog } from './ports';

/** Lines beyond this many bytes that wait to be written are dropped and counted. */
const MAX_PENDING_BYTES = 1_048_576;
/** Time before a full pipe is tried again, in milliseconds. */
const RETRY_MS = 20;
const STANDARD_OUTPUT = 1;

/** Writes lines to a file descriptor without ever blocking the event loop; drops lines when its buffer is full. */
export class BoundedOutput extends Writable {
  private pending: string[] = [];
  private pendingBytes = 0;
  private dropped = 0;
  private isWriting = false;
  private idleListeners: (() => void)[] = [];

  constructor(private readonly descriptor: number) {
    super({ decodeStrings: false });
  }

  override _write(line: Buffer | string, _: string, callback: (error?: Error) => void): void {
    const text = line.toString();
    if (this.pendingBytes + text.length > MAX_PENDING_BYTES) this.dropped += 1;
    else {
      this.pending.push(text);
      this.pendingBytes += text.length;
    }
    callback();
    this.#flushPending();
  }

  /** Resolves when everything accepted so far has been written. */
  async waitForIdle(): Promise<void> {
    if (!this.isWriting && this.pending.length === 0) return;
    await new Promise<void>((resolve) => this.idleListeners.push(resolve));
  }

  #flushPending(): void {
    if (this.isWriting) return;
    if (this.pending.length === 0) {
      for (const listener of this.idleListeners.splice(0)) listener();
      return;
    }
    if (this.dropped > 0) {
      this.pending.push(
        `${JSON.stringify({ level: 'warn', message: 'log lines dropped', count: this.dropped })}\n`,
      );
      this.dropped = 0;
    }
    const bytes = Buffer.from(this.pending.join(''));
    this.pending = [];
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
        }, RETRY_MS);
        return;
      }
      // Any other error means that nobody reads the output; there is no place left to report that.
      this.isWriting = false;
      this.#flushPending();
    });
  }
}

/** A log with a way to wait until its lines are written. */
export interface GatewayLogger {
  log: GatewayLog;
  flush(): Promise<void>;
}

/** Creates a log that writes one JSON object a line to standard output. */
export function createGatewayLogger(level: string, instanceId: string): GatewayLogger {
  const output = new BoundedOutput(STANDARD_OUTPUT);
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
