/** Messages and bytes since the start, without the headers of TCP, UDP and IP. */
export interface TrafficCounts {
  sentMessages: number;
  sentBytes: number;
  receivedMessages: number;
  receivedBytes: number;
}

/** Counts the traffic between instances of one kind of socket. */
export class TrafficCounter {
  readonly #counts: TrafficCounts = {
    sentMessages: 0,
    sentBytes: 0,
    receivedMessages: 0,
    receivedBytes: 0,
  };

  recordSent(bytes: number): void {
    this.#counts.sentMessages += 1;
    this.#counts.sentBytes += bytes;
  }

  /** A chunk of a stream holds any number of messages, a datagram exactly one. */
  recordReceived(bytes: number, messages = 1): void {
    this.#counts.receivedMessages += messages;
    this.#counts.receivedBytes += bytes;
  }

  getCounts(): TrafficCounts {
    return { ...this.#counts };
  }
}

/** Counters of the traffic between instances. */
export interface ControlTraffic {
  /** UDP datagrams of membership. */
  membership: TrafficCounter;
  /** TCP frames of links, handshakes included. */
  links: TrafficCounter;
}
