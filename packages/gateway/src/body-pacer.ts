import type { Socket } from 'node:net';
import { PartPace } from '@pollendrum/policy';

/** Interval at which stopped bodies are read on, in milliseconds. */
const RESUME_INTERVAL_MS = 20;
/** The same while many are stopped, so that the others' requests are read in between. */
const CROWDED_RESUME_INTERVAL_MS = 250;
/** Stopped connections beyond which further ones are not worth the processor time of their next read. */
const MAX_STOPPED = 3;

/** Stops reading bodies that arrive in very many small parts, and reads them on in turns. */
export class BodyPacer implements Disposable {
  private readonly pace: PartPace;
  /** Sockets that are not read now, the longest waiting first. */
  private readonly stopped = new Set<Socket>();
  private timer: NodeJS.Timeout | undefined;
  private resumedAtMs = 0;

  constructor(
    private readonly options: {
      partsPerSecond: number;
      clock: () => number;
      onStop: () => void;
    },
  ) {
    this.pace = new PartPace(options.partsPerSecond, options.clock());
  }

  /** Takes in a part of a body and stops reading its connection if there were too many. */
  recordPart(socket: Socket): void {
    this.pace.record(1);
    if (this.stopped.has(socket)) {
      this.#stopReading(socket);
      return;
    }
    if (this.pace.isReadable(this.options.clock())) return;
    this.stopped.add(socket);
    this.options.onStop();
    this.#stopReading(socket);
    this.timer ??= setInterval(() => {
      this.#resumeStopped();
    }, RESUME_INTERVAL_MS);
  }

  /** Whether so many bodies are stopped that those in small parts should be refused. */
  isCrowded(): boolean {
    return this.stopped.size >= MAX_STOPPED;
  }

  isStopped(socket: Socket): boolean {
    return this.stopped.has(socket);
  }

  /** Reads on a connection whose body is not read any more. */
  release(socket: Socket): void {
    if (this.stopped.delete(socket)) socket.resume();
  }

  [Symbol.dispose](): void {
    clearInterval(this.timer);
  }

  #stopReading(socket: Socket): void {
    // After each part, Node resumes the socket in a tick. A microtask runs after the ticks and before the next read.
    queueMicrotask(() => {
      if (this.stopped.has(socket)) socket.pause();
    });
  }

  #resumeStopped(): void {
    // One at a time, since the next read of each may bring thousands of parts.
    const [socket] = this.stopped;
    const nowMs = this.options.clock();
    const isDue = !this.isCrowded() || nowMs - this.resumedAtMs >= CROWDED_RESUME_INTERVAL_MS;
    if (socket !== undefined && isDue && this.pace.isReadable(nowMs)) {
      this.resumedAtMs = nowMs;
      this.release(socket);
    }
    if (this.stopped.size > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
  }
}
