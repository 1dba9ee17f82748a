import { generateAnswerTokens } from '@pollendrum/stand-ins';
import { createParser } from 'eventsource-parser';
import { request } from 'undici';
import type { Dispatcher } from 'undici';
import { buildHeaders } from './options';
import type { ResolvedLoadOptions } from './options';
import { parseErrorCode, toFailure } from './outcome';
import type { LoadOutcome } from './outcome';
import type { LoadRecorder } from './result';

interface Chunk {
  choices?: { delta?: { content?: string }; finish_reason?: string | null }[];
  error?: { code?: string };
}

/** What has arrived of a streamed answer. */
class AnswerReader {
  text = '';
  finishReason: string | undefined;
  isDone = false;
  /** Code of an error event. */
  errorCode: string | undefined;
  private lastTokenMs: number | undefined;
  private readonly decoder = new TextDecoder();
  private readonly parser = createParser({
    onEvent: (event) => {
      this.handleEvent(event.data);
    },
  });

  /** `dueMs` is when the request was due, on the clock of `performance.now`. */
  constructor(
    private readonly recorder: LoadRecorder,
    private readonly dueMs: number,
  ) {}

  addBytes(bytes: Uint8Array): void {
    this.parser.feed(this.decoder.decode(bytes, { stream: true }));
  }

  private handleEvent(data: string): void {
    if (data === '[DONE]') {
      this.isDone = true;
      return;
    }
    const chunk = JSON.parse(data) as Chunk;
    if (chunk.error) this.errorCode = chunk.error.code ?? 'unreadable_error';
    const choice = chunk.choices?.[0];
    this.finishReason = choice?.finish_reason ?? this.finishReason;
    const content = choice?.delta?.content;
    if (content === undefined || content === '') return;
    this.text += content;
    this.recordToken();
  }

  private recordToken(): void {
    const nowMs = performance.now();
    if (this.lastTokenMs === undefined) this.recorder.firstToken.recordMs(nowMs - this.dueMs);
    else this.recorder.tokenGap.recordMs(nowMs - this.lastTokenMs);
    this.lastTokenMs = nowMs;
    this.recorder.tokens += 1;
  }
}

/** Sends one streamed chat request with a unique prompt and checks the answer. Never throws. */
export async function sendChat(
  options: ResolvedLoadOptions,
  recorder: LoadRecorder,
  dispatcher: Dispatcher,
  name: string,
  dueMs: number,
): Promise<LoadOutcome> {
  const messages = [{ role: 'user', content: `Question ${name}: which trail is open?` }];
  let status: number | undefined;
  try {
    const response = await request(options.baseUrl + options.chatPath, {
      method: 'POST',
      headers: buildHeaders(options),
      body: JSON.stringify({
        model: options.model,
        messages,
        max_tokens: options.maxTokens,
        stream: true,
        priority: options.priority,
      }),
      dispatcher,
      signal: AbortSignal.timeout(options.requestTimeoutMs),
    });
    status = response.statusCode;
    if (status !== 200) {
      return { kind: 'failed', status, code: parseErrorCode(await response.body.text()) };
    }
    const reader = new AnswerReader(recorder, dueMs);
    for await (const bytes of response.body as AsyncIterable<Uint8Array>) reader.addBytes(bytes);
    return checkAnswer(reader, generateAnswerTokens(messages, options.maxTokens), options);
  } catch (error) {
    return toFailure(error, status);
  }
}

function checkAnswer(
  reader: AnswerReader,
  expected: readonly string[],
  options: ResolvedLoadOptions,
): LoadOutcome {
  if (reader.errorCode !== undefined) {
    return { kind: 'failed', status: 200, code: reader.errorCode };
  }
  if (!reader.isDone) return { kind: 'failed', status: 200, code: 'incomplete_stream' };
  const expectedReason = expected.length === options.maxTokens ? 'length' : 'stop';
  const isExact = Buffer.from(reader.text).equals(Buffer.from(expected.join('')));
  return { kind: isExact && reader.finishReason === expectedReason ? 'answered' : 'mismatched' };
}
