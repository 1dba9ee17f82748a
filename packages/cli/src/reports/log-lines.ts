/** One structured line of an instance's log. */
export interface LogLine {
  /** ISO 8601. */
  timestamp: string;
  instance: string;
  level: string;
  message: string;
  fields: Record<string, unknown>;
}

/** Reads a log line; a prefix that a log collector put before the JSON is skipped. Undefined for other text. */
export function parseLogLine(text: string): LogLine | undefined {
  const start = text.indexOf('{');
  if (start < 0) return undefined;
  let value: unknown;
  try {
    value = JSON.parse(text.slice(start));
  } catch {
    // A line that was cut off by a crash or belongs to another program is no line of an instance.
    return undefined;
  }
  if (typeof value !== 'object' || value === null) return undefined;
  const { timestamp, instance, level, message, ...fields } = value as Record<string, unknown>;
  const isLogLine =
    typeof timestamp === 'string' &&
    typeof instance === 'string' &&
    typeof level === 'string' &&
    typeof message === 'string';
  return isLogLine ? { timestamp, instance, level, message, fields } : undefined;
}
