import { computeNextToken, computeTokenEra, LeaseEras } from './duty-token';

/** What the store keeps of the lease. */
export interface LeaseRecord {
  owner: string;
  /** Start of the owner's process; a restarted instance is another holder. */
  incarnation: string;
  token: number;
  /** Rises with each write, so that no two writes of an owner are the same. */
  sequence: number;
  /** Whether the owner has given the lease up, so that another need not wait. */
  isReleased: boolean;
  /** Windows of usage that have been or will be reported, the oldest first. */
  usage: readonly RecordedUsage[];
}

/** Counts of a window as they are reported, each time the same. */
export interface RecordedUsage {
  windowId: number;
  counts: readonly (readonly [team: string, count: number])[];
  /** Whether the platform is known to have accepted the report. */
  isAccepted: boolean;
}

/** The lease object as a call has shown it; `record` is undefined if it does not exist. */
export interface LeaseReading {
  revision: number | undefined;
  record: LeaseRecord | undefined;
  era: number;
}

export type LeaseStep =
  | { kind: 'wait'; untilMs: number }
  | { kind: 'read' }
  /** Writes the record if the object still has the revision; undefined if it must not exist. */
  | { kind: 'write'; record: LeaseRecord; revision: number | undefined };

export interface LeaseTermOptions {
  instanceId: string;
  incarnation: string;
  leaseMs: number;
  /** Random number of at least 0 and less than 1. */
  pickRandom(): number;
}

/** The instance's own clocks at one moment. */
export interface LeaseMoment {
  /** Monotonic clock in milliseconds. */
  nowMs: number;
  /** Time of day less the monotonic clock in milliseconds, of which only changes count. */
  offsetMs: number;
}

interface Sighting {
  era: number;
  revision: number | undefined;
  record: LeaseRecord | undefined;
  firstSeenAtMs: number;
  lastSeenAtMs: number;
  /** Whether this instance has held the lease without a gap until a restore, so that it knows all records. */
  isOwnUntilRestore: boolean;
}

interface Hold {
  /** Whether a lease before this one, with its records, may have been lost with a backup. */
  mayLackRecords: boolean;
  record: LeaseRecord;
  revision: number;
  era: number;
  /** Start of the last renewal that succeeded. */
  renewedAt: LeaseMoment;
}

/** Renewals and readings in the time of a lease. */
const RENEWALS_PER_LEASE = 3;
/** Part of the lease at its end in which the holder does not act, so that a call that it has begun arrives in time. */
const MARGIN_SHARE = 0.25;
/** Change of the time of day against the monotonic clock from which the process may have been suspended, in milliseconds. */
const MIN_SUSPENSION_MS = 100;
/** Time after which a call that failed is made again, as a part of the lease. */
const RETRY_SHARE = 0.1;

/**
 * Decides when an instance takes, renews and stops using the lease of the duties. Only the instance's monotonic clock counts; a
 * step of the time of day against it makes the holder stop until it has renewed the lease.
 */
export class LeaseTerm {
  private readonly eras = new LeaseEras();
  private sighting: Sighting | undefined;
  private hold: Hold | undefined;
  private highestToken = 0;
  private refusedToken = 0;
  private isWanted = true;
  private retryAtMs = -Infinity;
  private pausedUntilMs = -Infinity;
  private isReadDue = false;
  private lastTake: { token: number; mayLackRecords: boolean } | undefined;
  private usage: readonly RecordedUsage[] | undefined;

  constructor(private readonly options: LeaseTermOptions) {}

  /** Returns the token with which the instance may act now; undefined if it may not. */
  getToken(moment: LeaseMoment): { token: number; era: number } | undefined {
    if (this.hold === undefined || !this.isWanted) return undefined;
    if (moment.nowMs < this.pausedUntilMs) return undefined;
    const { record, era, renewedAt } = this.hold;
    if (record.token <= this.refusedToken || hasBeenSuspended(renewedAt, moment)) return undefined;
    const { leaseMs } = this.options;
    if (moment.nowMs >= renewedAt.nowMs + leaseMs * (1 - MARGIN_SHARE)) return undefined;
    return { token: record.token, era };
  }

  /** Returns the record that was last seen or written; undefined if there is none. */
  getRecord(): LeaseRecord | undefined {
    return this.hold?.record ?? this.sighting?.record;
  }

  /** Whether this instance holds the lease by a write that was sent at this time or later. */
  hasRenewedSince(nowMs: number): boolean {
    return this.hold !== undefined && this.hold.renewedAt.nowMs >= nowMs;
  }

  /** Whether this instance holds the lease and records of an earlier holder may be lost with a backup. */
  hasLostRecords(): boolean {
    return this.hold?.mayLackRecords === true;
  }

