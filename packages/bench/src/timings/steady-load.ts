import { randomUUID } from 'node:crypto';
import { Agent, request } from 'undici';

/** One streamed request of the load. Times on the clock of `performance.now`. */
export interface SentRequest {
  entry: number;
  sentAtMs: number;
  firstByteAtMs: number | undefined;
  isEnded: boolean;
  /** Undefined: running, or answered whole. */
  failure: string | undefined;
}

export interface ChatOptions {
  url: string;
  bearerKey: string;
  entry: number;
  maxTokens: number;
}

/** Requests that ended badly or slowly. */
export interface LoadSummary {
  sent: number;
  failed: number;
  /** Failed other than by a 503, which says that the request was not run. */
  cutOff: number;
  /** First byte later than `LATE_MS`. */
  late: number;
  /** Failures by code. */
  failures: Record<string, number>;
}

/** First bytes later than this are counted as late; the undisturbed ones take below 50 ms. */
export const LATE_MS = 500;

const REQUEST_TIMEOUT_MS = 30_000;

/** Sends one chat request; the result is filled in while it runs. Never throws. */
export function startChat(
  options: ChatOptions,
  agent: Agent,
): { sent: SentRequest; done: Promise<void> } {
  const { entry } = options;
  const sentAtMs = performance.now();
  const sent: SentRequest = {
    ...{ entry, sentAtMs, firstByteAtMs: undefined, isEnded: false, failure: undefined },
  };
  const done = runChat(options, agent, sent)
    .catch((error: unknown) => {
      const { code, name } = error as { code?: unknown; name?: string };
      // The code of a timeout is a number.
      sent.failure = typeof code === 'string' ? code : (name ?? 'unknown');
    })
    .finally(() => {
      sent.isEnded = true;
    });
  return { sent, done };
}

async function runChat(options: ChatOptions, agent: Agent, sent: SentRequest): Promise<void> {
  const response = await request(`${options.url}/v1/chat/completions`, {
    method: 'POST',
    headers: {
      'content-type': 'application/json',
      authorization: `Bearer ${options.bearerKey}`,
    },
    body: JSON.stringify({
      model: 'm1',
      messages: [{ role: 'user', content: `Question ${randomUUID()}` }],
      max_tokens: options.maxTokens,
      stream: true,
    }),
    dispatcher: agent,
    signal: AbortSignal.timeout(REQUEST_TIMEOUT_MS),
  });
  let text = '';
  for await (const bytes of response.body as AsyncIterable<Buffer>) {
    if (response.statusCode === 200) sent.firstByteAtMs ??= performance.now();
    text += bytes.toString('utf8');
  }
  if (response.statusCode !== 200) {
    const code = /"code":"([a-z_]+)"/.exec(text)?.[1] ?? '';
    sent.failure = `${response.statusCode.toString()} ${code}`;
  } else if (!text.includes('[DONE]')) sent.failure = 'incomplete';
}

/** Sends short requests at an even rate, in turn through the given entries. */
export class SteadyLoad implements AsyncDisposable {
  readonly requests: SentRequest[] = [];
  readonly #agent = new Agent();
  readonly #running = new Set<Promise<void>>();
  readonly #timer: NodeJS.Timeout;
  readonly #entries: Set<number>;
  #next = 0;

  constructor(
    readonly urls: readonly string[],
    readonly bearerKey: string,
    requestsPerSecond: number,
    readonly maxTokens: number,
  ) {
    this.#entries = new Set(urls.keys());
    this.#timer = setInterval(() => {
      this.#sendNext();
    }, 1000 / requestsPerSecond);
  }

  /** Sends nothing more through an entry, as a load balancer does for one that is not ready. */
  removeEntry(entry: number): void {
    this.#entries.delete(entry);
  }

  /** Sends one request of another length through one entry. */
  send(entry: number, maxTokens: number): SentRequest {
    const url = this.urls[entry] ?? '';
    const options = { url, bearerKey: this.bearerKey, entry, maxTokens };
    const { sent, done } = startChat(options, this.#agent);
    const running = done.finally(() => this.#running.delete(running));
    this.#running.add(running);
    return sent;
  }

  /** Stops sending and waits for the answers. */
  async finish(): Promise<LoadSummary> {
    clearInterval(this.#timer);
    await Promise.all(this.#running);
    const failures: Record<string, number> = {};
    for (const { failure } of this.requests) {
      if (failure !== undefined) failures[failure] = (failures[failure] ?? 0) + 1;
    }
    const late = this.requests.filter(
      ({ sentAtMs, firstByteAtMs }) => (firstByteAtMs ?? sentAtMs) - sentAtMs > LATE_MS,
    );
    const failed = Object.values(failures).reduce((sum, count) => sum + count, 0);
    const cutOff = this.requests.filter(
      ({ failure }) => failure !== undefined && !failure.startsWith('503'),
    ).length;
    return { sent: this.requests.length, failed, cutOff, late: late.length, failures };
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.#timer);
    await this.#agent.destroy();
    await Promise.all(this.#running);
  }

  #sendNext(): void {
    const entries = [...this.#entries];
    const entry = entries[this.#next % entries.length];
    this.#next += 1;
    if (entry !== undefined) this.requests.push(this.send(entry, this.maxTokens));
  }
}
