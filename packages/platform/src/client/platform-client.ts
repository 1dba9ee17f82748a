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

/** Time limit of one call in milliseconds; a watch has its hold on top. */
export const REQUEST_TIMEOUT_MS = 2_000;
/** Longest hold of a watch in milliseconds. */
export const MAX_HOLD_MS = 25_000;

/** Options of createPlatformClient. */
export interface PlatformClientOptions {
  /** Base URL of the platform service. */
  url: string;
  /**
   * Time limit of one call in milliseconds.
   * @default 2_000
   */
  requestTimeoutMs?: number;
}

/** Creates a client of the platform's object service and instance list. */
export function createPlatformClient(options: PlatformClientOptions): PlatformClient {
  const caller = new HttpClient(new URL(options.url).origin);
  const calls = new ObjectCalls(caller, options.requestTimeoutMs ?? REQUEST_TIMEOUT_MS);
  return {
    getObject: (key) => calls.getObject(key),
    putObject: (key, text, condition) => calls.putObject(key, text, condition),
    deleteObject: (key, version) => calls.removeObject(key, version),
    listObjects: (prefix) => calls.listObjects(prefix),
    watchObject: (key, watch) => calls.watchObject(key, watch),
    getInstances: () => calls.getInstances(),
    watchInstances: (watch) => calls.watchInstances(watch),
    [Symbol.asyncDispose]: () => caller[Symbol.asyncDispose](),
  };
}

class ObjectCalls {
  constructor(
    private readonly caller: HttpClient,
    private readonly timeoutMs: number,
  ) {}

  async getObject(key: string): Promise<PlatformObject | undefined> {
    const operation = `get ${key}`;
    const answer = await this.#sendGet(toObjectPath(key), operation);
    if (answer.status === 404) return undefined;
    return toObject(answer, operation);
  }

  async putObject(key: string, text: string, condition: WriteCondition): Promise<PutResult> {
    const operation = `put ${key}`;
    const answer = await this.#sendWrite('PUT', key, operation, toHeaders(condition), text);
    if (answer.kind === 'unknown') return answer;
    const { status, etag, elapsedMs } = answer.answer;
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
    const headers = toHeaders({ kind: 'version', version });
    const answer = await this.#sendWrite('DELETE', key, operation, headers);
    if (answer.kind === 'unknown') return answer;
    const { status, elapsedMs } = answer.answer;
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
    const answer = await this.#sendGet(path, operation);
    return parseAnswer(answer, isValidObjectList, operation).objects;
  }

  async watchObject(key: string, watch: WatchOptions): Promise<PlatformObject | undefined> {
    const operation = `watch ${key}`;
    const answer = await this.#sendWatch(toObjectPath(key), operation, watch);
    if (answer.status === 304 || answer.status === 404) return undefined;
    return toObject(answer, operation);
  }

  async getInstances(): Promise<InstanceList> {
    const operation = 'get instances';
    const answer = await this.#sendGet('/instances', operation);
    return parseAnswer(answer, isValidInstanceList, operation);
  }

  async watchInstances(watch: WatchOptions): Promise<InstanceList | undefined> {
    const operation = 'watch instances';
    const answer = await this.#sendWatch('/instances', operation, watch);
    if (answer.status === 304) return undefined;
    return parseAnswer(answer, isValidInstanceList, operation);
  }

  #sendGet(path: string, operation: string): Promise<PlatformResponse> {
    return this.caller.sendRequest({ method: 'GET', path, operation, timeoutMs: this.timeoutMs });
  }

  #sendWatch(path: string, operation: string, watch: WatchOptions): Promise<PlatformResponse> {
    const holdMs = Math.min(watch.holdMs ?? MAX_HOLD_MS, MAX_HOLD_MS);
    return this.caller.sendRequest({
      method: 'GET',
      path: `${path}?after=${watch.afterVersion}&holdMs=${holdMs}`,
      operation,
      timeoutMs: holdMs + this.timeoutMs,
      signal: watch.signal,
    });
  }

  async #sendWrite(
    method: 'PUT' | 'DELETE',
    key: string,
    operation: string,
    headers: Record<string, string>,
    body?: string,
  ): Promise<
    | { kind: 'answer'; answer: PlatformResponse }
    | { kind: 'unknown'; operation: string; elapsedMs: number }
  > {
    const path = toObjectPath(key);
    try {
      const call = { method, path, operation, timeoutMs: this.timeoutMs, headers, body };
      return { kind: 'answer', answer: await this.caller.sendRequest(call) };
    } catch (error) {
      if (!(error instanceof PlatformUnavailableError)) throw error;
      return { kind: 'unknown', operation, elapsedMs: error.elapsedMs };
    }
  }
}

function toObjectPath(key: string): string {
  return `/objects/${key.split('/').map(encodeURIComponent).join('/')}`;
}

function toHeaders(condition: WriteCondition): Record<string, string> {
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

function checkStatus(answer: PlatformResponse, operation: string): void {
  if (answer.status === 200) return;
  const reason = `status ${answer.status}`;
  if (answer.status >= 500) throw new PlatformUnavailableError(operation, answer.elapsedMs, reason);
  throw new PlatformProtocolError(operation, answer.status, 'unexpected status');
}

function toObject(answer: PlatformResponse, operation: string): PlatformObject {
  checkStatus(answer, operation);
  const version = parseVersion(answer.etag);
  if (version === undefined) {
    throw new PlatformProtocolError(operation, answer.status, 'no version in ETag');
  }
  return { version, text: answer.text };
}

function parseAnswer<T>(answer: PlatformResponse, isValid: Validator<T>, operation: string): T {
  checkStatus(answer, operation);
  const result = parseJson(answer.text, isValid);
  if (result.ok) return result.value;
  const reason = result.findings.map(formatFinding).join('; ');
  throw new PlatformProtocolError(operation, answer.status, reason);
}
