import { StringDecoder } from 'node:string_decoder';
import { createParser } from 'eventsource-parser';
import type { EventSourceMessage, EventSourceParser } from 'eventsource-parser';
import { BackendCallError, toBackendCallError } from './backend-errors';
import { DONE_DATA, hasContent, hasFinishReason, isRoleOnly, replaceChunkId } from './chunks';
import type { EngineClient, EngineResponse } from './engine-client';
import type { ServerAddress } from './server-pools';
import type { TokenMeter } from './token-meter';

/** Receives the chunks of one response in order. */
export interface ChunkSink {
  /** Writes a chunk. Returns false if the relay must stop reading until waitDrain settles. */
  writeChunk(data: string): boolean;
  /** Settles when the sink accepts more chunks or is closed. */
  waitDrain(): Promise<void>;
}

/** Result of an attempt at an engine. */
export type AttemptResult =
  | { kind: 'completed' }
  | { kind: 'not-sent' }
  | { kind: 'not-run'; status: number; isDraining: boolean }
  | { kind: 'error-status'; status: number; body: string; contentType: string }
  | { kind: 'crashed' }
  | { kind: 'silent'; silentMs: number }
  | { kind: 'lost' }
  | { kind: 'aborted' };

export interface RelayOptions {
  engine: EngineClient;
  server: ServerAddress;
  attemptId: string;
  /** Id of every chunk that is sent to the caller. */
  chunkId: string;
  /** Request body as JSON text. */
  body: string;
  headers: Record<string, string>;
  sink: ChunkSink;
  meter: TokenMeter;
  /** Unmodified chunks of earlier attempts and of this one. The relay appends to this array. */
  delivered: string[];
  /** Aborted when the caller disconnects or the request's time limit expires. */
  signal: AbortSignal;
  /** Called once, when the engine responds with status 200. */
  onOpened?: () => void;
  /** Called after each resume with the time that the resume took. */
  onResumed?: (elapsedMs: number) => void;
  /** Time in milliseconds without received bytes after which the status of the stream is fetched. @default 2000 */
  stallMs?: number;
}

type RelayEvent =
  | { kind: 'opened'; response: EngineResponse }
  | { kind: 'done' }
  | { kind: 'broken'; error: BackendCallError }
  | { kind: 'stalled' }
  | { kind: 'aborted' };

const DEFAULT_STALL_MS = 2_000;
const MAX_RESUMES = 20;
const BODY_END_TIMEOUT_MS = 1_000;
const MAX_ERROR_BODY_BYTES = 65_536;

/**
 * Runs one attempt at an engine and relays its stream. A broken or silent connection is resumed while the
 * engine is alive. Events that were already relayed are dropped, and a gap in the offsets causes a resume.
 */
export async function streamAttempt(options: RelayOptions): Promise<AttemptResult> {
  return await new StreamRelay(options).run();
}

class StreamRelay {
  readonly #options: RelayOptions;
  readonly #stallMs: number;
  readonly #connection = new AbortController();
  #lastOffset: number | undefined;
  #lastByteAtMs = performance.now();
  #events: RelayEvent[] = [];
  #wake: (() => void) | undefined;
  #response: EngineResponse | undefined;
  #resumes = 0;
  #isPaused = false;
  #hasReceivedFinishReason = false;
  #isDone = false;

  constructor(options: RelayOptions) {
    this.#options = options;
    this.#stallMs = options.stallMs ?? DEFAULT_STALL_MS;
  }

  async run(): Promise<AttemptResult> {
    const { signal } = this.#options;
    if (signal.aborted) return { kind: 'not-sent' };
    const handleAbort = () => {
      this.#enqueueEvent({ kind: 'aborted' });
    };
    signal.addEventListener('abort', handleAbort, { once: true });
    const timer = setInterval(() => {
      this.#checkStall();
    }, this.#stallMs / 4);
    try {
      this.#startRequest();
      return await this.#handleEvents();
    } finally {
      clearInterval(timer);
      signal.removeEventListener('abort', handleAbort);
      this.#closeConnection();
    }
  }

  async #handleEvents(): Promise<AttemptResult> {
    for (;;) {
      const event = await this.#waitEvent();
      const result = await this.#handleEvent(event);
      if (result !== undefined) return result;
    }
  }

