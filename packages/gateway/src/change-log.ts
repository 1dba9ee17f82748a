import { deflateRawSync, inflateRawSync } from 'node:zlib';
import type { ObjectChange, ObjectListing, StoredObject, StoreEra } from './object-store';
import { isAfter } from './store-position';
import type { StorePosition } from './store-position';

/**
 * A change as it is handed on to another instance. `position` is the moment of the store at which it is in the sequence of
 * changes: that of the change, or of the listing that has shown it. The spec of an object is JSON text; one that is large is
 * compressed against the text of the revision before it, which the receiver must have.
 */
export type SharedChange = { name: string; position: StorePosition } & (
  | { kind: 'put'; revision: number; text: string }
  | { kind: 'patched'; revision: number; baseRevision: number; patch: Uint8Array }
  | { kind: 'deleted' }
);

/**
 * Changes between two moments of the store, complete for who knows those before `from`. If the moments are of different eras,
 * `to` is that of the listing with which the new era was entered, and all changes have its position.
 */
export interface ChangeStep {
  from: StorePosition;
  /** Undefined for the last moment that is known. */
  to: StorePosition | undefined;
  changes: readonly SharedChange[];
}

/** Changes in the order of their positions; `gap`: some of them are not kept any more. */
export type ChangesSince = { kind: 'changes'; steps: readonly ChangeStep[] } | { kind: 'gap' };

/** Change of the era: the last moment that was known of the one before, and that of the listing in the new one. */
interface Crossing {
  end: StorePosition;
  start: StorePosition;
}

/** Largest number of changes that are kept, and the largest size of what is kept of them in bytes. */
const MAX_CHANGES = 512;
const MAX_BYTES = 262_144;
/** Size of a change without its text, for the limit above, in bytes. */
const CHANGE_OVERHEAD_BYTES = 64;
/** Length from which a text is compressed. */
const MIN_PATCHED_LENGTH = 512;
/** Changes of the era that are kept. */
const MAX_CROSSINGS = 8;
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
 * revision of its own, so changes that several instances have read in an era form the same sequence. Where the era changes, the
 * sequence goes on with the differences between what was known and the listing in the new era.
 */
export class ChangeLog {
  private readonly objects = new Map<string, StoredObject>();
  private changes: KeptChange[] = [];
  private crossings: Crossing[] = [];
  private keptBytes = 0;
  /** Moment after which all changes are kept; undefined before the first listing. */
  private start: StorePosition | undefined;

