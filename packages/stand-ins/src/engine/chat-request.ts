import { HttpError } from '../http/host';
import { countPartialTokens, generateAnswerTokens, generateContinuation } from './answers';
import type { ChatMessage } from './answers';
import type { AttemptInput } from './attempt';

/** Used when a request does not state `max_tokens`. */
const DEFAULT_MAX_TOKENS = 256;
const MAX_MAX_TOKENS = 65_536;

/** A parsed chat-completions request. */
export interface ChatRequest {
  isStreamed: boolean;
  input: AttemptInput;
}

/**
 * Parses the body of a chat-completions request. `max_tokens` counts the tokens still to generate, so
 * the partial text of a continuation is not included. Throws `HttpError` 400.
 */
export function parseChatRequest(body: Record<string, unknown>, attemptId: string): ChatRequest {
  const messages = parseMessages(body.messages);
  const partial = body.continue_final_message === true ? getPartialText(messages) : undefined;
  const maxTokens = parseMaxTokens(body.max_tokens ?? body.max_completion_tokens, () =>
    partial === undefined ? 0 : countPartialTokens(messages, partial),
  );
  const priority = body.priority ?? 0;
  if (!Number.isInteger(priority)) throw createBadRequest('priority is not an integer');
  const answer = generateAnswerTokens(messages, maxTokens);
  const tokens = partial === undefined ? answer : generateContinuation(answer, partial);
  return {
    isStreamed: body.stream === true,
    input: {
      attemptId,
      model: typeof body.model === 'string' ? body.model : 'model',
      priority: Number(priority),
      prompt: messages.map((message) => `${message.role}: ${message.content}`).join('\n'),
      tokens,
      finishReason: answer.length === maxTokens ? 'length' : 'stop',
    },
  };
}

function getPartialText(messages: readonly ChatMessage[]): string {
  const last = messages.at(-1);
  if (last?.role !== 'assistant') {
    throw createBadRequest('continue_final_message needs a final assistant message');
  }
  return last.content;
}

function parseMessages(value: unknown): ChatMessage[] {
  if (!Array.isArray(value) || value.length === 0) throw createBadRequest('messages is missing');
  return value.map((message: unknown) => {
    const { role, content } = (message ?? {}) as Partial<ChatMessage>;
    if (typeof role !== 'string' || typeof content !== 'string') {
      throw createBadRequest('each message needs role and content as text');
    }
    return { role, content };
  });
}

/** Limit of the whole answer: the stated limit plus the tokens that the caller already has. */
function parseMaxTokens(value: unknown, countGiven: () => number): number {
  if (value === undefined) return DEFAULT_MAX_TOKENS;
  if (!Number.isInteger(value) || Number(value) < 1 || Number(value) > MAX_MAX_TOKENS) {
    throw createBadRequest('max_tokens is out of range');
  }
  return Number(value) + countGiven();
}

function createBadRequest(message: string): HttpError {
  return new HttpError(400, 'bad_request', message, { 'X-Not-Run': 'true' });
}
