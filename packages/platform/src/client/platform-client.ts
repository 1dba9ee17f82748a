import { isValidInstanceList, isValidObjectList, parseJson } from '@pollendrum/protocol';
import type { InstanceList, Validator } from '@pollendrum/protocol';
import { formatFinding } from '@pollendrum/protocol';
import { PlatformProtocolError, PlatformUnavailableError } from './errors';
import { HttpClient } from './http-client';
import type { PlatformResponse } from './http-client';
import type {
  DeleteResult,
  PlatformClient,
  PlatformObject,
  PutResult,
  WatchOptions,
  WriteCondition,
} from './types';

/** Default timeout of a request in milliseconds; for a watch, its hold time is added. */
export const REQUEST_TIMEOUT_MS = 2_000;
/** Maximum time in milliseconds that the platform holds a watch (a long poll) without a change. */
export const MAX_HOLD_MS = 25_000;

/** Options of createPlatformClient. */
export interface PlatformClientOptions {
  /** Base URL of the platform service. */
  url: string;
  /**
   * Timeout of a request in milliseconds; for a watch, its hold time is added.
   * @default 2_000
   */
  requestTimeoutMs?: number;
}

/** Creates a client for the platform's object service and instance list. */
export function createPlatformClient(options: PlatformClientOptions): PlatformClient {
  const httpClient = new HttpClient(new URL(options.url).origin);
  const api = new PlatformApi(httpClient, options.requestTimeoutMs ?? REQUEST_TIMEOUT_MS);
  return {
    getObject: (key) => api.getObject(key),
    putObject: (key, text, condition) => api.putObject(key, text, condition),
    deleteObject: (key, version) => api.removeObject(key, version),
    listObjects: (prefix) => api.listObjects(prefix),
    watchObject: (key, watch) => api.watchObject(key, watch),
    getInstances: () => api.getInstances(),
    watchInstances: (watch) => api.watchInstances(watch),
    [Symbol.asyncDispose]: () => httpClient[Symbol.asyncDispose](),
  };
}

class PlatformApi {
  constructor(
    private readonly httpClient: HttpClient,
    private readonly timeoutMs: number,
  ) {}

  async getObject(key: string): Promise<PlatformObject | undefined> {
    const operation = `get ${key}`;
    const response = await this.#sendGet(toObjectPath(key), operation);
    if (response.status === 404) return undefined;
    return toObject(response, operation);
  }

  async putObject(key: string, text: string, condition: WriteCondition): Promise<PutResult> {
    const operation = `put ${key}`;
    const write = await this.#sendWrite('PUT', key, operation, toConditionHeaders(condition), text);
    if (write.kind === 'unknown') return write;
    const { status, etag, elapsedMs } = write.response;
    if (status === 412) return { kind: 'conflict' };
    if (status >= 400 && status < 500) {
      throw new PlatformProtocolError(operation, status, 'the write was refused');
    }
    const version = parseVersion(etag);
    const isStored = (status === 200 || status === 201) && version !== undefined;
    return isStored ? { kind: 'stored', version } : { kind: 'unknown', operation, elapsedMs };
  }

  async removeObject(key: string, version: number): Promise<DeleteResult> {
    const operation = `delete ${key}`;
    const headers = toConditionHeaders({ kind: 'version', version });
    const deletion = await this.#sendWrite('DELETE', key, operation, headers);
    if (deletion.kind === 'unknown') return deletion;
    const { status, elapsedMs } = deletion.response;
    if (status === 404) return { kind: 'missing' };
    if (status === 412) return { kind: 'conflict' };
    if (status >= 200 && status < 300) return { kind: 'deleted' };
    if (status >= 400 && status < 500) {
      throw new PlatformProtocolError(operation, status, 'the delete was refused');
    }
    return { kind: 'unknown', operation, elapsedMs };
  }

