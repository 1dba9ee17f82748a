import type { IncomingHttpHeaders } from 'node:http';
import type { Readable } from 'node:stream';
import { HOP_BY_HOP_HEADERS } from '@pollendrum/protocol';
import type { Dispatcher } from 'undici';
import { BackendCallError, toBackendCallError } from './backend-errors';
import type { ServerAddress, ServerPools } from './server-pools';

/** One call to a plain service. */
export interface ServiceCall {
  method: string;
  /** Path below the service with its query. */
  path: string;
  headers: Record<string, string | string[]>;
  body: Buffer;
  /** Non-idempotent calls use a connection of their own. */
  isIdempotent: boolean;
  signal: AbortSignal;
}

/** Answer of a plain service. The body may still be arriving. */
export interface ServiceResponse {
  status: number;
  headers: Record<string, string | string[]>;
  body: Readable;
  /** The service declared that it did not run the call. */
  isNotRun: boolean;
  isDraining: boolean;
}

/** Headers that the connection to the service sets itself. */
const CONNECTION_HEADERS: ReadonlySet<string> = new Set(['expect', 'host', 'content-length']);
// Bearer keys belong to the router and are not shown to services.
const OWN_HEADERS: ReadonlySet<string> = new Set([
  'authorization',
  'x-service-class',
  'x-idempotent',
  'x-request-id',
]);

/** Copies the headers that a service gets. */
export function selectRequestHeaders(
  headers: IncomingHttpHeaders,
): Record<string, string | string[]> {
  const kept = removeHopByHopHeaders(headers);
  for (const name of OWN_HEADERS) Reflect.deleteProperty(kept, name);
  return kept;
}

/** Copies headers without those that describe one connection, also those named in `Connection`. */
export function removeHopByHopHeaders(
  headers: Record<string, string | string[] | undefined>,
): Record<string, string | string[]> {
  const connection = String(headers['connection'] ?? '');
  const named = new Set(connection.split(',').map((name) => name.trim().toLowerCase()));
  const kept = Object.entries(headers).filter(
    ([name, value]) =>
      value !== undefined &&
      !HOP_BY_HOP_HEADERS.has(name) &&
      !CONNECTION_HEADERS.has(name) &&
      !named.has(name),
  );
  return Object.fromEntries(kept) as Record<string, string | string[]>;
}

/** Calls plain services. */
export class ServiceClient {
  constructor(readonly pools: ServerPools) {}

  /** Sends a call once. Throws BackendCallError when no response headers arrive. */
  async sendCall(server: ServerAddress, call: ServiceCall): Promise<ServiceResponse> {
    if (call.signal.aborted) throw new BackendCallError(false, new Error('aborted before sending'));
    if (call.isIdempotent) return await sendThrough(this.pools.getPool(server), call);
    const client = this.pools.createFreshClient(server);
    try {
      const response = await sendThrough(client, call);
      response.body.once('close', () => void client.destroy());
      return response;
    } catch (error) {
      void client.destroy();
      throw error;
    }
  }
}

async function sendThrough(dispatcher: Dispatcher, call: ServiceCall): Promise<ServiceResponse> {
  try {
    const response = await dispatcher.request({
      method: call.method as Dispatcher.HttpMethod,
      path: call.path,
      headers: call.headers,
      body: call.body.length === 0 ? null : call.body,
      idempotent: call.isIdempotent,
      signal: call.signal,
    });
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
