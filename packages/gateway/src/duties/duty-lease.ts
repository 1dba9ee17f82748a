import { randomUUID } from 'node:crypto';
import { LeaseTerm } from '@pollendrum/policy';
import type { LeaseMoment, LeaseRecord, LeaseStep, RecordedUsage } from '@pollendrum/policy';
import { isValidDutyLease } from '@pollendrum/protocol';
import type { Clock, GatewayLog } from '../log-and-clock';
import type { ObjectStore, StoredObject } from '../object-store';
import type { DutyHolder, Fence } from './types';

export interface DutyLeaseOptions {
  instanceId: string;
  store: Pick<ObjectStore, 'readObject' | 'createObject' | 'replaceObject'>;
  leaseMs: number;
  clock: Clock;
  log: GatewayLog;
  /** Whether this instance competes for the lease. */
  isCandidate(): boolean;
  /** Difference between the time of day and the monotonic clock in milliseconds; that of the process by default. */
  readOffset?(): number;
  /** Random number of at least 0 and less than 1; `Math.random` by default. */
  pickRandom?(): number;
}

/** Object that holds the lease of all duties. */
export const DUTY_KIND = 'duties';
export const LEASE_NAME = 'platform';
const MAX_RELEASE_ATTEMPTS = 3;
/** Shortest wait of the timer in milliseconds; a timer may fire early by less than one. */
const MIN_WAIT_MS = 1;

/** Holder of the duties and its fencing token. */
export interface KnownHolder {
  ownerId: string;
  token: number;
}

/** Holds the duties by a lease in the store, which it takes, renews and releases as `LeaseTerm` decides. */
export class DutyLease implements DutyHolder, AsyncDisposable {
  readonly onChange: DutyHolder['onChange'];
  private readonly term: LeaseTerm;
  private readonly listeners: ((isHolder: boolean) => void)[] = [];
  private readonly readOffset: () => number;
  private timer: NodeJS.Timeout | undefined;
  private expiryTimer: NodeJS.Timeout | undefined;
  private call: Promise<void> | undefined;
  private wasHolder = false;
  private isStopped = true;
  private isStoreLost = false;
  private invalidRevision: number | undefined;
  private told: KnownHolder | undefined;

  constructor(private readonly options: DutyLeaseOptions) {
    const { instanceId, leaseMs, pickRandom = Math.random } = options;
    this.readOffset = options.readOffset ?? (() => Date.now() - performance.now());
    this.onChange = (listener) => {
      this.listeners.push(listener);
    };
    this.term = new LeaseTerm({ instanceId, leaseMs, pickRandom, incarnation: randomUUID() });
  }

  /** Begins to compete for the lease. */
  start(): void {
    this.isStopped = false;
    this.#advance();
  }

  getFence(): Fence | undefined {
    const held = this.term.getToken(this.#readMoment());
    return held === undefined ? undefined : { owner: this.options.instanceId, ...held };
  }

  recordRefusal(fence: Fence): void {
    const { log } = this.options;
    log.warn('the platform refuses the fencing token', { token: fence.token });
    this.term.recordRefusal(fence.token);
    this.#notifyChange();
    this.#advance();
  }

  async verifyFence(fence: Fence): Promise<boolean> {
    await this.#waitForCall();
    const step = this.isStopped ? undefined : this.term.buildRenewal();
    if (step === undefined) return false;
    const startedAtMs = this.options.clock();
    await this.#run(step);
    return this.term.hasRenewedSince(startedAtMs) && this.getFence()?.token === fence.token;
  }

  getHolderId(): string | undefined {
    return this.getKnownHolder()?.ownerId;
  }

  /** Returns the holder with the highest token that this instance knows of; undefined if the lease is released or unknown. */
  getKnownHolder(): KnownHolder | undefined {
    const record = this.term.getRecord();
    if (record === undefined || record.token < (this.told?.token ?? 0)) return this.told;
    return record.isReleased ? undefined : { ownerId: record.owner, token: record.token };
  }

  /** Takes in the holder of which another instance has told. */
  observeHolder(holder: KnownHolder): void {
    if (holder.token > (this.told?.token ?? -1)) this.told = holder;
    this.term.observeToken(holder.token);
  }

  /** Returns the windows of usage that the lease object holds. */
  getRecordedUsage(): readonly RecordedUsage[] {
    return this.term.getRecord()?.usage ?? [];
  }

  /**
   * Writes the windows of usage into the lease object.
   *
   * @returns the fence under which they are recorded; undefined if they are not known to be
   */
  async recordUsage(usage: readonly RecordedUsage[]): Promise<Fence | undefined> {
    this.term.setUsage(usage);
    await this.#waitForCall();
    if (this.isStopped) return undefined;
    const step = this.term.buildRenewal();
    if (step === undefined || this.getFence() === undefined) return undefined;
    await this.#run(step);
    return this.getRecordedUsage() === usage ? this.getFence() : undefined;
  }

  /** Sets the windows of usage that the next renewal writes. */
  setUsage(usage: readonly RecordedUsage[]): void {
    this.term.setUsage(usage);
  }

  /** Whether this instance holds the duties and records of an earlier holder may be lost with a backup. */
  hasLostRecords(): boolean {
    return this.term.hasLostRecords();
  }

  /** Gives the lease up so that another instance takes it, and does not compete for it for a time. */
  releaseFor(durationMs: number): void {
    this.term.stopUntil(this.options.clock() + durationMs);
    this.#notifyChange();
    this.#advance();
  }

  /** Stops acting and competing, and gives the lease up so that another instance need not wait. */
  async release(): Promise<void> {
    if (this.isStopped) return;
    this.isStopped = true;
    clearTimeout(this.timer);
    this.term.stop();
    this.#notifyChange();
    await this.#waitForCall();
    for (let attempt = 0; attempt < MAX_RELEASE_ATTEMPTS; attempt += 1) {
      const step = this.term.buildRenewal(true);
      if (step === undefined) return;
      await this.#run(step);
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.isStopped = true;
    this.term.stop();
    clearTimeout(this.timer);
    clearTimeout(this.expiryTimer);
    await Promise.resolve();
  }

  #readMoment(): LeaseMoment {
    return { nowMs: this.options.clock(), offsetMs: this.readOffset() };
  }

  #advance(): void {
    if (this.isStopped || this.call !== undefined) return;
    clearTimeout(this.timer);
    const moment = this.#readMoment();
    const step = this.term.chooseStep(moment, this.options.isCandidate());
    if (step.kind !== 'wait') {
      void this.#run(step);
      return;
    }
    const waitMs = Math.max(MIN_WAIT_MS, Math.ceil(step.untilMs - moment.nowMs));
    this.timer = setTimeout(() => {
      this.#notifyChange();
      this.#advance();
    }, waitMs);
  }

