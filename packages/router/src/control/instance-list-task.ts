import type { InstanceList } from '@pollendrum/protocol';
import type { PlatformClient } from '@pollendrum/platform';
import type { TelemetryPort } from '../ports';
import { ChangeWatcher } from './change-watcher';

/** Options of createInstanceListTask. */
export interface InstanceListTaskOptions {
  client: Pick<PlatformClient, 'getInstances' | 'watchInstances'>;
  telemetry: TelemetryPort;
  /** Called with each list of a higher version. */
  handleChange: (list: InstanceList) => void;
  /** Called after each read of the platform's list that succeeded. */
  handleRead?: (list: InstanceList) => void;
  /**
   * Interval of plain reads in milliseconds.
   * @default 4_500
   */
  pollIntervalMs?: number;
}

/** Follows the platform's list of instances and backend servers. */
export interface InstanceListTask extends AsyncDisposable {
  /** Undefined until the first read succeeded. */
  getList(): InstanceList | undefined;
}

/** Creates and starts the task. */
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
      telemetry.log.warn('the instance list could not be read', { error: String(error) });
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
  // Versions start at 0 in an empty list; the watcher takes only versions above 0.
  return { version: list.version + 1, value: list };
}