  async listObjects(prefix: string) {
    const operation = `list ${prefix}`;
    const path = `/objects?prefix=${encodeURIComponent(prefix)}`;
    const response = await this.#sendGet(path, operation);
    return parseResponse(response, isValidObjectList, operation).objects;
  }

  async watchObject(key: string, options: WatchOptions): Promise<PlatformObject | undefined> {
    const operation = `watch ${key}`;
    const response = await this.#sendWatch(toObjectPath(key), operation, options);
    if (response.status === 304 || response.status === 404) return undefined;
    return toObject(response, operation);
  }

  async getInstances(): Promise<InstanceList> {
    const operation = 'get instances';
    const response = await this.#sendGet('/instances', operation);
    return parseResponse(response, isValidInstanceList, operation);
  }

  async watchInstances(options: WatchOptions): Promise<InstanceList | undefined> {
    const operation = 'watch instances';
    const response = await this.#sendWatch('/instances', operation, options);
    if (response.status === 304) return undefined;
    return parseResponse(response, isValidInstanceList, operation);
  }

  #sendGet(path: string, operation: string): Promise<PlatformResponse> {
    return this.httpClient.sendRequest({
      method: 'GET',
      path,
      operation,
      timeoutMs: this.timeoutMs,
    });
  }

  #sendWatch(path: string, operation: string, options: WatchOptions): Promise<PlatformResponse> {
    const holdMs = Math.min(options.holdMs ?? MAX_HOLD_MS, MAX_HOLD_MS);
    return this.httpClient.sendRequest({
      method: 'GET',
      path: `${path}?after=${options.afterVersion}&holdMs=${holdMs}`,
      operation,
      timeoutMs: holdMs + this.timeoutMs,
      signal: options.signal,
    });
  }

  async #sendWrite(
    method: 'PUT' | 'DELETE',
    key: string,
    operation: string,
    headers: Record<string, string>,
    body?: string,
  ): Promise<
    | { kind: 'answer'; response: PlatformResponse }
    | { kind: 'unknown'; operation: string; elapsedMs: number }
  > {
    const path = toObjectPath(key);
    try {
      const request = { method, path, operation, timeoutMs: this.timeoutMs, headers, body };
      return { kind: 'answer', response: await this.httpClient.sendRequest(request) };
    } catch (error) {
      if (!(error instanceof PlatformUnavailableError)) throw error;
      return { kind: 'unknown', operation, elapsedMs: error.elapsedMs };
    }
  }
}

function toObjectPath(key: string): string {
  return `/objects/${key.split('/').map(encodeURIComponent).join('/')}`;
}

function toConditionHeaders(condition: WriteCondition): Record<string, string> {
  switch (condition.kind) {
    case 'absent':
      return { 'if-none-match': '*', 'content-type': 'application/json' };
    case 'version':
      return { 'if-match': `"${condition.version}"`, 'content-type': 'application/json' };
  }
}

function parseVersion(etag: string | undefined): number | undefined {
  const match = /^"(\d+)"$/.exec(etag ?? '');
  return match === null ? undefined : Number(match[1]);
}

function checkStatus(response: PlatformResponse, operation: string): void {
  if (response.status === 200) return;
  const reason = `status ${response.status}`;
  if (response.status >= 500)
    throw new PlatformUnavailableError(operation, response.elapsedMs, reason);
  throw new PlatformProtocolError(operation, response.status, 'unexpected status');
}

function toObject(response: PlatformResponse, operation: string): PlatformObject {
  checkStatus(response, operation);
  const version = parseVersion(response.etag);
  if (version === undefined) {
    throw new PlatformProtocolError(operation, response.status, 'no version in ETag');
  }
  return { version, text: response.text };
}

function parseResponse<T>(response: PlatformResponse, isValid: Validator<T>, operation: string): T {
  checkStatus(response, operation);
  const result = parseJson(response.text, isValid);
  if (result.ok) return result.value;
  const reason = result.findings.map(formatFinding).join('; ');
  throw new PlatformProtocolError(operation, response.status, reason);
}
