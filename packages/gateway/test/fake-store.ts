import { setTimeout as sleep } from 'node:timers/promises';
import type { ObjectChange, ObjectStore, StoredObject } from '../src';

/** How the fake store answers. */
export type StoreMode = 'up' | 'failing' | 'silent' | 'history-lost';

interface LoggedChange {
  kind: string;
  change: ObjectChange;
  revision: number;
}

/** Object store in memory that can fail, fall silent and forget its history. */
export class FakeStore implements ObjectStore {
  mode: StoreMode = 'up';
  listCalls = 0;
  /** Kinds of the watches that began, in order. */
  readonly watchedKinds: string[] = [];
  private revision = 1;
  private readonly objects = new Map<string, Map<string, StoredObject>>();
  private readonly changes: LoggedChange[] = [];

  async listObjects(kind: string) {
    this.listCalls += 1;
    await this.#waitForAnswer();
    return { objects: [...(this.objects.get(kind)?.values() ?? [])], revision: this.revision };
  }

  async watchObjects(kind: string, afterRevision: number, waitMs: number) {
    const untilMs = performance.now() + waitMs;
    this.watchedKinds.push(kind);
    for (;;) {
      await this.#waitForAnswer();
      if (this.mode === 'history-lost') {
        this.mode = 'up';
        return { kind: 'history-lost' as const };
      }
      const changes = this.changes.filter(
        (entry) => entry.kind === kind && entry.revision > afterRevision,
      );
      if (changes.length > 0 || performance.now() >= untilMs) {
        return {
          kind: 'changes' as const,
          changes: changes.map((entry) => entry.change),
          revision: this.revision,
        };
      }
      await sleep(POLL_MS);
    }
  }

  async putObject(kind: string, name: string, spec: unknown): Promise<void> {
    await this.#waitForAnswer();
    this.put(kind, name, spec);
  }

  async removeObject(kind: string, name: string): Promise<void> {
    await this.#waitForAnswer();
    this.remove(kind, name);
  }

  listNames(kind: string): string[] {
    return [...(this.objects.get(kind)?.keys() ?? [])];
  }

  /** Changes an object as another writer does. */
  put(kind: string, name: string, spec: unknown): void {
    this.revision += 1;
    const object = { name, revision: this.revision, spec };
    const known = this.objects.get(kind) ?? new Map<string, StoredObject>();
    this.objects.set(kind, known);
    known.set(name, object);
    this.changes.push({ kind, change: { kind: 'put', object }, revision: this.revision });
  }

  remove(kind: string, name: string): void {
    this.revision += 1;
    this.objects.get(kind)?.delete(name);
    const change: ObjectChange = { kind: 'deleted', name, revision: this.revision };
    this.changes.push({ kind, change, revision: this.revision });
  }

  /** Removes an object without a change that a watch could hear, as when history is dropped. */
  removeUnheard(kind: string, name: string): void {
    this.objects.get(kind)?.delete(name);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.resolve();
  }

  async #waitForAnswer(): Promise<void> {
    while (this.mode === 'silent') await sleep(POLL_MS);
    if (this.mode === 'failing') throw new Error('the store is down');
  }
}

const POLL_MS = 5;
