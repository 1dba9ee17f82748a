import { ReaderContact } from '@pollendrum/policy';
import type { Clock, GatewayLog } from './log-and-clock';
import type { StoreEra } from './object-store';
import type { PeerAddress, PeerSocket, SenderAddress } from './peer-socket';
import {
  getAge,
  isRecentNews,
  listKindNews,
  makePositionCheck,
  MAX_RECENT_AGE_MS,
} from './shared-kind';
import type { Follower, SharedKind } from './shared-kind';
import { StoreNewsParts } from './store-news-parts';
import { decodeStoreMessage, encodeStoreMessage, splitNews } from './store-message-codec';
import type { KindNews, KindPosition, StoreMessageContent } from './store-message-codec';
import type { StorePosition } from './store-position';

export interface StoreNewsOptions {
  instanceId: string;
  socket: Pick<PeerSocket, 'setHandler' | 'send'>;
  clock: Clock;
  log: GatewayLog;
  /**
   * Called before news is taken in after a time in which neither the store nor the others have kept the objects up to date, since
   * entries may have lapsed in an outage of the store.
   */
  onOutage(untilMs: number): void;
  /** Checks whether the process was suspended, in which case it no longer knows how old its objects are. */
  checkSuspension(): void;
  /** Called with the eras that other instances name. */
  onEra?(era: StoreEra): void;
  /** Time since a new era of the store has begun, in milliseconds; infinite before that. */
  getSinceNewEraMs?(nowMs: number): number;
}

/** Interval at which an instance asks a reader, in milliseconds. */
const ASK_INTERVAL_MS = 600;
/** Time without an answer after which other instances are asked, in milliseconds. */
const ANSWER_TIMEOUT_MS = 250;
/** Time after the start for which an instance waits for news before it reads from the store itself, in milliseconds. */
const FIRST_NEWS_TIMEOUT_MS = 300;
/** Attempts to get an answer, after which the instance waits for the next interval. */
const MAX_ATTEMPTS = 3;
/** Instances that are asked at the same time when the first one has not answered. */
const RETRY_FANOUT = 3;
/** Age of the objects from which neither the others nor the store can have answered, in milliseconds. */
const OUTAGE_AGE_MS = 2_200;
/** Time after an outdated answer for which the readers count as without contact with the store, in milliseconds. */
const OUTAGE_FOR_MS = 1_500;
const MAX_READ_DELAY_MS = 10_000;
/** Shortest interval between calls that an instance makes as soon as the readers have no contact, in milliseconds. */
const PROBE_INTERVAL_MS = 1_500;
/** Time after its last question for which an instance is told changes, in milliseconds. */
const TOLD_FOR_MS = 3_000;
/** Shortest interval at which changes are told, in milliseconds. */
const MIN_TELL_INTERVAL_MS = 100;
const MAX_TOLD_INSTANCES = 512;
/** Time after a new era in which the readers list the objects, so that the others need not, in milliseconds. */
const NEW_ERA_WAIT_MS = 400;
/** Time after a new era in which many instances may lack the same changes, in milliseconds. */
const SETTLING_MS = 5_000;
/**
 * Longest time for which a reading is put off after the store has returned from a backup, in milliseconds. Many instances may
 * lack the same changes, and another instance may have them.
 */
const MAX_SETTLING_DELAY_MS = 800;

/** A question, with several receivers in later attempts. */
interface Question {
  askedAtMs: number;
  asked: readonly string[];
  isAnswered: boolean;
}

/**
 * Shares what is read from the store, so that the number of calls does not grow with the fleet: a few instances read it, the
 * others ask them. Knowledge is as recent as the moment of the store that it comes from: an instance counts its age from the time
 * at which it sent its question, so that neither clocks nor delays on the way make it look more recent than it is. An instance
 * that gets no recent answers reads for itself.
 */
export class StoreNews implements AsyncDisposable {
  private readonly contact: ReaderContact;
  private readonly followers = new Map<string, Follower>();
  private kinds: readonly SharedKind[] = [];
  private addresses = new Map<string, SenderAddress>();
  /** Questions of the present round by number; the newest last. */
  private round = new Map<number, Question>();
  private lastQuestionId = 0;
  private nextAskAtMs = -Infinity;
  /** Time until which the first news is waited for. */
  private expectedUntilMs = -Infinity;
  private outdatedAtMs = -Infinity;
  private probedAtMs = -Infinity;
  private requestedAtMs = -Infinity;
  private timer: NodeJS.Timeout | undefined;
  private tellTimer: NodeJS.Timeout | undefined;
  private readonly parts = new StoreNewsParts();
  /** Readings that are put off, by kind. */
  private readonly readTimers = new Map<string, NodeJS.Timeout>();
  private toldAtMs = -Infinity;
  private isDisposed = false;

