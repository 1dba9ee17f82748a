import { randomBytes } from 'node:crypto';
import { hashName, UsageClock, UsageCounts, UsageTable } from '@pollendrum/policy';
import type { LeaseMoment, ToldWindow, UsageSource } from '@pollendrum/policy';
import type { Clock, GatewayLog } from '../log-and-clock';
import type { PeerAddress, PeerSocket, SenderAddress } from '../peer-socket';
import type { DutyLease } from './duty-lease';
import { decodeUsageDatagram, encodeUsageDatagram, takeDatagramPart } from './usage-codec';
import type { UsageDatagram } from './usage-codec';
import { UsageReceiver } from './usage-receiver';

export interface UsageSharingOptions {
  instanceId: string;
  socket: Pick<PeerSocket, 'setHandler' | 'send'>;
  lease: Pick<DutyLease, 'getKnownHolder' | 'observeHolder'>;
  windowMs: number;
  clock: Clock;
  log: GatewayLog;
  /** Lists the first instances in rank to hold the duties that are not silent. */
  listReaders(count: number): readonly string[];
  /** Difference between the time of day and the monotonic clock in milliseconds; that of the process by default. */
  readOffset?(): number;
}

/** Shortest interval between two datagrams to one receiver, in milliseconds; a lost instance costs its counts since then. */
const MIN_INTERVAL_MS = 500;
/**
 * Interval per instance, in milliseconds, so that the holder receives at most 25 datagrams a second. It costs at most 0.8 % of a
 * window of 5 s when an instance is lost.
 */
const INTERVAL_PER_INSTANCE_MS = 40;
/** Time over which the instances spread their datagrams at the end of a window, in milliseconds for each of them. */
const SPREAD_PER_INSTANCE_MS = 5;
const MAX_SPREAD_MS = 1_500;
/** The holder and the next in rank get the counts. */
const RECEIVER_COUNT = 2;
/** Further instances in rank that get them in place of those that do not acknowledge. */
const SPARE_RECEIVERS = 2;
/** Time for which an instance keeps its counts for a receiver that has not acknowledged them, in milliseconds. */
const KEEP_OWN_MS = 30_000;
/** Time for which the counts of all instances are kept, in milliseconds; the store or the platform may be away for minutes. */
const KEEP_TABLE_MS = 240_000;
/** A timer can fire this much early, in milliseconds. */
const TIMER_MARGIN_MS = 2;
/** Random bytes that identify the start of a process among those of one name; few, as each datagram holds them. */
const INCARNATION_BYTES = 6;
/** Instances that a new holder tells of itself at once, and the interval at which it tells further ones, in milliseconds. */
const TOLD_AT_ONCE = 50;
const TELL_INTERVAL_MS = 500;

/**
 * Counts the requests that servers began to run by window, sends the counts to the instances that report them or are the next to,
 * and keeps what others have sent. All datagrams tell who holds the duties, as far as the sender knows.
 */
export class UsageSharing implements AsyncDisposable {
  readonly table = new UsageTable();
  private readonly counts = new UsageCounts();
  private readonly usageClock = new UsageClock();
  private readonly source: UsageSource;
  private readonly readOffset: () => number;
  private readonly spreadShare: number;
  private readonly receivers = new Map<string, UsageReceiver>();
  private addresses = new Map<string, SenderAddress>();
  private sequence = 0;
  private timer: NodeJS.Timeout | undefined;
  private timerDueAtMs = Infinity;
  private tellTimer: NodeJS.Timeout | undefined;
  private sentAtMs = -Infinity;
  private isStopped = false;

  constructor(private readonly options: UsageSharingOptions) {
    const { instanceId, socket } = options;
    this.readOffset = options.readOffset ?? (() => Date.now() - performance.now());
    this.spreadShare = hashName(instanceId) / 2 ** 32;
    const firstWindowId = this.computeWindowId();
    const incarnation = randomBytes(INCARNATION_BYTES).toString('base64url');
    this.source = { instanceId, incarnation, firstWindowId };
    socket.setHandler('usage', (bytes, sender) => {
      this.#handleMessage(bytes, sender);
    });
    this.#scheduleNext();
  }

  /** First window that this process has counted, at least in part. */
  get firstWindowId(): number {
    return this.source.firstWindowId;
  }

