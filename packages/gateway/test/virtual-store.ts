import type {
  ConditionalWrite,
  ListingConsistency,
  ObjectChange,
  ObjectListing,
  ObjectReading,
  ObjectStore,
} from '../src/object-store';
import type { StoredObject, WatchResult } from '../src/object-store';

/** How the store treats the calls of an instance: it answers, turns them away, or loses them and their answers. */
export type StoreContact = 'answers' | 'fails' | 'silent';

/** One way of a call, in milliseconds. */
const LATENCY_MS = 2;
/** Timeout of a call in addition to the wait of a watch, in milliseconds, as that of the platform's client. */
const CALL_TIMEOUT_MS = 700;
/** Age of a listing that may be out of date, in milliseconds. */
const STALE_MS = 500;

interface RecordedChange {
  kind: string;
  change: ObjectChange;
  revision: number;
  atMs: number;
  isHidden: boolean;
}

/** Contents of the store at a moment. */
export interface StoreBackup {
  revision: number;
  objects: ReadonlyMap<string, ReadonlyMap<string, StoredObject>>;
  changes: readonly RecordedChange[];
}

interface Waiter {
  kind: string;
  afterRevision: number;
  answer(): void;
  endWithoutHistory(): void;
}

/** Object store in virtual time that counts calls. Each instance reaches it through a view with a contact of its own. */
export class VirtualStore {
  /** Time of each call. */
  readonly callTimes: number[] = [];
  era = 0;
  private revision = 1;
  private objects = new Map<string, Map<string, StoredObject>>();
  private changes: RecordedChange[] = [];
  private readonly waiters = new Set<Waiter>();
  /** Whether watches are not told of changes, although their answers bear the store's revision. */
  isDeaf = false;
  /** Revision up to which the history is gone. */
  private forgottenRevision = 0;

  put(kind: string, name: string, spec: unknown): void {
    this.revision += 1;
    const object = { name, revision: this.revision, spec };
    this.#getObjects(kind).set(name, object);
    this.#record(kind, { kind: 'put', object });
  }

  remove(kind: string, name: string): void {
    this.revision += 1;
    this.#getObjects(kind).delete(name);
    this.#record(kind, { kind: 'deleted', name, revision: this.revision });
  }

  /** Discards the history and ends all watches, which must list again. */
  discardHistory(): void {
    this.revision += 1;
    this.forgottenRevision = this.revision;
    for (const waiter of [...this.waiters]) waiter.endWithoutHistory();
  }

  takeBackup(): StoreBackup {
    const { revision, changes } = this;
    return { revision, objects: makeObjectCopies(this.objects), changes: [...changes] };
  }

  /**
   * Returns to a backup in a new era. Later writes are lost and their revisions are assigned again; open watches get no answer.
   */
  resetToBackup({ revision, objects, changes }: StoreBackup): void {
    this.era += 1;
    this.revision = revision;
    this.objects = makeObjectCopies(objects);
    this.changes = [...changes];
    this.waiters.clear();
  }

  countCalls(fromMs: number, toMs: number): number {
    return this.callTimes.filter((atMs) => atMs >= fromMs && atMs < toMs).length;
  }

