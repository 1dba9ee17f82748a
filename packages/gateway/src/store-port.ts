/** An object of the store with the revision of its last change. */
export interface StoredObject {
  name: string;
  revision: number;
  spec: unknown;
}

export type ObjectChange =
  { kind: 'put'; object: StoredObject } | { kind: 'deleted'; name: string; revision: number };

/** All objects of a kind as of a revision of the store. */
export interface ObjectListing {
  objects: readonly StoredObject[];
  revision: number;
}

/** What a watch heard. `history-lost`: changes may have been missed, so the kind must be listed anew. */
export type WatchResult =
  | { kind: 'changes'; changes: readonly ObjectChange[]; revision: number }
  | { kind: 'history-lost' };

/** Object store of the platform. Calls reject with an error when no answer arrived or the store refused. */
export interface ObjectStore extends AsyncDisposable {
  listObjects(kind: string): Promise<ObjectListing>;
  /** Waits at most `waitMs` for a change after a revision. */
  watchObjects(kind: string, afterRevision: number, waitMs: number): Promise<WatchResult>;
  /** Creates the object or replaces the one of that name. */
  putObject(kind: string, name: string, spec: unknown): Promise<void>;
  /** Removes the object; a missing one is no error. */
  removeObject(kind: string, name: string): Promise<void>;
}
