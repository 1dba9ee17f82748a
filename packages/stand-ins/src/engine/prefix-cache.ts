import { createHash } from 'node:crypto';

/** Characters that count as one prompt token. */
export const CHARACTERS_PER_TOKEN = 4;
const BLOCK_TOKENS = 16;
const BLOCK_CHARACTERS = BLOCK_TOKENS * CHARACTERS_PER_TOKEN;

/** Remembers which prompt prefixes were computed lately, in blocks, least recently used out first. */
export class PrefixCache {
  private readonly blocks = new Set<string>();
  private readonly maxBlocks: number;

  constructor(maxTokens: number) {
    this.maxBlocks = Math.floor(maxTokens / BLOCK_TOKENS);
  }

  /** Takes in a prompt and returns how many of its leading tokens were cached. */
  observePrompt(prompt: string): number {
    const names = hashBlocks(prompt);
    const firstMissing = names.findIndex((name) => !this.blocks.has(name));
    const cachedBlocks = firstMissing === -1 ? names.length : firstMissing;
    // Later blocks are marked first, so that a prefix stays longer than what follows it.
    for (const name of names.reverse()) this.markUsed(name);
    return cachedBlocks * BLOCK_TOKENS;
  }

  private markUsed(name: string): void {
    this.blocks.delete(name);
    this.blocks.add(name);
    if (this.blocks.size <= this.maxBlocks) return;
    for (const oldest of this.blocks) {
      this.blocks.delete(oldest);
      return;
    }
  }
}

/** One name for each whole block; it covers the block and everything before it. */
function hashBlocks(prompt: string): string[] {
  const names: string[] = [];
  let previous = '';
  for (let end = BLOCK_CHARACTERS; end <= prompt.length; end += BLOCK_CHARACTERS) {
    const block = prompt.slice(end - BLOCK_CHARACTERS, end);
    previous = createHash('sha256').update(previous).update(block).digest('base64');
    names.push(previous);
  }
  return names;
}
