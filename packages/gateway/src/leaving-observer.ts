import type { BackendServer } from './bundle';
import type { LeavingNotice } from './header-codec';
import type { GatewayLog } from './log-and-clock';
import { makeServerKey } from './server-key';

/** What an instance hears first that a server leaves: the head of an answer, or the server's entry in the store. */
export type LeavingSource =
  { kind: 'answer'; status: number } | { kind: 'entry-draining' } | { kind: 'entry-removed' };

export interface LeavingObserverOptions {
  log: GatewayLog;
  /** Called once for each process of a server, when the instance first hears that it leaves. */
  onFirstNotice(server: BackendServer, source: LeavingSource): void;
  /** Called with each request that is sent to a process after the instance has heard that it leaves. */
  onLateSend(server: BackendServer): void;
}

/** Observes what says that backend servers leave, and the requests that are sent to them afterwards. */
export class LeavingObserver {
  /** Key of the process that leaves, by server id. */
  private readonly leavingKeys = new Map<string, string>();
  /** Text of the last invalid notice by server id. */
  private readonly invalidNotices = new Map<string, string>();

  constructor(private readonly options: LeavingObserverOptions) {}

  /** Takes in the notice of an answer, when its head arrives; the answer must not be that of another server. */
  observeAnswer(server: BackendServer, notice: LeavingNotice, status: number): void {
    switch (notice.kind) {
      case 'staying':
        return;
      case 'leaving':
        this.recordLeaving(server, { kind: 'answer', status });
        return;
      case 'invalid':
        this.#reportInvalid(server, notice.text);
        return;
    }
  }

  /** Records that a process of a server leaves; only the first source counts. */
  recordLeaving(server: BackendServer, source: LeavingSource): void {
    const { log, onFirstNotice } = this.options;
    const { serverId, service } = server;
    const key = makeServerKey(server);
    if (this.leavingKeys.get(serverId) === key) return;
    this.leavingKeys.set(serverId, key);
    log.info('backend server leaves', { serverId, service, source: source.kind, ...source });
    onFirstNotice(server, source);
  }

  /** Takes in that a request is sent to a server. */
  observeSend(server: BackendServer): void {
    if (this.leavingKeys.get(server.serverId) !== makeServerKey(server)) return;
    this.options.onLateSend(server);
  }

  /** Forgets a server whose entry is gone. */
  removeServer(serverId: string): void {
    this.leavingKeys.delete(serverId);
    this.invalidNotices.delete(serverId);
  }

  #reportInvalid({ serverId, service }: BackendServer, text: string): void {
    if (this.invalidNotices.has(serverId)) return;
    this.invalidNotices.set(serverId, text);
    this.options.log.warn('backend server sent an invalid notice that it leaves; it is ignored', {
      ...{ serverId, service, notice: text },
    });
  }
}