  async #handleEvent(event: RelayEvent): Promise<AttemptResult | undefined> {
    switch (event.kind) {
      case 'opened':
        return await this.#handleOpened(event.response);
      case 'done':
        return { kind: 'completed' };
      case 'broken':
        return await this.#handleBroken(event.error);
      case 'stalled':
        return await this.#handleStall();
      case 'aborted':
        this.#closeConnection();
        await this.#options.engine.cancelStream(this.#options.server, this.#options.attemptId);
        return { kind: 'aborted' };
    }
  }

  #startRequest(): void {
    const { engine, server, attemptId, body, headers } = this.#options;
    engine.openStream(server, attemptId, body, headers, this.#connection.signal).then(
      (response) => {
        this.#enqueueEvent({ kind: 'opened', response });
      },
      (error: unknown) => {
        this.#enqueueEvent({ kind: 'broken', error: toBackendCallError(error) });
      },
    );
  }

  async #handleOpened(response: EngineResponse): Promise<AttemptResult | undefined> {
    if (response.status === 200) {
      this.#options.onOpened?.();
      this.#startReading(response);
      return undefined;
    }
    const isNotRun = response.status === 503 && response.headers['x-not-run'] === 'true';
    const text = await response.body.text().catch(() => '');
    if (isNotRun) {
      const isDraining = response.headers['x-draining'] !== undefined;
      return { kind: 'not-run', status: response.status, isDraining };
    }
    return {
      kind: 'error-status',
      status: response.status,
      body: text.slice(0, MAX_ERROR_BODY_BYTES),
      contentType: String(response.headers['content-type'] ?? 'application/json'),
    };
  }

  #startReading(response: EngineResponse): void {
    this.#response = response;
    const parser = createParser({
      onEvent: (event) => {
        this.#handleMessage(event, response);
      },
    });
    const { body } = response;
    // A multi-byte character may be split across two reads.
    const decoder = new StringDecoder('utf8');
    body.on('data', (part: Buffer) => {
      this.#readText(decoder.write(part), parser, response);
    });
    body.on('error', (error) => {
      this.#handleReadEnd(response, error);
    });
    body.on('end', () => {
      this.#handleReadEnd(response, new Error('the stream ended before [DONE]'));
    });
    if (this.#isPaused) body.pause();
  }

  #readText(text: string, parser: EventSourceParser, response: EngineResponse): void {
    if (this.#response !== response) return;
    this.#lastByteAtMs = performance.now();
    parser.feed(text);
  }

  #handleReadEnd(response: EngineResponse, error: Error): void {
    if (this.#response !== response) return;
    this.#response = undefined;
    this.#enqueueEvent({ kind: 'broken', error: new BackendCallError(true, error) });
  }

  #handleMessage(event: EventSourceMessage, response: EngineResponse): void {
    if (this.#response !== response) return;
    if (event.data === DONE_DATA) {
      this.#response = undefined;
      this.#isDone = true;
      releaseBody(response);
      this.#enqueueEvent({ kind: 'done' });
      return;
    }
    const offset = parseOffset(event.id);
    if (offset !== undefined && this.#lastOffset !== undefined) {
      if (offset <= this.#lastOffset) return;
      if (offset > this.#lastOffset + 1) {
        this.#handleReadEnd(response, new Error('the offsets of the stream have a gap'));
        response.body.destroy();
        return;
      }
    }
    this.#lastOffset = offset ?? this.#lastOffset;
    this.#handleChunk(event.data, response);
  }

  #handleChunk(data: string, response: EngineResponse): void {
    const { delivered, meter, sink, chunkId } = this.#options;
    if (delivered.length > 0 && isRoleOnly(data)) return;
    if (hasContent(data)) meter.observeToken(this.#lastByteAtMs);
    if (hasFinishReason(data)) this.#hasReceivedFinishReason = true;
    delivered.push(data);
    if (sink.writeChunk(replaceChunkId(data, chunkId))) return;
    if (this.#isPaused) return;
    this.#isPaused = true;
    response.body.pause();
    void sink.waitDrain().then(() => {
      this.#isPaused = false;
      this.#lastByteAtMs = performance.now();
      this.#response?.body.resume();
    });
  }

  #checkStall(): void {
    if (this.#isPaused || this.#events.length > 0) return;
    if (performance.now() - this.#lastByteAtMs < this.#stallMs) return;
    this.#enqueueEvent({ kind: 'stalled' });
  }

  async #handleStall(): Promise<AttemptResult | undefined> {
    const stalledSinceMs = this.#lastByteAtMs;
    const { engine, server, attemptId } = this.#options;
    const status = await engine.fetchStreamStatus(server, attemptId);
    if (this.#lastByteAtMs !== stalledSinceMs || this.#events.length > 0) return undefined;
    switch (status.kind) {
      case 'unreachable':
        return { kind: 'silent', silentMs: performance.now() - stalledSinceMs };
      case 'unknown-stream':
        // The request was lost with its connection, or the engine restarted: no events will follow.
        return { kind: 'silent', silentMs: performance.now() - stalledSinceMs };
      case 'known':
        // Without new events the engine is only slow, and the open connection stays in use.
        this.#lastByteAtMs = performance.now();
        if (this.#hasUnreadEvents(status.offset, status.done)) {
          return await this.#resume();
        }
        return undefined;
    }
  }

  #hasUnreadEvents(offset: number, isDone: boolean): boolean {
    return isDone || offset > (this.#lastOffset ?? 0);
  }

  async #handleBroken(error: BackendCallError): Promise<AttemptResult | undefined> {
    if (!error.isSent) return { kind: 'not-sent' };
    if (this.#hasReceivedFinishReason) return { kind: 'completed' };
    const { engine, server, attemptId } = this.#options;
    const status = await engine.fetchStreamStatus(server, attemptId);
    switch (status.kind) {
      case 'unreachable':
        return { kind: 'crashed' };
      case 'unknown-stream':
        return { kind: 'lost' };
      case 'known':
        return await this.#resume();
    }
  }

  async #resume(): Promise<AttemptResult | undefined> {
    this.#resumes += 1;
    if (this.#resumes > MAX_RESUMES) return { kind: 'lost' };
    const startedAtMs = performance.now();
    const previous = this.#response;
    this.#response = undefined;
    previous?.body.on('error', () => undefined).destroy();
    const { engine, server, attemptId } = this.#options;
    try {
      const signal = AbortSignal.any([this.#connection.signal, this.#options.signal]);
      const response = await engine.resumeStream(server, attemptId, this.#lastOffset, signal);
      this.#lastByteAtMs = performance.now();
      this.#startReading(response);
      this.#options.onResumed?.(performance.now() - startedAtMs);
    } catch (error) {
      this.#enqueueEvent({ kind: 'broken', error: new BackendCallError(true, error) });
    }
    return undefined;
  }

  #closeConnection(): void {
    const response = this.#response;
    this.#response = undefined;
    response?.body.on('error', () => undefined).destroy();
    if (!this.#isDone) this.#connection.abort();
  }

  #enqueueEvent(event: RelayEvent): void {
    this.#events.push(event);
    this.#wake?.();
  }

  async #waitEvent(): Promise<RelayEvent> {
    for (;;) {
      const event = this.#events.shift();
      if (event !== undefined) return event;
      await new Promise<void>((resolve) => {
        this.#wake = resolve;
      });
    }
  }
}

// The connection returns to its pool when the body ends. If the body stays open, the connection is closed.
function releaseBody(response: EngineResponse): void {
  const timer = setTimeout(() => response.body.destroy(), BODY_END_TIMEOUT_MS);
  timer.unref();
  response.body.once('close', () => {
    clearTimeout(timer);
  });
}

function parseOffset(eventId: string | undefined): number | undefined {
  if (eventId === undefined || eventId === '') return undefined;
  const offset = Number(eventId.slice(eventId.lastIndexOf(':') + 1));
  return Number.isSafeInteger(offset) ? offset : undefined;
}
