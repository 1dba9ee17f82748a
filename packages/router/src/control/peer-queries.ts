import type { PeerMessage } from '@pollendrum/protocol';
import type { MembershipPort, PeerPort, Unsubscribe } from '../ports';

/** Members other than the own instance that can be asked. */
export function listPeerIds(membership: MembershipPort, ownInstanceId: string): string[] {
  return membership
    .getView()
    .members.filter(({ state }) => state !== 'suspect')
    .map(({ instanceId }) => instanceId)
    .filter((instanceId) => instanceId !== ownInstanceId);
}

/** What came back from a question to several peers. */
export interface PeerAnswers<T> {
  answers: T[];
  /** Whether every peer answered in time. */
  isComplete: boolean;
}

interface OpenQuery<T> {
  waiting: Set<string>;
  answers: T[];
  endQuery: () => void;
}

/** Asks peers and collects their replies by query id. */
export class PeerQueries<T> implements Disposable {
  readonly #open = new Map<string, OpenQuery<T>>();
  readonly #unsubscribe: Unsubscribe;
  #lastQuery = 0;

  constructor(private readonly peer: PeerPort) {
    this.#unsubscribe = peer.watchLinkLoss((instanceId) => {
      for (const query of this.#open.values()) markAnswered(query, instanceId);
    });
  }

  /** Sends the message built for a new query id; waits for all replies or the time limit. */
  async requestAll(
    instanceIds: readonly string[],
    timeoutMs: number,
    buildMessage: (queryId: string) => PeerMessage,
  ): Promise<PeerAnswers<T>> {
    this.#lastQuery += 1;
    const queryId = `${this.peer.instanceId}:${this.#lastQuery}`;
    const message = buildMessage(queryId);
    const releases: Unsubscribe[] = [];
    const query: OpenQuery<T> = {
      waiting: new Set(instanceIds),
      answers: [],
      endQuery: () => undefined,
    };
    const ended = new Promise<void>((resolve) => {
      query.endQuery = resolve;
    });
    const timer = setTimeout(query.endQuery, timeoutMs);
    this.#open.set(queryId, query);
    try {
      for (const instanceId of instanceIds) {
        releases.push(this.peer.requestPings(instanceId));
        if (!this.peer.sendMessage(instanceId, message)) markAnswered(query, instanceId);
      }
      if (query.waiting.size > 0) await ended;
      return { answers: query.answers, isComplete: query.answers.length === instanceIds.length };
    } finally {
      clearTimeout(timer);
      this.#open.delete(queryId);
      for (const release of releases) release();
    }
  }

  /** Takes a reply; replies to ended queries are ignored. */
  handleReply(instanceId: string, queryId: string, answer: T): void {
    const query = this.#open.get(queryId);
    if (query?.waiting.has(instanceId) !== true) return;
    query.answers.push(answer);
    markAnswered(query, instanceId);
  }

  [Symbol.dispose](): void {
    this.#unsubscribe();
    for (const query of this.#open.values()) query.endQuery();
  }
}

function markAnswered<T>(query: OpenQuery<T>, instanceId: string): void {
  query.waiting.delete(instanceId);
  if (query.waiting.size === 0) query.endQuery();
}
