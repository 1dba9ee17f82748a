import { createHash } from 'node:crypto';
import { unsafeUniformIntDistribution, xoroshiro128plus } from 'pure-rand';
import { HttpError } from '../http/host';

/** A message of a chat-completions request; only text content is supported. */
export interface ChatMessage {
  role: string;
  content: string;
}

/** Some words are multi-byte, so that a relay that splits text at bytes is noticed. */
const WORDS = [
  'oats',
  'trail',
  'río',
  'mule',
  'fodder',
  'stall',
  'sertão',
  'bridge',
  'well',
  'barley',
  '砂',
  'load',
  'gate',
  'salt',
  'ridge',
  '🐎',
  'dawn',
  'ford',
  'rope',
  'grit',
];

/** An answer's own length is between these percentages of `maxTokens`; above 100 it is cut off. */
const MIN_LENGTH_PERCENT = 25;
const MAX_LENGTH_PERCENT = 125;

/**
 * The tokens of the answer: a function of the last user message and `maxTokens` only. The joined
 * tokens are the answer text. There are between 1 and `maxTokens` tokens.
 */
export function generateAnswerTokens(
  messages: readonly ChatMessage[],
  maxTokens: number,
): string[] {
  const question = messages.findLast((message) => message.role === 'user')?.content ?? '';
  const digest = createHash('sha256').update(question).digest();
  const random = xoroshiro128plus(digest.readInt32BE(0));
  const percent = unsafeUniformIntDistribution(MIN_LENGTH_PERCENT, MAX_LENGTH_PERCENT, random);
  const length = Math.min(maxTokens, Math.max(1, Math.round((maxTokens * percent) / 100)));
  // The first token names the question, so that answers to different questions always differ.
  const tokens = [digest.toString('hex', 0, 8)];
  while (tokens.length < length) {
    const index = unsafeUniformIntDistribution(0, WORDS.length - 1, random);
    tokens.push(` ${WORDS[index] ?? ''}`);
  }
  return tokens;
}

/** The tokens that follow `partial`; throws `HttpError` 400 when the answer does not begin with it. */
export function generateContinuation(tokens: readonly string[], partial: string): string[] {
  const answer = tokens.join('');
  if (!answer.startsWith(partial)) {
    throw new HttpError(400, 'bad_continuation', 'the partial answer is not from this model', {
      'X-Not-Run': 'true',
    });
  }
  let position = 0;
  const rest: string[] = [];
  for (const token of tokens) {
    const end = position + token.length;
    if (end > partial.length) rest.push(token.slice(Math.max(0, partial.length - position)));
    position = end;
  }
  return rest;
}

/** Whole tokens of the answer that `partial` contains. */
export function countPartialTokens(messages: readonly ChatMessage[], partial: string): number {
  // The order of the tokens does not depend on the limit, and this limit gives at least one token a character.
  const limit = Math.ceil(((partial.length + 1) * 100) / MIN_LENGTH_PERCENT);
  let end = 0;
  let count = 0;
  for (const token of generateAnswerTokens(messages, limit)) {
    end += token.length;
    if (end > partial.length) break;
    count += 1;
  }
  return count;
}
