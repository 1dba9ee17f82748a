import type { PeerMessage } from '@pollendrum/protocol';
import type { MembershipPort, PeerPort, Unsubscribe } from '../ports';

/** Lists the members that can be queried: all but suspects and the local instance. */
export function listPeerIds(membership: MembershipPort, localInstanceId: string): string[] {
  return membership
    .getView()
    .members.filter(({ state }) => state !== 'suspect')
    .map(({ instanceId }) => instanceId)
    .filter((instanceId) => instanceId !== localInstanceId);
}

/** Replies to a query of several peers. */
export interface PeerReplies<T> {
  replies: T[];
  /** Whether every peer replied in time. */
  isComplete: boolean;
}

interface PendingQuery<T> {
  awaitedInstanceIds: Set<string>;
  replies: T[];
  endQuery: () => void;
}

/** Sends queries to peers and collects the replies by query id. */
export class PeerQueries<T> implements Disposable {
  readonly #pendingQueries = new Map<string, PendingQuery<T>>();
  readonly #unsubscribe: Unsubscribe;
  #lastQueryNumber = 0;

  constructor(private readonly peers: PeerPort) {
    this.#unsubscribe = peers.watchLinkLoss((instanceId) => {
      for (const query of this.#pendingQueries.values()) removeAwaitedInstance(query, instanceId);
    });
  }

  /**
   * Sends a query with a new id to the instances. Resolves when each has replied or lost its link,
   * or on the timeout.
   */
  async requestAll(
    instanceIds: readonly string[],
    timeoutMs: number,
    buildMessage: (queryId: string) => PeerMessage,
  ): Promise<PeerReplies<T>> {
    this.#lastQueryNumber += 1;
    const queryId = `${this.peers.instanceId}:${this.#lastQueryNumber}`;
    const message = buildMessage(queryId);
    const releases: Unsubscribe[] = [];
    const query: PendingQuery<T> = {
      awaitedInstanceIds: new Set(instanceIds),
      replies: [],
      endQuery: () => undefined,
    };
    const ended = new Promise<void>((resolve) => {
      query.endQuery = resolve;
    });
    const timer = setTimeout(query.endQuery, timeoutMs);
    this.#pendingQueries.set(queryId, query);
    try {
      for (const instanceId of instanceIds) {
        releases.push(this.peers.requestPings(instanceId));
        if (!this.peers.sendMessage(instanceId, message)) removeAwaitedInstance(query, instanceId);
      }
      if (query.awaitedInstanceIds.size > 0) await ended;
      return { replies: query.replies, isComplete: query.replies.length === instanceIds.length };
    } finally {
      clearTimeout(timer);
      this.#pendingQueries.delete(queryId);
      for (const release of releases) release();
    }
  }

  /** Adds a reply to its query; replies to ended queries are ignored. */
  handleReply(instanceId: string, queryId: string, reply: T): void {
    const query = this.#pendingQueries.get(queryId);
    if (query?.awaitedInstanceIds.has(instanceId) !== true) return;
    query.replies.push(reply);
    removeAwaitedInstance(query, instanceId);
  }

  [Symbol.dispose](): void {
    this.#unsubscribe();
    for (const query of this.#pendingQueries.values()) query.endQuery();
  }
}

function removeAwaitedInstance<T>(query: PendingQuery<T>, instanceId: string): void {
  query.awaitedInstanceIds.delete(instanceId);
  if (query.awaitedInstanceIds.size === 0) query.endQuery();
}
