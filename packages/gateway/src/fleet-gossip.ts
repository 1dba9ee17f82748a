import { GossipQueue } from '@pollendrum/policy';
import { decodeGossip, encodeGossip, measureFact } from './gossip-codec';
import type { GossipFact } from './gossip-codec';
import type { Clock, GatewayLog } from './log-and-clock';
import type { PeerAddress, PeerSocket, SenderAddress } from './peer-socket';
import { SuspensionDetector } from './suspension-detector';

export interface FleetGossipOptions {
  instanceId: string;
  socket: Pick<PeerSocket, 'setHandler' | 'send'>;
  clock: Clock;
  log: GatewayLog;
  /** Takes in a fact of another instance. */
  onFact(fact: GossipFact): void;
  /** Lists all known facts, the most important ones first. */
  listFacts(): readonly GossipFact[];
}

/** `urgent` facts are sent to all instances at once, and then spread like `normal` ones for those that they did not reach. */
export type Urgency = 'normal' | 'urgent';

/** Interval between two rounds of news, in milliseconds. */
const ROUND_INTERVAL_MS = 100;
/** Instances that get the news in a round, chosen at random among all. */
const FANOUT = 2;
/** Interval at which one other instance gets the most important facts again, in milliseconds. */
const REPAIR_INTERVAL_MS = 1_000;
/** Size of a message that networks do not split, in bytes. */
const MAX_MESSAGE_BYTES = 1_100;
const MAX_FACTS_PER_MESSAGE = 64;
/** Messages that answer an instance that asks for the facts. */
const MAX_REPLY_MESSAGES = 4;
/** Instances that are asked at each `REPAIR_INTERVAL_MS` until one replies. */
const ASKED_INSTANCES = 3;
const MAX_QUESTIONS = 10;

/**
 * Spreads facts to all instances of the fleet, not only those of a group. News goes to random instances for a number of rounds
 * that grows with the logarithm of the fleet; what is lost on the way is repeated at a low rate. An instance that has
 * started or was suspended asks others. The bytes of an instance do not grow with the fleet.
 */
export class FleetGossip implements AsyncDisposable {
  private readonly queue = new GossipQueue<GossipFact>({
    maxUpdatesPerDatagram: MAX_FACTS_PER_MESSAGE,
    measure: measureFact,
  });
  /** Time of the last message by the address of its sender. */
  private readonly heardAtMs = new Map<string, number>();
  private readonly repairTimer: NodeJS.Timeout;
  private roundTimer: NodeJS.Timeout | undefined;
  private peers: readonly PeerAddress[] = [];
  private questionsLeft = MAX_QUESTIONS;
  private readonly suspension = new SuspensionDetector();

  constructor(private readonly options: FleetGossipOptions) {
    options.socket.setHandler('gossip', (bytes, sender) => {
      this.#handleMessage(bytes, sender);
    });
    this.repairTimer = setInterval(() => {
      // A suspended process may have missed facts.
      if (this.suspension.checkSuspension()) this.questionsLeft = MAX_QUESTIONS;
      this.#requestMissedFacts();
      this.#sendRepair();
    }, REPAIR_INTERVAL_MS);
  }

  /** Takes in the announced instances. */
  setPeers(instances: readonly PeerAddress[]): void {
    const hadPeers = this.peers.length > 0;
    this.peers = instances.filter(({ instanceId }) => instanceId !== this.options.instanceId);
    const addresses = new Set(this.peers.map(formatAddress));
    for (const address of this.heardAtMs.keys()) {
      if (!addresses.has(address)) this.heardAtMs.delete(address);
    }
    if (!hadPeers) this.#requestMissedFacts();
  }

  /** Asks some instances for the facts that this one may have missed while it had no contact. */
  requestMissedFacts(): void {
    this.questionsLeft = MAX_QUESTIONS;
    this.#requestMissedFacts();
  }

  /** Asks instances for all facts; an instance that runs replies also when it knows none. */
  requestFacts(peers: readonly PeerAddress[]): void {
    this.#send({ wantsFacts: true, facts: [] }, peers);
  }

  /** Time of the last message of an instance, in milliseconds of the monotonic clock; undefined if there was none. */
  getHeardAtMs(peer: PeerAddress): number | undefined {
    return this.heardAtMs.get(formatAddress(peer));
  }

  /**
   * Spreads a fact that is news.
   *
   * @param key identifies the fact, so that a newer version replaces it
   * @param build returns the fact at the time of sending; undefined when it no longer holds
   * @param urgency `normal` by default; the bytes of `urgent` facts grow with the fleet
   */
  publish(
    key: string,
    build: (nowMs: number) => GossipFact | undefined,
    urgency: Urgency = 'normal',
  ): void {
    this.queue.put(key, build);
    if (urgency === 'urgent') this.#sendToAll(build(this.options.clock()));
    this.#scheduleRound();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    clearInterval(this.repairTimer);
    clearTimeout(this.roundTimer);
    await Promise.resolve();
  }

