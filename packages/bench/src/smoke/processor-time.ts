import { readFileSync } from 'node:fs';

/** Unit of the times in /proc/PID/stat; the kernel fixes it at 100 per second for user space. */
const TICK_MS = 10;
const UTIME_INDEX = 11;
const STIME_INDEX = 12;

/** Processor time in user and kernel mode that a process has used, in milliseconds. */
export function readProcessorMs(pid: number): number {
  const text = readFileSync(`/proc/${pid.toString()}/stat`, 'utf8');
  // The command name is in parentheses and may contain spaces; the state follows it.
  const fields = text.slice(text.lastIndexOf(')') + 2).split(' ');
  return (Number(fields[UTIME_INDEX]) + Number(fields[STIME_INDEX])) * TICK_MS;
}
