import type { InstanceList, ObjectList } from '@pollendrum/protocol';

/** A stored object and its version, which is the condition of a later write. */
export interface PlatformObject {
  version: number;
  text: string;
}

/** Precondition of a write: the object does not exist, or has this version. */
export type WriteCondition = { kind: 'absent' } | { kind: 'version'; version: number };

/**
 * Result of a conditional write. `unknown`: the write was not confirmed. It may have taken effect,
 * or may still do so until the object has a higher version.
 */
export type PutResult =
  | { kind: 'stored'; version: number }
  | { kind: 'conflict' }
  | { kind: 'unknown'; operation: string; elapsedMs: number };

/** Result of a conditional delete; `unknown` as in PutResult. */
export type DeleteResult =
  | { kind: 'deleted' }
  | { kind: 'missing' }
  | { kind: 'conflict' }
  | { kind: 'unknown'; operation: string; elapsedMs: number };

/** Options of a watch, which is a long poll for a change. */
export interface WatchOptions {
  /** The watch ends once the version is higher than this. */
  afterVersion: number;
  /**
   * Maximum wait for a change in milliseconds.
   * @default 25_000, which is also the maximum
   */
  holdMs?: number;
  signal?: AbortSignal;
}

/**
 * Client for the platform's object service and instance list.
 * Reads throw PlatformUnavailableError or PlatformProtocolError; an aborted watch throws
 * WatchAbortedError. Writes throw only if they certainly had no effect.
 */
export interface PlatformClient extends AsyncDisposable {
  /** Returns undefined if the object does not exist. */
  getObject(key: string): Promise<PlatformObject | undefined>;
  putObject(key: string, text: string, condition: WriteCondition): Promise<PutResult>;
  deleteObject(key: string, version: number): Promise<DeleteResult>;
  listObjects(prefix: string): Promise<ObjectList['objects']>;
  /** Returns undefined if nothing changed within the hold time or the object does not exist. */
  watchObject(key: string, options: WatchOptions): Promise<PlatformObject | undefined>;
  getInstances(): Promise<InstanceList>;
  /** Returns undefined if nothing changed within the hold time. */
  watchInstances(options: WatchOptions): Promise<InstanceList | undefined>;
}
