import { createHash } from 'node:crypto';
import { JsonLocator, parseJson } from '@pollendrum/protocol';
import type { Finding, Validator } from '@pollendrum/protocol';

/** A message of a chat request; other fields are forwarded unchanged. */
export interface ChatMessage {
  role: string;
  content?: unknown;
}

/** A validated chat request. */
export interface ChatRequest {
  model: string;
  messages: ChatMessage[];
  isStreamed: boolean;
  /** Limit on output tokens; 0 when the caller set none. */
  maxOutputTokens: number;
  /** All fields as sent by the caller. */
  raw: Record<string, unknown>;
}

export type ChatParseResult = { ok: true; chat: ChatRequest } | { ok: false; findings: Finding[] };

const SOURCE = 'body';
const ROLES: ReadonlySet<unknown> = new Set(['system', 'developer', 'user', 'assistant', 'tool']);
// JSON.stringify and the lookup of positions recurse; a few thousand levels overflow the stack.
const MAX_NESTING = 128;
const CHARACTERS_PER_TOKEN = 4;
const PREFIX_CHARACTERS = 1_024;

/** Parses and validates a chat request; reports all problems at once, with their positions in the body. */
export function parseChatRequest(body: Buffer): ChatParseResult {
  const text = decodeUtf8(body);
  if (text === undefined) {
    return { ok: false, findings: [{ pointer: '', message: 'must be UTF-8', source: SOURCE }] };
  }
  if (hasDeepNesting(text)) {
    const message = `must not be nested more than ${MAX_NESTING} levels deep`;
    return { ok: false, findings: [{ pointer: '', message, source: SOURCE }] };
  }
  const value = parseText(text);
  if (value === undefined) return { ok: false, findings: collectSyntaxFindings(text) };
  const problems = checkChat(value);
  if (problems.length === 0) return { ok: true, chat: toChatRequest(value as RawChat) };
  const positions = new JsonLocator(text, SOURCE);
  const findings = problems.map(({ pointer, message }) =>
    positions.createFinding(pointer, message),
  );
  return { ok: false, findings };
}

interface Problem {
  pointer: string;
  message: string;
}

type RawChat = Record<string, unknown> & { model: string; messages: ChatMessage[] };

function decodeUtf8(body: Buffer): string | undefined {
  try {
    return new TextDecoder('utf-8', { fatal: true }).decode(body);
  } catch {
    return undefined;
  }
}

/** Whether brackets outside of strings are nested too deeply; the text need not be valid JSON. */
function hasDeepNesting(text: string): boolean {
  let depth = 0;
  let isString = false;
  for (let index = 0; index < text.length; index += 1) {
    const character = text[index] ?? '';
    if (isString) {
      if (character === '\\') index += 1;
      else isString = character !== '"';
    } else if (character === '"') isString = true;
    else if (character === '[' || character === '{') depth += 1;
    else if (character === ']' || character === '}') depth -= 1;
    if (depth > MAX_NESTING) return true;
  }
  return false;
}

function parseText(text: string): unknown {
  try {
    return JSON.parse(text) as unknown;
  } catch {
    return undefined;
  }
}

function collectSyntaxFindings(text: string): Finding[] {
  const result = parseJson(text, (() => true) as unknown as Validator<unknown>, SOURCE);
  if (!result.ok) return result.findings;
  return [{ pointer: '', message: 'invalid JSON', source: SOURCE }];
}

function checkChat(value: unknown): Problem[] {
  if (!isObject(value)) return [{ pointer: '', message: 'must be an object' }];
  return [
    ...checkModel(value['model']),
    ...checkMessages(value['messages']),
    ...checkOptional(value, 'stream', isBoolean, 'must be true or false'),
    ...checkOptional(value, 'max_tokens', isPositiveInteger, 'must be a positive integer'),
    ...checkOptional(
      value,
      'max_completion_tokens',
      isPositiveInteger,
      'must be a positive integer',
    ),
    ...checkOptional(value, 'temperature', isTemperature, 'must be a number from 0 to 2'),
    ...checkOptional(value, 'n', (count) => count === 1, 'must be 1'),
  ];
}

function checkModel(model: unknown): Problem[] {
  if (model === undefined) return [{ pointer: '', message: 'missing field model' }];
  if (typeof model === 'string' && model !== '') return [];
  return [{ pointer: '/model', message: 'must be a non-empty string' }];
}

