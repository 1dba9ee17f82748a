import { createSocket } from 'node:dgram';
import type { Socket } from 'node:dgram';
import { isIP } from 'node:net';
import type { GatewayLog } from './log-and-clock';
import type { TrafficMeter } from './traffic-meter';

/** Address at which an instance receives datagrams of the others. */
export interface PeerAddress {
  instanceId: string;
  address: string;
  port: number;
  /**
   * Whether the instance replies to each question, so that its silence means that it is gone. Missing in announcements of older
   * versions.
   */
  isWatchable?: boolean;
  /** Whether the instance answers questions about the store. Missing in announcements of older versions. */
  isReaderCandidate?: boolean;
  /** Missing in announcements of older versions. */
  failureDomain?: string;
}

export type SenderAddress = Pick<PeerAddress, 'address' | 'port'>;

const MAX_PORT = 65_535;

/** Whether datagrams can be sent to an address, which another writer may have announced. */
export function isUsableAddress(candidate: {
  address: unknown;
  port: unknown;
}): candidate is SenderAddress {
  const { address, port } = candidate;
  if (typeof address !== 'string' || isIP(address) === 0) return false;
  return typeof port === 'number' && Number.isInteger(port) && port > 0 && port <= MAX_PORT;
}

/** What a datagram carries. */
export type DatagramKind = 'load-report' | 'gossip' | 'send-counts' | 'store' | 'usage';
type DatagramHandler = (bytes: Buffer, sender: SenderAddress) => void;

export interface PeerSocketOptions {
  address: string;
  port: number;
  log: GatewayLog;
  traffic: TrafficMeter;
}

/** First byte of each kind of datagram: the kinds are CBOR arrays of different numbers of items. */
const KIND_BY_FIRST_BYTE: ReadonlyMap<number | undefined, DatagramKind> = new Map([
  [0x82, 'store'],
  [0x83, 'gossip'],
  [0x84, 'send-counts'],
  [0x85, 'load-report'],
  [0x87, 'usage'],
]);

/** UDP socket for the messages between instances. */
export class PeerSocket implements AsyncDisposable {
  private readonly socket: Socket;
  private readonly handlers = new Map<DatagramKind, DatagramHandler>();
  private isClosed = false;

  constructor(private readonly options: PeerSocketOptions) {
    const { address, port, log, traffic } = options;
    this.socket = createSocket('udp4');
    this.socket.on('message', (bytes, sender) => {
      traffic.recordBytes('peer', 'received', bytes.length);
      const kind = KIND_BY_FIRST_BYTE.get(bytes[0]);
      const handle = kind === undefined ? undefined : this.handlers.get(kind);
      if (handle !== undefined) handle(bytes, sender);
      else log.warn('received a datagram without a handler', { kind, bytes: bytes.length });
    });
    this.socket.on('error', (error) => {
      log.warn('peer socket failed', { error: error.message });
    });
    this.socket.bind(port, address);
  }

  /** Sets the handler of a kind of datagram; a kind without a handler is logged and dropped. */
  setHandler(kind: DatagramKind, handler: DatagramHandler): void {
    this.handlers.set(kind, handler);
  }

  /** Sends a datagram to each receiver with a usable address. A datagram can be lost. */
  send(bytes: Buffer, receivers: readonly SenderAddress[]): void {
    // Requests that end during a shutdown still cause messages.
    if (this.isClosed) return;
    const { log, traffic } = this.options;
    traffic.recordBytes('peer', 'sent', bytes.length * receivers.length);
    for (const receiver of receivers) {
      const { port, address } = receiver;
      // The socket throws for a port out of range.
      if (!isUsableAddress(receiver)) {
        log.debug('a datagram has no usable receiver', { address, port });
        continue;
      }
      this.socket.send(bytes, port, address, (error) => {
        if (error) log.debug('failed to send a datagram', { address, port, error });
      });
    }
  }

  async [Symbol.asyncDispose](): Promise<void> {
    if (this.isClosed) return;
    this.isClosed = true;
    await new Promise<void>((resolve) => {
      this.socket.close(resolve);
    });
  }
}
