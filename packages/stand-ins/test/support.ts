import { setTimeout as sleep } from 'node:timers/promises';
import type { ChatMessage, StandIn } from '../src/index';

export function makeUrl(standIn: StandIn, path: string): string {
  return `http://${standIn.address}:${standIn.port.toString()}${path}`;
}

export async function sendCall(
  standIn: StandIn,
  method: string,
  path: string,
  body?: unknown,
  headers: Record<string, string> = {},
): Promise<Response> {
  return fetch(makeUrl(standIn, path), {
    method,
    headers: { 'Content-Type': 'application/json', ...headers },
    body: body === undefined ? undefined : JSON.stringify(body),
  });
}

/** An answer as its events arrived. */
export interface ReceivedAnswer {
  ids: string[];
  text: string;
  finishReason: string | undefined;
  isDone: boolean;
}

interface Chunk {
  choices: { delta: { content?: string }; finish_reason: string | null }[];
}

/** Reads events until the stream ends, breaks, or `maxEvents` arrived (the connection is then closed). */
export async function readEvents(
  response: Response,
  maxEvents = Infinity,
): Promise<ReceivedAnswer> {
  const answer: ReceivedAnswer = { ids: [], text: '', finishReason: undefined, isDone: false };
  let buffered = '';
  const decoder = new TextDecoder();
  try {
    for await (const bytes of response.body as unknown as AsyncIterable<Uint8Array>) {
      buffered += decoder.decode(bytes, { stream: true });
      const events = buffered.split('\n\n');
      buffered = events.pop() ?? '';
      for (const event of events) {
        if (answer.ids.length < maxEvents) addEvent(answer, event);
      }
      if (answer.ids.length >= maxEvents) break;
    }
  } catch {
    // The connection broke; what arrived is returned.
  }
  return answer;
}

function addEvent(answer: ReceivedAnswer, event: string): void {
  const data = /^data: (.*)$/m.exec(event)?.[1] ?? '';
  if (data === '[DONE]') {
    answer.isDone = true;
    return;
  }
  answer.ids.push(/^id: (.*)$/m.exec(event)?.[1] ?? '');
  const choice = (JSON.parse(data) as Chunk).choices[0];
  answer.text += choice?.delta.content ?? '';
  answer.finishReason = choice?.finish_reason ?? answer.finishReason;
}

export interface ChatOptions {
  attemptId?: string;
  question?: string;
  maxTokens?: number;
  partial?: string;
  priority?: number;
  stream?: boolean;
}

export function buildMessages(options: ChatOptions): ChatMessage[] {
  const messages = [{ role: 'user', content: options.question ?? 'Which trail is open?' }];
  if (options.partial !== undefined) messages.push({ role: 'assistant', content: options.partial });
  return messages;
}

export async function sendChat(standIn: StandIn, options: ChatOptions = {}): Promise<Response> {
  const body = {
    model: 'm1',
    messages: buildMessages(options),
    max_tokens: options.maxTokens ?? 20,
    stream: options.stream ?? true,
    priority: options.priority ?? 0,
    continue_final_message: options.partial !== undefined,
  };
  const id = options.attemptId;
  return sendCall(standIn, 'POST', '/v1/chat/completions', body, id ? { 'X-Request-Id': id } : {});
}

/** Waits until the condition holds; throws after 5 s. */
export async function waitUntil(isMet: () => boolean): Promise<void> {
  const deadlineMs = Date.now() + 5000;
  while (!isMet()) {
    if (Date.now() > deadlineMs) throw new Error('the condition did not come to hold in 5 s');
    await sleep(5);
  }
}