  /** Returns the time of day by which usage is counted, in milliseconds since the start of 1970. */
  readTime(): number {
    return this.usageClock.read(this.#readMoment());
  }

  /** Computes the window of the present time. */
  computeWindowId(): number {
    return Math.max(0, Math.floor(this.readTime() / this.options.windowMs));
  }

  /** Counts a request that a server began to run. */
  recordRun(team: string): void {
    this.counts.add(this.computeWindowId(), team);
    this.#schedule(this.sentAtMs + this.#computeIntervalMs());
  }

  /** Takes in the announced instances. */
  setInstances(instances: readonly PeerAddress[]): void {
    this.addresses = new Map(instances.map((instance) => [instance.instanceId, instance]));
  }

  /** Lists the announced instances and this one. */
  listInstanceIds(): string[] {
    return [...new Set([...this.addresses.keys(), this.source.instanceId])];
  }

  /** Adds this instance's own counts to those of the others. */
  mergeOwnCounts(): void {
    this.table.merge(this.source, this.#listOwnWindows(0));
    this.table.discardBefore(
      this.computeWindowId() - Math.ceil(KEEP_TABLE_MS / this.options.windowMs),
    );
  }

  /** Tells all instances who holds the duties, so that they send their counts. */
  notifyInstances(): void {
    clearTimeout(this.tellTimer);
    this.#notifyNext([...this.addresses.values()]);
  }

  /** Sends what has not been acknowledged, before the instance stops. */
  flush(): void {
    this.#sendCounts(true);
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.flush();
    this.isStopped = true;
    clearTimeout(this.timer);
    clearTimeout(this.tellTimer);
    await Promise.resolve();
  }

  #readMoment(): LeaseMoment {
    return { nowMs: this.options.clock(), offsetMs: this.readOffset() };
  }

  #computeIntervalMs(): number {
    return Math.max(MIN_INTERVAL_MS, this.addresses.size * INTERVAL_PER_INSTANCE_MS);
  }