  /** Returns the highest token that the instance knows of. */
  getHighestToken(): number {
    return this.highestToken;
  }

  /** Takes in a token of which another instance has told. */
  observeToken(token: number): void {
    this.highestToken = Math.max(this.highestToken, token);
  }

  /** Sets the windows of usage that the next writes hold. */
  setUsage(usage: readonly RecordedUsage[]): void {
    this.usage = usage;
  }

  /** Chooses the next call. `isCandidate` is whether the instance competes for a lease that it does not hold. */
  chooseStep(moment: LeaseMoment, isCandidate: boolean): LeaseStep {
    const { nowMs } = moment;
    if (nowMs < this.retryAtMs) return { kind: 'wait', untilMs: this.retryAtMs };
    const intervalMs = this.options.leaseMs / RENEWALS_PER_LEASE;
    if (!this.isWanted) return { kind: 'wait', untilMs: nowMs + intervalMs };
    if (this.isReadDue) return { kind: 'read' };
    const isPaused = nowMs < this.pausedUntilMs;
    const release = isPaused ? this.buildRenewal(true) : undefined;
    if (release !== undefined) return release;
    if (this.hold !== undefined) return this.#chooseHolderStep(this.hold, moment, intervalMs);
    if (!isCandidate || isPaused) return { kind: 'wait', untilMs: nowMs + intervalMs };
    const { sighting } = this;
    if (sighting === undefined) return { kind: 'read' };
    // The lease is read again at its end, so that a write does not replace what a restore has put under the same revision.
    const isFresh = nowMs - sighting.lastSeenAtMs < intervalMs;
    if (isFresh && this.#isFree(sighting, nowMs)) return this.#buildTake(sighting);
    if (!isFresh) return { kind: 'read' };
    const freeAtMs = sighting.firstSeenAtMs + this.options.leaseMs;
    const readAtMs = sighting.lastSeenAtMs + intervalMs;
    return { kind: 'wait', untilMs: Math.min(readAtMs, Math.max(freeAtMs, nowMs + 1)) };
  }

  /** Builds the write with which the holder renews the lease at once or gives it up; undefined if it does not hold it. */
  buildRenewal(isReleased = false): (LeaseStep & { kind: 'write' }) | undefined {
    if (this.hold === undefined) return undefined;
    const { record, revision } = this.hold;
    const sequence = record.sequence + 1;
    const renewed = { ...record, sequence, isReleased, usage: this.usage ?? record.usage };
    return { kind: 'write', record: renewed, revision };
  }

  /** Takes in the lease object as a call has shown it. */
  recordReading(reading: LeaseReading, moment: LeaseMoment): void {
    const lastEra = this.eras.getEra();
    const era = this.eras.observe(reading.era);
    if (era === undefined) {
      this.recordFailure(moment.nowMs);
      return;
    }
    this.isReadDue = false;
    const { record, revision } = reading;
    this.observeToken(record?.token ?? 0);
    this.#recordSighting({ era, revision, record }, moment.nowMs);
    if (this.hold === undefined) {
      this.#adoptOwn(era, moment);
      return;
    }
    if (era === this.hold.era) {
      if (record !== undefined && revision !== undefined && this.#isOwn(record)) {
        // A renewal has succeeded whose response was lost.
        this.hold = { ...this.hold, record, revision };
      } else this.hold = undefined;
      return;
    }
    // Nobody can have acted in between if the lease was valid up to the first restore; only then the wait is not needed.
    const isUnbroken = era === lastEra + 1 && this.getToken(moment) !== undefined;
    const isUnclaimed = record === undefined || this.#isOwn(record);
    this.hold = undefined;
    if (isUnbroken && isUnclaimed && this.sighting !== undefined) {
      this.sighting.firstSeenAtMs = -Infinity;
      this.sighting.isOwnUntilRestore = true;
    }
  }

  /** Takes in that a write has succeeded which was sent at `startedAt`. */
  recordWritten(
    step: LeaseStep & { kind: 'write' },
    written: { revision: number; era: number },
    startedAt: LeaseMoment,
  ): void {
    const lastEra = this.eras.getEra();
    const era = this.eras.observe(written.era);
    if (era === undefined) {
      this.isReadDue = true;
      this.recordFailure(startedAt.nowMs);
      return;
    }
    const { record } = step;
    const { revision } = written;
    this.#recordSighting({ era, revision, record }, startedAt.nowMs);
    // After a restore the write may have replaced another's lease under the same revision.
    const isOtherEra = era !== (this.hold?.era ?? lastEra);
    if (record.isReleased || isOtherEra) this.hold = undefined;
    else this.hold = { record, revision, era, renewedAt: startedAt, ...this.#describeTake(record) };
  }

  /** Takes in that a write was refused by the store without telling what it holds. */
  recordConflict(nowMs: number): void {
    this.isReadDue = true;
    this.recordFailure(nowMs);
  }

  /** Takes in that a call has failed, which may still take effect. */
  recordFailure(nowMs: number): void {
    this.retryAtMs = nowMs + this.options.leaseMs * RETRY_SHARE;
  }

  /** Takes in that the platform knows a higher token. */
  recordRefusal(token: number): void {
    this.observeToken(token);
    this.refusedToken = Math.max(this.refusedToken, token);
  }

  /** Gives the lease up and does not compete for it until a time. */
  stopUntil(untilMs: number): void {
    this.pausedUntilMs = untilMs;
  }

  /** Ends all attempts to hold the lease. */
  stop(): void {
    this.isWanted = false;
  }

  #chooseHolderStep(hold: Hold, moment: LeaseMoment, intervalMs: number): LeaseStep {
    const isSuspended = hasBeenSuspended(hold.renewedAt, moment);
    const isRefused = hold.record.token <= this.refusedToken;
    const renewAtMs = hold.renewedAt.nowMs + intervalMs;
    if (!isSuspended && !isRefused && moment.nowMs < renewAtMs) {
      return { kind: 'wait', untilMs: renewAtMs };
    }
    if (!isRefused) return this.buildRenewal() ?? { kind: 'read' };
    // With a new token the instance is another holder; the write fails if the lease has been taken over.
    const times = { firstSeenAtMs: 0, lastSeenAtMs: 0 };
    return this.#buildTake({ ...hold, ...times, isOwnUntilRestore: !hold.mayLackRecords });
  }

  #buildTake({ revision, record, era, isOwnUntilRestore }: Sighting): LeaseStep {
    const { instanceId, incarnation, pickRandom } = this.options;
    const stored = record?.token ?? 0;
    const token = computeNextToken(this.eras.getEra(), stored, this.highestToken, pickRandom());
    this.observeToken(token);
    const isOfEra = record !== undefined && computeTokenEra(record.token) >= era;
    this.lastTake = { token, mayLackRecords: !isOfEra && !isOwnUntilRestore };
    const sequence = (record?.sequence ?? 0) + 1;
    const usage = record?.usage ?? [];
    this.usage = undefined;
    const owner = { owner: instanceId, incarnation, token };
    return { kind: 'write', record: { ...owner, sequence, isReleased: false, usage }, revision };
  }

