import { createHash } from 'node:crypto';
import { QUARANTINE_RETENTION_MS } from '@pollendrum/policy';
import type { RequestTrait } from '@pollendrum/policy';
import { isValidQuarantineRecord } from '@pollendrum/protocol';
import type { QuarantineRecord } from '@pollendrum/protocol';
import type { Clock, GatewayLog } from './log-and-clock';
import type { ObjectStore, StoredObject } from './object-store';
import type { RequestQuarantine } from './request-quarantine';

export interface QuarantineArchiveOptions {
  store: Pick<ObjectStore, 'listObjects' | 'putObject' | 'removeObject'>;
  quarantine: Pick<
    RequestQuarantine,
    'mergeFact' | 'listHeldBack' | 'listHeldBackCrashes' | 'computeInstanceRank'
  >;
  clock: Clock;
  log: GatewayLog;
}

/** Object kind under which traits that are held back are kept. */
const TRAIT_KIND = 'quarantine';
/** Instances that write a trait, so that one of them may be lost. */
const WRITER_COUNT = 2;
/** Time for which changes are collected before they are written, in milliseconds. */
const WRITE_DELAY_MS = 200;
/** Time after which a call that failed is made again, in milliseconds. */
const RETRY_DELAY_MS = 1_000;
/**
 * Longest time after which records that the store may have lost are written again, in milliseconds. The instances that write
 * them choose different moments.
 */
const MAX_REWRITE_DELAY_MS = 3_000;
/** Crashes that a record holds; of more the last ones are kept. */
const MAX_CRASHES = 64;
const NAME_HEX_DIGITS = 16;

/**
 * Keeps the traits that are held back in the store and reads them at the start, so that they are still known when all
 * instances restart at the same time. While instances run, they learn of each other's crashes without the store.
 */
export class QuarantineArchive implements AsyncDisposable {
  private readonly pending = new Set<RequestTrait>();
  private timer: NodeJS.Timeout | undefined;
  private isLoaded = false;
  private isLoading = false;
  private isDisposed = false;
  private isStoreLost = false;

  constructor(private readonly options: QuarantineArchiveOptions) {}

  /** Reads the kept traits; tries again until the store answers. */
  start(): void {
    this.#schedule(0);
  }

  /** Writes the present state of a trait, unless that is left to other instances. */
  put(trait: RequestTrait): void {
    if (this.isLoading) return;
    if (this.options.quarantine.computeInstanceRank(trait) >= WRITER_COUNT) return;
    this.pending.add(trait);
    this.#schedule(WRITE_DELAY_MS);
  }

  /** Writes all records again that are left to this instance, since the store has returned from a backup that may lack them. */
  handleNewEra(): void {
    const { quarantine } = this.options;
    const traits = quarantine
      .listHeldBack()
      .filter((trait) => quarantine.computeInstanceRank(trait) < WRITER_COUNT);
    if (traits.length === 0) return;
    for (const trait of traits) this.pending.add(trait);
    this.#schedule(Math.random() * MAX_REWRITE_DELAY_MS);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.isDisposed = true;
    clearTimeout(this.timer);
    await Promise.resolve();
  }

  #schedule(delayMs: number): void {
    if (this.isDisposed) return;
    this.timer ??= setTimeout(() => {
      void this.#updateStore().then((isDone) => {
        this.timer = undefined;
        if (!isDone) this.#schedule(RETRY_DELAY_MS);
        else if (this.pending.size > 0) this.#schedule(WRITE_DELAY_MS);
      });
    }, delayMs);
  }

  /** Returns whether all calls to the store have succeeded. */
  async #updateStore(): Promise<boolean> {
    const { log } = this.options;
    try {
      if (!this.isLoaded) await this.#load();
      for (const trait of [...this.pending]) {
        this.pending.delete(trait);
        await this.#write(trait).catch((error: unknown) => {
          this.pending.add(trait);
          throw error;
        });
      }
      this.isStoreLost = false;
      return true;
    } catch (error) {
      if (!this.isStoreLost) {
        log.warn('failed to keep requests that are held back in the store; retrying', {
          error: String(error),
        });
      }
      this.isStoreLost = true;
      return false;
    }
  }

  async #load(): Promise<void> {
    const { objects } = await this.options.store.listObjects(TRAIT_KIND);
    this.isLoaded = true;
    this.isLoading = true;
    for (const object of objects) this.#mergeRecord(object);
    this.isLoading = false;
  }

  #mergeRecord({ name, spec }: StoredObject): void {
    const { quarantine, log } = this.options;
    if (!isValidQuarantineRecord(spec)) {
      log.warn('invalid record of requests that are held back is ignored', {
        name,
        errors: isValidQuarantineRecord.errors,
      });
      return;
    }
    const trait = spec.trait as RequestTrait;
    const ages = spec.crashes.map(({ atUnixMs }) => Math.max(0, Date.now() - atUnixMs));
    if (Math.min(...ages) >= QUARANTINE_RETENTION_MS) {
      this.pending.add(trait);
      return;
    }
    spec.crashes.forEach(({ crashId }, index) => {
      quarantine.mergeFact({ kind: 'crash', trait, crashId, ageMs: ages[index] ?? 0 });
    });
  }

  async #write(trait: RequestTrait): Promise<void> {
    const { store, quarantine, clock } = this.options;
    const crashes = quarantine.listHeldBackCrashes(trait);
    const name = computeRecordName(trait);
    if (crashes.length === 0) {
      await store.removeObject(TRAIT_KIND, name);
      return;
    }
    const unixOffsetMs = Date.now() - clock();
    const record: QuarantineRecord = {
      trait,
      crashes: crashes.slice(-MAX_CRASHES).map(({ crashId, atMs }) => ({
        crashId,
        atUnixMs: Math.round(atMs + unixOffsetMs),
      })),
    };
    await store.putObject(TRAIT_KIND, name, record);
  }
}

/** Names in the store have few characters, the ids of parts any. */
function computeRecordName(trait: RequestTrait): string {
  return createHash('sha1').update(trait).digest('hex').slice(0, NAME_HEX_DIGITS);
}
