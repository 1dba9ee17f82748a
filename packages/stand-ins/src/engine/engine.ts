import { randomUUID } from 'node:crypto';
import type { IncomingMessage, ServerResponse } from 'node:http';
import { parseFaults } from '../http/faults';
import { HttpError, HttpHost, parseUrl, readHeader, readJson, sendJson } from '../http/host';
import type { ListenOptions, StandIn } from '../http/host';
import { LoadReports } from '../http/load-reports';
import { Attempt } from './attempt';
import { AttemptRegistry } from './attempt-registry';
import type { AttemptLogEntry } from './attempt-registry';
import { sendWholeAnswer, streamAttempt } from './attempt-response';
import { parseChatRequest } from './chat-request';
import { BatchScheduler } from './scheduler';
import type { EngineCounts, EngineModel } from './scheduler';

export interface EngineOptions extends ListenOptions, Partial<EngineModel> {
  /**
   * Name of the engine, reported in `/admin/log` and the `X-Server-Id` header.
   * @default 'engine'
   */
  id?: string;
  /**
   * Requests that may wait for a slot; more are refused with 503 and `X-Not-Run: true`.
   * @default 1024
   */
  maxWaiting?: number;
  /**
   * Age of what `/load` reports, in milliseconds, at most 60,000.
   * @default 0
   */
  loadLagMs?: number;
  /**
   * Time after its connection closed until a stream is cancelled, in milliseconds.
   * @default 2000
   */
  resumeWindowMs?: number;
  /**
   * Called by the crash faults. The default resets all connections and stops listening.
   */
  crash?: () => void;
}

/** Faults of the engine. */
export interface EngineFaults {
  /** Prefill and decoding take this many times as long. */
  slowFactor: number;
  /** Crashes now. */
  crash: boolean;
  /** Crashes when it runs a prompt that contains this text; empty for none. */
  crashMarker: string;
  /** Tokens that a marked prompt generates before the crash. */
  crashAfterTokens: number;
  /** Connections that are open now stop sending and reading; new ones work. */
  silent: boolean;
  /** New work is refused with 503 and `X-Not-Run: true`. */
  refuse: boolean;
  /** New work is refused, with `X-Draining: true` as well; accepted work is finished. */
  draining: boolean;
  /** Age of what `/load` reports, in milliseconds, at most 60,000. */
  loadLagMs: number;
}

/** A model engine with continuous batching. */
export interface EngineStandIn extends StandIn {
  readonly id: string;
  applyFaults(update: Partial<EngineFaults>): void;
  getCounts(): EngineCounts;
  listAttempts(): AttemptLogEntry[];
}

/** Starts an engine. Rejects when the port is taken. */
export async function createEngine(options: EngineOptions = {}): Promise<EngineStandIn> {
  const engine = new EngineService(options);
  await engine.host.start(options);
  return engine;
}

const DEFAULT_MODEL: EngineModel = {
  slots: 8,
  tokensPerSecond: 50,
  batchSlowdown: 0.05,
  prefillTokensPerSecond: 5000,
  prefixCacheTokens: 65_536,
  kvCapacityTokens: 65_536,
};
const DEFAULT_MAX_WAITING = 1024;
const DEFAULT_RESUME_WINDOW_MS = 2000;

class EngineService implements EngineStandIn {
  readonly id: string;
  readonly host = new HttpHost((request, response) => this.handleRequest(request, response));
  private readonly model: EngineModel;
  private readonly scheduler: BatchScheduler;
  private readonly registry: AttemptRegistry;
  private readonly reports = new LoadReports();
  private readonly faults: EngineFaults = {
    slowFactor: 1,
    crash: false,
    crashMarker: '',
    crashAfterTokens: 0,
    silent: false,
    refuse: false,
    draining: false,
    loadLagMs: 0,
  };

  constructor(private readonly options: EngineOptions) {
    this.id = options.id ?? 'engine';
    this.model = resolveModel(options);
    this.faults.loadLagMs = options.loadLagMs ?? 0;
    this.scheduler = new BatchScheduler(this.model, () => {
      this.recordLoad();
    });
    this.registry = new AttemptRegistry(
      options.resumeWindowMs ?? DEFAULT_RESUME_WINDOW_MS,
      (attempt) => {
        this.scheduler.cancelAttempt(attempt);
      },
    );
    this.recordLoad();
  }

  get address(): string {
    return this.host.address;
  }

  get port(): number {
    return this.host.port;
  }

  applyFaults(update: Partial<EngineFaults>): void {
    const { silent, crash, ...kept } = update;
    Object.assign(this.faults, kept);
    this.scheduler.setSlowFactor(Math.max(this.faults.slowFactor, Number.MIN_VALUE));
    this.recordLoad();
    if (silent) this.host.setSilent();
    if (crash) this.endByCrash();
  }

  getCounts(): EngineCounts {
    return { ...this.scheduler.counts };
  }

  listAttempts(): AttemptLogEntry[] {
    return this.registry.listLog();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.scheduler[Symbol.dispose]();
    await this.host[Symbol.asyncDispose]();
    this.registry[Symbol.dispose]();
  }

  private endByCrash(): void {
    if (this.options.crash) {
      this.options.crash();
      return;
    }
    this.scheduler[Symbol.dispose]();
    this.host.discardConnections();
  }

  private recordLoad(): void {
    this.reports.recordReport({
      running: this.scheduler.running.size,
      waiting: this.scheduler.waiting.length,
      slots: this.model.slots,
      kvUsed: this.scheduler.kvUsed,
      draining: this.faults.draining,
    });
  }