  createView(getContact: () => StoreContact): ObjectStore {
    const send = <T>(
      waitMs: number,
      signal: AbortSignal | undefined,
      run: (answer: (value: T) => void) => (() => void) | undefined,
    ) => this.#send(getContact, waitMs, signal, run);
    return {
      listObjects: (kind, signal, consistency) =>
        send<ObjectListing>(0, signal, (answer) => {
          answer(this.#list(kind, consistency));
          return undefined;
        }),
      watchObjects: (kind, afterRevision, waitMs, signal) =>
        send<WatchResult>(waitMs, signal, (answer) =>
          this.#watch(kind, afterRevision, waitMs, answer),
        ),
      readObject: (kind, name) =>
        send<ObjectReading>(0, undefined, (answer) => {
          answer({ object: this.#getObjects(kind).get(name), era: this.era });
          return undefined;
        }),
      createObject: (kind, name, spec) =>
        send<ConditionalWrite>(0, undefined, (answer) => {
          answer(this.#writeIf(kind, name, spec, undefined));
          return undefined;
        }),
      replaceObject: (kind, name, spec, revision) =>
        send<ConditionalWrite>(0, undefined, (answer) => {
          answer(this.#writeIf(kind, name, spec, revision));
          return undefined;
        }),
      putObject: (kind, name, spec) =>
        send(0, undefined, (answer: (value: undefined) => void) => {
          this.put(kind, name, spec);
          answer(undefined);
          return undefined;
        }),
      removeObject: (kind, name) =>
        send(0, undefined, (answer: (value: undefined) => void) => {
          this.remove(kind, name);
          answer(undefined);
          return undefined;
        }),
      [Symbol.asyncDispose]: () => Promise.resolve(),
    };
  }

  #send<T>(
    getContact: () => StoreContact,
    waitMs: number,
    signal: AbortSignal | undefined,
    run: (answer: (value: T) => void) => (() => void) | undefined,
  ): Promise<T> {
    this.callTimes.push(performance.now());
    return new Promise<T>((resolve, reject) => {
      let cancel: (() => void) | undefined;
      const finish = (settle: () => void) => {
        clearTimeout(timeout);
        cancel?.();
        settle();
      };
      const timeout = setTimeout(() => {
        finish(() => {
          reject(new Error('timed out'));
        });
      }, waitMs + CALL_TIMEOUT_MS);
      signal?.addEventListener('abort', () => {
        finish(() => {
          reject(new Error('aborted'));
        });
      });
      const answer = (value: T) => {
        setTimeout(() => {
          if (getContact() === 'silent') return;
          finish(() => {
            resolve(value);
          });
        }, LATENCY_MS);
      };
      setTimeout(() => {
        const contact = getContact();
        if (signal?.aborted === true || contact === 'silent') return;
        if (contact === 'fails') {
          finish(() => {
            reject(new Error('the store turns the call away'));
          });
          return;
        }
        cancel = run(answer);
      }, LATENCY_MS);
    });
  }

  /** Writes an object if its revision is the given one; undefined if it must not exist. */
  #writeIf(
    kind: string,
    name: string,
    spec: unknown,
    revision: number | undefined,
  ): ConditionalWrite {
    const current = this.#getObjects(kind).get(name);
    const { era } = this;
    if (current?.revision !== revision) return { kind: 'conflict', current, era };
    this.put(kind, name, spec);
    return { kind: 'written', revision: this.revision, era };
  }

  #list(kind: string, consistency: ListingConsistency = 'latest'): ObjectListing {
    const objects = this.#getObjects(kind);
    if (consistency === 'latest')
      return { objects: [...objects.values()], revision: this.revision, era: this.era };
    const untilMs = performance.now() - STALE_MS;
    const known = this.changes.filter(({ atMs }) => atMs <= untilMs);
    const listed = new Map<string, StoredObject>();
    for (const { kind: changedKind, change } of known) {
      if (changedKind !== kind) continue;
      if (change.kind === 'put') listed.set(change.object.name, change.object);
      else listed.delete(change.name);
    }
    const revision = known.at(-1)?.revision ?? 1;
    return { objects: [...listed.values()], revision, era: this.era };
  }

  #watch(
    kind: string,
    afterRevision: number,
    waitMs: number,
    answer: (result: WatchResult) => void,
  ): () => void {
    if (afterRevision < this.forgottenRevision || afterRevision > this.revision) {
      answer({ kind: 'history-lost', era: this.era });
      return () => undefined;
    }
    const finish = (result: WatchResult) => {
      this.waiters.delete(waiter);
      clearTimeout(timer);
      answer(result);
    };
    const answerNow = () => {
      const changes = this.changes
        .filter((entry) => entry.kind === kind && entry.revision > afterRevision && !entry.isHidden)
        .map(({ change }) => change);
      finish({ kind: 'changes', changes, revision: this.revision, era: this.era });
    };
    const waiter: Waiter = {
      ...{ kind, afterRevision, answer: answerNow },
      endWithoutHistory: () => {
        finish({ kind: 'history-lost', era: this.era });
      },
    };
    const timer = setTimeout(answerNow, waitMs);
    this.waiters.add(waiter);
    if (this.#hasChanges(kind, afterRevision)) answerNow();
    return () => {
      this.waiters.delete(waiter);
      clearTimeout(timer);
    };
  }

  #hasChanges(kind: string, afterRevision: number): boolean {
    const last = this.changes.findLast((entry) => entry.kind === kind && !entry.isHidden);
    return last !== undefined && last.revision > afterRevision;
  }

  #record(kind: string, change: ObjectChange): void {
    const isHidden = this.isDeaf;
    this.changes.push({ kind, change, revision: this.revision, atMs: performance.now(), isHidden });
    if (isHidden) return;
    for (const waiter of [...this.waiters]) if (waiter.kind === kind) waiter.answer();
  }

  #getObjects(kind: string): Map<string, StoredObject> {
    const objects = this.objects.get(kind) ?? new Map<string, StoredObject>();
    this.objects.set(kind, objects);
    return objects;
  }
}

function makeObjectCopies(objects: StoreBackup['objects']): Map<string, Map<string, StoredObject>> {
  return new Map([...objects].map(([kind, byName]) => [kind, new Map(byName)]));
}