  constructor(private readonly options: StoreNewsOptions) {
    this.contact = new ReaderContact(options.instanceId);
    options.socket.setHandler('store', (bytes, sender) => {
      this.#handleMessage(bytes, sender);
    });
  }

  /** Sets what is shared and begins to ask. */
  start(kinds: readonly SharedKind[]): void {
    this.kinds = kinds;
    this.#advance();
  }

  /** Takes in the announced instances. */
  setInstances(instances: readonly PeerAddress[]): void {
    const isFirst = this.addresses.size === 0;
    const candidates = instances.filter((instance) => instance.isReaderCandidate === true);
    this.addresses = new Map(candidates.map((candidate) => [candidate.instanceId, candidate]));
    this.contact.setCandidates(
      candidates.map(({ instanceId, failureDomain }) => ({ instanceId, failureDomain })),
    );
    if (isFirst && candidates.length > 0) {
      this.expectedUntilMs = this.options.clock() + FIRST_NEWS_TIMEOUT_MS;
      this.requestNews();
    }
    this.#advance();
  }

  /** Whether the objects of a kind are kept up to date by the news of others, so that this instance need not read them. */
  isFollowing(kind: string): boolean {
    const nowMs = this.options.clock();
    const shared = this.kinds.find((candidate) => candidate.kind === kind);
    if (shared === undefined || this.contact.isReader(nowMs)) return false;
    return nowMs < this.expectedUntilMs || shared.watcher.getAgeMs(nowMs) <= shared.maxAgeMs;
  }

  /**
   * Computes for how long this instance waits before it reads a kind from the store itself, in milliseconds. It does not wait if
   * nobody answers it. While the others answer that they have no contact, few instances find out whether the store is back, and
   * only with the first kind.
   */
  computeReadDelayMs(kind: string): number {
    if (!this.isInOutage()) return 0;
    const nowMs = this.options.clock();
    const [first] = this.kinds;
    if (first === undefined || first.kind === kind) {
      return this.contact.computeProbeDelayMs(Math.random());
    }
    return first.watcher.getAgeMs(nowMs) <= first.maxAgeMs ? 0 : MAX_READ_DELAY_MS;
  }

  /** Computes for how long this instance waits for what the readers find in a new era of the store, in milliseconds. */
  computeNewEraDelayMs(): number {
    const nowMs = this.options.clock();
    const sinceNewEraMs = this.options.getSinceNewEraMs?.(nowMs) ?? Infinity;
    if (sinceNewEraMs >= NEW_ERA_WAIT_MS || this.contact.isReader(nowMs)) return 0;
    return NEW_ERA_WAIT_MS - sinceNewEraMs + Math.random() * NEW_ERA_WAIT_MS;
  }

  /** Whether this instance asks others and these answer that they have no contact with the store. */
  isInOutage(): boolean {
    const nowMs = this.options.clock();
    return nowMs - this.outdatedAtMs <= OUTAGE_FOR_MS && !this.contact.isReader(nowMs);
  }

  /** Whether this instance reads the store for others. */
  isReader(): boolean {
    return this.contact.isReader(this.options.clock());
  }

  /** Lists the first instances in rank that are not silent, this one included. */
  listReaders(count: number): string[] {
    return this.contact.listReaders(this.options.clock(), count);
  }

  /** Asks at once, since the objects have just been listed or may be out of date. */
  requestNews(): void {
    this.round.clear();
    this.nextAskAtMs = -Infinity;
    this.#advance();
  }

  /** Tells changes that have been taken in to the instances that ask this one; those of a short time at once. */
  reportChanges(): void {
    if (this.tellTimer !== undefined || this.followers.size === 0) return;
    const waitMs = this.toldAtMs + MIN_TELL_INTERVAL_MS - this.options.clock();
    if (waitMs <= 0) {
      this.#reportToFollowers();
      return;
    }
    this.tellTimer = setTimeout(() => {
      this.tellTimer = undefined;
      this.#reportToFollowers();
    }, waitMs);
  }

