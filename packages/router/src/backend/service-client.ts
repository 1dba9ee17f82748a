import type { IncomingHttpHeaders } from 'node:http';
import type { Readable } from 'node:stream';
import { HOP_BY_HOP_HEADERS } from '@pollendrum/protocol';
import type { Dispatcher } from 'undici';
import { BackendCallError, toBackendCallError } from './backend-errors';
import type { ServerAddress, ServerPools } from './server-pools';

/** A call to a service: a backend server that is not a model engine. */
export interface ServiceCall {
  method: string;
  /** Path and query, relative to the service. */
  path: string;
  headers: Record<string, string | string[]>;
  body: Buffer;
  /** Non-idempotent calls use a new connection instead of a pooled one. */
  isIdempotent: boolean;
  signal: AbortSignal;
}

/** Response of a service. The body may still be arriving. */
export interface ServiceResponse {
  status: number;
  headers: Record<string, string | string[]>;
  body: Readable;
  /** The service declared that it did not run the call. */
  isNotRun: boolean;
  isDraining: boolean;
}

/** Statuses that HTTP defines for a final response. */
const MIN_STATUS = 200;
const MAX_STATUS = 599;
/** Headers that are left to the HTTP client of each connection. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set(['expect', 'host', 'content-length']);
// Headers addressed to the router. Services must not see the bearer key of the caller.
const ROUTER_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'x-service-class',
  'x-idempotent',
  'x-request-id',
]);

/** Copies the request headers that are forwarded to a service. */
export function selectRequestHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const kept = removeHopByHopHeaders(headers);
  for (const name of ROUTER_HEADERS) Reflect.deleteProperty(kept, name);
  return kept;
}

/** Copies headers except those that apply to a single connection and those that `Connection` lists. */
export function removeHopByHopHeaders(
  headers: Record<string, string | string[] | undefined>,
): Record<string, string | string[]> {
  const connection = String(headers['connection'] ?? '');
  const connectionOptions = new Set(connection.split(',').map((name) => name.trim().toLowerCase()));
  const kept = Object.entries(headers).filter(
    ([name, value]) =>
      value !== undefined &&
      !HOP_BY_HOP_HEADERS.has(name) &&
      !CONNECTION_HEADERS.has(name) &&
      !connectionOptions.has(name),
  );
  return Object.fromEntries(kept) as Record<string, string | string[]>;
}

/** HTTP client for services. */
export class ServiceClient {
  constructor(readonly pools: ServerPools) {}

  /** Sends a call once. Throws BackendCallError when no response headers arrive. */
  async sendCall(server: ServerAddress, call: ServiceCall): Promise<ServiceResponse> {
    if (call.signal.aborted) throw new BackendCallError(false, new Error('aborted before sending'));
    if (call.isIdempotent) return await sendRequest(this.pools.getPool(server), call);
    const client = this.pools.createUnpooledClient(server);
    try {
      const response = await sendRequest(client, call);
      response.body.once('close', () => void client.destroy());
      return response;
    } catch (error) {
      void client.destroy();
      throw error;
    }
  }
}

async function sendRequest(dispatcher: Dispatcher, call: ServiceCall): Promise<ServiceResponse> {
  try {
    const response = await dispatcher.request({
      method: call.method as Dispatcher.HttpMethod,
      path: call.path,
      headers: call.headers,
      body: call.body.length === 0 ? null : call.body,
      idempotent: call.isIdempotent,
      signal: call.signal,
    });
    if (response.statusCode < MIN_STATUS || response.statusCode > MAX_STATUS) {
      response.body.on('error', () => undefined).destroy();
      throw new BackendCallError(true, new Error(`invalid status ${response.statusCode}`));
    }
    const headers = removeHopByHopHeaders(response.headers);
    return {
      status: response.statusCode,
      headers,
      body: response.body,
      isNotRun: response.statusCode === 503 && response.headers['x-not-run'] === 'true',
      isDraining: response.headers['x-draining'] !== undefined,
    };
  } catch (error) {
    throw toBackendCallError(error);
  }
}
