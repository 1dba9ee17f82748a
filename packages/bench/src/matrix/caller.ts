import { Readable } from 'node:stream';
import type { CauseKind } from './faults';
import { computeStock, generateAnswerTokens } from '@pollendrum/stand-ins';
import { createParser } from 'eventsource-parser';
import { Agent, request } from 'undici';
import type { Dispatcher } from 'undici';
import type { FleetMember } from './fleet';
import { MODEL_NAME } from './operators';

/** How a request ended for its caller. */
export type CallResult =
  | { kind: 'answered' }
  /** An answer arrived that is not the answer to this request. */
  | { kind: 'mismatched'; detail: string }
  /** An error body or error event. `notRun` is null when the router does not know. */
  | {
      kind: 'error';
      status: number;
      code: string;
      notRun: boolean | null;
      cause: CauseKind | undefined;
    }
  /** The connection ended without a whole answer. */
  | { kind: 'broken'; code: string }
  /** No connection was made, so nothing was sent. */
  | { kind: 'unreachable' }
  | { kind: 'timeout' };

export type CallKind = 'chat' | 'order' | 'stock';

/** What a caller saw of one request. Times are Unix times in milliseconds. */
export interface Observation {
  requestId: string;
  kind: CallKind;
  className: string;
  instanceId: string;
  /** Prompt tokens of the first attempt, unique in a cell; 0 for plain services. */
  promptTokens: number;
  idempotencyKey?: string;
  /** Sent before under another request id. */
  isResend: boolean;
  sentAtMs: number;
  /** When the whole body had been handed to the connection. */
  bodySentAtMs?: number;
  firstByteAtMs?: number;
  lastTokenAtMs?: number;
  endedAtMs: number;
  tokens: number;
  /** Time during the request in which the matrix itself was too busy to see anything. */
  ownDelayMs: number;
  result: CallResult;
}

const DELAY_SAMPLE_MS = 10;

/** Sums up how long the event loop of the matrix was blocked; a caller's times contain it. */
class OwnDelay {
  totalMs = 0;
  private lastMs = performance.now();

  constructor() {
    setInterval(() => {
      const nowMs = performance.now();
      const excessMs = nowMs - this.lastMs - DELAY_SAMPLE_MS;
      if (excessMs > DELAY_SAMPLE_MS) this.totalMs += excessMs;
      this.lastMs = nowMs;
    }, DELAY_SAMPLE_MS).unref();
  }
}

const ownDelay = new OwnDelay();

/** One request to send. */
export interface Call {
  kind: CallKind;
  className: string;
  requestId: string;
  /** Question of a chat, item of an order or stock lookup. */
  text: string;
  /** Limit of the answer's tokens. */
  maxTokens: number;
  idempotencyKey?: string;
  /** @default false */
  isResend?: boolean;
  /** Holds back the second half of the body until it resolves; called when the first half is sent. */
  holdBody?: () => Promise<void>;
  onTokens?: (tokens: number, expectedTokens: number) => void;
}

/** Callers give up after this: the bound within which each class is served. */
const CALLER_TIMEOUT_MS = 8_000;
const CHARACTERS_PER_TOKEN = 4;
const MAX_QUANTITY = 9;
const UNSENT_CODES: ReadonlySet<string> = new Set(['ECONNREFUSED', 'UND_ERR_CONNECT_TIMEOUT']);

export function computePromptTokens(call: Call): number {
  return call.kind === 'chat' ? Math.ceil(`user: ${call.text}`.length / CHARACTERS_PER_TOKEN) : 0;
}

export function generateExpectedTokens(call: Call): string[] {
  return generateAnswerTokens([{ role: 'user', content: call.text }], call.maxTokens);
}

/** Sends requests as callers do, each on a connection of its own. */
export class Caller implements AsyncDisposable {
  private readonly agent = new Agent({ headersTimeout: 0, bodyTimeout: 0, pipelining: 0 });

  constructor(private readonly teamKey: string) {}

  /** Sends one request and judges its answer. Never throws. */
  async sendCall(instance: FleetMember, call: Call): Promise<Observation> {
    const observation: Observation = {
      requestId: call.requestId,
      kind: call.kind,
      className: call.className,
      instanceId: instance.id,
      promptTokens: computePromptTokens(call),
      ...(call.idempotencyKey === undefined ? {} : { idempotencyKey: call.idempotencyKey }),
      isResend: call.isResend ?? false,
      sentAtMs: Date.now(),
      endedAtMs: 0,
      tokens: 0,
      ownDelayMs: 0,
      result: { kind: 'timeout' },
    };
    const delayBeforeMs = ownDelay.totalMs;
    observation.result = await this.runCall(instance, call, observation).catch((error: unknown) =>
      toFailure(error),
    );
    observation.endedAtMs = Date.now();
    observation.ownDelayMs = ownDelay.totalMs - delayBeforeMs;
    return observation;
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await this.agent.destroy();
  }

  private async runCall(
    instance: FleetMember,
    call: Call,
    observation: Observation,
  ): Promise<CallResult> {
    const { method, path, body } = buildMessage(call);
    if (body === '') observation.bodySentAtMs = Date.now();
    const response = await request(instance.url + path, {
      method,
      headers: this.buildHeaders(call, body),
      body: body === '' ? null : Readable.from(streamBody(body, call, observation)),
      dispatcher: this.agent,
      reset: true,
      signal: AbortSignal.timeout(CALLER_TIMEOUT_MS),
    });
    if (response.statusCode >= 300) {
      return parseError(response.statusCode, await response.body.text());
    }
    if (call.kind === 'chat') return readChat(response, call, observation);
    const text = await response.body.text();
    observation.firstByteAtMs = Date.now();
    return checkServiceAnswer(call, text);
  }