  /** Tells the instances that ask this one that it has contact with the store again. */
  reportContact(): void {
    const nowMs = this.options.clock();
    for (const follower of this.followers.values()) this.#sendNews(0, follower, nowMs, false);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.isDisposed = true;
    clearTimeout(this.timer);
    clearTimeout(this.tellTimer);
    for (const timer of this.readTimers.values()) clearTimeout(timer);
    await Promise.resolve();
  }

  #reportToFollowers(): void {
    const nowMs = this.options.clock();
    this.toldAtMs = nowMs;
    for (const [instanceId, follower] of this.followers) {
      if (nowMs - follower.askedAtMs > TOLD_FOR_MS) this.followers.delete(instanceId);
      else this.#sendNews(0, follower, nowMs, true);
    }
  }

  /** Asks when it is time to, gives up questions without an answer, and sets the timer for the next step. */
  #advance(): void {
    if (this.isDisposed || this.kinds.length === 0) return;
    this.options.checkSuspension();
    const nowMs = this.options.clock();
    const newest = [...this.round.values()].at(-1);
    if (newest === undefined) {
      if (nowMs >= this.nextAskAtMs) this.#requestIfNeeded(nowMs);
    } else if (nowMs - newest.askedAtMs >= ANSWER_TIMEOUT_MS) {
      this.#handleSilence(newest, nowMs);
    }
    for (const { watcher } of this.kinds) watcher.checkFollowing();
    this.#schedule();
  }

  #schedule(): void {
    const newest = [...this.round.values()].at(-1);
    const nowMs = this.options.clock();
    const nextStepAtMs =
      newest === undefined ? this.nextAskAtMs : newest.askedAtMs + ANSWER_TIMEOUT_MS;
    // The time at which a kind must be read from the store; one that has passed needs no step.
    const expiryTimes = this.kinds
      .map(({ maxAgeMs, watcher }) => nowMs + maxAgeMs - watcher.getAgeMs(nowMs))
      .filter((expiryMs) => expiryMs > nowMs);
    const dueAtMs = Math.min(nextStepAtMs, ...expiryTimes);
    clearTimeout(this.timer);
    this.timer = setTimeout(
      () => {
        this.#advance();
      },
      Math.max(1, dueAtMs - nowMs + 1),
    );
  }

  #requestIfNeeded(nowMs: number): void {
    this.nextAskAtMs = nowMs + ASK_INTERVAL_MS;
    // Before a listing there is nothing that news could add to.
    if (this.kinds.some(({ watcher }) => watcher.getPosition() === undefined)) return;
    if (this.contact.isReader(nowMs) && this.#isRecent(nowMs)) return;
    const preferred = this.contact.choosePreferred(nowMs);
    if (preferred !== undefined) this.#sendQuestion([preferred], nowMs);
  }

  #handleSilence({ asked, isAnswered }: Question, nowMs: number): void {
    if (!isAnswered) {
      for (const instanceId of asked) this.contact.recordSilence(instanceId, nowMs);
    }
    // Answers that are outdated show an outage of the store, which more questions do not end.
    if (isAnswered || this.round.size === MAX_ATTEMPTS) this.round.clear();
    else this.#requestOthers(nowMs, RETRY_FANOUT);
  }

  #requestOthers(nowMs: number, count: number): void {
    const asked = [...this.round.values()].flatMap((question) => question.asked);
    this.#sendQuestion(this.contact.chooseOthers(nowMs, asked, count), nowMs);
  }

  #sendQuestion(asked: readonly string[], nowMs: number): void {
    const receivers = asked.flatMap((instanceId) => this.addresses.get(instanceId) ?? []);
    if (receivers.length === 0) {
      this.round.clear();
      return;
    }
    this.lastQuestionId += 1;
    const questionId = this.lastQuestionId;
    this.round.set(questionId, { askedAtMs: nowMs, asked, isAnswered: false });
    const positions = this.kinds.flatMap(({ kind, watcher }) => {
      const position = watcher.getPosition();
      return position === undefined ? [] : [{ kind, position, ageMs: getAge(watcher, nowMs) }];
    });
    const { instanceId } = this.options;
    this.#send({ kind: 'question', questionId, instanceId, positions }, receivers);
  }

  #handleMessage(bytes: Buffer, sender: SenderAddress): void {
    const decoded = decodeStoreMessage(bytes);
    if (decoded.kind === 'invalid') {
      this.options.log.warn('received an invalid datagram', { reason: decoded.reason });
      return;
    }
    const { message } = decoded;
    this.options.checkSuspension();
    switch (message.kind) {
      case 'question':
        this.#handleQuestion(message, sender);
        return;
      case 'news':
        this.#handleNews(message);
        return;
    }
  }

  #handleQuestion(
    { questionId, instanceId, positions }: StoreMessageContent & { kind: 'question' },
    sender: SenderAddress,
  ): void {
    const nowMs = this.options.clock();
    this.#observeEras(positions.map(({ position }) => position));
    const follower = {
      sender,
      askedAtMs: nowMs,
      positions: new Map(positions.map(({ kind, position }) => [kind, position])),
    };
    this.followers.delete(instanceId);
    this.followers.set(instanceId, follower);
    const [oldest] = this.followers.keys();
    if (oldest !== undefined && this.followers.size > MAX_TOLD_INSTANCES) {
      this.followers.delete(oldest);
    }
    this.#sendNews(questionId, follower, nowMs, false);
    if (!this.#isRecent(nowMs) && this.#isNewer(positions)) this.#requestFrom(instanceId, nowMs);
  }

  /** Asks an instance that has contact with the store while this one has not. */
  #requestFrom(instanceId: string, nowMs: number): void {
    const isAsked = [...this.round.values()].some(({ asked }) => asked.includes(instanceId));
    if (!isAsked) this.#sendQuestion([instanceId], nowMs);
  }

  #isNewer(positions: readonly KindPosition[]): boolean {
    return this.kinds.every(({ kind, maxAgeMs }) => {
      if (!Number.isFinite(maxAgeMs)) return true;
      const position = positions.find((candidate) => candidate.kind === kind);
      return position?.ageMs !== undefined && position.ageMs <= MAX_RECENT_AGE_MS;
    });
  }

  #sendNews(questionId: number, follower: Follower, nowMs: number, onlyChanges: boolean): void {
    const news = this.kinds.flatMap((shared) => listKindNews(shared, follower, nowMs, onlyChanges));
    if (onlyChanges && news.length === 0) return;
    const { instanceId } = this.options;
    const parts = news.length === 0 ? [[]] : splitNews(news);
    for (const part of parts) {
      const message = { kind: 'news', questionId, instanceId, news: part } as const;
      this.#send(message, [follower.sender]);
    }
  }

  #handleNews({ questionId, instanceId, news }: StoreMessageContent & { kind: 'news' }): void {
    const question = this.round.get(questionId);
    const answered = question?.asked.includes(instanceId) === true ? question : undefined;
    if (answered === undefined && !this.addresses.has(instanceId)) return;
    const nowMs = this.options.clock();
    if (this.#isOverdue(nowMs)) this.options.onOutage(nowMs);
    this.#observeEras(news.map(({ to }) => to));
    const complete = news.flatMap((kindNews) => this.parts.collect(instanceId, kindNews) ?? []);
    const ages = complete.map((kindNews) => this.#applyKindNews(kindNews, answered?.askedAtMs));
    this.reportChanges();
    if (answered === undefined) {
      if (isRecentNews(ages)) this.#handleContact(instanceId, nowMs);
      return;
    }
    answered.isAnswered = true;
    // A part of an answer says nothing of how recent the answer is.
    if (complete.length > 0 || news.length === 0) this.#judgeAnswer(instanceId, ages, nowMs);
  }

  /**
   * Asks an instance that has contact with the store again. Its news may come in many messages; a question for each of them would end the
   * one before, whose answer would lead to the next question.
   */
  #handleContact(instanceId: string, nowMs: number): void {
    const isOutdated = this.#isSettling(nowMs) && !this.#isRecent(nowMs);
    if (!this.isInOutage() && !isOutdated) return;
    this.contact.recordAnswer(instanceId, 'recent', nowMs);
    if (nowMs - this.requestedAtMs < MIN_TELL_INTERVAL_MS) return;
    this.requestedAtMs = nowMs;
    this.requestNews();
  }

  /**
   * Takes in the news of a kind.
   *
   * @returns how old the objects of the sender were; undefined if it has not said so
   */
  #applyKindNews(news: KindNews, askedAtMs: number | undefined): number | undefined {
    const shared = this.kinds.find(({ kind }) => kind === news.kind);
    if (shared === undefined) return undefined;
    const { ageMs } = news;
    const isDated = askedAtMs !== undefined && ageMs !== undefined;
    const syncedAtMs = isDated ? askedAtMs - ageMs : undefined;
    const result = shared.watcher.applyNews(news, syncedAtMs);
    switch (result) {
      case 'applied':
        break;
      case 'not-listed':
        break;
      case 'unavailable':
        this.#scheduleReading(shared, makePositionCheck(shared));
        break;
      case 'outdated':
        return Number.isFinite(shared.maxAgeMs) ? Infinity : undefined;
      case 'gap':
        // Told changes may overtake each other or be lost; the answer to the next question has them.
        if (askedAtMs === undefined) this.nextAskAtMs = -Infinity;
        break;
    }
    return Number.isFinite(shared.maxAgeMs) ? ageMs : undefined;
  }

  #observeEras(positions: readonly StorePosition[]): void {
    const { clock, onEra, getSinceNewEraMs } = this.options;
    onEra?.(Math.max(0, ...positions.map(({ era }) => era)));
    // Answers to new questions show how recent the objects are in the new era.
    if (getSinceNewEraMs?.(clock()) === 0) this.nextAskAtMs = -Infinity;
  }

  /** Lets the objects be read from the store, a little later while many instances may have to. */
  #scheduleReading({ kind, watcher }: SharedKind, isNeeded: () => boolean): void {
    if (!this.#isSettling(this.options.clock())) {
      watcher.readNow();
      return;
    }
    if (this.readTimers.has(kind) || this.isDisposed) return;
    const delayMs = Math.random() * MAX_SETTLING_DELAY_MS;
    const timer = setTimeout(() => {
      this.readTimers.delete(kind);
      if (isNeeded()) watcher.readNow();
    }, delayMs);
    this.readTimers.set(kind, timer);
  }

  /** Judges what a message says of all kinds; one of several messages may say nothing. */
  #judgeAnswer(instanceId: string, ages: readonly (number | undefined)[], nowMs: number): void {
    const isRecent = isRecentNews(ages);
    const isOutdated = ages.length === 0 || ages.some((ageMs = 0) => ageMs > MAX_RECENT_AGE_MS);
    if (isOutdated) {
      this.outdatedAtMs = nowMs;
      this.#readLostKinds(nowMs);
      this.contact.recordAnswer(instanceId, 'outdated', nowMs);
    }
    if (isRecent) this.contact.recordAnswer(instanceId, 'recent', nowMs);
    if (this.#isRecent(nowMs)) this.round.clear();
    else if (isOutdated && this.round.size === 1) this.#requestOthers(nowMs, 1);
    else if (isOutdated) this.#probeStore(nowMs);
    this.#advance();
  }

  /** Finds out whether the store answers this instance although it does not answer the readers. */
  #probeStore(nowMs: number): void {
    if (!this.contact.isSmallFleet() || nowMs - this.probedAtMs < PROBE_INTERVAL_MS) return;
    this.probedAtMs = nowMs;
    this.kinds[0]?.watcher.readNow();
  }

  /**
   * Reads the kinds from the store about which the others have had no answer, if they have contact otherwise, since only the calls
   * about these are lost.
   */
  #readLostKinds(nowMs: number): void {
    const dated = this.kinds.filter(({ maxAgeMs }) => Number.isFinite(maxAgeMs));
    const lost = dated.filter(({ watcher }) => watcher.getAgeMs(nowMs) > MAX_RECENT_AGE_MS);
    if (lost.length === dated.length) return;
    // While many objects are written again, the ages of the kinds differ although no calls are lost.
    if (this.#isSettling(nowMs)) return;
    for (const { watcher } of lost) watcher.readNow();
  }

  #isSettling(nowMs: number): boolean {
    return (this.options.getSinceNewEraMs?.(nowMs) ?? Infinity) <= SETTLING_MS;
  }

  /** Whether the objects have been kept up to date and are not any more. */
  #isOverdue(nowMs: number): boolean {
    return this.kinds.some(({ maxAgeMs, watcher }) => {
      const ageMs = getAge(watcher, nowMs);
      return Number.isFinite(maxAgeMs) && ageMs !== undefined && ageMs > OUTAGE_AGE_MS;
    });
  }

  #isRecent(nowMs: number): boolean {
    return this.kinds.every(
      ({ maxAgeMs, watcher }) =>
        !Number.isFinite(maxAgeMs) || watcher.getAgeMs(nowMs) <= MAX_RECENT_AGE_MS,
    );
  }

  #send(message: StoreMessageContent, receivers: readonly SenderAddress[]): void {
    this.options.socket.send(encodeStoreMessage(message), receivers);
  }
}
