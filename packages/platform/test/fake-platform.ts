import { setTimeout as waitFor } from 'node:timers/promises';
import type { InstanceList } from '@pollendrum/protocol';
import { PlatformUnavailableError, WatchAbortedError } from '../src/index';
import type { PlatformClient, PlatformObject, PutResult, WriteCondition } from '../src/index';

/**
 * Fault of one write. All but `none` return `unknown`. `lost`: never takes effect. `unconfirmed`:
 * takes effect. `late`: takes effect when applyLateWrites is called, if its condition still holds.
 */
export type PutFault = 'none' | 'lost' | 'unconfirmed' | 'late';

/** In-memory fake of the platform client with fault injection. */
export class FakePlatform implements Omit<PlatformClient, 'deleteObject'> {
  readonly objects = new Map<string, PlatformObject>();
  instances: InstanceList = { version: 1, instances: [] };
  isDown = false;
  isWatchSilent = false;
  readCount = 0;
  /** Faults of the next writes, in order. */
  putFaults: PutFault[] = [];
  /** Called before each write is processed. */
  beforePut: ((key: string) => void) | undefined;
  readonly #lateWrites: (() => void)[] = [];
  readonly #waiters = new Set<() => void>();

  getObject(key: string): Promise<PlatformObject | undefined> {
    this.#assertUp(`get ${key}`);
    return Promise.resolve(this.objects.get(key));
  }

  putObject(key: string, text: string, condition: WriteCondition): Promise<PutResult> {
    this.beforePut?.(key);
    const unknown: PutResult = { kind: 'unknown', operation: `put ${key}`, elapsedMs: 0 };
    const fault = this.putFaults.shift() ?? 'none';
    if (this.isDown || fault === 'lost') return Promise.resolve(unknown);
    if (fault === 'late') {
      this.#lateWrites.push(() => this.applyPut(key, text, condition));
      return Promise.resolve(unknown);
    }
    const result = this.applyPut(key, text, condition);
    return Promise.resolve(fault === 'unconfirmed' ? unknown : result);
  }

  applyPut(key: string, text: string, condition: WriteCondition): PutResult {
    const version = this.objects.get(key)?.version;
    const expected = condition.kind === 'absent' ? undefined : condition.version;
    if (version !== expected) return { kind: 'conflict' };
    this.objects.set(key, { version: (version ?? 0) + 1, text });
    this.notifyWatches();
    return { kind: 'stored', version: (version ?? 0) + 1 };
  }

  applyLateWrites(): void {
    for (const applyWrite of this.#lateWrites.splice(0)) applyWrite();
  }

  listObjects(prefix: string) {
    this.#assertUp(`list ${prefix}`);
    const entries = [...this.objects].filter(([key]) => key.startsWith(prefix));
    return Promise.resolve(entries.map(([key, { version }]) => ({ key, version })));
  }

  async watchObject(key: string, watch: { afterVersion: number; signal?: AbortSignal }) {
    await this.#waitForChange(
      () => (this.objects.get(key)?.version ?? 0) > watch.afterVersion,
      watch.signal,
    );
    return this.objects.get(key);
  }

  getInstances(): Promise<InstanceList> {
    this.#assertUp('get instances');
    return Promise.resolve(this.instances);
  }

  async watchInstances(watch: { afterVersion: number; signal?: AbortSignal }) {
    await this.#waitForChange(() => this.instances.version > watch.afterVersion, watch.signal);
    return this.instances;
  }

  notifyWatches(): void {
    for (const wakeUp of [...this.#waiters]) wakeUp();
  }

  [Symbol.asyncDispose](): Promise<void> {
    return Promise.resolve();
  }

  #assertUp(operation: string): void {
    this.readCount += 1;
    if (this.isDown)
      throw new PlatformUnavailableError(operation, 0, 'outage simulated by the test');
  }

  async #waitForChange(hasChanged: () => boolean, signal: AbortSignal | undefined): Promise<void> {
    this.#assertUp('watch');
    while (this.isWatchSilent || !hasChanged()) {
      await new Promise<void>((resolve, reject) => {
        const endWatch = () => {
          reject(new WatchAbortedError('watch'));
        };
        signal?.addEventListener('abort', endWatch, { once: true });
        if (!this.isWatchSilent) this.#waiters.add(resolve);
      });
    }
  }
}

/** Waits until the condition is true; throws after 5 s. */
export async function waitUntil(isTrue: () => boolean): Promise<void> {
  const deadline = performance.now() + 5_000;
  while (!isTrue()) {
    if (performance.now() > deadline) throw new Error('the condition did not become true in 5 s');
    await waitFor(2);
  }
}
