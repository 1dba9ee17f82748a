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

/** Median of the time that `run` takes, in milliseconds. */
export function measureMedianMs(repeats: number, run: () => unknown): number {
  const times = Array.from({ length: repeats }, () => {
    const startedAtMs = performance.now();
    run();
    return performance.now() - startedAtMs;
  });
  return times.sort((a, b) => a - b)[Math.floor(repeats / 2)] ?? Number.NaN;
}