  #isFree({ record, firstSeenAtMs, era }: Sighting, nowMs: number): boolean {
    if (nowMs - firstSeenAtMs >= this.options.leaseMs) return true;
    // A release that a backup brings back may have been followed by a holder that still acts.
    return record?.isReleased === true && computeTokenEra(record.token) >= era;
  }

  #isOwn({ incarnation }: LeaseRecord): boolean {
    return incarnation === this.options.incarnation;
  }

  /** Holds a lease again that this process took by a write whose response was lost; it acts after the next renewal. */
  #adoptOwn(era: number, { offsetMs }: LeaseMoment): void {
    const { record, revision } = this.sighting ?? {};
    if (record === undefined || revision === undefined || !this.#isOwn(record)) return;
    const isPresentEra = computeTokenEra(record.token) >= era;
    if (record.isReleased || !isPresentEra || !this.isWanted) return;
    const renewedAt = { nowMs: -Infinity, offsetMs };
    this.hold = { record, revision, era, renewedAt, ...this.#describeTake(record) };
  }

  /** Tells of a lease whether records may be lost; if it was not taken by the last try, that is not known. */
  #describeTake({ token }: LeaseRecord): Pick<Hold, 'mayLackRecords'> {
    if (this.hold?.record.token === token) return { mayLackRecords: this.hold.mayLackRecords };
    return { mayLackRecords: this.lastTake?.token !== token || this.lastTake.mayLackRecords };
  }

  #recordSighting(seen: Pick<Sighting, 'era' | 'revision' | 'record'>, nowMs: number): void {
    const { sighting } = this;
    const isSame = sighting?.era === seen.era && sighting.revision === seen.revision;
    const firstSeenAtMs = isSame ? sighting.firstSeenAtMs : nowMs;
    const isOwnUntilRestore = isSame && sighting.isOwnUntilRestore;
    this.sighting = { ...seen, firstSeenAtMs, lastSeenAtMs: nowMs, isOwnUntilRestore };
  }
}

function hasBeenSuspended(since: LeaseMoment, now: LeaseMoment): boolean {
  return Math.abs(now.offsetMs - since.offsetMs) >= MIN_SUSPENSION_MS;
}
