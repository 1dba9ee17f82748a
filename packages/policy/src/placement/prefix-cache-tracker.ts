/** A part of a prompt, in the order of the prompt. */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** How long a part is taken as still cached after its last use there, in milliseconds. */
const CACHED_FOR_MS = 30_000;
/** Memory that cached prompts keep however much running requests hold, as a share of all. */
const LEAST_CACHE_SHARE = 0.2;

/** Time after which a prompt that was sent to an engine has probably been read, in milliseconds. */
const READ_AFTER_MS = 400;

interface CachedPart {
  tokens: number;
  firstSentAtMs: number;
  lastUsedAtMs: number;
}

/** Which parts of prompts each engine probably still holds, judged by what was sent there. */
export class PrefixCacheTracker {
  private readonly servers = new Map<string, Map<string, CachedPart>>();

  /** Records that a prompt was sent to an engine with room for `kvTokens`, of which running requests hold a part. */
  record(
    serverId: string,
    parts: readonly PromptPart[],
    memory: { kvTokens: number; heldTokens: number },
    nowMs: number,
  ): void {
    const cached = this.servers.get(serverId) ?? new Map<string, CachedPart>();
    this.servers.set(serverId, cached);
    for (const part of parts) {
      const known = cached.get(part.id);
      const isKept = known !== undefined && nowMs - known.lastUsedAtMs <= CACHED_FOR_MS;
      cached.delete(part.id);
      const firstSentAtMs = isKept ? known.firstSentAtMs : nowMs;
      cached.set(part.id, { tokens: part.tokens, firstSentAtMs, lastUsedAtMs: nowMs });
    }
    const freeTokens = memory.kvTokens - memory.heldTokens;
    evictOldest(cached, Math.max(freeTokens, memory.kvTokens * LEAST_CACHE_SHARE), nowMs);
  }

  /** Tokens at the start of the prompt that the engine probably does not read again. */
  countCachedTokens(serverId: string, parts: readonly PromptPart[], nowMs: number): number {
    return this.#countTokens(serverId, parts, (part) => nowMs - part.lastUsedAtMs <= CACHED_FOR_MS);
  }

  /** Of these tokens, the ones that the engine has probably read by now, so that others can fetch them from it. */
  countFetchableTokens(serverId: string, parts: readonly PromptPart[], nowMs: number): number {
    return this.#countTokens(
      serverId,
      parts,
      (part) =>
        nowMs - part.lastUsedAtMs <= CACHED_FOR_MS && nowMs - part.firstSentAtMs >= READ_AFTER_MS,
    );
  }

  #countTokens(
    serverId: string,
    parts: readonly PromptPart[],
    isCounted: (part: CachedPart) => boolean,
  ): number {
    const cached = this.servers.get(serverId);
    if (cached === undefined) return 0;
    let tokens = 0;
    for (const part of parts) {
      const known = cached.get(part.id);
      if (known === undefined || !isCounted(known)) return tokens;
      tokens += part.tokens;
    }
    return tokens;
  }

  /** Forgets a server that has left or restarted. */
  removeServer(serverId: string): void {
    this.servers.delete(serverId);
  }
}

/** A map keeps the order of insertion and each use inserts anew, so the first entries are the oldest. */
function evictOldest(cached: Map<string, CachedPart>, limitTokens: number, nowMs: number): void {
  let tokens = 0;
  for (const part of cached.values()) tokens += part.tokens;
  for (const [id, part] of cached) {
    if (tokens <= limitTokens && nowMs - part.lastUsedAtMs <= CACHED_FOR_MS) return;
    cached.delete(id);
    tokens -= part.tokens;
  }
}
