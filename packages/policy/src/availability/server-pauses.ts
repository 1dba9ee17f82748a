import type { LimitRoom } from '../limits';

/** Whether a request may be sent to a server that may have asked for a pause. */
export type PauseJudgement =
  /** The server has not asked for a pause, or is used as usual again. */
  | { kind: 'open' }
  /** The pause is over, and one more request may be sent although the server is not proven to be usable. */
  | { kind: 'returning' }
  /** The pause is over, and as many requests as are allowed yet wait for their response head. */
  | { kind: 'returning-full' }
  /** `untilMs` is the time at which this instance returns. */
  | { kind: 'paused'; untilMs: number };

/** A request to a server that returns from a pause; ends with `recordHead` or `recordEnd`. */
export interface ReturningSend {
  serverKey: string;
  sentAtMs: number;
}

/** What the head of a response to a returning request says. */
export type ReturningHead = 'answer' | 'refusal';

export interface ServerPausesOptions {
  /** Returns a number from 0 to 1. */
  random(): number;
  /** Counts the instances that use a server, this one included. */
  countInstances(serverKey: string): number;
}

interface ServerPause {
  /** End of the pause that the server has asked for. */
  endsAtMs: number;
  /** Time at which this instance sends the first request, from `endsAtMs` on. */
  returnsAtMs: number;
  /** Requests without a response head that are allowed at once after the pause. */
  places: number;
  pending: Set<ReturningSend>;
}

/** Mean time between the returns of two instances, and between two callers that are told when a server returns. */
const RETURN_INTERVAL_MS = 25;
/** Longest time over which the returns are spread, in milliseconds and as a share of the pause. */
const MAX_SPREAD_MS = 3_000;
const MAX_SPREAD_SHARE = 0.5;
/** Requests without a response head at which a server counts as usable again. */
const USUAL_PLACES = 8;
/** Time after which a request without a response head gives its place to another, in milliseconds. */
const PLACE_TIMEOUT_MS = 2_000;
/** Time until a place may be free at a server that returns, in milliseconds. */
const PLACE_WAIT_MS = 50;
const MAX_SERVERS = 16_384;

/**
 * Keeps the pauses that servers ask for. A pause belongs to one start of a server, which its key names. Afterwards the
 * instances return one after the other, each with one request at first.
 */
export class ServerPauses {
  private readonly servers = new Map<string, ServerPause>();

  constructor(private readonly options: ServerPausesOptions) {}

  /**
   * Takes in that a server wants no requests for a time. Of several pauses the one that ends last holds; a pause of 0
   * only counts as a refusal.
   */
  recordPause(serverKey: string, durationMs: number, nowMs: number): void {
    const known = this.servers.get(serverKey);
    if (known !== undefined) known.places = 1;
    const endsAtMs = nowMs + durationMs;
    if (durationMs <= 0 || (known !== undefined && known.endsAtMs >= endsAtMs)) return;
    const returnsAtMs = endsAtMs + this.#chooseDelayMs(serverKey, durationMs);
    const pending = known?.pending ?? new Set();
    this.servers.delete(serverKey);
    this.servers.set(serverKey, { endsAtMs, returnsAtMs, places: 1, pending });
    this.#discardOldest();
  }

  hasServers(): boolean {
    return this.servers.size > 0;
  }

  judge(serverKey: string, nowMs: number): PauseJudgement {
    const server = this.servers.get(serverKey);
    if (server === undefined) return { kind: 'open' };
    if (nowMs < server.returnsAtMs) return { kind: 'paused', untilMs: server.returnsAtMs };
    removeExpired(server, nowMs);
    return { kind: server.pending.size < server.places ? 'returning' : 'returning-full' };
  }

  /** Records that a request is sent; undefined if the server is open, whose requests are not counted. */
  recordSend(serverKey: string, nowMs: number): ReturningSend | undefined {
    const server = this.servers.get(serverKey);
    if (server === undefined) return undefined;
    const send = { serverKey, sentAtMs: nowMs };
    server.pending.add(send);
    return send;
  }

  /** Records the head of the response to a request. `recordPause` is called in addition if it asks for a pause. */
  recordHead(send: ReturningSend, head: ReturningHead): void {
    const server = this.servers.get(send.serverKey);
    if (server === undefined) return;
    server.pending.delete(send);
    switch (head) {
      case 'refusal':
        server.places = 1;
        return;
      case 'answer':
        // An answer to a request from before the pause says nothing about the time after it.
        if (send.sentAtMs < server.returnsAtMs) return;
        server.places *= 2;
        if (server.places >= USUAL_PLACES) this.servers.delete(send.serverKey);
        return;
    }
  }

  /** Records that a request has ended, which frees its place if it had no response head. */
  recordEnd(send: ReturningSend): void {
    this.servers.get(send.serverKey)?.pending.delete(send);
  }

  /** Estimates when one of these servers takes requests again; undefined if none of them has asked for a pause. */
  estimateRoom(serverKeys: readonly string[], nowMs: number): LimitRoom | undefined {
    const rooms = serverKeys.flatMap((serverKey) => {
      const judgement = this.judge(serverKey, nowMs);
      if (judgement.kind === 'open') return [];
      const intervalMs = RETURN_INTERVAL_MS * this.options.countInstances(serverKey);
      switch (judgement.kind) {
        case 'returning':
          return [{ roomInMs: 0, intervalMs }];
        case 'returning-full':
          return [{ roomInMs: PLACE_WAIT_MS, intervalMs }];
        case 'paused':
          return [{ roomInMs: judgement.untilMs - nowMs, intervalMs }];
      }
    });
    if (rooms.length === 0) return undefined;
    const roomInMs = Math.min(...rooms.map((room) => room.roomInMs));
    const soon = rooms.filter((room) => room.roomInMs <= roomInMs + room.intervalMs);
    const requestsPerMs = soon.reduce((sum, { intervalMs }) => sum + 1 / intervalMs, 0);
    return { roomInMs, intervalMs: 1 / requestsPerMs };
  }

  removeServers(isObsolete: (serverKey: string) => boolean): void {
    for (const serverKey of this.servers.keys()) {
      if (isObsolete(serverKey)) this.servers.delete(serverKey);
    }
  }

  /** Counts the servers that are not used as usual. */
  countServers(): number {
    return this.servers.size;
  }

  #chooseDelayMs(serverKey: string, durationMs: number): number {
    const spreadMs = Math.min(
      RETURN_INTERVAL_MS * (this.options.countInstances(serverKey) - 1),
      durationMs * MAX_SPREAD_SHARE,
      MAX_SPREAD_MS,
    );
    return this.options.random() * Math.max(0, spreadMs);
  }

  #discardOldest(): void {
    if (this.servers.size <= MAX_SERVERS) return;
    const [oldest] = this.servers.keys();
    if (oldest !== undefined) this.servers.delete(oldest);
  }
}

function removeExpired({ pending }: ServerPause, nowMs: number): void {
  for (const send of pending) {
    if (nowMs - send.sentAtMs >= PLACE_TIMEOUT_MS) pending.delete(send);
  }
}