  #scheduleRound(): void {
    this.roundTimer ??= setTimeout(() => {
      this.roundTimer = undefined;
      this.#sendNews();
      if (!this.queue.isEmpty()) this.#scheduleRound();
    }, ROUND_INTERVAL_MS);
  }

  #requestMissedFacts(): void {
    if (this.questionsLeft === 0 || this.peers.length === 0) return;
    this.questionsLeft -= 1;
    this.requestFacts(this.#pickPeers(ASKED_INSTANCES));
  }

  #sendToAll(fact: GossipFact | undefined): void {
    if (fact !== undefined) this.#send({ wantsFacts: false, facts: [fact] }, this.peers);
  }

  #sendNews(): void {
    const facts = this.queue.takeUpdates(
      MAX_MESSAGE_BYTES,
      computeRoundScale(this.peers.length + 1),
      new Set(),
      this.options.clock(),
    );
    if (facts.length === 0) return;
    const receivers = this.#pickPeers(FANOUT);
    for (const part of splitByKind(facts)) {
      if (part.length > 0) this.#send({ wantsFacts: false, facts: part }, receivers);
    }
  }

  #sendRepair(): void {
    const receivers = this.#pickPeers(1);
    for (const part of splitByKind(this.options.listFacts())) {
      const [facts] = splitFacts(part);
      if (facts !== undefined) this.#send({ wantsFacts: false, facts }, receivers);
    }
  }

  #handleMessage(bytes: Buffer, sender: SenderAddress): void {
    const { log, clock, onFact, listFacts } = this.options;
    const decoded = decodeGossip(bytes);
    if (decoded.kind === 'invalid') {
      log.warn('received an invalid datagram', { reason: decoded.reason });
      return;
    }
    this.heardAtMs.set(formatAddress(sender), clock());
    const { wantsFacts, facts } = decoded.message;
    if (!wantsFacts) this.questionsLeft = 0;
    for (const fact of facts) onFact(fact);
    if (!wantsFacts) return;
    const [usual, ...separate] = splitByKind(listFacts());
    // A reply without facts shows a sender of any version that this instance runs.
    const replies = usual.length > 0 ? splitFacts(usual) : [[]];
    for (const reply of [...replies, ...separate.flatMap(splitFacts)]) {
      this.#send({ wantsFacts: false, facts: reply }, [sender]);
    }
  }

  #send(message: Parameters<typeof encodeGossip>[0], receivers: readonly SenderAddress[]): void {
    this.options.socket.send(encodeGossip(message), receivers);
  }

  #pickPeers(count: number): PeerAddress[] {
    const remaining = [...this.peers];
    const picked: PeerAddress[] = [];
    while (picked.length < count && remaining.length > 0) {
      picked.push(...remaining.splice(Math.floor(Math.random() * remaining.length), 1));
    }
    return picked;
  }
}

function formatAddress({ address, port }: SenderAddress): string {
  return `${address}:${port}`;
}

/**
 * Separates the facts that instances of older versions do not know, since these reject a message as a whole. It also keeps many
 * facts of one kind from taking the place of the others.
 */
function splitByKind(
  facts: readonly GossipFact[],
): [usual: GossipFact[], leaving: GossipFact[], removed: GossipFact[]] {
  return [
    facts.filter(({ kind }) => kind !== 'leaving' && kind !== 'removed'),
    facts.filter(({ kind }) => kind === 'leaving'),
    facts.filter(({ kind }) => kind === 'removed'),
  ];
}

/** Splits the first facts into the contents of up to `MAX_REPLY_MESSAGES` messages. */
function splitFacts(facts: readonly GossipFact[]): GossipFact[][] {
  const messages: GossipFact[][] = [];
  let remainingBytes = 0;
  for (const fact of facts) {
    const size = measureFact(fact);
    const last = messages.at(-1);
    if (last === undefined || size > remainingBytes || last.length === MAX_FACTS_PER_MESSAGE) {
      if (messages.length === MAX_REPLY_MESSAGES) break;
      messages.push([fact]);
      remainingBytes = MAX_MESSAGE_BYTES - size;
      continue;
    }
    last.push(fact);
    remainingBytes -= size;
  }
  return messages;
}

/**
 * Computes the number of instances by which the queue limits the rounds of a fact. A round sends it to two instances, so
 * half of the rounds are enough for as many copies.
 */
function computeRoundScale(instanceCount: number): number {
  return Math.ceil(instanceCount ** (1 / FANOUT));
}
