import { StringDecoder } from 'node:string_decoder';
import { createParser } from 'eventsource-parser';
import type { EventSourceMessage, EventSourceParser } from 'eventsource-parser';
import { BackendCallError, toBackendCallError } from './backend-errors';
import { DONE_DATA, hasContent, hasFinishReason, isRoleOnly, replaceChunkId } from './chunks';
import type { EngineClient, EngineResponse } from './engine-client';
import { readLimitedText } from './limited-body';
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
  // The stream ended with [DONE], or its connection broke after a chunk with a finish reason.
  | { kind: 'completed' }
  // No byte of the request can have reached the engine.
  | { kind: 'not-sent' }
  // The engine responded with status 503 and declared that it did not run the request.
  | { kind: 'not-run'; status: number; isDraining: boolean }
  // Any other response with a status other than 200.
  | { kind: 'error-status'; status: number; body: string; contentType: string }
  // The connection broke and the engine did not respond to status requests.
  | { kind: 'crashed' }
  // No bytes arrived for the stall time, and the engine did not respond to status requests or did not
  // know the stream.
  | { kind: 'silent'; silentMs: number }
  // The connection broke and the engine did not know the stream, or the stream was resumed too often.
  | { kind: 'lost' }
  // The signal was aborted after the attempt had started.
  | { kind: 'aborted' };

export interface RelayOptions {
  engine: EngineClient;
  server: ServerAddress;
  attemptId: string;
  /** Id of the chat completion; every chunk that is sent to the caller has this id. */
  completionId: string;
  /** Request body as JSON text. */
  body: string;
  headers: Record<string, string>;
  sink: ChunkSink;
  meter: TokenMeter;
  /** Unmodified chunks of the earlier attempts and of this attempt. The relay appends to this array. */
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

/** Event of the relay's queue, as opposed to a server-sent event of the engine's stream. */
type RelayEvent =
  | { kind: 'opened'; response: EngineResponse }
  | { kind: 'done' }
  | { kind: 'broken'; error: BackendCallError }
  | { kind: 'stalled' }
  | { kind: 'aborted' };

const DEFAULT_STALL_MS = 2_000;
/** Maximum number of resumes of an attempt. */
const MAX_RESUMES = 20;
/** Time limit in milliseconds for the response body to end after [DONE]. */
const BODY_END_TIMEOUT_MS = 1_000;
const MAX_ERROR_BODY_BYTES = 65_536;
/** Largest event of a stream, in characters. */
const MAX_EVENT_LENGTH = 2 ** 20;
/** Largest response of a stream, in characters of its chunks. */
const MAX_RESPONSE_LENGTH = 16 * 2 ** 20;

/**
 * Runs one attempt at an engine and relays its stream. When the connection breaks or is silent, the stream
 * is resumed on a new connection while the engine is alive. Server-sent events that were already relayed are
 * dropped, and a gap in their offsets causes a resume.
 */
export async function streamAttempt(options: RelayOptions): Promise<AttemptResult> {
  return await new StreamRelay(options).run();
}

class StreamRelay {
  readonly #options: RelayOptions;
  readonly #stallMs: number;
  readonly #abortController = new AbortController();
  #lastOffset: number | undefined;
  /** Time of the last received bytes, resume, end of a pause by the sink, or status of a known stream. */
  #lastActivityAtMs = performance.now();
  #relayEvents: RelayEvent[] = [];
  #wake: (() => void) | undefined;
  #response: EngineResponse | undefined;
  #resumes = 0;
  #isPaused = false;
  #hasReceivedFinishReason = false;
  #isDone = false;
  #responseLength = 0;

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
    engine.openStream(server, attemptId, body, headers, this.#abortController.signal).then(
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
    const text = await readLimitedText(response.body, MAX_ERROR_BODY_BYTES).catch(() => '');
    if (isNotRun) {
      const isDraining = response.headers['x-draining'] !== undefined;
      return { kind: 'not-run', status: response.status, isDraining };
    }
    return {
      kind: 'error-status',
      status: response.status,
      body: text,
      contentType: String(response.headers['content-type'] ?? 'application/json'),
    };
  }

