import { createServer } from 'node:http';
import type { IncomingMessage, Server, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';

/** What the engine does to each new attempt. Counts are in chunks. */
export interface EngineBehaviour {
  /** Words of the answer. */
  words?: string[];
  gapMs?: number;
  /** Answers 503 with X-Not-Run. */
  refuse?: boolean;
  status?: number;
  /** The process dies after this many chunks. */
  crashAfter?: number;
  /** The connection goes silent after this many chunks while the engine goes on. */
  silentAfter?: number;
  /** The connection is reset after this many chunks while the engine goes on. */
  resetAfter?: number;
  /** Sends this chunk twice. */
  duplicateIndex?: number;
  /** Leaves out this chunk on the first connection. */
  skipIndex?: number;
  /** Never ends the pause before the first chunk. */
  hang?: boolean;
  /** The request is lost on a silent connection; the engine never learns of it. */
  dropRequest?: boolean;
}

interface Attempt {
  words: string[];
  produced: number;
}

/** Small model engine over HTTP for tests. */
export class FakeEngine implements AsyncDisposable {
  readonly requests: { attemptId: string; body: Record<string, unknown> }[] = [];
  readonly cancelled: string[] = [];
  readonly resumed: string[] = [];
  readonly #attempts = new Map<string, Attempt>();
  readonly #server: Server;
  behaviour: EngineBehaviour = {};

  constructor() {
    this.#server = createServer((request, response) => {
      void this.#handle(request, response);
    });
  }

  async start(): Promise<number> {
    await new Promise<void>((resolve) => this.#server.listen(0, '127.0.0.1', resolve));
    return (this.#server.address() as AddressInfo).port;
  }

  /** Closes the listener and resets all connections. */
  stop(): void {
    this.#server.close();
    this.#server.closeAllConnections();
  }

  async #handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
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
    this.#attempts.set(attemptId, { words, produced: 0 });
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
    from: number,
    isFirst: boolean,
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
    for (let index = from; index < attempt.words.length; index += 1) {
      await new Promise((resolve) => setTimeout(resolve, gapMs));
      attempt.produced = Math.max(attempt.produced, index + 1);
      if (crashAfter === index) {
        this.stop();
        return;
      }
      if (isFirst && silentAfter === index) isSilent = true;
      if (isFirst && resetAfter === index) {
        response.destroy();
        isSilent = true;
      }
      if (isSilent || (isFirst && skip === index)) continue;
      this.#writeWord(attemptId, response, attempt.words, index);
      if (isFirst && duplicate === index) {
        this.#writeWord(attemptId, response, attempt.words, index);
      }
    }
    if (!isSilent) response.end('data: [DONE]\n\n');
  }

  #writeWord(attemptId: string, response: ServerResponse, words: string[], index: number): void {
    const finish = index === words.length - 1 ? 'stop' : null;
    const choices = [{ index: 0, delta: { content: words[index] }, finish_reason: finish }];
    const data = JSON.stringify({ id: attemptId, object: 'chat.completion.chunk', choices });
    response.write(`id: ${attemptId}:${index + 1}\ndata: ${data}\n\n`);
  }

  #sendStatus(attemptId: string, response: ServerResponse): void {
    const attempt = this.#attempts.get(attemptId);
    if (attempt === undefined) response.writeHead(404).end();
    else {
      const done = attempt.produced === attempt.words.length;
      response.end(JSON.stringify({ offset: attempt.produced, done }));
    }
  }

  async #resumeAttempt(
    attemptId: string,
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const lastId = String(request.headers['last-event-id'] ?? '');
    this.resumed.push(lastId);
    response.writeHead(200, { 'content-type': 'text/event-stream' });
    const offset = lastId === '' ? 0 : Number(lastId.split(':').at(-1));
    await this.#writeWords(attemptId, response, offset, false);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.stop();
    await Promise.resolve();
  }
}