  /** Waits until a call can be built from the result of the last one. */
  async #waitForCall(): Promise<void> {
    while (this.call !== undefined) await this.call;
  }

  /** Makes a call; none may be under way, since each write depends on the revision of the last one. */
  async #run(step: Exclude<LeaseStep, { kind: 'wait' }>): Promise<void> {
    this.call = this.#send(step).finally(() => {
      this.call = undefined;
    });
    await this.call;
    this.#notifyChange();
    this.#advance();
  }

  async #send(step: Exclude<LeaseStep, { kind: 'wait' }>): Promise<void> {
    const startedAt = this.#readMoment();
    try {
      if (step.kind === 'read') await this.#read();
      else await this.#write(step, startedAt);
      this.isStoreLost = false;
    } catch (error) {
      this.term.recordFailure(this.options.clock());
      if (!this.isStoreLost) {
        this.options.log.warn('failed to reach the lease of the duties; retrying', {
          error: String(error),
        });
      }
      this.isStoreLost = true;
    }
  }

  async #read(): Promise<void> {
    const { object, era } = await this.options.store.readObject(DUTY_KIND, LEASE_NAME);
    this.#recordObject(object, era);
  }

  async #write(step: LeaseStep & { kind: 'write' }, startedAt: LeaseMoment): Promise<void> {
    const { store } = this.options;
    const { record, revision } = step;
    const result =
      revision === undefined
        ? await store.createObject(DUTY_KIND, LEASE_NAME, record)
        : await store.replaceObject(DUTY_KIND, LEASE_NAME, record, revision);
    switch (result.kind) {
      case 'written':
        this.term.recordWritten(step, result, startedAt);
        return;
      case 'conflict':
        if (result.current === undefined) this.term.recordConflict(this.options.clock());
        else this.#recordObject(result.current, result.era);
        return;
    }
  }

  #recordObject(object: StoredObject | undefined, era: number): void {
    const record = object === undefined ? undefined : this.#readRecord(object);
    this.term.recordReading({ revision: object?.revision, record, era }, this.#readMoment());
  }

  /** Reads the lease; one that another writer has put there in another form counts as a lease without an owner. */
  #readRecord({ spec, revision }: StoredObject): LeaseRecord | undefined {
    if (isValidDutyLease(spec)) return spec as LeaseRecord;
    if (this.invalidRevision !== revision) {
      const { errors } = isValidDutyLease;
      this.options.log.warn('invalid lease of the duties is ignored', { revision, errors });
    }
    this.invalidRevision = revision;
    return undefined;
  }

  /** Tells the listeners whether this instance has become the holder or stopped being it. */
  #notifyChange(): void {
    const fence = this.getFence();
    const isHolder = fence !== undefined;
    this.#scheduleExpiry(isHolder);
    if (isHolder === this.wasHolder) return;
    this.wasHolder = isHolder;
    const { log } = this.options;
    if (isHolder) log.info('this instance holds the duties', { token: fence.token });
    else log.info('this instance no longer holds the duties', { holder: this.getHolderId() });
    for (const listener of this.listeners) listener(isHolder);
  }

  #scheduleExpiry(isHolder: boolean): void {
    clearTimeout(this.expiryTimer);
    if (!isHolder || this.isStopped) return;
    this.expiryTimer = setTimeout(() => {
      this.#notifyChange();
    }, this.options.leaseMs);
  }
}