  #startReading(response: EngineResponse): void {
    this.#response = response;
    const parser = createParser({
      maxBufferSize: MAX_EVENT_LENGTH,
      onError: (error) => {
        if (error.type !== 'max-buffer-size-exceeded') return;
        this.#cancelReading(response, new Error('an event of the stream is too large'));
      },
      onEvent: (event) => {
        this.#handleStreamEvent(event, response);
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
    this.#lastActivityAtMs = performance.now();
    parser.feed(text);
  }

  #cancelReading(response: EngineResponse, error: Error): void {
    this.#handleReadEnd(response, error);
    response.body.destroy();
  }

  #handleReadEnd(response: EngineResponse, error: Error): void {
    if (this.#response !== response) return;
    this.#response = undefined;
    this.#enqueueEvent({ kind: 'broken', error: new BackendCallError(true, error) });
  }

  #handleStreamEvent(event: EventSourceMessage, response: EngineResponse): void {
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
        this.#cancelReading(response, new Error('the offsets of the stream have a gap'));
        return;
      }
    }
    this.#lastOffset = offset ?? this.#lastOffset;
    this.#handleChunk(event.data, response);
  }

  #handleChunk(data: string, response: EngineResponse): void {
    const { delivered, meter, sink, completionId } = this.#options;
    if (delivered.length > 0 && isRoleOnly(data)) return;
    if (hasContent(data)) meter.observeToken(this.#lastActivityAtMs);
    if (hasFinishReason(data)) this.#hasReceivedFinishReason = true;
    delivered.push(data);
    this.#responseLength += data.length;
    if (this.#responseLength > MAX_RESPONSE_LENGTH) {
      this.#cancelReading(response, new Error('the response is too large'));
      return;
    }
    if (sink.writeChunk(replaceChunkId(data, completionId))) return;
    if (this.#isPaused) return;
    this.#isPaused = true;
    response.body.pause();
    void sink.waitDrain().then(() => {
      this.#isPaused = false;
      this.#lastActivityAtMs = performance.now();
      this.#response?.body.resume();
    });
  }

  #checkStall(): void {
    if (this.#isPaused || this.#relayEvents.length > 0) return;
    if (performance.now() - this.#lastActivityAtMs < this.#stallMs) return;
    this.#enqueueEvent({ kind: 'stalled' });
  }

  async #handleStall(): Promise<AttemptResult | undefined> {
    const stalledSinceMs = this.#lastActivityAtMs;
    const { engine, server, attemptId } = this.#options;
    const status = await engine.fetchStreamStatus(server, attemptId);
    if (this.#lastActivityAtMs !== stalledSinceMs || this.#relayEvents.length > 0) return undefined;
    switch (status.kind) {
      case 'unreachable':
        return { kind: 'silent', silentMs: performance.now() - stalledSinceMs };
      case 'unknown-stream':
        // The request was lost with its connection, or the engine restarted: no events will follow.
        return { kind: 'silent', silentMs: performance.now() - stalledSinceMs };
      case 'known':
        // Without new events the engine is only slow, and the open connection stays in use.
        this.#lastActivityAtMs = performance.now();
        if (this.#hasUnreadStreamEvents(status.offset, status.done)) {
          return await this.#resume();
        }
        return undefined;
    }
  }

  #hasUnreadStreamEvents(offset: number, isDone: boolean): boolean {
    return isDone || offset > (this.#lastOffset ?? 0);
  }

  async #handleBroken(error: BackendCallError): Promise<AttemptResult | undefined> {
    if (!error.isSent) return { kind: 'not-sent' };
    if (this.#hasReceivedFinishReason) return { kind: 'completed' };
    if (this.#responseLength > MAX_RESPONSE_LENGTH) return { kind: 'lost' };
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
      const signal = AbortSignal.any([this.#abortController.signal, this.#options.signal]);
      const response = await engine.resumeStream(server, attemptId, this.#lastOffset, signal);
      this.#lastActivityAtMs = performance.now();
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
    if (!this.#isDone) this.#abortController.abort();
  }

  #enqueueEvent(event: RelayEvent): void {
    this.#relayEvents.push(event);
    this.#wake?.();
  }

  async #waitEvent(): Promise<RelayEvent> {
    for (;;) {
      const event = this.#relayEvents.shift();
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
