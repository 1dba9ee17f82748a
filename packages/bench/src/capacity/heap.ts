import { setFlagsFromString } from 'node:v8';
import { runInNewContext } from 'node:vm';

/** Bytes of the heap in use after a full garbage collection. */
export function measureHeapBytes(): number {
  setFlagsFromString('--expose-gc');
  const collect = runInNewContext('gc') as () => void;
  collect();
  collect();
  return process.memoryUsage().heapUsed;
}

/**
 * Median of the processor time that `run` takes, in milliseconds. Other programs on the machine change it
 * less than the elapsed time; garbage collection in other threads of this process is included.
 */
export function measureMedianMs(repeats: number, run: () => unknown): number {
  const times = Array.from({ length: repeats }, () => {
    const startedAt = process.cpuUsage();
    run();
    const { user, system } = process.cpuUsage(startedAt);
    return (user + system) / 1_000;
  });
  return times.sort((a, b) => a - b)[Math.floor(repeats / 2)] ?? Number.NaN;
}