  /**
   * Takes in a complete listing and returns how it differs from the objects before.
   *
   * @param known moment up to which the changes were known before; undefined for the first listing
   */
  recordListing(listing: ObjectListing, known?: StorePosition): readonly ObjectChange[] {
    const { objects, revision, era } = listing;
    const changes = this.#compare(listing, known !== undefined && era !== known.era);
    const position = { era, revision };
    if (known === undefined || this.start === undefined) {
      for (const object of objects) this.objects.set(object.name, object);
      this.start = position;
      return changes;
    }
    this.recordCrossing(known, position);
    // A watch may have passed over them, so that their own revisions are no longer after what others know.
    for (const change of changes) this.record(change, this.#toShared(change, position, 0));
    return changes;
  }

  /** Takes in that the sequence goes on in another era; does nothing if the two moments are of the same one. */
  recordCrossing(end: StorePosition, start: StorePosition): void {
    if (end.era === start.era) return;
    this.crossings.push({ end, start });
    const oldest = this.crossings.length > MAX_CROSSINGS ? this.crossings.shift() : undefined;
    if (oldest !== undefined) this.#discardBefore(oldest.start);
  }

  /**
   * Takes in a change that is newer than all before it, or that a listing has shown.
   *
   * @param shared the change as another instance has handed it on, or the era in which it was read from the store
   */
  record(change: ObjectChange, shared: SharedChange | StoreEra): void {
    const kept =
      typeof shared === 'number'
        ? this.#toShared(change, { era: shared, revision: getRevision(change) }, MIN_PATCHED_LENGTH)
        : shared;
    if (change.kind === 'put') this.objects.set(change.object.name, change.object);
    else this.objects.delete(change.name);
    const bytes = measureChange(kept);
    this.changes.push({ shared: kept, bytes });
    this.keptBytes += bytes;
    while (this.changes.length > MAX_CHANGES || this.keptBytes > MAX_BYTES) {
      const oldest = this.changes.shift();
      if (oldest === undefined) break;
      this.keptBytes -= oldest.bytes;
      this.#discardBefore(oldest.shared.position);
    }
  }

  /** Whether a change after a moment of an era is known. */
  hasChangesAfter(position: StorePosition): boolean {
    const last = this.changes.at(-1);
    return last !== undefined && isAfter(last.shared.position, position);
  }

  /** Lists the changes after a moment, one step for each era. */
  listSince(position: StorePosition): ChangesSince {
    if (this.start === undefined || isAfter(this.start, position)) return { kind: 'gap' };
    const crossings = this.crossings.filter(({ start }) => isAfter(start, position));
    const steps: ChangeStep[] = [];
    let from = position;
    for (const { end, start } of crossings) {
      if (isAfter(end, from)) {
        steps.push({ from, to: end, changes: this.#selectBetween(from, end) });
      }
      steps.push({ from: end, to: start, changes: this.#selectBetween(end, start) });
      from = start;
    }
    steps.push({ from, to: undefined, changes: this.#selectBetween(from) });
    return { kind: 'changes', steps };
  }

  /** Restores a change that another instance has handed on; undefined when this instance lacks what it refers to. */
  decode(change: SharedChange): ObjectChange | undefined {
    const { name, position } = change;
    switch (change.kind) {
      case 'deleted':
        return { kind: 'deleted', name, revision: position.revision };
      case 'put':
        return toPut(name, change.revision, change.text);
      case 'patched': {
        const base = this.objects.get(name);
        if (base?.revision !== change.baseRevision) return undefined;
        return toPut(name, change.revision, decodePatch(change.patch, base));
      }
    }
  }

  /** Lists how the objects differ from a listing, in the order of their revisions. */
  #compare({ objects, revision }: ObjectListing, isNewEra: boolean): ObjectChange[] {
    const listed = new Set(objects.map(({ name }) => name));
    const removed: ObjectChange[] = [...this.objects.keys()]
      .filter((name) => !listed.has(name))
      .map((name) => ({ kind: 'deleted', name, revision }));
    const put: ObjectChange[] = objects
      .filter((object) => isChanged(object, this.objects.get(object.name), isNewEra))
      .sort((one, other) => one.revision - other.revision)
      .map((object) => ({ kind: 'put', object }));
    return [...put, ...removed];
  }

  #selectBetween(from: StorePosition, to?: StorePosition): SharedChange[] {
    return this.changes
      .map(({ shared }) => shared)
      .filter(({ position }) => isAfter(position, from) && !(to && isAfter(position, to)));
  }

  #discardBefore(position: StorePosition): void {
    if (this.start === undefined || isAfter(position, this.start)) this.start = position;
    // Steps from before the start are not asked for.
    this.crossings = this.crossings.filter(({ start }) => isAfter(start, position));
  }

  /** @param minPatchedLength length of a text from which it is handed on as a patch */
  #toShared(change: ObjectChange, position: StorePosition, minPatchedLength: number): SharedChange {
    if (change.kind === 'deleted') return { kind: 'deleted', name: change.name, position };
    const { name, revision, spec } = change.object;
    const text = JSON.stringify(spec ?? null);
    const base = this.objects.get(name);
    if (base === undefined || text.length < minPatchedLength) {
      return { kind: 'put', name, position, revision, text };
    }
    const patch = deflateRawSync(text, { dictionary: makeDictionary(base) });
    return { kind: 'patched', name, position, revision, baseRevision: base.revision, patch };
  }
}

/** Whether a listed object is another one than that which is known. Revisions of another era say nothing about the contents. */
function isChanged(
  listed: StoredObject,
  known: StoredObject | undefined,
  isNewEra: boolean,
): boolean {
  if (known === undefined) return true;
  if (!isNewEra) return listed.revision > known.revision;
  return listed.revision !== known.revision || toText(listed) !== toText(known);
}

function toText({ spec }: StoredObject): string {
  return JSON.stringify(spec ?? null);
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
