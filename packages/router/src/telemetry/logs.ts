import winston from 'winston';
import type { LogPort } from '../ports';

// Fields whose values are credentials or identify a caller; they are never logged.
const SECRET_FIELDS: ReadonlySet<string> = new Set([
  'authorization',
  'bearer',
  'clusterkey',
  'cookie',
  'idempotency-key',
  'idempotencykey',
  'key',
  'password',
  'privatekey',
  'secret',
  'token',
]);
const MAX_DEPTH = 6;

/** Creates a log that writes JSON lines to stdout. */
export function createLog(level: string, instanceId: string): LogPort {
  const logger = winston.createLogger({
    level,
    format: winston.format.combine(winston.format.timestamp(), winston.format.json()),
    defaultMeta: { instance: instanceId },
    transports: [new winston.transports.Console()],
  });
  const createLogFunction =
    (lineLevel: string): LogPort['info'] =>
    (message, fields) => {
      if (!logger.isLevelEnabled(lineLevel)) return;
      logger.log(lineLevel, message, removeSecrets(fields ?? {}, 0) as object);
    };
  return {
    error: createLogFunction('error'),
    warn: createLogFunction('warn'),
    info: createLogFunction('info'),
    debug: createLogFunction('debug'),
  };
}

/** Copies a value for logging and redacts secret fields, whose names are matched case-insensitively. */
export function removeSecrets(value: unknown, depth = 0): unknown {
  if (value instanceof Error) return { name: value.name, error: value.message, stack: value.stack };
  if (typeof value !== 'object' || value === null) return value;
  if (depth >= MAX_DEPTH) return '[deep]';
  if (Array.isArray(value)) return value.map((item) => removeSecrets(item, depth + 1));
  const entries = Object.entries(value).map(([name, item]: [string, unknown]) => [
    name,
    SECRET_FIELDS.has(name.toLowerCase()) ? '[removed]' : removeSecrets(item, depth + 1),
  ]);
  return Object.fromEntries(entries) as unknown;
}
