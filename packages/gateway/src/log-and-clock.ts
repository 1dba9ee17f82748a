/** Structured log. Fields become top-level keys of the log line. */
export interface GatewayLog {
  error(message: string, fields?: Record<string, unknown>): void;
  warn(message: string, fields?: Record<string, unknown>): void;
  info(message: string, fields?: Record<string, unknown>): void;
  debug(message: string, fields?: Record<string, unknown>): void;
}

/** Monotonic clock in milliseconds. */
export type Clock = () => number;
