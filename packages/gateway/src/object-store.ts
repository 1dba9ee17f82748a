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
}

/** Result of a watch. `history-lost`: changes may have been missed, so the kind must be listed again. */
export type WatchResult =
  | { kind: 'changes'; changes: readonly ObjectChange[]; revision: number }
  | { kind: 'history-lost' };

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
  /** Creates or replaces an object. */
  putObject(kind: string, name: string, spec: unknown): Promise<void>;
  /** Removes an object. Resolves as well when it does not exist. */
  removeObject(kind: string, name: string): Promise<void>;
}
