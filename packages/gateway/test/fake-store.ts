import { once, EventEmitter } from 'node:events';
import { setTimeout as sleep } from 'node:timers/promises';
import type { ConditionalWrite, ObjectChange, ObjectStore, StoredObject } from '../src';

/** How the fake store responds to calls. */
export type StoreMode = 'up' | 'failing' | 'silent' | 'history-lost';

interface RecordedChange {
  kind: string;
  change: ObjectChange;
  revision: number;
}

/** In-memory object store that can fail, stop responding and lose its change history. */
export class FakeStore implements ObjectStore {
  mode: StoreMode = 'up';
  era = 0;
  listCalls = 0;
  /** Object kind of each watch call, in order. */
  readonly watchedKinds: string[] = [];
  private revision = 1;
  private readonly objects = new Map<string, Map<string, StoredObject>>();
  private readonly changes: RecordedChange[] = [];
  private readonly changeEvents = new EventEmitter().setMaxListeners(0);

  async listObjects(kind: string) {
    this.listCalls += 1;
    await this.#waitForResponse();
    const { revision, era } = this;
    return { objects: [...(this.objects.get(kind)?.values() ?? [])], revision, era };
  }

  async watchObjects(kind: string, afterRevision: number, waitMs: number, signal?: AbortSignal) {
    const untilMs = performance.now() + waitMs;
    this.watchedKinds.push(kind);
    for (;;) {
      await this.#waitForResponse();
      signal?.throwIfAborted();
      if (this.mode === 'history-lost') {
        this.mode = 'up';
        return { kind: 'history-lost' as const, era: this.era };
      }
      const changes = this.changes.filter(
        (entry) => entry.kind === kind && entry.revision > afterRevision,
      );
      if (changes.length > 0 || performance.now() >= untilMs) {
        return {
          kind: 'changes' as const,
          changes: changes.map((entry) => entry.change),
          revision: this.revision,
          era: this.era,
        };
      }
      await this.#waitForChange(untilMs - performance.now());
    }
  }

  async readObject(kind: string, name: string) {
    await this.#waitForResponse();
    return { object: this.objects.get(kind)?.get(name), era: this.era };
  }

  createObject(kind: string, name: string, spec: unknown): Promise<ConditionalWrite> {
    return this.#writeIf(kind, name, spec, undefined);
  }

  replaceObject(
    kind: string,
    name: string,
    spec: unknown,
    revision: number,
  ): Promise<ConditionalWrite> {
    return this.#writeIf(kind, name, spec, revision);
  }

  async putObject(kind: string, name: string, spec: unknown): Promise<void> {
    await this.#waitForResponse();
    this.put(kind, name, spec);
  }

  async removeObject(kind: string, name: string): Promise<void> {
    await this.#waitForResponse();
    this.remove(kind, name);
  }

  listNames(kind: string): string[] {
    return [...(this.objects.get(kind)?.keys() ?? [])];
  }

  /** Writes an object on behalf of another client, regardless of the mode. */
  put(kind: string, name: string, spec: unknown): void {
    this.revision += 1;
    const object = { name, revision: this.revision, spec };
    const objectsOfKind = this.objects.get(kind) ?? new Map<string, StoredObject>();
    this.objects.set(kind, objectsOfKind);
    objectsOfKind.set(name, object);
    this.#recordChange({ kind, change: { kind: 'put', object }, revision: this.revision });
  }

  remove(kind: string, name: string): void {
    this.revision += 1;
    this.objects.get(kind)?.delete(name);
    const change: ObjectChange = { kind: 'deleted', name, revision: this.revision };
    this.#recordChange({ kind, change, revision: this.revision });
  }

  /** Removes an object without recording a change, as when the change history is lost. */
  removeWithoutChange(kind: string, name: string): void {
    this.objects.get(kind)?.delete(name);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.resolve();
  }

  /** Writes an object if its revision is the given one; undefined if it must not exist. */
  async #writeIf(
    kind: string,
    name: string,
    spec: unknown,
    revision: number | undefined,
  ): Promise<ConditionalWrite> {
    await this.#waitForResponse();
    const current = this.objects.get(kind)?.get(name);
    const { era } = this;
    if (current?.revision !== revision) return { kind: 'conflict', current, era };
    this.put(kind, name, spec);
    return { kind: 'written', revision: this.revision, era };
  }

  #recordChange(change: RecordedChange): void {
    this.changes.push(change);
    this.changeEvents.emit('change');
  }

  /** Waits for the next change, and at most for `MAX_WAIT_MS`, since a test may change the mode meanwhile. */
  async #waitForChange(waitMs: number): Promise<void> {
    const signal = AbortSignal.timeout(Math.ceil(Math.max(0, Math.min(waitMs, MAX_WAIT_MS))));
    await once(this.changeEvents, 'change', { signal }).catch(() => undefined);
  }

  async #waitForResponse(): Promise<void> {
    while (this.mode === 'silent') await sleep(POLL_MS);
    if (this.mode === 'failing') throw new Error('the store is down');
  }
}

const POLL_MS = 5;
const MAX_WAIT_MS = 50;
