import type { Socket } from 'node:net';

/** What an instance exchanges bytes with. */
export const TRAFFIC_PARTIES = ['caller', 'backend', 'peer', 'store', 'platform'] as const;
export type TrafficParty = (typeof TRAFFIC_PARTIES)[number];
export type TrafficDirection = 'received' | 'sent';

/** Bytes since the start of the process, without the headers of TCP, UDP and IP. */
export type TrafficBytes = Record<TrafficDirection, number>;

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
    platform: makePartyTraffic(),
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

function makePartyTraffic(): PartyTraffic {
  return { bytes: { received: 0, sent: 0 }, openSockets: new Set() };
}
