import type { ListedInstance } from '@pollendrum/protocol';
import type { MembershipPort, RoutingPort, RoutingView, Unsubscribe } from '../ports';
import { buildRoutingView, type RoutingPolicy } from './routing-view';

export interface RoutingTaskOptions extends RoutingPolicy {
  instanceId: string;
  membership: Pick<MembershipPort, 'getView' | 'watchView' | 'mergeList'>;
}

export interface RoutingTask extends RoutingPort, Disposable {
  /** Applies a read of the platform's instance list and passes it to membership. */
  updateList(instances: readonly ListedInstance[]): void;
}

/** Recomputes pools, shards and owners when the membership or the instance list changes. */
export function createRoutingTask(options: RoutingTaskOptions): RoutingTask {
  return new ListRoutingTask(options);
}

class ListRoutingTask implements RoutingTask {
  readonly #options: RoutingTaskOptions;
  readonly #listeners = new Set<(view: RoutingView) => void>();
  readonly #stopWatching: Unsubscribe;
  #listedInstances: readonly ListedInstance[] = [];
  #view: RoutingView;

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
    const isChanged = JSON.stringify(instances) !== JSON.stringify(this.#listedInstances);
    this.#listedInstances = instances;
    this.#options.membership.mergeList(instances);
    if (isChanged) this.#updateView();
  }

  [Symbol.dispose](): void {
    this.#stopWatching();
    this.#listeners.clear();
  }

  #updateView(): void {
    this.#view = this.#buildView(this.#view.version + 1);
    for (const listener of this.#listeners) listener(this.#view);
  }

  #buildView(version: number): RoutingView {
    const { members } = this.#options.membership.getView();
    return buildRoutingView(
      members,
      this.#listedInstances,
      this.#options.instanceId,
      this.#options,
      version,
    );
  }
}
