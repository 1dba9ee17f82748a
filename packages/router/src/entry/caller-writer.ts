import type { ServerResponse } from 'node:http';
import type { ChunkSink } from '../backend/stream-relay';
import type { RequestContext } from './request-context';

/**
 * Waits for a caller to read the response, which bounds buffering to the write buffer of the response. The
 * connection of a caller that reads nothing for the idle timeout is closed with cause `caller-slow`.
 */
export class CallerWriter {
  readonly #response: ServerResponse;
  #stalledSinceMs: number | undefined;

  constructor(readonly context: RequestContext) {
    this.#response = context.response;
  }

  /** Time in milliseconds for which the caller has not read; 0 when no write is blocked. */
  getStalledMs(): number {
    return this.#stalledSinceMs === undefined ? 0 : performance.now() - this.#stalledSinceMs;
  }

  /** Resolves when the response accepts more data or is closed. */
  async waitDrain(): Promise<void> {
    const response = this.#response;
    if (response.destroyed || !response.writableNeedDrain) return;
    await this.#waitEvent('drain');
  }

  /** Ends the response; resolves to whether all data was handed to the operating system. */
  async endResponse(data?: string | Buffer): Promise<boolean> {
    if (this.#response.destroyed) return false;
    this.#response.end(data);
    if (!this.#response.writableFinished) await this.#waitEvent('finish');
    return this.#response.writableFinished;
  }

  async #waitEvent(event: 'drain' | 'finish'): Promise<void> {
    const response = this.#response;
    this.#stalledSinceMs = performance.now();
    const timer = setTimeout(() => {
      this.context.closeCallerConnection('caller-slow');
    }, this.context.limits.callerIdleTimeoutMs);
    await new Promise<void>((resolve) => {
      const settle = () => {
        response.off(event, settle);
        response.off('close', settle);
        resolve();
      };
      response.on(event, settle);
      response.on('close', settle);
    });
    clearTimeout(timer);
    if (!response.destroyed || response.writableFinished) this.#stalledSinceMs = undefined;
  }
}

/** Sends chunks as server-sent events; events written in the same event-loop task share one write. */
export class EventStreamSink implements ChunkSink {
  #pending = '';

  constructor(
    readonly context: RequestContext,
    readonly writer: CallerWriter,
  ) {}

  writeChunk(data: string): boolean {
    if (this.#pending === '') queueMicrotask(() => this.flush());
    this.#pending += `data: ${data}\n\n`;
    return !this.context.response.writableNeedDrain;
  }

  async waitDrain(): Promise<void> {
    await this.writer.waitDrain();
  }

  /** Writes the pending events. */
  flush(): void {
    const text = this.#pending;
    if (text === '') return;
    this.#pending = '';
    const { response } = this.context;
    if (response.destroyed || response.writableEnded) return;
    this.#sendHead();
    response.write(text);
  }

  #sendHead(): void {
    const { response } = this.context;
    if (response.headersSent) return;
    response.setHeader('content-type', 'text/event-stream');
    response.setHeader('cache-control', 'no-cache');
    response.statusCode = 200;
  }
}

/** Sink for non-streaming responses; discards the chunks, since the relay also collects them. */
export class NonStreamingSink implements ChunkSink {
  writeChunk(): boolean {
    return true;
  }

  async waitDrain(): Promise<void> {
    await Promise.resolve();
  }
}