  /** Time after the end of a window at which this instance sends its final counts, in milliseconds. */
  #computeSpreadMs(): number {
    const spreadMs = Math.min(MAX_SPREAD_MS, this.addresses.size * SPREAD_PER_INSTANCE_MS);
    return this.spreadShare * spreadMs;
  }

  /** @param closeDelayMs time after the end of a window for which it does not count as closed yet */
  #listOwnWindows(closeDelayMs: number): ToldWindow[] {
    const { windowMs } = this.options;
    const timeMs = this.readTime();
    const currentId = Math.floor(timeMs / windowMs);
    const oldestId = currentId - Math.ceil(KEEP_OWN_MS / windowMs);
    this.counts.discardBefore(oldestId);
    const firstId = Math.max(0, oldestId, this.firstWindowId);
    const length = Math.max(0, currentId - firstId + 1);
    return Array.from({ length }, (_, index) => {
      const windowId = firstId + index;
      const counts = [...this.counts.get(windowId)];
      const total = counts.reduce((sum, [, count]) => sum + count, 0);
      const isClosed = timeMs >= (windowId + 1) * windowMs + closeDelayMs;
      return { windowId, isClosed, total, counts };
    });
  }

  /** Sets the timer, unless it is set for an earlier time. */
  #schedule(dueAtMs: number): void {
    if (this.isStopped || dueAtMs >= this.timerDueAtMs) return;
    clearTimeout(this.timer);
    this.timerDueAtMs = dueAtMs;
    this.timer = setTimeout(
      () => {
        this.timerDueAtMs = Infinity;
        this.#sendCounts();
        this.#scheduleNext();
      },
      Math.max(1, Math.ceil(dueAtMs - this.options.clock())),
    );
  }

  /** Waits for the end of the window, or to repeat what has not been acknowledged. */
  #scheduleNext(): void {
    const { windowMs, clock } = this.options;
    const nowMs = clock();
    const spreadMs = this.#computeSpreadMs();
    const windows = this.#listOwnWindows(spreadMs);
    const pending = this.#chooseReceivers().flatMap((receiver) => receiver.listPending(windows));
    if (pending.length > 0) {
      const isFinal = pending.some(({ isClosed }) => isClosed);
      this.#schedule(nowMs + (isFinal ? MIN_INTERVAL_MS : this.#computeIntervalMs()));
    }
    const timeMs = this.readTime();
    const closeMs = windowMs - ((timeMs - spreadMs) % windowMs);
    this.#schedule(nowMs + closeMs);
  }

  /**
   * Sends each receiver one datagram with counts that it has not acknowledged: final ones at once, others after the interval.
   *
   * @param isLast whether there is no later occasion
   */
  #sendCounts(isLast = false): void {
    if (this.isStopped) return;
    const nowMs = this.options.clock();
    this.sentAtMs = nowMs;
    const windows = this.#listOwnWindows(this.#computeSpreadMs());
    for (const receiver of this.#chooseReceivers()) {
      const address = this.addresses.get(receiver.instanceId);
      const pending = receiver.listPending(windows);
      const isDue = nowMs - receiver.getSentAtMs() >= this.#computeIntervalMs() - TIMER_MARGIN_MS;
      if (address === undefined || !(isLast || isDue || pending.some(({ isClosed }) => isClosed)))
        continue;
      const part = takeDatagramPart(pending);
      if (part.length === 0) continue;
      this.sequence += 1;
      receiver.recordSent(this.sequence, part, nowMs);
      const { firstWindowId } = this;
      const content = { kind: 'counts', firstWindowId, windows: part } as const;
      this.#send(this.sequence, content, [address]);
    }
  }

  /** Chooses the holder and the next in rank, and others in place of those that do not acknowledge. */
  #chooseReceivers(): UsageReceiver[] {
    const { lease, listReaders, clock } = this.options;
    const holderId = lease.getKnownHolder()?.ownerId;
    const ranked = listReaders(RECEIVER_COUNT + SPARE_RECEIVERS);
    const candidates = [...new Set(holderId === undefined ? ranked : [holderId, ...ranked])];
    const chosen: UsageReceiver[] = [];
    let reachable = 0;
    for (const instanceId of candidates) {
      if (reachable === RECEIVER_COUNT) break;
      if (instanceId === this.source.instanceId) {
        reachable += 1;
        continue;
      }
      const receiver = this.receivers.get(instanceId) ?? new UsageReceiver(instanceId);
      this.receivers.set(instanceId, receiver);
      chosen.push(receiver);
      if (!receiver.isSilent(clock())) reachable += 1;
    }
    for (const instanceId of this.receivers.keys()) {
      if (!candidates.includes(instanceId)) this.receivers.delete(instanceId);
    }
    return chosen;
  }

  #handleMessage(bytes: Buffer, sender: SenderAddress): void {
    const decoded = decodeUsageDatagram(bytes);
    if (decoded.kind === 'invalid') {
      this.options.log.warn('received invalid counts of usage', { reason: decoded.reason });
      return;
    }
    const { instanceId, incarnation, sequence, unixMs, holder, content } = decoded.datagram;
    this.usageClock.observePeer(instanceId, unixMs, this.#readMoment());
    const known = this.options.lease.getKnownHolder();
    if (holder !== undefined) this.options.lease.observeHolder(holder);
    switch (content.kind) {
      case 'counts': {
        const { firstWindowId, windows } = content;
        this.table.merge({ instanceId, incarnation, firstWindowId }, windows);
        this.#send(sequence, { kind: 'ack', ackedIncarnation: incarnation }, [sender]);
        return;
      }
      case 'ack':
        if (content.ackedIncarnation === this.source.incarnation) {
          this.receivers.get(instanceId)?.recordAck(sequence);
        }
    }
    const isNewHolder = holder !== undefined && holder.token > (known?.token ?? 0);
    if (isNewHolder) this.#schedule(this.options.clock() + this.#computeSpreadMs());
  }

  #notifyNext(remaining: SenderAddress[]): void {
    const receivers = remaining.splice(0, TOLD_AT_ONCE);
    this.#send(0, { kind: 'ack', ackedIncarnation: '' }, receivers);
    if (remaining.length === 0 || this.isStopped) return;
    this.tellTimer = setTimeout(() => {
      this.#notifyNext(remaining);
    }, TELL_INTERVAL_MS);
  }

  #send(
    sequence: number,
    content: UsageDatagram['content'],
    receivers: readonly SenderAddress[],
  ): void {
    const { socket, lease } = this.options;
    const { instanceId, incarnation } = this.source;
    const holder = lease.getKnownHolder();
    const unixMs = Math.max(0, this.readTime());
    const datagram = { instanceId, incarnation, sequence, unixMs, holder, content };
    socket.send(encodeUsageDatagram(datagram), receivers);
  }
}
