import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { ObjectChange, ObjectListing, StoredObject } from './object-store';

/**
 * A change as it is handed on to another instance. `position` is the revision of the store at which it is in the sequence of
 * changes: that of the change, or of the listing that has shown it. The spec of an object is JSON text; one that is large is
 * compressed against the text of the revision before it, which the receiver must have.
 */
export type SharedChange = { name: string; position: number } & (
  | { kind: 'put'; revision: number; text: string }
  | { kind: 'patched'; revision: number; baseRevision: number; patch: Uint8Array }
  | { kind: 'deleted' }
);

/** Changes in the order of their revisions; `gap`: some of them are not kept any more. */
export type ChangesSince = { kind: 'changes'; changes: readonly SharedChange[] } | { kind: 'gap' };

/** Largest number of changes that are kept, and the largest size of what is kept of them in bytes. */
const MAX_CHANGES = 512;
const MAX_BYTES = 262_144;
/** Size of a change without its text, for the limit above, in bytes. */
const CHANGE_OVERHEAD_BYTES = 64;
/** Length from which a text is compressed. */
const MIN_PATCHED_LENGTH = 512;
/** Part of the earlier text that the compression can refer to, in bytes. */
const DICTIONARY_BYTES = 32_768;
/** Largest text that a patch may expand to, in bytes; an object of the store has at most 1 MiB. */
const MAX_TEXT_BYTES = 2 ** 21;

interface KeptChange {
  shared: SharedChange;
  bytes: number;
}

/**
 * The objects of one kind and their last changes, so that an instance can hand on to others what it has read. Each change has a
 * revision of its own, so changes that several instances have read form the same sequence.
 */
export class ChangeLog {
  private readonly objects = new Map<string, StoredObject>();
  private changes: KeptChange[] = [];
  private keptBytes = 0;
  /** Revision after which all changes are kept. */
  private startRevision = Infinity;

  /** Takes in a complete listing and returns how it differs from the objects before. */
  recordListing({ objects, revision }: ObjectListing): readonly ObjectChange[] {
    const isFirst = this.startRevision === Infinity;
    const listed = new Set(objects.map(({ name }) => name));
    const removed: ObjectChange[] = [...this.objects.keys()]
      .filter((name) => !listed.has(name))
      .map((name) => ({ kind: 'deleted', name, revision }));
    const put: ObjectChange[] = objects
      .filter((object) => object.revision > (this.objects.get(object.name)?.revision ?? -1))
      .sort((one, other) => one.revision - other.revision)
      .map((object) => ({ kind: 'put', object }));
    const changes = [...put, ...removed];
    if (isFirst) {
      for (const object of objects) this.objects.set(object.name, object);
      this.startRevision = revision;
    } else {
      // A watch may have passed over them, so that their own revisions are no longer after what others know.
      for (const change of changes) this.record(change, this.#toShared(change, revision));
    }
    return changes;
  }

  /**
   * Takes in a change that is newer than all before it, or that a listing has shown.
   *
   * @param shared the change as another instance has handed it on, if it has
   */
  record(change: ObjectChange, shared = this.#toShared(change, getRevision(change))): void {
    if (change.kind === 'put') this.objects.set(change.object.name, change.object);
    else this.objects.delete(change.name);
    const kept = { shared, bytes: measureChange(shared) };
    this.changes.push(kept);
    this.keptBytes += kept.bytes;
    while (this.changes.length > MAX_CHANGES || this.keptBytes > MAX_BYTES) {
      const oldest = this.changes.shift();
      if (oldest === undefined) break;
      this.keptBytes -= oldest.bytes;
      this.startRevision = Math.max(this.startRevision, oldest.shared.position);
    }
  }

  /** Lists the changes after a revision. */
  listSince(revision: number): ChangesSince {
    if (revision < this.startRevision) return { kind: 'gap' };
    const lastKnown = this.changes.findLastIndex(({ shared }) => shared.position <= revision);
    const changes = this.changes.slice(lastKnown + 1).map(({ shared }) => shared);
    return { kind: 'changes', changes };
  }

  /** Restores a change that another instance has handed on; undefined when this instance lacks what it refers to. */
  decode(change: SharedChange): ObjectChange | undefined {
    const { name, position } = change;
    switch (change.kind) {
      case 'deleted':
        return { kind: 'deleted', name, revision: position };
      case 'put':
        return toPut(name, change.revision, change.text);
      case 'patched': {
        const base = this.objects.get(name);
        if (base?.revision !== change.baseRevision) return undefined;
        return toPut(name, change.revision, decodePatch(change.patch, base));
      }
    }
  }

  #toShared(change: ObjectChange, position: number): SharedChange {
    if (change.kind === 'deleted') return { kind: 'deleted', name: change.name, position };
    const { name, revision, spec } = change.object;
    const text = JSON.stringify(spec ?? null);
    const base = this.objects.get(name);
    if (base === undefined || text.length < MIN_PATCHED_LENGTH) {
      return { kind: 'put', name, position, revision, text };
    }
    const patch = deflateRawSync(text, { dictionary: makeDictionary(base) });
    return { kind: 'patched', name, position, revision, baseRevision: base.revision, patch };
  }
}

/** Computes about how many bytes a change takes in a message or in memory. */
export function measureChange(change: SharedChange): number {
  switch (change.kind) {
    case 'deleted':
      return CHANGE_OVERHEAD_BYTES;
    case 'put':
      return CHANGE_OVERHEAD_BYTES + Buffer.byteLength(change.text);
    case 'patched':
      return CHANGE_OVERHEAD_BYTES + change.patch.length;
  }
}

function getRevision(change: ObjectChange): number {
  return change.kind === 'put' ? change.object.revision : change.revision;
}

function toPut(name: string, revision: number, text: string | undefined): ObjectChange | undefined {
  if (text === undefined) return undefined;
  try {
    return { kind: 'put', object: { name, revision, spec: JSON.parse(text) as unknown } };
  } catch {
    return undefined;
  }
}

function decodePatch(patch: Uint8Array, base: StoredObject): string | undefined {
  try {
    const options = { dictionary: makeDictionary(base), maxOutputLength: MAX_TEXT_BYTES };
    return inflateRawSync(patch, options).toString();
  } catch {
    return undefined;
  }
}

function makeDictionary({ spec }: StoredObject): Buffer {
  return Buffer.from(JSON.stringify(spec ?? null)).subarray(-DICTIONARY_BYTES);
}
