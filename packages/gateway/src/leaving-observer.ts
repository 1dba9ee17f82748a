import type { BackendServer } from './bundle';
import type { LeavingNotice } from './header-codec';
import type { GatewayLog } from './log-and-clock';

export interface LeavingObserverOptions {
  log: GatewayLog;
  /** Called with each answer in which a server says that it leaves. */
  onLeaving(server: BackendServer, status: number): void;
}

/** Reads the notices of backend servers that they leave, and logs those that are not valid once a server. */
export class LeavingObserver {
  /** Text of the last invalid notice by server id. */
  private readonly invalidNotices = new Map<string, string>();

  constructor(private readonly options: LeavingObserverOptions) {}

  /** Takes in the notice of an answer, when its head arrives; the answer must not be that of another server. */
  observeAnswer(server: BackendServer, notice: LeavingNotice, status: number): void {
    switch (notice.kind) {
      case 'staying':
        return;
      case 'leaving':
        this.options.onLeaving(server, status);
        return;
      case 'invalid':
        this.#reportInvalid(server, notice.text);
        return;
    }
  }

  /** Forgets a server whose entry is gone. */
  removeServer(serverId: string): void {
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
