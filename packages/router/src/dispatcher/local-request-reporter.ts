import { chooseOwner } from '@pollendrum/policy';
import type { MembershipPort, PeerPort } from '../ports';
import type { Attempt } from './attempt-table';

/**
 * Reports requests whose entry and dispatcher are both this instance to another instance, which watches
 * them. Otherwise no instance could record an outcome and a cause for them when this instance dies.
 */
export class LocalRequestReporter {
  readonly #watchers = new Map<string, string>();

  constructor(
    private readonly peers: PeerPort,
    private readonly membership: Pick<MembershipPort, 'getView'>,
  ) {}

  /** `tier` is the tier of the attempt's class; `nowMs` is on the dispatcher's clock. */
  addAttempt(attempt: Attempt, tier: number, nowMs: number): void {
    if (attempt.entryInstanceId !== this.peers.instanceId) return;
    const watcherId = this.#chooseWatcher(attempt.requestId);
    if (watcherId === undefined) return;
    const { attemptId, requestId, className, team, bundleNumber, shard } = attempt;
    const { poolId } = shard.route;
    this.#watchers.set(attemptId, watcherId);
    this.peers.sendMessage(watcherId, {
      kind: 'watch-request',
      ...{ attemptId, requestId, className, tier, team, bundleNumber },
      target: poolId.slice(poolId.indexOf(':') + 1),
      arrivedAgoMs: Math.max(0, nowMs - attempt.arrivedAtMs),
    });
  }

  removeAttempt(attemptId: string): void {
    const watcherId = this.#watchers.get(attemptId);
    if (watcherId === undefined) return;
    this.#watchers.delete(attemptId);
    this.peers.sendMessage(watcherId, { kind: 'unwatch-request', attemptId });
  }

  #chooseWatcher(requestId: string): string | undefined {
    const { members } = this.membership.getView();
    const others = members
      .filter(({ state, instanceId }) => state === 'alive' && instanceId !== this.peers.instanceId)
      .map(({ instanceId }) => instanceId);
    return chooseOwner(requestId, others);
  }
}
