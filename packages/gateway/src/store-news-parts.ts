import type { SharedChange } from './change-log';
import type { KindNews } from './store-message-codec';
import { compareStorePositions } from './store-position';

interface PendingParts {
  news: KindNews;
  parts: (readonly SharedChange[] | undefined)[];
  ageMs: number | undefined;
}

/** Senders whose parts are kept; an instance asks few others. */
const MAX_PENDING = 16;

/** Collects the parts of the changes of one moment, which may arrive in any order or be lost, until all are there. */
export class StoreNewsParts {
  private readonly pending = new Map<string, PendingParts>();

  /** Returns news that can be taken in; undefined while parts of it are missing. */
  collect(senderId: string, news: KindNews): KindNews | undefined {
    const { part, changes } = news;
    if (part === undefined || changes === undefined) return news;
    if (part.index >= part.count) return undefined;
    const key = `${news.kind} ${senderId}`;
    const known = this.pending.get(key);
    const pending = known !== undefined && isSameNews(known.news, news) ? known : startParts(news);
    this.pending.delete(key);
    pending.parts[part.index] = changes;
    pending.ageMs ??= news.ageMs;
    const complete = pending.parts.filter((present) => present !== undefined);
    if (complete.length < part.count) {
      this.pending.set(key, pending);
      this.#discardOldest();
      return undefined;
    }
    const { kind, from, to } = news;
    return { kind, from, to, ageMs: pending.ageMs, changes: complete.flat() };
  }

  #discardOldest(): void {
    const [oldest] = this.pending.keys();
    if (oldest !== undefined && this.pending.size > MAX_PENDING) this.pending.delete(oldest);
  }
}

function startParts(news: KindNews): PendingParts {
  const parts = Array.from({ length: news.part?.count ?? 1 }, () => undefined);
  return { news, parts, ageMs: undefined };
}

function isSameNews(one: KindNews, other: KindNews): boolean {
  return (
    one.part?.count === other.part?.count &&
    compareStorePositions(one.from, other.from) === 0 &&
    compareStorePositions(one.to, other.to) === 0
  );
}
