import { createServer } from 'node:http';
import type { IncomingMessage, ServerResponse } from 'node:http';
import type { AddressInfo } from 'node:net';
import { parentPort, Worker } from 'node:worker_threads';
import { runLightLoad, runStreams } from './callers';
import type { LightLoad, StreamLoad } from './callers';

/** What a thread of the measurement does. */
export type RelayWorkerRole = 'engine' | 'callers';

/** Work for the callers' thread. */
export type CallerJob = { kind: 'streams'; load: StreamLoad } | { kind: 'light'; load: LightLoad };

/** Time between two chunks of the engine, in milliseconds. */
export const ENGINE_GAP_MS = 10;

/** A thread that answers each message with one message. */
export class RelayThread implements AsyncDisposable {
  readonly #worker: Worker;

  constructor(role: RelayWorkerRole) {
    // The bench is one bundled file; its threads run the same file with a role.
    this.#worker = new Worker(process.argv[1] ?? '', { workerData: role });
  }

  /** Settles with the next message of the thread; rejects when the thread fails. */
  async waitMessage<T>(): Promise<T> {
    return await new Promise<T>((resolve, reject) => {
      this.#worker.once('message', resolve);
      this.#worker.once('error', reject);
    });
  }

  async runJob<T>(job: CallerJob): Promise<T> {
    const reply = this.waitMessage<T>();
    this.#worker.postMessage(job);
    return await reply;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.#worker.terminate();
  }
}

/** Runs this thread's part of the measurement. */
export function startRelayWorker(role: RelayWorkerRole): void {
  switch (role) {
    case 'engine':
      startEngine();
      return;
    case 'callers':
      parentPort?.on('message', (job: CallerJob) => {
        void runJob(job).then((result) => parentPort?.postMessage(result));
      });
  }
}

async function runJob(job: CallerJob): Promise<unknown> {
  switch (job.kind) {
    case 'streams':
      return await runStreams(job.load);
    case 'light':
      return await runLightLoad(job.load);
  }
}

function startEngine(): void {
  const server = createServer((request, response) => {
    if (request.method !== 'POST') {
      response.writeHead(404).end();
      return;
    }
    void readText(request).then((text) => {
      const { max_tokens: count } = JSON.parse(text) as { max_tokens: number };
      writeTokens(String(request.headers['x-request-id'] ?? 'direct'), count, response);
    });
  });
  server.keepAliveTimeout = 65_000;
  server.listen(0, '127.0.0.1', () => {
    parentPort?.postMessage((server.address() as AddressInfo).port);
  });
}

async function readText(request: IncomingMessage): Promise<string> {
  const parts: Buffer[] = [];
  for await (const part of request) parts.push(part as Buffer);
  return Buffer.concat(parts).toString();
}

function writeTokens(id: string, count: number, response: ServerResponse): void {
  response.writeHead(200, { 'content-type': 'text/event-stream' });
  let index = 0;
  const writeToken = () => {
    index += 1;
    const finish = index === count ? 'stop' : null;
    const choices = [{ index: 0, delta: { content: ` word${index}` }, finish_reason: finish }];
    const chunk = { id, object: 'chat.completion.chunk', created: 1, model: 'facet', choices };
    response.write(`id: ${id}:${index}\ndata: ${JSON.stringify(chunk)}\n\n`);
    if (index < count) return;
    clearInterval(timer);
    response.end('data: [DONE]\n\n');
  };
  const timer = setInterval(writeToken, ENGINE_GAP_MS);
  writeToken();
}