  private async handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    response.setHeader('X-Server-Id', this.id);
    const url = parseUrl(request);
    const call = `${request.method ?? ''} ${url.pathname}`;
    if (call === 'POST /v1/chat/completions') {
      await this.handleChat(request, response);
    } else if (url.pathname.startsWith('/v1/streams/')) {
      this.handleStream(request, response, url.pathname.slice('/v1/streams/'.length));
    } else if (call === 'GET /load') {
      sendJson(response, 200, this.reports.getReport(this.faults.loadLagMs));
    } else if (call === 'GET /admin/log') {
      const { id } = this;
      sendJson(response, 200, { id, counts: this.getCounts(), attempts: this.listAttempts() });
    } else if (call === 'GET /admin/faults') {
      sendJson(response, 200, this.faults);
    } else if (call === 'POST /admin/faults') {
      await this.handleFaults(request, response);
    } else {
      throw new HttpError(404, 'not_found', `no route ${call}`);
    }
  }

  private async handleFaults(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const { silent, crash, ...kept } = parseFaults(await readJson(request), this.faults);
    this.applyFaults(kept);
    if (silent) this.host.setSilent(request.socket);
    sendJson(response, 200, this.faults);
    if (crash) response.once('close', () => this.endByCrash());
  }

  private async handleChat(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const attemptId = readHeader(request, 'x-request-id') ?? randomUUID();
    const body = await readJson(request);
    this.checkAccepting();
    const { input, isStreamed } = parseChatRequest(body, attemptId);
    const attempt = new Attempt(input);
    this.registry.addAttempt(attempt);
    this.registry.replaceResponse(attempt, response);
    if (this.faults.crashMarker !== '' && input.prompt.includes(this.faults.crashMarker)) {
      this.injectCrash(attempt);
    }
    if (isStreamed) streamAttempt(attempt, response, 0);
    else sendWholeAnswer(attempt, response);
    this.scheduler.addAttempt(attempt);
  }

  /** Crashes the engine at the first tokens past the limit, or when the attempt completes. */
  private injectCrash(attempt: Attempt): void {
    const { crashAfterTokens } = this.faults;
    attempt.on('change', () => {
      const isDue = attempt.generatedTokens > crashAfterTokens || attempt.state === 'completed';
      if (isDue) this.endByCrash();
    });
  }

  private checkAccepting(): void {
    if (this.faults.draining) {
      throw createRefusal('draining', 'the engine is draining', { 'X-Draining': 'true' });
    }
    if (this.faults.refuse) throw createRefusal('refused', 'the engine refuses new work');
    if (this.scheduler.waiting.length >= (this.options.maxWaiting ?? DEFAULT_MAX_WAITING)) {
      throw createRefusal('queue_full', 'too many requests wait for a slot');
    }
  }

  private handleStream(request: IncomingMessage, response: ServerResponse, path: string): void {
    const [id = '', ending] = path.split('/');
    const attempt = this.registry.getAttempt(decodeURIComponent(id));
    if (request.method === 'GET' && attempt.state === 'cancelled') {
      throw new HttpError(410, 'stream_cancelled', 'the stream was cancelled');
    }
    if (request.method === 'GET' && ending === 'status') {
      const done = attempt.state === 'completed';
      sendJson(response, 200, { offset: attempt.generatedTokens, done });
    } else if (request.method === 'GET' && ending === undefined) {
      this.resumeStream(request, response, attempt);
    } else if (request.method === 'DELETE' && ending === undefined) {
      this.scheduler.cancelAttempt(attempt);
      response.writeHead(204).end();
    } else {
      throw new HttpError(404, 'not_found', 'streams accept GET, GET /status and DELETE');
    }
  }

  private resumeStream(request: IncomingMessage, response: ServerResponse, attempt: Attempt): void {
    const offset = parseLastEventId(readHeader(request, 'last-event-id'), attempt);
    const previous = this.registry.replaceResponse(attempt, response);
    // A silent connection must not be seen to close.
    if (previous && !this.host.isSilenced(previous.req.socket)) previous.destroy();
    streamAttempt(attempt, response, offset);
  }
}

function resolveModel(options: EngineOptions): EngineModel {
  const resolveSize = (name: keyof EngineModel) => options[name] ?? DEFAULT_MODEL[name];
  return {
    slots: resolveSize('slots'),
    tokensPerSecond: resolveSize('tokensPerSecond'),
    batchSlowdown: resolveSize('batchSlowdown'),
    prefillTokensPerSecond: resolveSize('prefillTokensPerSecond'),
    prefixCacheTokens: resolveSize('prefixCacheTokens'),
    kvCapacityTokens: resolveSize('kvCapacityTokens'),
  };
}

function createRefusal(
  code: string,
  message: string,
  headers: Record<string, string> = {},
): HttpError {
  return new HttpError(503, code, message, { 'X-Not-Run': 'true', ...headers });
}

/** The offset to go on from; 0 without an id. Throws `HttpError` 400 for an id of another stream. */
function parseLastEventId(lastEventId: string | undefined, attempt: Attempt): number {
  if (lastEventId === undefined) return 0;
  const separator = lastEventId.lastIndexOf(':');
  const offset = Number(lastEventId.slice(separator + 1));
  const isOwn = lastEventId.slice(0, separator) === attempt.input.attemptId;
  // The id of the final event is one more than the last token's.
  const maxOffset = attempt.generatedTokens + (attempt.state === 'completed' ? 1 : 0);
  if (!isOwn || !Number.isInteger(offset) || offset < 0 || offset > maxOffset) {
    throw new HttpError(400, 'bad_last_event_id', 'Last-Event-ID is not from this stream');
  }
  return offset;
}
