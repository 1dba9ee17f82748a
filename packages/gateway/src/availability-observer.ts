import type { BackendServer } from './bundle';
import type { LeavingNotice } from './header-codec';
import type { GatewayLog } from './log-and-clock';
import type { RetryAfter } from './retry-after';

export interface AvailabilityObserverOptions {
  log: GatewayLog;
  /** Called with each answer in which a server says that it leaves. */
  onLeaving(server: BackendServer, status: number): void;
  /** Called with each answer in which a server asks for a pause; `durationMs` can be 0. */
  onPause(server: BackendServer, durationMs: number): void;
}

type NoticeKind = 'leaving' | 'pause';

const INVALID_MESSAGES: Readonly<Record<NoticeKind, string>> = {
  leaving: 'backend server sent an invalid notice that it leaves; it is ignored',
  pause: 'backend server asked for a pause with an invalid time; it is ignored',
};

/** Reads what backend servers say in their answers about taking requests, and logs what is not valid once a server. */
export class AvailabilityObserver {
  /** Kinds of notices of which an invalid one has been logged, by server id. */
  private readonly reportedKinds = new Map<string, Set<NoticeKind>>();

  constructor(private readonly options: AvailabilityObserverOptions) {}

  /** Takes in the notice of an answer, when its head arrives; the answer must not be that of another server. */
  observeLeaving(server: BackendServer, notice: LeavingNotice, status: number): void {
    switch (notice.kind) {
      case 'staying':
        return;
      case 'leaving':
        this.options.onLeaving(server, status);
        return;
      case 'invalid':
        this.#reportInvalid(server, 'leaving', notice.text);
        return;
    }
  }

  /** Takes in for how long a server that turns requests away wants none; the answer must not be that of another server. */
  observeRetryAfter(server: BackendServer, retryAfter: RetryAfter): void {
    switch (retryAfter.kind) {
      case 'none':
        return;
      case 'pause':
        this.options.onPause(server, retryAfter.durationMs);
        return;
      case 'invalid':
        this.#reportInvalid(server, 'pause', retryAfter.text);
        return;
    }
  }

  /** Forgets a server whose entry is gone. */
  removeServer(serverId: string): void {
    this.reportedKinds.delete(serverId);
  }

  #reportInvalid({ serverId, service }: BackendServer, kind: NoticeKind, text: string): void {
    const reported = this.reportedKinds.get(serverId) ?? new Set();
    if (reported.has(kind)) return;
    this.reportedKinds.set(serverId, reported.add(kind));
    this.options.log.warn(INVALID_MESSAGES[kind], { serverId, service, notice: text });
  }
}
