import { HttpError } from '../http/host';

/** A stored value with the version that its ETag names. */
export interface StoredObject {
  version: number;
  contentType: string;
  body: Buffer;
}

/** What a conditional request demands of the object's version. */
export type WriteCondition = { kind: 'version'; version: number } | { kind: 'absent' };

interface Slot {
  /** Kept after a deletion, so that a version of a key never occurs twice. */
  lastVersion: number;
  current: StoredObject | undefined;
}

/** Objects in memory. The version of a key starts at 1 and rises with each write and deletion. */
export class ObjectStore {
  private readonly slots = new Map<string, Slot>();

  getObject(key: string): StoredObject | undefined {
    return this.slots.get(key)?.current;
  }

  /** Version of the last write or deletion, 0 for a key that was never written. */
  getLastVersion(key: string): number {
    return this.slots.get(key)?.lastVersion ?? 0;
  }

  /** Writes and returns the new version; throws `HttpError` 412 when the condition does not hold. */
  putObject(key: string, condition: WriteCondition, contentType: string, body: Buffer): number {
    this.checkCondition(key, condition);
    const version = this.getLastVersion(key) + 1;
    this.slots.set(key, { lastVersion: version, current: { version, contentType, body } });
    return version;
  }

  /** Throws `HttpError` 404 for an absent key and 412 for another version. */
  removeObject(key: string, condition: WriteCondition): void {
    if (!this.getObject(key)) throw new HttpError(404, 'not_found', `no object ${key}`);
    this.checkCondition(key, condition);
    this.slots.set(key, { lastVersion: this.getLastVersion(key) + 1, current: undefined });
  }

  listObjects(prefix: string): { key: string; version: number }[] {
    const objects: { key: string; version: number }[] = [];
    for (const [key, slot] of this.slots) {
      if (slot.current && key.startsWith(prefix)) {
        objects.push({ key, version: slot.current.version });
      }
    }
    return objects.sort((a, b) => (a.key < b.key ? -1 : 1));
  }

  private checkCondition(key: string, condition: WriteCondition): void {
    const version = this.getObject(key)?.version;
    const holds =
      condition.kind === 'absent' ? version === undefined : version === condition.version;
    if (holds) return;
    const headers: Record<string, string> = version ? { ETag: `"${version.toString()}"` } : {};
    throw new HttpError(
      412,
      'precondition_failed',
      `the object ${key} has another version`,
      headers,
    );
  }
}
