import type { BackendServer } from './bundle';
import type { ServerLimit } from './header-codec';
import type { GatewayLog } from './log-and-clock';

export interface LimitObserverOptions {
  log: GatewayLog;
  /** Called with each answer of a server that names no limit or a usable one. */
  onAnswer(server: BackendServer, requestsPerSecond: number | undefined): void;
}

/** Reads the limits that backend servers name in their answers, and logs those that are not usable once a server. */
export class LimitObserver {
  /** Text of the last invalid limit by server id. */
  private readonly invalidLimits = new Map<string, string>();

  constructor(private readonly options: LimitObserverOptions) {}

  observeAnswer(server: BackendServer, limit: ServerLimit): void {
    const { log, onAnswer } = this.options;
    const { serverId } = server;
    switch (limit.kind) {
      case 'none':
        this.invalidLimits.delete(serverId);
        onAnswer(server, undefined);
        return;
      case 'limit':
        this.invalidLimits.delete(serverId);
        onAnswer(server, limit.requestsPerSecond);
        return;
      case 'invalid':
        if (this.invalidLimits.get(serverId) === limit.text) return;
        this.invalidLimits.set(serverId, limit.text);
        log.warn('backend server named an invalid limit; it is ignored', {
          serverId,
          limit: limit.text,
        });
        return;
    }
  }

  removeServer(serverId: string): void {
    this.invalidLimits.delete(serverId);
  }
}
