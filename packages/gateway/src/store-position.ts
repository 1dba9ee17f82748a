import type { StoreEra } from './object-store';

/** A moment in the history of the store. Revisions can only be compared within an era. */
export interface StorePosition {
  era: StoreEra;
  revision: number;
}

/** Order of two positions: negative if `one` comes first, 0 if they are the same. */
export function compareStorePositions(one: StorePosition, other: StorePosition): number {
  if (one.era !== other.era) return one.era - other.era;
  return Math.sign(one.revision - other.revision);
}

export function isAfter(one: StorePosition, other: StorePosition): boolean {
  return compareStorePositions(one, other) > 0;
}

export function selectLater(one: StorePosition, other: StorePosition): StorePosition {
  return isAfter(other, one) ? other : one;
}
