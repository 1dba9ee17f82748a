/**
 * Number of the store's present history. It rises by one when the store returns from a backup; revisions of different eras
 * cannot be compared. 0 for a store without eras.
 */
export type StoreEra = number;

/** An object in the store and the revision of its last change. */
export interface StoredObject {
  name: string;
  revision: number;
  spec: unknown;
}

export type ObjectChange =
  { kind: 'put'; object: StoredObject } | { kind: 'deleted'; name: string; revision: number };

/** All objects of a kind at one revision of the store. */
export interface ObjectListing {
  objects: readonly StoredObject[];
  revision: number;
  /** Era of the store in which the revisions are valid. */
  era: StoreEra;
}

/** Result of a watch. `history-lost`: changes may have been missed, so the kind must be listed again. */
export type WatchResult =
  | { kind: 'changes'; changes: readonly ObjectChange[]; revision: number; era: StoreEra }
  | { kind: 'history-lost'; era: StoreEra };

/** An object as the store holds it; `object` is undefined if it does not exist. */
export interface ObjectReading {
  object: StoredObject | undefined;
  era: StoreEra;
}

/**
 * Result of a write under a condition. `conflict`: nothing was written, since the object exists already or has another
 * revision; `current` is undefined if it does not exist or its present state is not known.
 */
export type ConditionalWrite =
  | { kind: 'written'; revision: number; era: StoreEra }
  | { kind: 'conflict'; current: StoredObject | undefined; era: StoreEra };

/** `latest`: the objects as they are; `any`: as they were at some earlier time, which costs the store less. */
export type ListingConsistency = 'latest' | 'any';

/** Object store of the platform. Calls reject when no response arrives or the store returns an error. */
export interface ObjectStore extends AsyncDisposable {
  /**
   * Lists all objects of a kind; rejects when the signal aborts the call.
   *
   * @param consistency `latest` by default
   */
  listObjects(
    kind: string,
    signal?: AbortSignal,
    consistency?: ListingConsistency,
  ): Promise<ObjectListing>;
  /**
   * Resolves with the changes after a revision; waits at most `waitMs` for the first one. Rejects when the signal aborts the
   * call.
   */
  watchObjects(
    kind: string,
    afterRevision: number,
    waitMs: number,
    signal?: AbortSignal,
  ): Promise<WatchResult>;
  /** Reads one object. */
  readObject(kind: string, name: string): Promise<ObjectReading>;
  /** Creates an object, unless it exists. */
  createObject(kind: string, name: string, spec: unknown): Promise<ConditionalWrite>;
  /** Replaces an object, unless its revision is another one. */
  replaceObject(
    kind: string,
    name: string,
    spec: unknown,
    revision: number,
  ): Promise<ConditionalWrite>;
  /** Creates or replaces an object. */
  putObject(kind: string, name: string, spec: unknown): Promise<void>;
  /** Removes an object. Resolves as well when it does not exist. */
  removeObject(kind: string, name: string): Promise<void>;
}