  private buildHeaders(call: Call, body: string): Record<string, string> {
    return {
      authorization: `Bearer ${this.teamKey}`,
      'x-service-class': call.className,
      'x-request-id': call.requestId,
      ...(body === ''
        ? {}
        : {
            'content-type': 'application/json',
            'content-length': Buffer.byteLength(body).toString(),
          }),
      ...(call.idempotencyKey === undefined ? {} : { 'idempotency-key': call.idempotencyKey }),
    };
  }
}

interface Message {
  method: Dispatcher.HttpMethod;
  path: string;
  body: string;
}

function buildMessage(call: Call): Message {
  switch (call.kind) {
    case 'chat': {
      const messages = [{ role: 'user', content: call.text }];
      const chat = { model: MODEL_NAME, messages, max_tokens: call.maxTokens, stream: true };
      return { method: 'POST', path: '/v1/chat/completions', body: JSON.stringify(chat) };
    }
    case 'order': {
      const order = { item: call.text, quantity: computeQuantity(call) };
      return { method: 'POST', path: '/services/orders/orders', body: JSON.stringify(order) };
    }
    case 'stock':
      return {
        method: 'GET',
        path: `/services/orders/stock/${encodeURIComponent(call.text)}`,
        body: '',
      };
  }
}

function computeQuantity(call: Call): number {
  return 1 + (call.text.length % MAX_QUANTITY);
}

async function* streamBody(body: string, call: Call, observation: Observation) {
  const bytes = Buffer.from(body);
  const half = Math.floor(bytes.length / 2);
  yield bytes.subarray(0, half);
  await call.holdBody?.();
  yield bytes.subarray(half);
  observation.bodySentAtMs = Date.now();
}

interface ErrorFields {
  code?: string;
  not_run?: boolean | null;
  cause?: { kind?: CauseKind };
}

function toErrorResult(status: number, error: ErrorFields | undefined): CallResult {
  return {
    kind: 'error',
    status,
    code: error?.code ?? 'unreadable_error',
    notRun: error?.not_run ?? null,
    cause: error?.cause?.kind,
  };
}

function parseError(status: number, text: string): CallResult {
  try {
    return toErrorResult(status, (JSON.parse(text) as { error?: ErrorFields }).error);
  } catch {
    return toErrorResult(status, undefined);
  }
}

interface Chunk {
  choices?: { delta?: { content?: string }; finish_reason?: string | null }[];
  error?: ErrorFields;
}

async function readChat(
  response: Dispatcher.ResponseData,
  call: Call,
  observation: Observation,
): Promise<CallResult> {
  const expected = generateExpectedTokens(call);
  const received = {
    text: '',
    isDone: false,
    finishReason: '',
    error: undefined as ErrorFields | undefined,
  };
  const parser = createParser({
    onEvent: ({ data }) => {
      if (data === '[DONE]') {
        received.isDone = true;
        return;
      }
      const chunk = JSON.parse(data) as Chunk;
      received.error ??= chunk.error;
      const choice = chunk.choices?.[0];
      received.finishReason = choice?.finish_reason ?? received.finishReason;
      const content = choice?.delta?.content ?? '';
      if (content === '') return;
      received.text += content;
      observation.lastTokenAtMs = Date.now();
      observation.firstByteAtMs ??= observation.lastTokenAtMs;
      observation.tokens = countTokens(expected, received.text);
      call.onTokens?.(observation.tokens, expected.length);
    },
  });
  const decoder = new TextDecoder();
  try {
    for await (const bytes of response.body as AsyncIterable<Uint8Array>) {
      parser.feed(decoder.decode(bytes, { stream: true }));
    }
  } catch (error) {
    // A part of an answer must be a part of the right one as well.
    return checkPart(expected.join(''), received.text) ?? toFailure(error);
  }
  const wrongPart = checkPart(expected.join(''), received.text);
  if (wrongPart) return wrongPart;
  if (received.error) return toErrorResult(response.statusCode, received.error);
  if (!received.isDone) return { kind: 'broken', code: 'incomplete_stream' };
  const reason = expected.length === call.maxTokens ? 'length' : 'stop';
  if (received.text === expected.join('') && received.finishReason === reason) {
    return { kind: 'answered' };
  }
  const detail = `${received.text.length} of ${expected.join('').length} characters, finish reason '${received.finishReason}'`;
  return { kind: 'mismatched', detail };
}

/** Tokens of the answer that the text covers, however the events divided it. */
function countTokens(expected: readonly string[], text: string): number {
  let length = 0;
  let count = 0;
  for (const token of expected) {
    length += token.length;
    if (length > text.length) break;
    count += 1;
  }
  return count;
}

function checkPart(expected: string, text: string): CallResult | undefined {
  if (expected.startsWith(text)) return undefined;
  return { kind: 'mismatched', detail: `received '${text.slice(0, 80)}'` };
}

function checkServiceAnswer(call: Call, text: string): CallResult {
  const answer = JSON.parse(text) as Record<string, unknown>;
  const quantity = call.kind === 'stock' ? computeStock(call.text) : computeQuantity(call);
  const isOwn =
    answer.item === call.text &&
    answer.quantity === quantity &&
    (call.kind === 'stock' || answer.idempotencyKey === call.idempotencyKey);
  return isOwn ? { kind: 'answered' } : { kind: 'mismatched', detail: text.slice(0, 120) };
}

function toFailure(error: unknown): CallResult {
  const { code, name } = error as { code?: unknown; name?: unknown };
  if (name === 'TimeoutError') return { kind: 'timeout' };
  const text = typeof code === 'string' ? code : String(error);
  return UNSENT_CODES.has(text) ? { kind: 'unreachable' } : { kind: 'broken', code: text };
}
