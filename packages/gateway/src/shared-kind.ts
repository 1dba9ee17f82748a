import type { ChangeStep } from './change-log';
import type { NewsResult } from './kind-watcher';
import type { SenderAddress } from './peer-socket';
import type { KindNews } from './store-message-codec';
import { selectLater } from './store-position';
import type { StorePosition } from './store-position';

/** Age up to which the objects of an instance are recent, in milliseconds. A reader's watches end within less. */
export const MAX_RECENT_AGE_MS = 800;

/** What is shared of the objects of one kind. */
export interface SharedKind {
  kind: string;
  /** Age of the objects from which the instance reads them from the store itself, in milliseconds. */
  maxAgeMs: number;
  watcher: {
    getPosition(): StorePosition | undefined;
    getAgeMs(nowMs: number): number;
    listChangesSince(position: StorePosition): readonly ChangeStep[] | undefined;
    applyNews(news: KindNews, syncedAtMs: number | undefined): NewsResult;
    checkFollowing(): void;
    readNow(): void;
  };
}

/** An instance that asks this one. */
export interface Follower {
  sender: SenderAddress;
  askedAtMs: number;
  /** Moment up to which it knows or has been told the changes, by kind. */
  positions: Map<string, StorePosition>;
}

/** Age of the objects of a kind in milliseconds; undefined if they are not known to be complete. */
export function getAge(watcher: SharedKind['watcher'], nowMs: number): number | undefined {
  const ageMs = watcher.getAgeMs(nowMs);
  return Number.isFinite(ageMs) ? ageMs : undefined;
}

/** Whether news says that the objects of its sender are recent. */
export function isRecentNews(ages: readonly (number | undefined)[]): boolean {
  const known = ages.filter((ageMs) => ageMs !== undefined);
  return known.length > 0 && known.every((ageMs) => ageMs <= MAX_RECENT_AGE_MS);
}

/** Makes the news of a kind for an instance, and records what that has been told. */
export function listKindNews(
  { kind, watcher }: SharedKind,
  { positions }: Follower,
  nowMs: number,
  onlyChanges: boolean,
): KindNews[] {
  const from = positions.get(kind);
  const to = watcher.getPosition();
  if (from === undefined || to === undefined) return [];
  const steps = watcher.listChangesSince(from);
  const hasChanges = steps?.some((step) => step.changes.length > 0) ?? true;
  if (onlyChanges && !hasChanges && from.era === to.era) return [];
  positions.set(kind, selectLater(from, to));
  if (steps === undefined) return [{ kind, from, to, ageMs: undefined, changes: undefined }];
  return steps.map((step, index) => ({
    ...{ kind, from: step.from, to: step.to ?? to },
    ageMs: index === steps.length - 1 ? getAge(watcher, nowMs) : undefined,
    changes: step.changes,
  }));
}

/** Makes a check whether a kind has not advanced. */
export function makePositionCheck({ watcher }: SharedKind): () => boolean {
  const position = watcher.getPosition();
  return () => watcher.getPosition() === position;
}
