import { randomUUID } from 'node:crypto';

/**
 * When requests are sent. `open`: at random times with an exponential distance, however slow the
 * answers are. `closed`: each of `concurrency` senders waits for its answer.
 */
export type LoadPacing =
  { kind: 'open'; requestsPerSecond: number } | { kind: 'closed'; concurrency: number };

/** What the load tool sends. */
export interface LoadOptions {
  /** Scheme, address and port of the receiver, e.g. `http://127.0.0.1:8080`. */
  baseUrl: string;
  pacing: LoadPacing;
  /** Time during which requests are sent, in milliseconds; their answers are awaited after it. */
  durationMs: number;
  /**
   * Share of orders among the requests, 0 to 100.
   * @default 0
   */
  orderPercent?: number;
  /** @default '/v1/chat/completions' */
  chatPath?: string;
  /** @default '/orders' */
  orderPath?: string;
  /** @default 'm1' */
  model?: string;
  /**
   * `max_tokens` of each chat request.
   * @default 64
   */
  maxTokens?: number;
  /**
   * `priority` of each chat request; left out when undefined.
   */
  priority?: number;
  /**
   * Key sent as `Authorization: Bearer`; left out when undefined.
   */
  bearerKey?: string;
  /**
   * Service class sent as `X-Service-Class`; left out when undefined.
   */
  className?: string;
  /**
   * Limit for a whole answer, in milliseconds.
   * @default 60000
   */
  requestTimeoutMs?: number;
  /**
   * Part of each prompt and key that distinguishes this run from others.
   * @default a random UUID
   */
  runId?: string;
  /**
   * Seed of the sending times and of the choice between chat and order.
   * @default 1
   */
  seed?: number;
}

export type ResolvedLoadOptions = Required<
  Omit<LoadOptions, 'priority' | 'bearerKey' | 'className'>
> &
  Pick<LoadOptions, 'priority' | 'bearerKey' | 'className'>;

/** Fills in the defaults. */
export function resolveLoadOptions(options: LoadOptions): ResolvedLoadOptions {
  return {
    ...options,
    orderPercent: options.orderPercent ?? 0,
    chatPath: options.chatPath ?? '/v1/chat/completions',
    orderPath: options.orderPath ?? '/orders',
    model: options.model ?? 'm1',
    maxTokens: options.maxTokens ?? 64,
    requestTimeoutMs: options.requestTimeoutMs ?? 60_000,
    runId: options.runId ?? randomUUID(),
    seed: options.seed ?? 1,
  };
}

/** Headers that identify the sender. */
export function buildHeaders(options: ResolvedLoadOptions): Record<string, string> {
  const headers: Record<string, string> = { 'Content-Type': 'application/json' };
  if (options.bearerKey !== undefined) headers.Authorization = `Bearer ${options.bearerKey}`;
  if (options.className !== undefined) headers['X-Service-Class'] = options.className;
  return headers;
}
