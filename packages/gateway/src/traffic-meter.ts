import type { Socket } from 'node:net';
import type { GatewayLog } from './log-and-clock';

/** What an instance exchanges bytes with. */
export const TRAFFIC_PARTIES = ['caller', 'backend', 'peer', 'store'] as const;
export type TrafficParty = (typeof TRAFFIC_PARTIES)[number];
export type TrafficDirection = 'received' | 'sent';

/** Bytes since the start of the process, without the headers of TCP, UDP and IP. */
export type TrafficBytes = Record<TrafficDirection, number>;

/** Interval of the log line with the bytes per second, in milliseconds. */
const LOG_INTERVAL_MS = 5_000;
const MS_PER_SECOND = 1_000;

interface PartyTraffic {
  bytes: TrafficBytes;
  openSockets: Set<Socket>;
}

/** Counts the bytes that an instance receives and sends, by the party that it exchanges them with. */
export class TrafficMeter {
  private readonly parties: Record<TrafficParty, PartyTraffic> = {
    caller: makePartyTraffic(),
    backend: makePartyTraffic(),
    peer: makePartyTraffic(),
    store: makePartyTraffic(),
  };

  /** Counts the bytes of a TCP socket until it is closed. */
  addSocket(party: TrafficParty, socket: Socket): void {
    const { bytes, openSockets } = this.parties[party];
    openSockets.add(socket);
    socket.once('close', () => {
      openSockets.delete(socket);
      bytes.received += socket.bytesRead;
      bytes.sent += socket.bytesWritten;
    });
  }

  recordBytes(party: TrafficParty, direction: TrafficDirection, bytes: number): void {
    this.parties[party].bytes[direction] += bytes;
  }

  readBytes(party: TrafficParty): TrafficBytes {
    const { bytes, openSockets } = this.parties[party];
    const total = { ...bytes };
    for (const socket of openSockets) {
      total.received += socket.bytesRead;
      total.sent += socket.bytesWritten;
    }
    return total;
  }
}

/** Logs the bytes per second at a fixed interval, so that a full link can be told from a slow process. */
export class TrafficLog implements Disposable {
  private readonly timer: NodeJS.Timeout;
  private previous: Record<TrafficParty, TrafficBytes>;

  constructor(
    private readonly meter: TrafficMeter,
    private readonly log: GatewayLog,
  ) {
    this.previous = readAll(meter);
    this.timer = setInterval(() => {
      this.#writeLine();
    }, LOG_INTERVAL_MS);
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
  }

  #writeLine(): void {
    const current = readAll(this.meter);
    const previous = this.previous;
    this.previous = current;
    const rates = TRAFFIC_PARTIES.map((party) => [
      party,
      {
        received: toBytesPerSecond(current[party].received - previous[party].received),
        sent: toBytesPerSecond(current[party].sent - previous[party].sent),
      },
    ]);
    this.log.info('bytes per second', Object.fromEntries(rates) as Record<string, unknown>);
  }
}

function makePartyTraffic(): PartyTraffic {
  return { bytes: { received: 0, sent: 0 }, openSockets: new Set() };
}

function readAll(meter: TrafficMeter): Record<TrafficParty, TrafficBytes> {
  return {
    caller: meter.readBytes('caller'),
    backend: meter.readBytes('backend'),
    peer: meter.readBytes('peer'),
    store: meter.readBytes('store'),
  };
}

function toBytesPerSecond(bytes: number): number {
  return Math.round((bytes * MS_PER_SECOND) / LOG_INTERVAL_MS);
}
