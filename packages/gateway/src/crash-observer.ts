import type { RequestTrait } from '@pollendrum/policy';
import type { BackendServer } from './bundle';
import { checkConnection } from './connection-check';
import type { Clock, GatewayLog } from './log-and-clock';
import { makeServerKey } from './server-key';

/** The end of a backend server's process while a request had not got the beginning of its answer. */
export interface ObservedCrash {
  /** The same for all requests and instances that observe the crash. */
  crashId: string;
  server: BackendServer;
  requestId: string | undefined;
  traits: readonly RequestTrait[];
  /** Time at which the attempt broke, in milliseconds of the monotonic clock. */
  atMs: number;
}

export interface CrashObserverOptions {
  clock: Clock;
  log: GatewayLog;
  /** Whether the platform takes the server back, so that its end is no sign of a crash. */
  isReclaimed(server: BackendServer): boolean;
  onCrash(crash: ObservedCrash): void;
}

/**
 * Tells servers that end from connections that break. A server that has ended refuses connections; one whose connections
 * were reset accepts them, and one that is cut off or without power does not answer.
 */
export class CrashObserver {
  private readonly checks = new Map<string, Promise<boolean>>();

  constructor(private readonly options: CrashObserverOptions) {}

  /**
   * Takes in an attempt that broke before its answer began; `onCrash` is called if the server has ended. Resolves when
   * that is known.
   */
  async observeBrokenAttempt(
    server: BackendServer,
    requestId: string | undefined,
    traits: readonly RequestTrait[],
  ): Promise<void> {
    const { clock, log, onCrash, isReclaimed } = this.options;
    if (isReclaimed(server)) return;
    // A server process ends once, so its key identifies its crash.
    const crashId = makeServerKey(server);
    const atMs = clock();
    if (!(await this.#checkCrash(crashId, server))) return;
    const { serverId, service } = server;
    log.warn('backend server ended during a request', { serverId, service, requestId, traits });
    onCrash({ crashId, server, requestId, traits, atMs });
  }

  /** Checks a server once for all attempts that break together. */
  #checkCrash(crashId: string, { host, port }: BackendServer): Promise<boolean> {
    const running = this.checks.get(crashId);
    if (running !== undefined) return running;
    const check = checkConnection(host, port).then((result) => {
      this.checks.delete(crashId);
      return result === 'refused';
    });
    this.checks.set(crashId, check);
    return check;
  }
}
