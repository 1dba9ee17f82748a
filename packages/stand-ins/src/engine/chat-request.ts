import { HttpError } from '../http/host';
import { generateAnswerTokens, generateContinuation } from './answers';
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
 * Parses the body of a chat-completions request. `max_tokens` counts the whole answer, the partial
 * text of a continuation included. Throws `HttpError` 400.
 */
export function parseChatRequest(body: Record<string, unknown>, attemptId: string): ChatRequest {
  const messages = parseMessages(body.messages);
  const maxTokens = parseMaxTokens(body.max_tokens ?? body.max_completion_tokens);
  const priority = body.priority ?? 0;
  if (!Number.isInteger(priority)) throw createBadRequest('priority is not an integer');
  const answer = generateAnswerTokens(messages, maxTokens);
  const tokens = body.continue_final_message === true ? resumeAnswer(answer, messages) : answer;
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

function resumeAnswer(answer: readonly string[], messages: readonly ChatMessage[]): string[] {
  const last = messages.at(-1);
  if (last?.role !== 'assistant') {
    throw createBadRequest('continue_final_message needs a final assistant message');
  }
  return generateContinuation(answer, last.content);
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

function parseMaxTokens(value: unknown): number {
  if (value === undefined) return DEFAULT_MAX_TOKENS;
  if (!Number.isInteger(value) || Number(value) < 1 || Number(value) > MAX_MAX_TOKENS) {
    throw createBadRequest('max_tokens is out of range');
  }
  return Number(value);
}

function createBadRequest(message: string): HttpError {
  return new HttpError(400, 'bad_request', message, { 'X-Not-Run': 'true' });
}
