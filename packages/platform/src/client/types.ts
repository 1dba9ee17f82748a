import type { InstanceList, ObjectList } from '@pollendrum/protocol';

/** An object with the version that a conditional write has to name. */
export interface PlatformObject {
  version: number;
  text: string;
}

/** What must hold for a write to take effect. */
export type WriteCondition = { kind: 'absent' } | { kind: 'version'; version: number };

/**
 * Result of a conditional write. `unknown`: no confirmation arrived; the write may have taken
 * effect, and may still do so until the object has a higher version.
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

/** How long a watch waits for a change and what ends it early. */
export interface WatchOptions {
  /** Only a higher version ends the wait. */
  afterVersion: number;
  /**
   * Longest wait in milliseconds.
   * @default 25_000, which is also the maximum
   */
  holdMs?: number;
  signal?: AbortSignal;
}

/**
 * Client of the platform's object service and instance list.
 * Reads throw PlatformUnavailableError or PlatformProtocolError; an aborted watch throws
 * WatchAbortedError. Writes throw only when they certainly took no effect.
 */
export interface PlatformClient extends AsyncDisposable {
  /** Undefined when there is no such object. */
  getObject(key: string): Promise<PlatformObject | undefined>;
  putObject(key: string, text: string, condition: WriteCondition): Promise<PutResult>;
  deleteObject(key: string, version: number): Promise<DeleteResult>;
  listObjects(prefix: string): Promise<ObjectList['objects']>;
  /** Undefined when nothing changed within the hold or there is no such object. */
  watchObject(key: string, options: WatchOptions): Promise<PlatformObject | undefined>;
  getInstances(): Promise<InstanceList>;
  /** Undefined when nothing changed within the hold. */
  watchInstances(options: WatchOptions): Promise<InstanceList | undefined>;
}
