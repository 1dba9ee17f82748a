import { setTimeout as sleep } from 'node:timers/promises';
import type { ObjectStore } from '../src';
import type { FakeStore } from './fake-store';

/** How the store treats the calls of one instance: it answers, turns them away, or loses them or their answers. */
export type Contact = 'answers' | 'fails' | 'silent';

/** Timeout of a call in addition to the wait of a watch, in milliseconds, as that of the platform's client. */
const CALL_TIMEOUT_MS = 700;

/** The store as one instance reaches it. A call that was lost stays without an answer after the contact is back. */
export class PartialStore implements ObjectStore {
  private contact: Contact = 'answers';
  private kinds: readonly string[] | undefined;

  constructor(private readonly store: FakeStore) {}

  /**
   * Sets how calls are treated from now on.
   *
   * @param kinds kinds of objects to which it applies; all by default
   */
  setContact(contact: Contact, kinds?: readonly string[]): void {
    this.contact = contact;
    this.kinds = kinds;
  }

  listObjects(kind: string, signal?: AbortSignal) {
    return this.#send(kind, 0, signal, () => this.store.listObjects(kind));
  }

  watchObjects(kind: string, afterRevision: number, waitMs: number, signal?: AbortSignal) {
    return this.#send(kind, waitMs, signal, () =>
      this.store.watchObjects(kind, afterRevision, waitMs),
    );
  }

  readObject(kind: string, name: string) {
    return this.#send(kind, 0, undefined, () => this.store.readObject(kind, name));
  }

  createObject(kind: string, name: string, spec: unknown) {
    return this.#send(kind, 0, undefined, () => this.store.createObject(kind, name, spec));
  }

  replaceObject(kind: string, name: string, spec: unknown, revision: number) {
    return this.#send(kind, 0, undefined, () =>
      this.store.replaceObject(kind, name, spec, revision),
    );
  }

  putObject(kind: string, name: string, spec: unknown) {
    return this.#send(kind, 0, undefined, () => this.store.putObject(kind, name, spec));
  }

  removeObject(kind: string, name: string) {
    return this.#send(kind, 0, undefined, () => this.store.removeObject(kind, name));
  }

  async [Symbol.asyncDispose](): Promise<void> {
    await Promise.resolve();
  }

  async #send<T>(
    kind: string,
    waitMs: number,
    signal: AbortSignal | undefined,
    call: () => Promise<T>,
  ): Promise<T> {
    if (this.#getContact(kind) === 'fails') throw new Error('the store turns the call away');
    const timeout = sleep(waitMs + CALL_TIMEOUT_MS, undefined, { signal }).then(() => {
      throw new Error('timed out');
    });
    timeout.catch(() => undefined);
    if (this.#getContact(kind) === 'silent') return timeout;
    const answer = call().then((value) => (this.#getContact(kind) === 'silent' ? timeout : value));
    return Promise.race([answer, timeout]);
  }

  #getContact(kind: string): Contact {
    return this.kinds === undefined || this.kinds.includes(kind) ? this.contact : 'answers';
  }
}
