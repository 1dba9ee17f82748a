import type { ServerResponse } from 'node:http';
import { sendJson } from '../http/host';
import type { Attempt } from './attempt';

const END_MARK = 'data: [DONE]\n\n';

/**
 * Streams an attempt from an offset as server-sent events until it ends or the response closes. The
 * event after token k has the id `ATTEMPT:k`; the one with the finish reason follows with the next id,
 * and an offset past it leaves only the end mark.
 */
export function streamAttempt(attempt: Attempt, response: ServerResponse, offset: number): void {
  let sent = offset;
  response.writeHead(200, {
    'Content-Type': 'text/event-stream',
    'Cache-Control': 'no-cache',
    'X-Request-Id': attempt.input.attemptId,
  });
  response.flushHeaders();
  const sendNew = () => {
    while (sent < attempt.generatedTokens && !response.writableNeedDrain) {
      sent += 1;
      response.write(formatTokenEvent(attempt, sent));
    }
    if (!attempt.isEnded || sent < attempt.generatedTokens) return;
    stopSending();
    if (attempt.state === 'completed') response.end(formatFinalEvents(attempt, offset));
    else response.destroy();
  };
  const stopSending = () => {
    attempt.off('change', sendNew);
    response.off('drain', sendNew);
  };
  attempt.on('change', sendNew);
  response.on('drain', sendNew);
  response.once('close', stopSending);
  sendNew();
}

/** Sends the whole answer as one JSON response when the attempt has ended. */
export function sendWholeAnswer(attempt: Attempt, response: ServerResponse): void {
  const sendWhenEnded = () => {
    if (!attempt.isEnded) return;
    attempt.off('change', sendWhenEnded);
    if (attempt.state === 'cancelled') response.destroy();
    else sendJson(response, 200, buildAnswer(attempt), { 'X-Request-Id': attempt.input.attemptId });
  };
  attempt.on('change', sendWhenEnded);
  response.once('close', () => attempt.off('change', sendWhenEnded));
}

function buildAnswer(attempt: Attempt): object {
  const message = { role: 'assistant', content: attempt.input.tokens.join('') };
  return {
    ...buildEnvelope(attempt, 'chat.completion'),
    choices: [{ index: 0, message, finish_reason: attempt.input.finishReason }],
    usage: buildUsage(attempt),
  };
}

function formatTokenEvent(attempt: Attempt, offset: number): string {
  const content = attempt.input.tokens[offset - 1] ?? '';
  const delta = offset === 1 ? { role: 'assistant', content } : { content };
  const chunk = {
    ...buildEnvelope(attempt, 'chat.completion.chunk'),
    choices: [{ index: 0, delta, finish_reason: null }],
  };
  return formatEvent(attempt, offset, chunk);
}

function formatFinalEvents(attempt: Attempt, resumedFrom: number): string {
  const finalOffset = attempt.input.tokens.length + 1;
  if (resumedFrom >= finalOffset) return END_MARK;
  const chunk = {
    ...buildEnvelope(attempt, 'chat.completion.chunk'),
    choices: [{ index: 0, delta: {}, finish_reason: attempt.input.finishReason }],
    usage: buildUsage(attempt),
  };
  return formatEvent(attempt, finalOffset, chunk) + END_MARK;
}

function formatEvent(attempt: Attempt, offset: number, chunk: object): string {
  return `id: ${attempt.input.attemptId}:${offset.toString()}\ndata: ${JSON.stringify(chunk)}\n\n`;
}

function buildEnvelope(attempt: Attempt, object: string): object {
  return {
    id: attempt.input.attemptId,
    object,
    created: Math.floor(attempt.createdAtMs / 1000),
    model: attempt.input.model,
  };
}

function buildUsage(attempt: Attempt): object {
  const completionTokens = attempt.input.tokens.length;
  return {
    prompt_tokens: attempt.promptTokens,
    completion_tokens: completionTokens,
    total_tokens: attempt.promptTokens + completionTokens,
    prompt_tokens_details: { cached_tokens: attempt.cachedTokens },
  };
}
