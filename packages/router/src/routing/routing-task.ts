import type { ListedInstance } from '@pollendrum/protocol';
import type { LogPort, MembershipPort, RoutingPort, RoutingView, Unsubscribe } from '../ports';
import { buildRoutingView, type RoutingPolicy } from './routing-view';

/** Shortest time between two readings of the list that `refresh` starts. */
export const REFRESH_INTERVAL_MS = 200;

export interface RoutingTaskOptions extends RoutingPolicy {
  instanceId: string;
  membership: Pick<MembershipPort, 'getView' | 'watchView' | 'mergeList'>;
  /** Reads the platform's list. */
  fetchList: () => Promise<readonly ListedInstance[]>;
  log: LogPort;
  /**
   * Monotonic clock in milliseconds.
   * @default performance.now
   */
  getNowMs?: () => number;
}

export interface RoutingTask extends RoutingPort, Disposable {
  /** Takes in a reading of the platform's list. Tells membership about it, too. */
  updateList(instances: readonly ListedInstance[]): void;
}

/** Works out pools, shards and owners again at each change of membership or of the list. */
export function createRoutingTask(options: RoutingTaskOptions): RoutingTask {
  return new ListRoutingTask(options);
}

class ListRoutingTask implements RoutingTask {
  readonly #options: RoutingTaskOptions;
  readonly #listeners = new Set<(view: RoutingView) => void>();
  readonly #stopWatching: Unsubscribe;
  #list: readonly ListedInstance[] = [];
  #view: RoutingView;
  #refresh: Promise<void> | undefined;
  #refreshedAtMs = -Infinity;

  constructor(options: RoutingTaskOptions) {
    this.#options = options;
    this.#view = this.#buildView(1);
    this.#stopWatching = options.membership.watchView(() => {
      this.#updateView();
    });
  }

  getView(): RoutingView {
    return this.#view;
  }

  watchView(listener: (view: RoutingView) => void): Unsubscribe {
    this.#listeners.add(listener);
    return () => {
      this.#listeners.delete(listener);
    };
  }

  updateList(instances: readonly ListedInstance[]): void {
    const isChanged = JSON.stringify(instances) !== JSON.stringify(this.#list);
    this.#list = instances;
    this.#options.membership.mergeList(instances);
    if (isChanged) this.#updateView();
  }

  /** Never throws: without the platform the last list stays in use. */
  refresh(): Promise<void> {
    const nowMs = this.#getNowMs();
    if (this.#refresh !== undefined) return this.#refresh;
    if (nowMs - this.#refreshedAtMs < REFRESH_INTERVAL_MS) return Promise.resolve();
    this.#refreshedAtMs = nowMs;
    this.#refresh = this.#fetchList().finally(() => {
      this.#refresh = undefined;
    });
    return this.#refresh;
  }

  [Symbol.dispose](): void {
    this.#stopWatching();
    this.#listeners.clear();
  }

  async #fetchList(): Promise<void> {
    try {
      this.updateList(await this.#options.fetchList());
    } catch (error) {
      this.#options.log.warn(`reading the instance list failed: ${String(error)}`);
    }
  }

  #getNowMs(): number {
    return this.#options.getNowMs?.() ?? performance.now();
  }

  #updateView(): void {
    this.#view = this.#buildView(this.#view.version + 1);
    for (const listener of this.#listeners) listener(this.#view);
  }

  #buildView(version: number): RoutingView {
    const { members } = this.#options.membership.getView();
    return buildRoutingView(members, this.#list, this.#options.instanceId, this.#options, version);
  }
}
