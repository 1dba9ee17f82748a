import type { InstanceList } from '@pollendrum/protocol';
import type { PlatformClient } from '@pollendrum/platform';
import type { TelemetryPort } from '../ports';
import { ChangeWatcher } from './change-watcher';

/** Options of createInstanceListTask. */
export interface InstanceListTaskOptions {
  client: Pick<PlatformClient, 'getInstances' | 'watchInstances'>;
  telemetry: TelemetryPort;
  /** Called with each list whose version is higher than that of the previous list. */
  handleChange: (list: InstanceList) => void;
  /** Called after each successful read of the platform's list. */
  handleRead?: (list: InstanceList) => void;
  /**
   * Polling interval in milliseconds.
   * @default 4_500
   */
  pollIntervalMs?: number;
}

/** Follows the platform's list of instances and backend servers. */
export interface InstanceListTask extends AsyncDisposable {
  /** Returns the latest list, or undefined until the first read has succeeded. */
  getList(): InstanceList | undefined;
}

/** Creates and starts the task that follows the platform's instance list. */
export function createInstanceListTask(options: InstanceListTaskOptions): InstanceListTask {
  const { client, telemetry, handleChange, handleRead } = options;
  let list: InstanceList | undefined;
  const watcher = new ChangeWatcher<InstanceList>({
    readValue: async () => toVersioned(await client.getInstances()),
    watchValue: async (afterVersion, signal) => {
      const changed = await client.watchInstances({
        afterVersion: Math.max(0, afterVersion - 1),
        signal,
      });
      return changed === undefined ? undefined : toVersioned(changed);
    },
    handleChange: (value) => {
      list = value;
      handleChange(value);
    },
    handleRead: (value) => {
      if (value !== undefined) handleRead?.(value);
    },
    handleError: (error) => {
      telemetry.log.warn('could not read the instance list from the platform', {
        error: String(error),
      });
    },
    pollIntervalMs: options.pollIntervalMs,
  });
  watcher.start();
  return {
    getList: () => list,
    [Symbol.asyncDispose]: () => watcher[Symbol.asyncDispose](),
  };
}

function toVersioned(list: InstanceList) {
  // List versions start at 0 (an empty list), but ChangeWatcher ignores versions below 1.
  return { version: list.version + 1, value: list };
}
