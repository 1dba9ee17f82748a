/**
 * A part of a prompt; parts are listed in the order of the prompt. All parts but the last are usually shared by
 * several requests; equal parts of different prompts have equal ids.
 */
export interface PromptPart {
  id: string;
  tokens: number;
}

/** Time for which a part is assumed to stay cached after its last use, in milliseconds. */
const CACHE_LIFETIME_MS = 30_000;
/** Minimum share of the KV cache that is left to cached prompts, however much running requests hold. */
const MIN_CACHE_SHARE = 0.2;

/** Number of servers that are known to have a part cached, besides what is known of each server. */
const MAX_HOLDERS = 4;

/** Time from sending a prompt until the engine has probably prefilled it, in milliseconds. */
const PREFILLED_AFTER_MS = 400;

interface CachedPart {
  tokens: number;
  firstSentAtMs: number;
  lastUsedAtMs: number;
}

/** Estimates which prompt parts each engine has cached, based on the prompts that were sent to the engine. */
export class PrefixCacheTracker {
  private readonly servers = new Map<string, Map<string, CachedPart>>();
  /** Servers that have a part cached, the most recently added last; at most `MAX_HOLDERS`. */
  private readonly holders = new Map<string, string[]>();

  /**
   * Records a prompt sent to a server whose KV cache has a capacity of `kvTokens`, of which its current requests hold
   * `heldTokens`.
   */
  record(
    serverId: string,
    parts: readonly PromptPart[],
    kvCache: { kvTokens: number; heldTokens: number },
    nowMs: number,
  ): void {
    const cached = this.servers.get(serverId) ?? new Map<string, CachedPart>();
    this.servers.set(serverId, cached);
    for (const part of parts) {
      const known = cached.get(part.id);
      if (known === undefined) this.#addHolder(part.id, serverId);
      const isKept = known !== undefined && nowMs - known.lastUsedAtMs <= CACHE_LIFETIME_MS;
      cached.delete(part.id);
      const firstSentAtMs = isKept ? known.firstSentAtMs : nowMs;
      cached.set(part.id, { tokens: part.tokens, firstSentAtMs, lastUsedAtMs: nowMs });
    }
    const freeTokens = kvCache.kvTokens - kvCache.heldTokens;
    const limitTokens = Math.max(freeTokens, kvCache.kvTokens * MIN_CACHE_SHARE);
    evictLeastRecentlyUsed(cached, limitTokens, nowMs, (partId) => {
      this.#removeHolder(partId, serverId);
    });
  }

  /**
   * Lists servers that have the longest cached prefixes of the prompt, at most `MAX_HOLDERS`. Of a part that more
   * servers have cached, those are known that cached it last.
   */
  listHolders(parts: readonly PromptPart[]): readonly string[] {
    for (let index = parts.length - 1; index >= 0; index -= 1) {
      const holders = this.holders.get(parts[index]?.id ?? '');
      if (holders !== undefined) return holders;
    }
    return [];
  }

  /** Counts the tokens of the prompt's prefix that are probably cached on the engine. */
  countCachedTokens(serverId: string, parts: readonly PromptPart[], nowMs: number): number {
    return this.#countTokens(
      serverId,
      parts,
      (part) => nowMs - part.lastUsedAtMs <= CACHE_LIFETIME_MS,
    );
  }

  /** Counts the tokens of the cached prefix that are probably prefilled, so that other engines can fetch them. */
  countFetchableTokens(serverId: string, parts: readonly PromptPart[], nowMs: number): number {
    return this.#countTokens(
      serverId,
      parts,
      (part) =>
        nowMs - part.lastUsedAtMs <= CACHE_LIFETIME_MS &&
        nowMs - part.firstSentAtMs >= PREFILLED_AFTER_MS,
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

  /** Removes a server that is no longer listed or has restarted. */
  removeServer(serverId: string): void {
    for (const partId of this.servers.get(serverId)?.keys() ?? []) {
      this.#removeHolder(partId, serverId);
    }
    this.servers.delete(serverId);
  }

  #addHolder(partId: string, serverId: string): void {
    const holders = this.holders.get(partId);
    if (holders === undefined) {
      this.holders.set(partId, [serverId]);
      return;
    }
    holders.push(serverId);
    if (holders.length > MAX_HOLDERS) holders.shift();
  }

  #removeHolder(partId: string, serverId: string): void {
    const holders = this.holders.get(partId);
    const index = holders?.indexOf(serverId) ?? -1;
    if (holders === undefined || index < 0) return;
    holders.splice(index, 1);
    if (holders.length === 0) this.holders.delete(partId);
  }
}

/**
 * Evicts expired parts and the least recently used parts beyond `limitTokens`. Each use reinserts a part, so the map
 * iterates from the least to the most recently used part.
 */
function evictLeastRecentlyUsed(
  cached: Map<string, CachedPart>,
  limitTokens: number,
  nowMs: number,
  onEvict: (partId: string) => void,
): void {
  let tokens = 0;
  for (const part of cached.values()) tokens += part.tokens;
  for (const [id, part] of cached) {
    if (tokens <= limitTokens && nowMs - part.lastUsedAtMs <= CACHE_LIFETIME_MS) return;
    cached.delete(id);
    onEvict(id);
    tokens -= part.tokens;
  }
}
