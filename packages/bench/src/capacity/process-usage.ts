import { readFileSync } from 'node:fs';

/** Linux reports processor time to programs in units of 1/100 s on every architecture. */
const TICKS_PER_SECOND = 100;
const PAGE_BYTES = 4_096;

/** Processor time and memory of a process. */
export interface ProcessUsage {
  /** User and system time in seconds, in steps of 0.01. */
  cpuSeconds: number;
  residentBytes: number;
}

/**
 * Reads `/proc/PID/stat`.
 * @throws Error with code ENOENT when the process has ended.
 */
export function readProcessUsage(pid: number): ProcessUsage {
  const text = readFileSync(`/proc/${pid}/stat`, 'utf8');
  // The program's name in parentheses may hold spaces, so fields are counted after it.
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  const readField = (index: number) => Number(fields[index]);
  return {
    cpuSeconds: (readField(11) + readField(12)) / TICKS_PER_SECOND,
    residentBytes: readField(21) * PAGE_BYTES,
  };
}
