import { once } from 'node:events';
import { connect, createServer } from 'node:net';
import type { AddressInfo, Server, Socket } from 'node:net';

/** Forwards TCP connections to a port on loopback, counts HTTP posts, and can be cut off. */
export class Forwarder implements AsyncDisposable {
  /** When a POST passed, on the clock of `performance.now`. */
  readonly postTimesMs: number[] = [];
  isCut = false;
  readonly #sockets = new Set<Socket>();
  readonly #server: Server;

  private constructor(targetPort: number) {
    this.#server = createServer((incoming) => {
      this.#connectPair(incoming, targetPort);
    });
  }

  static async start(targetPort: number): Promise<Forwarder> {
    const forwarder = new Forwarder(targetPort);
    forwarder.#server.listen(0, '127.0.0.1');
    await once(forwarder.#server, 'listening');
    return forwarder;
  }

  get port(): number {
    return (this.#server.address() as AddressInfo).port;
  }

  /** Closes all connections, and new ones at once while cut. */
  setCut(isCut: boolean): void {
    this.isCut = isCut;
    if (!isCut) return;
    for (const socket of this.#sockets) socket.destroy();
  }

  async [Symbol.asyncDispose](): Promise<void> {
    this.setCut(true);
    const closed = once(this.#server, 'close');
    this.#server.close();
    await closed;
  }

  #connectPair(incoming: Socket, targetPort: number): void {
    if (this.isCut) {
      incoming.destroy();
      return;
    }
    const outgoing = connect(targetPort, '127.0.0.1');
    for (const socket of [incoming, outgoing]) {
      this.#sockets.add(socket);
      socket.setNoDelay(true);
      socket.on('error', () => undefined);
      socket.on('close', () => {
        this.#sockets.delete(socket);
        incoming.destroy();
        outgoing.destroy();
      });
    }
    incoming.on('data', (bytes: Buffer) => {
      // undici writes the head of a request in a chunk of its own.
      if (bytes.subarray(0, 5).toString('latin1') === 'POST ') {
        this.postTimesMs.push(performance.now());
      }
    });
    incoming.pipe(outgoing);
    outgoing.pipe(incoming);
  }
}
