/** Data of the event that ends a stream. */
export const DONE_DATA = '[DONE]';

const ID_PATTERN = /^\s*\{\s*"id"\s*:\s*"(?:[^"\\]|\\.)*"/;
const CONTENT_PATTERN = /"content"\s*:\s*"(?=[^"])/;
const ROLE_PATTERN = /"role"\s*:/;
const FINISH_PATTERN = /"finish_reason"\s*:\s*"/;

interface ParsedChunk {
  id?: string;
  choices?: { delta?: { content?: string | null }; finish_reason?: string | null }[];
  usage?: unknown;
}

/** Replaces the id of a chunk. Parses the JSON only if the id is not the first field. */
export function replaceChunkId(data: string, chunkId: string): string {
  const match = ID_PATTERN.exec(data);
  const idJson = JSON.stringify(chunkId);
  if (match !== null) return `{"id":${idJson}${data.slice(match[0].length)}`;
  const parsed = parseChunk(data);
  return parsed === undefined ? data : JSON.stringify({ ...parsed, id: chunkId });
}

/** Returns whether a chunk contains generated text. */
export function hasContent(data: string): boolean {
  return CONTENT_PATTERN.test(data);
}

/** Returns whether a chunk sets the role without any text. A continued response must not repeat the role. */
export function isRoleOnly(data: string): boolean {
  return ROLE_PATTERN.test(data) && !hasContent(data);
}

export function hasFinishReason(data: string): boolean {
  return FINISH_PATTERN.test(data);
}

export function parseChunk(data: string): ParsedChunk | undefined {
  try {
    return JSON.parse(data) as ParsedChunk;
  } catch {
    return undefined;
  }
}

/** Concatenates the generated text of the chunks. */
export function collectText(chunks: readonly string[]): string {
  return chunks.map((data) => parseChunk(data)?.choices?.[0]?.delta?.content ?? '').join('');
}

/** Builds the body of a non-streaming chat completion from the chunks of a stream. */
export function buildChatCompletion(
  chunks: readonly string[],
  chunkId: string,
  model: string,
  tokens: number,
): string {
  const parsedChunks = chunks.map(parseChunk).filter((chunk) => chunk !== undefined);
  const finishReason = parsedChunks
    .map((chunk) => chunk.choices?.[0]?.finish_reason)
    .findLast((reason) => typeof reason === 'string');
  const usage = parsedChunks.findLast(
    (chunk) => chunk.usage !== undefined && chunk.usage !== null,
  )?.usage;
  return JSON.stringify({
    id: chunkId,
    object: 'chat.completion',
    created: Math.floor(Date.now() / 1_000),
    model,
    choices: [
      {
        index: 0,
        message: { role: 'assistant', content: collectText(chunks) },
        finish_reason: finishReason ?? 'stop',
      },
    ],
    usage: usage ?? { completion_tokens: tokens },
  });
}
