/** Messages and bytes since the process started, without TCP, UDP and IP headers. */
export interface TrafficCounts {
  sentMessages: number;
  sentBytes: number;
  receivedMessages: number;
  receivedBytes: number;
}

/** Counts the messages and bytes between instances on one kind of socket. */
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

  /**
   * Records received bytes. A read from a TCP link can complete any number of messages; a datagram is
   * exactly one message.
   */
  recordReceived(bytes: number, messages = 1): void {
    this.#counts.receivedMessages += messages;
    this.#counts.receivedBytes += bytes;
  }

  getCounts(): TrafficCounts {
    return { ...this.#counts };
  }
}

/** Counters of the control traffic between instances. */
export interface ControlTraffic {
  /** UDP datagrams of the membership protocol. */
  membership: TrafficCounter;
  /** Frames on the TCP links, including handshakes. */
  links: TrafficCounter;
}
