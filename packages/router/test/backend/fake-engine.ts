import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** Behaviour of the engine for each new attempt. Counts and indexes are in chunks. */
export interface EngineBehaviour {
  /** Words of the response, one for each chunk. */
  words?: string[];
  gapMs?: number;
  /** Responds with status 503 and X-Not-Run. */
  refuse?: boolean;
  status?: number;
  /** Closes the listener and all connections after this many chunks, as after a crash. */
  crashAfter?: number;
  /** Sends nothing more on the first connection after this many chunks, but continues to generate. */
  silentAfter?: number;
  /** Closes the first connection after this many chunks, but continues to generate. */
  resetAfter?: number;
  /** Sends this chunk twice on the first connection. */
  duplicateIndex?: number;
  /** Omits this chunk on the first connection. */
  skipIndex?: number;
  /** Accepts the attempt but never responds to it. */
  hang?: boolean;
  /** Ignores the request, as if it were lost on a silent connection: its stream is unknown afterwards. */
  dropRequest?: boolean;
}

interface Attempt {
  words: string[];
  generatedWords: number;
}

/** Minimal model engine with an HTTP server, for tests. */
export class FakeEngine implements AsyncDisposable {
  readonly requests: { attemptId: string; body: Record<string, unknown> }[] = [];
  readonly cancelled: string[] = [];
  readonly resumed: string[] = [];
  readonly #attempts = new Map<string, Attempt>();
  readonly #server: Server;
  behaviour: EngineBehaviour = {};

  constructor() {
    this.#server = createServer((request, response) => {
      void this.#handleRequest(request, response);
    });
  }

  async start(): Promise<number> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    return (this.#server.address() as AddressInfo).port;
  }

  /** Closes the listener and all connections. */
  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handleRequest(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const url = request.url ?? '';
    if (request.method === 'POST') await this.#startAttempt(request, response);
    else if (request.method === 'DELETE') {
      this.cancelled.push(url.split('/').at(-1) ?? '');
      response.end();
    } else if (url.endsWith('/status')) this.#sendStatus(url.split('/').at(-2) ?? '', response);
    else await this.#resumeAttempt(url.split('/').at(-1) ?? '', request, response);
  }

  async #startAttempt(request: IncomingMessage, response: ServerResponse): Promise<void> {
    const parts: Buffer[] = [];
    for await (const part of request) parts.push(part as Buffer);
    const body = JSON.parse(Buffer.concat(parts).toString()) as Record<string, unknown>;
    const attemptId = String(request.headers['x-request-id']);
    this.requests.push({ attemptId, body });
    const { refuse, status, words = ['a', 'b', 'c', 'd'], hang, crashAfter } = this.behaviour;
    if (refuse) {
      response.writeHead(503, { 'x-not-run': 'true' }).end();
      return;
    }
    if (status !== undefined) {
      response.writeHead(status, { 'content-type': 'application/json' }).end('{"bad":true}');
      return;
    }
    if (this.behaviour.dropRequest) return;
    this.#attempts.set(attemptId, { words, generatedWords: 0 });
    if (hang) return;
    if (crashAfter === 0) {
      this.stop();
      return;
    }
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    await this.#writeWords(attemptId, response, 0, true);
  }

  async #writeWords(
    attemptId: string,
    response: ServerResponse,
    startIndex: number,
    isFirstConnection: boolean,
  ): Promise<void> {
    const attempt = this.#attempts.get(attemptId);
    if (attempt === undefined) return;
    const {
      gapMs = 1,
      crashAfter,
      silentAfter,
      resetAfter,
      duplicateIndex: duplicate,
      skipIndex: skip,
    } = this.behaviour;
    let isSilent = false;
    for (let index = startIndex; index < attempt.words.length; index += 1) {
      await new Promise((resolve) => setTimeout(resolve, gapMs));
      attempt.generatedWords = Math.max(attempt.generatedWords, index + 1);
      if (crashAfter === index) {
        this.stop();
        return;
      }
      if (isFirstConnection && silentAfter === index) isSilent = true;
      if (isFirstConnection && resetAfter === index) {
        response.destroy();
        isSilent = true;
      }
      if (isSilent || (isFirstConnection && skip === index)) continue;
      this.#writeWord(attemptId, response, attempt.words, index);
      if (isFirstConnection && duplicate === index) {
        this.#writeWord(attemptId, response, attempt.words, index);
      }
    }
    if (!isSilent) response.end('data: [DONE]\n\n');
  }

  #writeWord(attemptId: string, response: ServerResponse, words: string[], index: number): void {
    const finishReason = index === words.length - 1 ? 'stop' : null;
    const choices = [{ index: 0, delta: { content: words[index] }, finish_reason: finishReason }];
    const data = JSON.stringify({ id: attemptId, object: 'chat.completion.chunk', choices });
    response.write(`id: ${attemptId}:${index + 1}\ndata: ${data}\n\n`);
  }

  #sendStatus(attemptId: string, response: ServerResponse): void {
    const attempt = this.#attempts.get(attemptId);
    if (attempt === undefined) response.writeHead(404).end();
    else {
      const done = attempt.generatedWords === attempt.words.length;
      response.end(JSON.stringify({ offset: attempt.generatedWords, done }));
    }
  }

  async #resumeAttempt(
    attemptId: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const lastEventId = String(request.headers['last-event-id'] ?? '');
    this.resumed.push(lastEventId);
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    const offset = lastEventId === '' ? 0 : Number(lastEventId.split(':').at(-1));
    await this.#writeWords(attemptId, response, offset, false);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stop();
    await Promise.resolve();
  }
}