function checkMessages(messages: unknown): Problem[] {
  if (messages === undefined) return [{ pointer: '', message: 'missing field messages' }];
  if (!Array.isArray(messages) || messages.length === 0) {
    return [{ pointer: '/messages', message: 'must be a non-empty array' }];
  }
  return messages.flatMap((message, index) => checkMessage(message, `/messages/${index}`));
}

function checkMessage(message: unknown, pointer: string): Problem[] {
  if (!isObject(message)) return [{ pointer, message: 'must be an object' }];
  const problems: Problem[] = [];
  if (!ROLES.has(message['role'])) {
    const roles = [...ROLES].join(', ');
    problems.push({ pointer: `${pointer}/role`, message: `must be one of ${roles}` });
  }
  const content = message['content'];
  const isContent = typeof content === 'string' || Array.isArray(content);
  const mayLackContent = message['role'] === 'assistant' && message['tool_calls'] !== undefined;
  if (!isContent && !mayLackContent) {
    problems.push({ pointer: `${pointer}/content`, message: 'must be a string or an array' });
  }
  return problems;
}

function checkOptional(
  value: Record<string, unknown>,
  field: string,
  isValid: (fieldValue: unknown) => boolean,
  message: string,
): Problem[] {
  const fieldValue = value[field];
  if (fieldValue === undefined || fieldValue === null || isValid(fieldValue)) return [];
  return [{ pointer: `/${field}`, message }];
}

function isObject(value: unknown): value is Record<string, unknown> {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isBoolean(value: unknown): boolean {
  return typeof value === 'boolean';
}

function isPositiveInteger(value: unknown): boolean {
  return Number.isSafeInteger(value) && (value as number) > 0;
}

function isTemperature(value: unknown): boolean {
  return typeof value === 'number' && value >= 0 && value <= 2;
}

function toChatRequest(raw: RawChat): ChatRequest {
  const limit = raw['max_completion_tokens'] ?? raw['max_tokens'] ?? 0;
  return {
    model: raw.model,
    messages: raw.messages,
    isStreamed: raw['stream'] === true,
    maxOutputTokens: limit as number,
    raw,
  };
}

/** Computes the fingerprint of model and messages, by which a request that crashes servers is recognized. */
export function computeChatFingerprint(chat: ChatRequest): string {
  return hashToFingerprint(JSON.stringify([chat.model, chat.messages]));
}

/** Returns the first 128 bits of the SHA-256 of a text as 32 hex digits. */
export function hashToFingerprint(text: string | Buffer): string {
  return createHash('sha256').update(text).digest('hex').slice(0, 32);
}

/** Builds the text whose hash identifies requests with a common prompt prefix. */
export function buildPrefixText(chat: ChatRequest): string {
  const first = JSON.stringify(chat.messages[0]?.content ?? '');
  return `${chat.model}\n${first.slice(0, PREFIX_CHARACTERS)}`;
}

/** Estimates the length of the prompt in tokens. */
export function estimatePromptTokens(chat: ChatRequest): number {
  const characters = chat.messages.reduce(
    (sum, message) => sum + countCharacters(message.content),
    0,
  );
  return Math.ceil(characters / CHARACTERS_PER_TOKEN);
}

function countCharacters(content: unknown): number {
  if (typeof content === 'string') return content.length;
  return content === undefined ? 0 : JSON.stringify(content).length;
}

/**
 * Builds the request body for an engine. A non-empty `generatedText` is the output so far: it becomes a
 * partial assistant message that the engine continues, and the tokens already delivered count towards the
 * caller's limit.
 */
export function buildEngineBody(
  chat: ChatRequest,
  priority: number,
  generatedText: string,
  deliveredTokens: number,
): string {
  const body: Record<string, unknown> = { ...chat.raw, stream: true, priority };
  if (generatedText === '') return JSON.stringify(body);
  body['messages'] = appendText(chat, generatedText);
  body['continue_final_message'] = true;
  body['add_generation_prompt'] = false;
  for (const field of ['max_tokens', 'max_completion_tokens']) {
    const limit = body[field];
    if (typeof limit === 'number') body[field] = Math.max(1, limit - deliveredTokens);
  }
  return JSON.stringify(body);
}

function appendText(chat: ChatRequest, generatedText: string): ChatMessage[] {
  const last = chat.messages.at(-1);
  const isPartial = chat.raw['continue_final_message'] === true && last?.role === 'assistant';
  if (!isPartial) return [...chat.messages, { role: 'assistant', content: generatedText }];
  const joined = { ...last, content: `${String(last.content)}${generatedText}` };
  return [...chat.messages.slice(0, -1), joined];
}
